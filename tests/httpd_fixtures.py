"""A server with a small application on real sockets."""

import contextlib
import http.client
import socket
import threading

from tests import fixtures
from turmericward import httpd, runtime
from turmericward.httpd import _channel

check = fixtures.check
# Long enough for a busy machine; the tests end long before.
STOP_S = 20.0
JOIN_S = 30.0
LAG_S = 0.2
MAX_BODY_BYTES = 100_000
# Small, so that a part of a large response stays in the server's send buffer.
SMALL_BYTES = 65536


def _parts(_):
    yield b"part"
    yield b"part"


def _broken(_):
    yield b"part"
    raise ConnectionAbortedError("stream broke")


def _large_parts(app):
    yield app.large


# Responses without a length.
_STREAMS = {"/parts": _parts, "/broken": _broken, "/large-parts": _large_parts}


class App:
    """An application whose `/wait` requests block until `gate` is set."""

    def __init__(self) -> None:
        self.gate = threading.Event()
        self.started = threading.Semaphore(0)
        self.paths: list[str] = []
        self._lock = threading.Lock()
        self.large = b"x" * 8_000_000

    def __call__(self, environ, start_response):
        path = environ["PATH_INFO"]
        with self._lock:
            self.paths.append(path)
        size = len(environ["wsgi.input"].read())
        if path.startswith("/wait"):
            self.started.release()
            self.gate.wait(JOIN_S)
        if path in _STREAMS:
            start_response("200 OK", [])
            return _STREAMS[path](self)
        body = self.large if path == "/large" else f"{path} {size}".encode()
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]


class Running:
    """A server on a free port that is stopped by `begin`."""

    def __init__(self, length_s: float, probes, begun: bool, **limits) -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = probe.getsockname()
        self.app = App()
        self.not_ready = threading.Event()
        self.drain = runtime.Drain(length_s, lag_s=LAG_S)
        options = {"threads": 4} | limits
        limits = httpd.Limits(max_body_bytes=MAX_BODY_BYTES, **options)
        self.server = httpd.Server(self.app, self.address, limits, self.drain)
        for app, address in probes:
            self.server.add_probe(app, address)
        self._stop = threading.Event()
        if begun:
            self._stop.set()
        self.errors: list[Exception] = []
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        try:
            self.server.run(self._stop, self.not_ready.set)
        except Exception as exc:
            self.errors.append(exc)

    def connect(self, receive_bytes: int = 0) -> socket.socket:
        """Opens a connection, with a receive buffer of that size if it isn't 0."""
        conn = socket.socket()
        if receive_bytes:
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        conn.settimeout(10)
        conn.connect(self.address)
        return conn

    def connect_idle(self) -> socket.socket:
        """Opens a connection on which one request was answered."""
        conn = self.connect()
        check.assertEqual(call(conn, "/first")[0], 200)
        return conn

    def new_channel(self, sock: socket.socket) -> _channel.Channel:
        """Returns a connection that the event loop doesn't serve."""
        inner = self.server._server
        return _channel.Channel(inner, sock, ("", 0), inner.adj, map={})

    def begin(self) -> None:
        """Begins the stop."""
        self._stop.set()
        check.assertTrue(self.not_ready.wait(5))

    def is_over(self, timeout_s: float = 0.0) -> bool:
        """Returns whether the server returned within the timeout."""
        self._thread.join(timeout_s)
        return not self._thread.is_alive()


@contextlib.contextmanager
def running(length_s: float = STOP_S, probes=(), *, begun: bool = False, **limits):
    """Runs a server; stops it at the end."""
    server = Running(length_s, probes, begun, **limits)
    try:
        yield server
    finally:
        server.app.gate.set()
        server.begin()
        server.is_over(JOIN_S)


def head(path: str, size: int = 0) -> bytes:
    """Returns the header of a request."""
    return f"POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n\r\n".encode()


def last_head(path: str) -> bytes:
    """Returns the header of a request that is the last of its connection."""
    return head(path).replace(b"Host: h", b"Host: h\r\nConnection: close")


def read(conn: socket.socket) -> tuple[int, dict, bytes]:
    """Reads one response: status, headers and body."""
    resp = http.client.HTTPResponse(conn, method="POST")
    resp.begin()
    return resp.status, dict(resp.getheaders()), resp.read()


def call(conn: socket.socket, path: str, body: bytes = b"") -> tuple[int, dict, bytes]:
    """Sends a request and reads its response."""
    conn.sendall(head(path, len(body)) + body)
    return read(conn)
