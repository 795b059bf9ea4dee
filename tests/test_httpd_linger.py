"""Lingering close: the client reads the last response, whatever it still sends."""

import contextlib
import socket
import threading
import time
from unittest import mock

from standins import launch
from tests import fixtures, httpd_fixtures
from turmericward import runtime
from turmericward.httpd import _linger, _room

check = fixtures.check
TOO_LARGE = httpd_fixtures.MAX_BODY_BYTES * 100


def _read_all(conn: socket.socket) -> bytes:
    parts = []
    while data := conn.recv(65536):
        parts.append(data)
    return b"".join(parts)


def test_refused_body_is_read_on_so_that_the_client_gets_the_response():
    with httpd_fixtures.running() as server, server.connect() as conn:
        status, _, _ = httpd_fixtures.call(conn, "/x", b"x" * TOO_LARGE)
        check.assertEqual(status, 413)
        check.assertEqual(conn.recv(1), b"")
        check.assertEqual(server.app.paths, [])


def test_bytes_after_the_last_request_do_not_destroy_its_response():
    with (
        httpd_fixtures.running() as server,
        server.connect(httpd_fixtures.SMALL_BYTES) as conn,
    ):
        conn.sendall(httpd_fixtures.last_head("/large"))
        conn.recv(1, socket.MSG_PEEK)
        for _ in range(3):
            # The server may read the first of them while the response is made.
            conn.sendall(httpd_fixtures.head("/next"))
            time.sleep(0.1)
        data = _read_all(conn)
        check.assertTrue(data.endswith(server.app.large))
        check.assertNotIn("/next", server.app.paths)


def test_connection_with_unread_bytes_is_not_closed_as_idle():
    with httpd_fixtures.running() as server:
        near, far = socket.socketpair()
        with far:
            channel = server.new_channel(near)
            far.sendall(httpd_fixtures.head("/late")[:9])
            check.assertFalse(channel.close_idle())
            check.assertTrue(channel.connected)
            near.recv(9)
            check.assertTrue(channel.close_idle())
            check.assertEqual(far.recv(1), b"")


class _Pair:
    """A lingering socket and the client's socket."""

    def __init__(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        self.client = socket.create_connection(listener.getsockname(), 5)
        self.near, _ = listener.accept()
        listener.close()
        self.map: dict = {}
        self.registry: set = set()

    def close(self) -> None:
        _linger.close(self.near, self.map, self.registry)


def test_socket_is_closed_when_the_client_closes():
    pair = _Pair()
    pair.close()
    check.assertEqual(pair.client.recv(1), b"")
    (lingering,) = pair.registry
    pair.client.sendall(b"late")
    pair.client.close()
    lingering.handle_read()
    check.assertEqual(len(pair.registry), 1)
    lingering.handle_read()
    check.assertEqual((pair.registry, pair.map), (set(), {}))


def test_socket_is_closed_at_once_after_the_client():
    pair = _Pair()
    pair.client.close()
    pair.close()
    check.assertEqual((pair.registry, pair.map), (set(), {}))


def test_socket_without_progress_is_closed_after_a_while():
    pair = _Pair()
    pair.close()
    (lingering,) = pair.registry
    launch.wait_until(lambda: not lingering.unacknowledged, what="end acknowledged")
    now = runtime.now()
    # The first look may find the acknowledgement, which is progress.
    lingering.close_expired(now)
    lingering.close_expired(now + _linger.LINGER_S - 0.1)
    check.assertEqual(len(pair.registry), 1)
    lingering.close_expired(now + _linger.LINGER_S + 0.1)
    check.assertEqual(pair.registry, set())
    pair.client.close()


def test_stalled_reader_does_not_keep_its_socket():
    pair = _Pair()
    pair.near.setblocking(False)
    pair.near.send(b"x" * 10_000_000)
    pair.close()
    (lingering,) = pair.registry
    lingering.close_expired(runtime.now() + _linger.STALLED_S + 1)
    check.assertEqual(pair.registry, set())
    pair.client.close()


def test_client_that_sends_without_end_does_not_keep_its_socket():
    pair = _Pair()
    clock = [0.0]
    with mock.patch.object(runtime, "now", lambda: clock[0]):
        pair.close()
        (lingering,) = pair.registry
        while pair.registry:
            clock[0] += 1.0
            pair.client.sendall(b"x")
            lingering.handle_read()
            lingering.close_expired(clock[0])
    check.assertLess(clock[0], _linger.MAX_LINGER_S + _linger.LINGER_S + 2)
    pair.client.close()


CONNECTIONS = 32
CROWD = 3 * CONNECTIONS


@contextlib.contextmanager
def _refused_crowd(server):
    """Clients whose bodies are refused, and who send on until the end."""
    over = threading.Event()
    with contextlib.ExitStack() as stack:
        stack.callback(over.set)
        conns = []
        for _ in range(CROWD):
            conn = stack.enter_context(server.connect())
            conn.sendall(httpd_fixtures.head("/crowd", TOO_LARGE) + b"x")
            conn.setblocking(False)
            conns.append(conn)

        def send_on() -> None:
            while not over.wait(0.1):
                for conn in conns:
                    with contextlib.suppress(OSError):
                        conn.send(b"x")

        threading.Thread(target=send_on, daemon=True).start()
        yield conns


def test_refused_clients_that_send_on_held_all_connections():
    """Guards against lingering closes for which nobody else is accepted."""
    with (
        httpd_fixtures.running(connections=CONNECTIONS) as server,
        _refused_crowd(server),
    ):
        for number in range(5):
            with server.connect() as conn:
                conn.settimeout(1.0)
                check.assertEqual(httpd_fixtures.call(conn, f"/{number}")[0], 200)


def test_a_probe_was_not_answered_while_all_connections_were_held():
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        address = free.getsockname()
    probe = httpd_fixtures.App()
    with (
        httpd_fixtures.running(
            connections=CONNECTIONS, probes=[(probe, address)]
        ) as server,
        contextlib.ExitStack() as stack,
    ):
        for _ in range(CROWD):
            stack.enter_context(server.connect())
        time.sleep(0.2)
        for _ in range(3):
            with socket.create_connection(address, 1.0) as conn:
                check.assertEqual(httpd_fixtures.call(conn, "/ready")[0], 200)


def test_connections_that_nobody_needs_linger_on():
    with (
        httpd_fixtures.running(connections=3 * CROWD) as server,
        _refused_crowd(server) as conns,
    ):
        time.sleep(0.5)
        statuses = []
        for conn in conns:
            conn.setblocking(True)
            statuses.append(httpd_fixtures.read(conn)[0])
        check.assertEqual(statuses, [413] * CROWD)


def test_the_oldest_of_the_lingering_connections_are_closed_first():
    conns = [mock.Mock(started_at=n) for n in (5.0, 1.0, 3.0, 4.0, 2.0)]
    room = _room.Room(64)
    check.assertEqual([room.missing(n) for n in (0, 62, 63, 64, 66)], [0, 0, 3, 4, 6])
    _room.close_oldest(conns, 3)
    check.assertEqual([conn.close.call_count for conn in conns], [0, 1, 1, 0, 1])


def test_slow_reader_keeps_its_socket_while_it_makes_progress():
    pair = _Pair()
    pair.near.setblocking(False)
    sent = pair.near.send(b"x" * 10_000_000)
    pair.close()
    (lingering,) = pair.registry
    now = runtime.now()
    check.assertTrue(lingering.unacknowledged)
    lingering.close_expired(now + _linger.STALLED_S - 1)
    check.assertEqual(len(pair.registry), 1)
    got = len(pair.client.recv(sent // 2, socket.MSG_WAITALL))
    lingering.close_expired(now + _linger.STALLED_S + 1)
    check.assertEqual(len(pair.registry), 1)
    got += len(_read_all(pair.client))
    check.assertEqual(got, sent)
    pair.client.close()


def _is_reset(conn: socket.socket) -> bool:
    try:
        _read_all(conn)
    except ConnectionResetError:
        return True
    return False


def test_broken_response_without_length_does_not_look_complete():
    # A client of HTTP/1.0 knows the end of such a response by the close alone.
    with httpd_fixtures.running() as server, server.connect() as conn:
        conn.sendall(b"GET /broken HTTP/1.0\r\n\r\n")
        check.assertTrue(_is_reset(conn))
        with server.connect() as conn:
            conn.sendall(b"GET /parts HTTP/1.0\r\n\r\n")
            check.assertTrue(_read_all(conn).endswith(b"part" * 2))


def test_response_without_length_that_is_cut_does_not_look_complete():
    with (
        httpd_fixtures.running(2.0) as server,
        server.connect(httpd_fixtures.SMALL_BYTES) as conn,
    ):
        conn.sendall(b"GET /large-parts HTTP/1.0\r\n\r\n")
        conn.recv(1, socket.MSG_PEEK)
        server.begin()
        check.assertTrue(server.is_over(5))
        check.assertTrue(_is_reset(conn))
