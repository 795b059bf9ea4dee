"""Stand-in for one replica: a process that writes down what it receives and runs.

A request's query says what its work is: `work_ms` before a plain answer, `events` and
`gap_ms` of a stream, `unframed` for an answer that ends with its channel and `pause_ms`
in the middle of it. `size` is that of a plain answer.
A grey replica fails a share of its requests after their work.
"""

import argparse
import json
import os
import signal
import socket
import sys
import threading
import time
import urllib.parse

STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"
PIECES = 8
MAX_HEAD_BYTES = 65536


def plain_body(call_id: str, size: int = 0) -> bytes:
    """Returns the whole body of a plain answer, of `size` bytes if that is set."""
    lines = b"".join(b"%s-%02d\n" % (call_id.encode(), n) for n in range(2 * PIECES))
    return lines if not size else (lines * (size // len(lines) + 1))[:size]


def event(call_id: str, number: int) -> bytes:
    """Returns one event of a stream."""
    return f"id: {number}\ndata: {call_id}-{number}\n\n".encode()


class Request:
    """One request as received."""

    def __init__(self, head: bytes, body: bytes) -> None:
        """Decodes the head."""
        lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = lines[0].split(" ")
        pairs = (line.partition(":") for line in lines[1:] if line)
        self.headers = {n.strip().lower(): v.strip() for n, _, v in pairs}
        self.body = body
        query = urllib.parse.urlsplit(self.target).query
        self.query = dict(urllib.parse.parse_qsl(query))
        self.id = self.headers.get("turmericward-attempt-id", "")

    def number(self, name: str) -> int:
        """Returns a number of the query, 0 if it isn't there."""
        return int(self.query.get(name, 0))


class Replica:
    """Answers each connection on a thread of its own."""

    def __init__(self, name: str, record_path: str, grey: float, status: int) -> None:
        """Creates it.

        Args:
            name: its instance id.
            record_path: the file that it appends to.
            grey: share of the plain requests that it fails.
            status: what it answers to these.
        """
        self._name = name
        self._grey, self._status = grey, status
        self._count = 0
        self._lock = threading.Lock()
        self._record = os.open(record_path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)

    def note(self, what: str, req: Request, **fields) -> None:
        """Writes down an event, at once: the process may be killed."""
        row = {"at": time.time(), "replica": self._name, "what": what, "id": req.id}
        row |= {"target": req.target} | fields
        with self._lock:
            os.write(self._record, json.dumps(row).encode() + b"\n")

    def serve(self, address: str) -> None:
        """Accepts connections until the process ends."""
        host, _, port = address.rpartition(":")
        with socket.create_server((host, int(port)), backlog=512) as listener:
            while True:
                conn, _ = listener.accept()
                threading.Thread(target=self._talk, args=(conn,), daemon=True).start()

    def _talk(self, conn: socket.socket) -> None:
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            with conn:
                while (req := _read(conn)) is not None and self._answer(conn, req):
                    pass
        except OSError:
            pass

    def _answer(self, conn: socket.socket, req: Request) -> bool:
        """Answers a request; returns whether the connection is kept."""
        path = urllib.parse.urlsplit(req.target).path
        if path == "/health":
            return self._send(conn, req, 200, b"ok")
        if path == "/api/kv-list":
            held = {"epoch": 1, "NextToken": 1, "held": []}
            return self._send(conn, req, 200, json.dumps(held).encode())
        if req.headers.get("turmericward-expect-instance", self._name) != self._name:
            return self._send(conn, req, 421, b"", not_run=True)
        if not req.id:
            return self._send(conn, req, 400, b"", not_run=True)
        self.note("runs", req)
        if req.number("events"):
            return self._stream(conn, req)
        time.sleep(req.number("work_ms") / 1000)
        if self._fails():
            self.note("done", req, status=self._status)
            return self._send(conn, req, self._status, b"failed\n")
        if req.number("unframed"):
            return self._unframed(conn, req)
        self.note("done", req, status=200)
        return self._send(conn, req, 200, plain_body(req.id, req.number("size")))

    def _fails(self) -> bool:
        with self._lock:
            self._count += 1
            return int(self._count * self._grey) > int((self._count - 1) * self._grey)

    def _send(
        self, conn: socket.socket, req: Request, status: int, body: bytes, not_run=False
    ) -> bool:
        head = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
        head += self._head(req)
        head += ["Turmericward-Not-Executed: 1"] if not_run else []
        conn.sendall("\r\n".join(head).encode() + b"\r\n\r\n" + body)
        return True

    def _head(self, req: Request) -> list[str]:
        return [
            f"Turmericward-Attempt-Id: {req.id}",
            f"Turmericward-Server-Stamp: {STAMP}",
            f"Turmericward-Instance-Id: {self._name}",
        ]

    def _unframed(self, conn: socket.socket, req: Request) -> bool:
        body = plain_body(req.id)
        middle = len(body) // 2
        head = ["HTTP/1.1 200 OK", "Connection: close", *self._head(req)]
        conn.sendall("\r\n".join(head).encode() + b"\r\n\r\n" + body[:middle])
        time.sleep(req.number("pause_ms") / 1000)
        conn.sendall(body[middle:])
        self.note("done", req, status=200)
        return False

    def _stream(self, conn: socket.socket, req: Request) -> bool:
        framed = not req.number("unframed")
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        head += ["Transfer-Encoding: chunked"] if framed else ["Connection: close"]
        conn.sendall("\r\n".join([*head, *self._head(req)]).encode() + b"\r\n\r\n")
        first = int(req.headers.get("last-event-id") or 0) + 1
        for number in range(first, req.number("events") + 1):
            data = event(req.id, number)
            conn.sendall(b"%x\r\n%s\r\n" % (len(data), data) if framed else data)
            time.sleep(req.number("gap_ms") / 1000)
        if framed:
            conn.sendall(b"0\r\n\r\n")
        self.note("done", req, status=200)
        return framed


def _read(conn: socket.socket) -> Request | None:
    """Reads one request; None at the end of the connection."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = conn.recv(65536)
        if not piece or len(data) > MAX_HEAD_BYTES:
            return None
        data += piece
    head, _, rest = data.partition(b"\r\n\r\n")
    req = Request(head, rest)
    length = int(req.headers.get("content-length", 0))
    while len(req.body) < length:
        piece = conn.recv(65536)
        if not piece:
            return None
        req.body += piece
    return req


def main() -> None:
    """Serves until the process is ended."""
    parser = argparse.ArgumentParser()
    for option in ("--name", "--address", "--record"):
        parser.add_argument(option, required=True)
    parser.add_argument("--grey", type=float, default=0.0)
    parser.add_argument("--status", type=int, default=500)
    args = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    Replica(args.name, args.record, args.grey, args.status).serve(args.address)


if __name__ == "__main__":
    main()
