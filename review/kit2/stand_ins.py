"""Stand-ins for the users' store and for sound replicas, written from the pages.

They do only what PROTOCOL.md allows, under the names that deploy/wire.toml gives.
"""

import base64
import contextlib
import http.server
import json
import socket
import struct
import threading
import time
import urllib.parse

STORE_WAIT_S = 5.0
# The store has never returned from an older copy.
ERA = (("Store-Era", "1"),)


class _Handler(http.server.BaseHTTPRequestHandler):
    """Passes each request to the server's application."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args) -> None:
        """Writes no access log."""

    def _dispatch(self) -> None:
        self.received_at = time.monotonic()
        self.url = urllib.parse.urlsplit(self.path)
        self.query = dict(urllib.parse.parse_qsl(self.url.query))
        self.body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        with contextlib.suppress(OSError):
            self.server.app.handle(self)

    do_GET = do_POST = do_DELETE = _dispatch  # noqa: N815

    def respond(self, status: int, body: bytes, headers=()) -> None:
        """Sends a whole response."""
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        for name, value in headers:
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)

    def respond_json(self, status: int, value: object, headers=()) -> None:
        """Sends a whole response with a JSON body."""
        raw = json.dumps(value).encode()
        self.respond(status, raw, (("Content-Type", "application/json"), *headers))


class Server(http.server.ThreadingHTTPServer):
    """Serves an application on a loopback address, with a thread a connection."""

    daemon_threads = True
    request_queue_size = 512

    def __init__(self, app, address: str) -> None:
        """Binds `ip:port` and begins to serve."""
        host, _, port = address.rpartition(":")
        super().__init__((host, int(port)), _Handler)
        self.app = app
        self.address = address
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def handle_error(self, request, client_address) -> None:
        """Ignores connections that the other side has closed."""

    def end(self) -> None:
        """Stops to listen."""
        self.shutdown()
        self.server_close()


class Store:
    """The platform's store: keyed topics with one partition, without faults."""

    def __init__(self) -> None:
        """Starts empty."""
        self._changed = threading.Condition()
        self._rows: dict[str, list[bytes]] = {}

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record; an empty value drops the key."""
        name = key.encode()
        self._append(topic, bytes([len(name)]) + name + value)

    def _append(self, topic: str, raw: bytes) -> int:
        with self._changed:
            rows = self._rows.setdefault(topic, [])
            rows.append(raw)
            self._changed.notify_all()
            return len(rows) - 1

    def handle(self, req: _Handler) -> None:
        """Answers one call."""
        topic = req.query.get("Topic", "")
        if req.url.path == "/api/log-newest":
            self._newest(req, topic)
        elif req.url.path == "/api/log-read":
            self._read(req, topic)
        elif req.url.path == "/api/log-append":
            self._append_if(req, topic)
        else:
            req.respond_json(404, {}, ERA)

    def _newest(self, req: _Handler, topic: str) -> None:
        with self._changed:
            rows = list(self._rows.get(topic, ()))
        newest = {}
        for offset, raw in enumerate(rows):
            key, value = raw[1 : 1 + raw[0]].decode(), raw[1 + raw[0] :]
            newest[key] = (offset, value)
        items = [
            {"key": k, "value": base64.b64encode(v).decode(), "offset": o}
            for k, (o, v) in newest.items()
            if v
        ]
        page = {"items": items, "more": False, "end": len(rows)}
        req.respond_json(200, page, ERA)

    def _read(self, req: _Handler, topic: str) -> None:
        start = int(req.query["From"])
        wait_s = min(STORE_WAIT_S, int(req.query.get("WaitMs", 0)) / 1000)
        with self._changed:
            self._changed.wait_for(
                lambda: len(self._rows.get(topic, ())) > start, wait_s
            )
            rows = list(self._rows.get(topic, ()))
        body = struct.pack(">QQ", len(rows), 0)
        body += b"".join(struct.pack(">I", len(raw)) + raw for raw in rows[start:])
        req.respond(200, body, ERA)

    def _append_if(self, req: _Handler, topic: str) -> None:
        (length,) = struct.unpack_from(">I", req.body)
        with self._changed:
            end = len(self._rows.get(topic, ()))
            if int(req.query.get("At", end)) != end:
                req.respond_json(412, {"end": end}, ERA)
                return
            offset = self._append(topic, req.body[4 : 4 + length])
        req.respond_json(200, {"offset": offset, "end": offset + 1}, ERA)


class Replica:
    """A sound replica of a plain service."""

    def __init__(self, name: str, work_s: float) -> None:
        """Starts without runs.

        Args:
            name: its id.
            work_s: how long it works on each request.
        """
        self.name = name
        self._work_s = work_s
        # When each request began to run, and its id.
        self.runs: list[tuple[float, str]] = []

    def handle(self, req: _Handler) -> None:
        """Runs one request, unless it is for another replica."""
        call_id = req.headers.get("Turmericward-Attempt-Id", "")
        headers = [("Turmericward-Attempt-Id", call_id)]
        if req.headers.get("Turmericward-Expect-Instance", self.name) != self.name:
            req.respond(421, b"", [*headers, ("Turmericward-Not-Executed", "1")])
            return
        if not call_id:
            req.respond(400, b"", [("Turmericward-Not-Executed", "1")])
            return
        self.runs.append((time.monotonic(), call_id))
        time.sleep(self._work_s)
        headers.append(("Turmericward-Server-Stamp", f"{self.name}.{call_id}"))
        req.respond(200, f"answer to {call_id}".encode(), headers)


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Returns free ports of a loopback address."""
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in socks]
