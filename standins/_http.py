"""HTTP server that the stand-ins share."""

import contextlib
import http.server
import io
import json
import signal
import socket
import sys
import threading
import urllib.parse

import click

SIGTERM_EXIT_STATUS = 0
FILL_TIMEOUT_S = 0.1


class _PausableFile(io.BufferedIOBase):
    """Writes to a connection while its server isn't paused."""

    def __init__(self, file, running: threading.Event) -> None:
        self._file = file
        self._running = running

    def writable(self) -> bool:
        return True

    def write(self, data) -> int:
        self._running.wait()
        return self._file.write(data)


class Handler(http.server.BaseHTTPRequestHandler):
    """Passes each request to the stand-in's `handle_request`."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 0

    def log_message(self, *args) -> None:
        """Turns the access log off."""

    def setup(self) -> None:
        """Opens the connection's files."""
        super().setup()
        self.wfile = _PausableFile(self.wfile, self.server.running)

    def _dispatch(self) -> None:
        self.server.running.wait()
        self.url = urllib.parse.urlsplit(self.path)
        self.query = dict(urllib.parse.parse_qsl(self.url.query))
        length = int(self.headers.get("Content-Length", 0))
        self.body = self.rfile.read(length)
        self.server.app.handle_request(self)

    do_GET = do_POST = do_PUT = do_DELETE = do_PATCH = _dispatch  # noqa: N815

    def json(self) -> object:
        """Decodes the request's body."""
        return json.loads(self.body or b"null")

    def answer(self, status: int, value: object, headers=()) -> None:
        """Sends a JSON response."""
        data = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        for name, text in headers:
            self.send_header(name, text)
        self.end_headers()
        self.wfile.write(data)


class Server(http.server.ThreadingHTTPServer):
    """A threading server with a long accept backlog and the stand-in as `app`."""

    daemon_threads = True
    request_queue_size = 1024

    def __init__(self, address: str, app) -> None:
        """Binds `ip:port`."""
        host, _, port = address.rpartition(":")
        super().__init__((host, int(port)), Handler)
        self.app = app
        # Cleared while the server is paused.
        self.running = threading.Event()
        self.running.set()
        self._open: set[socket.socket] = set()

    def get_request(self):
        """Accepts a connection."""
        self.running.wait()
        conn, address = super().get_request()
        self._open.add(conn)
        return conn, address

    def shutdown_request(self, request) -> None:
        """Closes a connection."""
        self._open.discard(request)
        super().shutdown_request(request)

    @contextlib.contextmanager
    def paused(self, *, connectable: bool = True):
        """Neither reads, writes nor accepts meanwhile; afterwards nothing is lost.

        Args:
            connectable: whether the system still completes the connections of callers,
                as it does for a stopped process whose accept queue has room.
        """
        self.running.clear()
        try:
            with contextlib.nullcontext() if connectable else self._full_queue():
                yield
        finally:
            self.running.set()

    @contextlib.contextmanager
    def _full_queue(self):
        """Fills the accept queue, so that further connections time out."""
        self.socket.listen(0)
        try:
            with socket.create_connection(self.server_address, FILL_TIMEOUT_S):
                yield
        finally:
            self.socket.listen(self.request_queue_size)

    def crash(self) -> None:
        """Ends the server and all its connections at once."""
        self.socket.shutdown(socket.SHUT_RDWR)
        for conn in tuple(self._open):
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)
        self.shutdown()
        self.server_close()

    def handle_error(self, request, client_address) -> None:
        """Ignores errors of connections that the peer closed."""


def serve(address: str, app) -> None:
    """Serves until SIGTERM."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(SIGTERM_EXIT_STATUS))
    threading.stack_size(256 * 1024)
    Server(address, app).serve_forever(poll_interval=0.1)


listen_option = click.option("--listen", required=True, help="ip:port")
