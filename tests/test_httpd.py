"""Client limits of the HTTP server: idle connections, headers, bodies."""

import contextlib
import http.client
import socket
import threading
import time
from concurrent import futures
from unittest import mock

from tests import fixtures, httpd_fixtures
from turmericward import httpd, runtime
from turmericward.httpd import _channel, _idle

check = fixtures.check
IDLE_TIMEOUT_S = 5.0
# Real time in which an event loop turns whose clock stands still.
LOOP_TURN_S = 0.05
HEADER_TIMEOUT_S = 2.0


def _idle_state(
    last_active_at: float, header_started_at: float | None = None
) -> _idle.IdleState:
    return _idle.IdleState(
        connection="c",
        last_active_at=last_active_at,
        header_started_at=header_started_at,
    )


def _find_expired(
    monitor: _idle.IdleMonitor, idle_state: _idle.IdleState, now: float
) -> list:
    return monitor.find_expired([idle_state], IDLE_TIMEOUT_S, HEADER_TIMEOUT_S, now)


def test_idle_connection_is_closed_after_two_checks():
    monitor = _idle.IdleMonitor()
    check.assertEqual(_find_expired(monitor, _idle_state(0.0), 4.0), [])
    check.assertEqual(_find_expired(monitor, _idle_state(0.0), 6.0), [])
    check.assertEqual(_find_expired(monitor, _idle_state(0.0), 7.0), ["c"])


def test_connection_active_after_a_process_pause_is_kept():
    monitor = _idle.IdleMonitor()
    check.assertEqual(_find_expired(monitor, _idle_state(0.0), 1.0), [])
    check.assertEqual(_find_expired(monitor, _idle_state(0.0), 60.0), [])
    check.assertEqual(_find_expired(monitor, _idle_state(60.1), 61.0), [])


def test_slow_header_is_closed():
    monitor = _idle.IdleMonitor()
    check.assertEqual(
        _find_expired(monitor, _idle_state(2.5, header_started_at=0.0), 3.0), []
    )
    check.assertEqual(
        _find_expired(monitor, _idle_state(2.5, header_started_at=0.0), 4.0), ["c"]
    )
    check.assertEqual(
        _find_expired(monitor, _idle_state(3.5, header_started_at=3.0), 4.0), []
    )


def test_checks_are_due_at_intervals():
    monitor = _idle.IdleMonitor()
    check.assertTrue(monitor.is_due(100.0))
    check.assertFalse(monitor.is_due(100.5))
    check.assertTrue(monitor.is_due(101.0))


def _app(environ, start_response):
    body = str(len(environ["wsgi.input"].read())).encode()
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


class _RunningServer:
    """A server on a free port whose client limits are set after its start."""

    def __init__(self, limits: httpd.ClientLimits) -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = probe.getsockname()
        options = httpd.Limits(threads=2, max_body_bytes=10**6)
        self._server = httpd.Server(_app, self.address, options)
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._server.run, args=(self._stop, lambda: None)
        )
        self._thread.start()
        self._server.set_client_limits(limits)

    def __enter__(self) -> "_RunningServer":
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


def _post(conn: socket.socket, body: bytes, header: str = "") -> int:
    head = f"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n{header}\r\n"
    conn.sendall(head.encode() + body)
    resp = http.client.HTTPResponse(conn)
    resp.begin()
    resp.read()
    return resp.status


def test_changed_limits_apply_to_later_requests():
    with _RunningServer(_limits()) as server:
        for body, header, status in (
            (b"x" * 1_000, "", 200),
            (b"x" * 1_001, "", 413),
            (b"", "X-Long: " + "x" * 4_000 + "\r\n", 431),
        ):
            with socket.create_connection(server.address, 5) as conn:
                check.assertEqual(_post(conn, body, header), status)


def test_idle_connections_are_closed_and_active_ones_kept():
    with (
        _RunningServer(_limits(idle_timeout_s=1.5)) as server,
        socket.create_connection(server.address, 10) as idle,
        socket.create_connection(server.address, 10) as active,
    ):
        check.assertEqual(_post(idle, b"x"), 200)
        deadline = time.monotonic() + 8
        idle.settimeout(0.5)
        while time.monotonic() < deadline:
            check.assertEqual(_post(active, b"x"), 200)
            try:
                check.assertEqual(idle.recv(1), b"")
            except TimeoutError:
                continue
            return
        check.fail("the idle connection is still open")


def _call_kept(conn: socket.socket, path: str) -> int | None:
    """Sends a request on a kept connection; returns None if it was closed."""
    try:
        return httpd_fixtures.call(conn, path)[0]
    except (OSError, http.client.HTTPException):
        return None


def _call_at(conn: socket.socket, path: str, at: float) -> int | None:
    """Sends a request on a kept connection; returns None if it was closed."""
    time.sleep(max(0.0, at - time.monotonic()))
    return _call_kept(conn, path)


def test_requests_on_kept_connections_were_lost_when_the_idle_limit_was_lowered():
    count, interval_s, lowered_s = 30, 0.1, 0.8
    with (
        httpd_fixtures.running() as server,
        futures.ThreadPoolExecutor(count) as executor,
    ):
        server.server.set_client_limits(_limits())
        conns = [server.connect_idle() for _ in range(count)]
        # All are idle for longer than the limit that follows.
        time.sleep(2 * lowered_s)
        began = time.monotonic()
        server.server.set_client_limits(_limits(idle_timeout_s=lowered_s))
        offsets = [number * interval_s for number in range(count)]
        statuses = executor.map(
            lambda conn, s: _call_at(conn, f"/{s:.1f}", began + s), conns, offsets
        )
        for offset, status in zip(offsets, statuses, strict=True):
            if offset < lowered_s:
                check.assertEqual(status, 200, offset)
            if status is None:
                check.assertNotIn(f"/{offset:.1f}", server.app.paths)
        # The limit is in force for the last ones.
        check.assertIsNone(status)


def test_a_lowered_idle_limit_closed_connections_at_the_first_look():
    """Guards against a limit that closes connections before their clients know it."""
    count, interval_s, lowered_s = 30, 0.1, 0.8
    clock = _Clock()
    with (
        mock.patch.object(runtime, "now", clock.now),
        httpd_fixtures.running() as server,
        _stopped_at_the_end(server, clock),
        server.connect() as driver,
    ):
        server.server.set_client_limits(_limits())
        conns = [server.connect_idle() for _ in range(count)]
        # All are idle for longer than the limit that follows, and a check is due.
        clock.advance(2 * lowered_s)
        began = clock.now()
        server.server.set_client_limits(_limits(idle_timeout_s=lowered_s))
        for number, conn in enumerate(conns):
            offset = number * interval_s
            clock.advance(began + offset - clock.now())
            _let_loop_turn(driver)
            status = _call_kept(conn, f"/{offset:.1f}")
            if offset < lowered_s:
                check.assertEqual(status, 200, offset)
            if status is None:
                check.assertNotIn(f"/{offset:.1f}", server.app.paths)
        # The limit is in force for the last ones.
        check.assertIsNone(status)


class _Clock:
    """A clock that the test moves."""

    def __init__(self) -> None:
        self._now = runtime.now()

    def now(self) -> float:
        return self._now

    def advance(self, length_s: float) -> None:
        self._now += length_s


@contextlib.contextmanager
def _stopped_at_the_end(server: httpd_fixtures.Running, clock: _Clock):
    """Stops a server at the end, whose stop takes time on its clock."""
    try:
        yield
    finally:
        server.begin()
        while not server.is_over(LOOP_TURN_S):
            clock.advance(httpd_fixtures.LAG_S)


def _let_loop_turn(driver: socket.socket) -> None:
    """Returns when the event loop has checked all connections at the present time.

    It does so after it has read the first of the requests, and before the second.
    """
    for _ in range(2):
        check.assertEqual(httpd_fixtures.call(driver, "/turn")[0], 200)


def test_connection_with_an_incomplete_header_is_closed():
    with (
        _RunningServer(_limits(header_timeout_s=0.5)) as server,
        socket.create_connection(server.address, 10) as conn,
    ):
        conn.sendall(b"POST / HTTP/1.1\r\nHost:")
        check.assertEqual(conn.recv(1), b"")


def test_a_client_that_reads_nothing_does_not_keep_a_worker():
    """Guards against a response without end that nobody reads."""
    ended = threading.Event()

    def parts():
        try:
            while True:
                yield b"x" * 65536
        finally:
            ended.set()

    streams = {"/endless": lambda _: parts()}
    with (
        mock.patch.dict(httpd_fixtures._STREAMS, streams),
        mock.patch.object(_channel, "MAX_STALL_S", 0.5),
        httpd_fixtures.running() as running,
        socket.create_connection(running.address) as sock,
    ):
        sock.sendall(b"GET /endless HTTP/1.1\r\nHost: h\r\n\r\n")
        check.assertTrue(ended.wait(10.0))
