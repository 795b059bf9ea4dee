"""Connections that nobody uses give way to new ones when few are free."""

import contextlib
import threading
import time
from unittest import mock

from tests import fixtures, httpd_fixtures
from turmericward.httpd import _idle, _room
from turmericward.platform import _ingress

check = fixtures.check
CONNECTIONS = 64
CROWD = CONNECTIONS
CHUNKED = b"POST /crowd HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK, LAST_CHUNK = b"5\r\nhello\r\n", b"0\r\n\r\n"
# What clients of a crowd send before they stop.
STOPS = {
    "before a request": b"",
    "in a head": CHUNKED[:30],
    "before a body": CHUNKED,
    "between two chunks": CHUNKED + CHUNK,
    "in a chunk": CHUNKED + CHUNK + CHUNK[:4],
    "after their answer": CHUNKED + CHUNK + LAST_CHUNK,
}


@contextlib.contextmanager
def _crowd(server, sent: bytes, count: int = CROWD):
    """Clients that send something, stop, and stay."""
    with contextlib.ExitStack() as stack:
        conns = []
        for _ in range(count):
            conn = stack.enter_context(server.connect())
            conn.sendall(sent)
            conns.append(conn)
        yield conns


def test_clients_that_stop_short_or_stay_idle_held_all_connections():
    """Guards against connections without progress for which nobody is accepted."""
    for name, sent in STOPS.items():
        with (
            httpd_fixtures.running(connections=CONNECTIONS) as server,
            _crowd(server, sent),
        ):
            time.sleep(_room.MIN_IDLE_S)
            for number in range(3):
                with server.connect() as conn:
                    conn.settimeout(1.0)
                    status, _, _ = httpd_fixtures.call(conn, f"/{number}")
                    check.assertEqual(status, 200, name)


def test_a_request_that_stops_short_is_told_that_it_did_not_run():
    with (
        httpd_fixtures.running(connections=CONNECTIONS) as server,
        _crowd(server, STOPS["between two chunks"]) as conns,
    ):
        time.sleep(_room.MIN_IDLE_S + 0.5)
        with server.connect() as conn:
            check.assertEqual(httpd_fixtures.call(conn, "/x")[0], 200)
        check.assertEqual(httpd_fixtures.read(conns[0])[0], 408)
        check.assertEqual(server.app.paths, ["/x"])


def test_slow_senders_that_move_and_calls_at_work_keep_their_connections():
    with httpd_fixtures.running(connections=CONNECTIONS, threads=8) as server:
        over = threading.Event()
        slow, working = server.connect(), server.connect()
        slow.sendall(CHUNKED)
        working.sendall(httpd_fixtures.head("/wait"))
        check.assertTrue(server.app.started.acquire(timeout=5))

        def send_slowly() -> None:
            while not over.wait(_room.MIN_IDLE_S / 4):
                slow.sendall(CHUNK)

        sending = threading.Thread(target=send_slowly, daemon=True)
        sending.start()
        with slow, working, _crowd(server, STOPS["between two chunks"]):
            time.sleep(2 * _room.MIN_IDLE_S)
            for number in range(CROWD // 2):
                with server.connect() as conn:
                    check.assertEqual(httpd_fixtures.call(conn, f"/{number}")[0], 200)
            over.set()
            sending.join()
            slow.sendall(LAST_CHUNK)
            check.assertEqual(httpd_fixtures.read(slow)[0], 200)
            server.app.gate.set()
            check.assertEqual(httpd_fixtures.read(working)[0], 200)


def test_idle_connections_are_kept_while_there_is_room():
    with (
        httpd_fixtures.running(connections=4 * CROWD) as server,
        _crowd(server, b"") as conns,
    ):
        time.sleep(2 * _room.MIN_IDLE_S)
        for conn in conns:
            check.assertEqual(httpd_fixtures.call(conn, "/x")[0], 200)


def _state(idle_s: float, *, unread: bool = False) -> _idle.IdleState:
    conn = mock.Mock()
    conn.give_way.return_value = not unread
    return _idle.IdleState(connection=conn, last_active_at=100.0 - idle_s)


def test_those_without_progress_for_longest_are_closed_first():
    states = [
        _state(3.0),
        _state(9.0, unread=True),
        _state(_room.MIN_IDLE_S - 0.1),
        _state(5.0),
        _state(2.0),
    ]
    for count, closed in ((-1, []), (0, []), (1, [3]), (2, [3, 0]), (9, [3, 0, 4])):
        got = _room.close_idle(states, count, 100.0)
        check.assertEqual([states.index(s) for s in got], closed, count)
    check.assertFalse(states[2].connection.give_way.called)


def test_all_connections_are_looked_at_only_so_often():
    room = _room.Room(CONNECTIONS)
    times = (1.0, 1.05, 1.11, 1.15, 1.2, 1.22)
    due = [room.is_scan_due(at) for at in times]
    check.assertEqual(due, [True, False, True, False, False, True])


def test_a_server_without_a_free_connection_said_that_it_was_ready():
    room = _room.Room(CONNECTIONS)
    for count, now, full in (
        (CONNECTIONS, 1.0, False),
        (CONNECTIONS, 1.9, False),
        (CONNECTIONS + 1, 2.0, True),
        (CONNECTIONS - 1, 2.1, False),
        (CONNECTIONS, 2.2, False),
        (CONNECTIONS, 3.3, True),
    ):
        room.observe(count, now)
        check.assertEqual(room.is_full(now), full, now)
    for full, expected in ((False, "200 OK"), (True, "503 Service Unavailable")):
        is_full = mock.Mock(return_value=full)
        readiness = _ingress.Readiness(mock.Mock(), threading.Event(), is_full)
        start_response = mock.Mock()
        readiness({}, start_response)
        check.assertEqual(start_response.call_args.args[0], expected)
