"""The HTTP server's bounds on clients: silent connections, headers, bodies."""

import http.client
import socket
import threading
import time

from tests import fixtures
from turmericward import httpd
from turmericward.httpd import _idle

check = fixtures.check
IDLE_S = 5.0
HEADER_S = 2.0


def _silence(active_at: float, begun_at: float | None = None) -> _idle.Silence:
    return _idle.Silence(connection="c", active_at=active_at, begun_at=begun_at)


def _look(watch: _idle.IdleWatch, silence: _idle.Silence, now: float) -> list:
    return watch.look([silence], IDLE_S, HEADER_S, now)


def test_a_connection_that_stays_silent_is_closed_at_the_second_look():
    watch = _idle.IdleWatch()
    check.assertEqual(_look(watch, _silence(0.0), 4.0), [])
    check.assertEqual(_look(watch, _silence(0.0), 6.0), [])
    check.assertEqual(_look(watch, _silence(0.0), 7.0), ["c"])


def test_bytes_that_waited_through_a_pause_keep_a_connection():
    watch = _idle.IdleWatch()
    check.assertEqual(_look(watch, _silence(0.0), 1.0), [])
    check.assertEqual(_look(watch, _silence(0.0), 60.0), [])
    check.assertEqual(_look(watch, _silence(60.1), 61.0), [])


def test_a_header_that_trickles_in_is_ended():
    watch = _idle.IdleWatch()
    check.assertEqual(_look(watch, _silence(2.5, begun_at=0.0), 3.0), [])
    check.assertEqual(_look(watch, _silence(2.5, begun_at=0.0), 4.0), ["c"])
    check.assertEqual(_look(watch, _silence(3.5, begun_at=3.0), 4.0), [])


def test_looks_are_due_at_intervals():
    watch = _idle.IdleWatch()
    check.assertTrue(watch.is_due(100.0))
    check.assertFalse(watch.is_due(100.5))
    check.assertTrue(watch.is_due(101.0))


def _app(environ, start_response):
    body = str(len(environ["wsgi.input"].read())).encode()
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


class _Running:
    """A server on a free port, whose limits were set after its start."""

    def __init__(self, limits: httpd.ClientLimits) -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = probe.getsockname()
        options = httpd.Limits(threads=2, max_body_bytes=10**6, balancer_lag_s=0.0)
        self._server = httpd.Server(_app, self.address, options)
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._server.run, args=(self._stop, lambda: None)
        )
        self._thread.start()
        self._server.set_client_limits(limits)

    def __enter__(self) -> "_Running":
        return self

    def __exit__(self, *exc) -> None:
        self._stop.set()
        self._thread.join(10)


def _limits(**changes) -> httpd.ClientLimits:
    values = {
        "max_header_bytes": 4_000,
        "max_body_bytes": 1_000,
        "header_timeout_s": 60.0,
        "idle_timeout_s": 60.0,
    }
    return httpd.ClientLimits(**(values | changes))


def _ask(conn: socket.socket, body: bytes, header: str = "") -> int:
    head = f"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n{header}\r\n"
    conn.sendall(head.encode() + body)
    answer = http.client.HTTPResponse(conn)
    answer.begin()
    answer.read()
    return answer.status


def test_limits_that_change_hold_for_the_next_requests():
    with _Running(_limits()) as running:
        for body, header, status in (
            (b"x" * 1_000, "", 200),
            (b"x" * 1_001, "", 413),
            (b"", "X-Long: " + "x" * 4_000 + "\r\n", 431),
        ):
            with socket.create_connection(running.address, 5) as conn:
                check.assertEqual(_ask(conn, body, header), status)


def test_idle_connections_are_closed_and_used_ones_stay():
    with (
        _Running(_limits(idle_timeout_s=1.5)) as running,
        socket.create_connection(running.address, 10) as idle,
        socket.create_connection(running.address, 10) as used,
    ):
        check.assertEqual(_ask(idle, b"x"), 200)
        closed_by = time.monotonic() + 8
        idle.settimeout(0.5)
        while time.monotonic() < closed_by:
            check.assertEqual(_ask(used, b"x"), 200)
            try:
                check.assertEqual(idle.recv(1), b"")
            except TimeoutError:
                continue
            return
        check.fail("the idle connection is still open")


def test_a_header_that_never_ends_is_closed():
    with (
        _Running(_limits(header_timeout_s=0.5)) as running,
        socket.create_connection(running.address, 10) as conn,
    ):
        conn.sendall(b"POST / HTTP/1.1\r\nHost:")
        check.assertEqual(conn.recv(1), b"")
