"""Planned stop of the HTTP server: real sockets, a small application."""

import contextlib
import http.client
import math
import random
import select
import socket
import threading
import time

from standins import loopback
from tests import fixtures, httpd_fixtures
from turmericward import runtime

check = fixtures.check
LAG_S = httpd_fixtures.LAG_S
CALLERS = 60


def test_each_phase_of_a_stop_is_logged_with_what_is_open():
    with (
        check.assertLogs("absl", "INFO") as logs,
        httpd_fixtures.running() as server,
        server.connect_idle(),
        server.connect() as conn,
    ):
        conn.sendall(httpd_fixtures.head("/wait"))
        check.assertTrue(server.app.started.acquire(timeout=5))
        server.begin()
        time.sleep(LAG_S * 3)
        server.app.gate.set()
        check.assertEqual(httpd_fixtures.read(conn)[0], 200)
    records = {r.phase: r for r in logs.records if r.msg == "stop_phase"}
    check.assertEqual(records["leaving"].connections, 2)
    check.assertEqual(records["leaving"].idle, 1)
    check.assertEqual(records["leaving"].requests, 1)
    check.assertGreaterEqual(records["finishing"].elapsed_s, LAG_S)
    (ended,) = [r for r in logs.records if r.msg == "stop_ended"]
    check.assertEqual(ended.how, "complete")


def test_idle_connection_is_answered_until_the_lag_is_over_and_then_closed():
    with (
        httpd_fixtures.running() as server,
        server.connect_idle() as used,
        server.connect_idle() as unused,
        server.connect() as busy,
    ):
        busy.sendall(httpd_fixtures.head("/wait"))
        check.assertTrue(server.app.started.acquire(timeout=5))
        server.drain.lag_s = 2.0
        server.begin()
        time.sleep(0.3)
        status, headers, _ = httpd_fixtures.call(used, "/late")
        check.assertEqual((status, headers["Connection"]), (200, "close"))
        check.assertEqual(used.recv(1), b"")
        check.assertLess(server.drain.elapsed_s, server.drain.lag_s)
        check.assertEqual(unused.recv(1), b"")
        check.assertGreaterEqual(server.drain.elapsed_s, server.drain.lag_s)
        # Another connection still has a request.
        server.app.gate.set()
        check.assertEqual(httpd_fixtures.read(busy)[0], 200)
        for conn in (used, unused, busy):
            conn.close()
        check.assertTrue(server.is_over(2))


def test_new_connection_is_answered_after_the_lag():
    with httpd_fixtures.running() as server, server.connect() as busy:
        busy.sendall(httpd_fixtures.head("/wait"))
        check.assertTrue(server.app.started.acquire(timeout=5))
        server.begin()
        time.sleep(LAG_S + 0.3)
        with server.connect() as conn:
            status, headers, _ = httpd_fixtures.call(conn, "/new")
        check.assertEqual((status, headers["Connection"]), (200, "close"))
        server.app.gate.set()
        check.assertEqual(httpd_fixtures.read(busy)[0], 200)


def test_log_of_an_unbounded_stop_is_json():
    with (
        check.assertLogs("absl", "INFO") as logs,
        httpd_fixtures.running(math.inf) as server,
    ):
        server.begin()
        check.assertTrue(server.is_over(5))
    records = [r for r in logs.records if r.msg in ("stop_phase", "stop_ended")]
    check.assertEqual([r.left_s for r in records], [None] * 4)


def test_stop_without_connections_is_over_after_the_lag():
    with httpd_fixtures.running() as server:
        server.begin()
        check.assertTrue(server.is_over(5))
        check.assertLess(server.drain.elapsed_s, httpd_fixtures.STOP_S / 2)


def test_request_that_never_ends_is_cut_at_the_end():
    with (
        check.assertLogs("absl", "INFO") as logs,
        httpd_fixtures.running(4.0) as server,
        server.connect() as conn,
    ):
        conn.sendall(httpd_fixtures.head("/wait"))
        check.assertTrue(server.app.started.acquire(timeout=5))
        server.begin()
        check.assertTrue(server.is_over(10))
        check.assertLess(server.drain.elapsed_s, 4.0)
        check.assertEqual(conn.recv(1), b"")
    (ended,) = [r for r in logs.records if r.msg == "stop_ended"]
    check.assertEqual((ended.how, ended.requests, ended.busy_workers), ("cut", 1, 1))


def test_the_log_did_not_name_the_requests_that_a_stop_cut():
    with (
        check.assertLogs("absl", "INFO") as logs,
        httpd_fixtures.running(4.0, id_header="X-Id") as server,
        server.connect() as running,
        server.connect(4096) as reading,
    ):
        for conn, path, name in ((running, "/wait", b"a"), (reading, "/large", b"b")):
            head = httpd_fixtures.head(path)
            conn.sendall(head.replace(b"Host: h", b"Host: h\r\nX-Id: " + name))
        check.assertTrue(server.app.started.acquire(timeout=5))
        check.assertTrue(reading.recv(100))
        server.begin()
        check.assertTrue(server.is_over(10))
    cut = {r.request_id: r for r in logs.records if r.msg == "response_cut"}
    states = {name: record.state for name, record in cut.items()}
    check.assertEqual(states, {"a": "running", "b": "flushing"})
    check.assertGreater(cut["b"].unsent_bytes, 0)


def test_requests_that_wait_for_a_worker_are_answered():
    with httpd_fixtures.running(2.0, threads=1) as server:
        with contextlib.ExitStack() as stack:
            conns = [stack.enter_context(server.connect()) for _ in range(5)]
            for conn in conns:
                conn.sendall(httpd_fixtures.head("/wait"))
            check.assertTrue(server.app.started.acquire(timeout=5))
            server.begin()
            # Calls end at the deadline.
            time.sleep(server.drain.deadline - runtime.now())
            server.app.gate.set()
            check.assertEqual([httpd_fixtures.read(c)[0] for c in conns], [200] * 5)
        check.assertTrue(server.is_over(1))


def test_incomplete_requests_are_refused_before_the_end():
    with (
        httpd_fixtures.running(2.0) as server,
        server.connect() as header,
        server.connect() as body,
    ):
        header.sendall(httpd_fixtures.head("/header")[:-2])
        body.sendall(httpd_fixtures.head("/body", 100) + b"x")
        server.begin()
        for conn in (header, body):
            status, headers, _ = httpd_fixtures.read(conn)
            check.assertEqual((status, headers["Connection"]), (408, "close"))
            check.assertEqual(conn.recv(1), b"")
        check.assertGreaterEqual(runtime.now(), server.drain.deadline)
        check.assertEqual(server.app.paths, [])


def test_request_after_the_close_of_an_idle_connection_is_not_run():
    with httpd_fixtures.running(2.0) as server, server.connect_idle() as conn:
        server.begin()
        check.assertEqual(conn.recv(1), b"")
        check.assertGreaterEqual(server.drain.elapsed_s, LAG_S)
        conn.sendall(httpd_fixtures.head("/late"))
        check.assertTrue(server.is_over(5))
        check.assertEqual(server.app.paths, ["/first"])


def test_accept_queue_is_emptied_before_the_listener_closes():
    with (
        httpd_fixtures.running(2.0, connections=8) as server,
        contextlib.ExitStack() as stack,
    ):
        conns = [stack.enter_context(server.connect()) for _ in range(20)]
        for number, conn in enumerate(conns):
            conn.sendall(httpd_fixtures.head(f"/{number}")[: 5 if number < 8 else None])
        time.sleep(0.3)
        check.assertEqual(server.app.paths, [])
        server.begin()
        check.assertEqual([httpd_fixtures.read(c)[0] for c in conns[8:]], [200] * 12)
        check.assertEqual([httpd_fixtures.read(c)[0] for c in conns[:8]], [408] * 8)


def test_slow_reader_gets_a_whole_response_during_the_stop():
    with (
        httpd_fixtures.running() as server,
        server.connect(httpd_fixtures.SMALL_BYTES) as conn,
    ):
        conn.sendall(httpd_fixtures.head("/large"))
        conn.recv(1, socket.MSG_PEEK)
        server.begin()
        time.sleep(LAG_S + 0.5)
        check.assertFalse(server.is_over())
        _, _, body = httpd_fixtures.read(conn)
        check.assertEqual(len(body), len(server.app.large))
        conn.close()
        check.assertTrue(server.is_over(2))


def test_stop_waits_until_the_last_response_is_acknowledged():
    with (
        check.assertLogs("absl", "INFO") as logs,
        httpd_fixtures.running(5.0) as server,
        server.connect(httpd_fixtures.SMALL_BYTES) as conn,
    ):
        # Fits into the server's send buffer but not into the client's.
        server.app.large = b"x" * 500_000
        conn.sendall(httpd_fixtures.last_head("/large"))
        conn.recv(1, socket.MSG_PEEK)
        server.begin()
        check.assertTrue(server.is_over(10))
        check.assertGreater(server.drain.elapsed_s, 4.0)
    (ended,) = [r for r in logs.records if r.msg == "stop_ended"]
    check.assertEqual((ended.how, ended.unsent), ("cut", 1))


def test_pipelined_requests_that_were_read_are_answered():
    with httpd_fixtures.running() as server, server.connect() as conn:
        conn.sendall(httpd_fixtures.head("/wait") + httpd_fixtures.head("/second"))
        check.assertTrue(server.app.started.acquire(timeout=5))
        server.begin()
        server.app.gate.set()
        reader = conn.makefile("rb")
        data = reader.read()
        check.assertEqual(data.count(b"HTTP/1.1 200"), 2)
        check.assertEqual(data.count(b"Connection: close"), 1)


def test_response_to_an_old_client_announces_the_close():
    with httpd_fixtures.running() as server, server.connect() as conn:
        server.begin()
        conn.sendall(b"GET /old HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
        data = conn.makefile("rb").read().lower()
        check.assertIn(b"connection: close", data)
        check.assertNotIn(b"connection: keep-alive", data)


def test_process_that_was_paused_beyond_the_end_ends_at_once():
    with (
        httpd_fixtures.running() as server,
        server.connect() as conn,
        server.connect_idle() as idle,
    ):
        conn.sendall(httpd_fixtures.head("/wait"))
        check.assertTrue(server.app.started.acquire(timeout=5))
        server.begin()
        time.sleep(0.5)
        # The same to the server as a pause: the end has passed.
        server.drain.set_length(0.5)
        idle.sendall(httpd_fixtures.head("/late"))
        check.assertTrue(server.is_over(2))
        check.assertNotIn("/late", server.app.paths)


def test_stop_may_begin_before_the_server_runs():
    with httpd_fixtures.running(begun=True) as server:
        check.assertTrue(server.is_over(5))


def test_probe_is_served_until_the_stop_is_over():
    (port,) = loopback.free_ports(1)
    address = ("127.0.0.1", port)
    probe = (httpd_fixtures.App(), address)
    with (
        httpd_fixtures.running(probes=[probe]) as server,
        server.connect_idle() as idle,
    ):
        server.begin()
        time.sleep(LAG_S + 0.3)
        for _ in range(2):
            with socket.create_connection(address, 5) as conn:
                check.assertEqual(httpd_fixtures.call(conn, "/ready")[0], 200)
        idle.close()
        check.assertTrue(server.is_over(2))
        with check.assertRaises(ConnectionRefusedError):
            socket.create_connection(address, 5)


class _Caller(threading.Thread):
    """Sends requests on kept and on new connections until none is accepted."""

    def __init__(self, server, seed: int) -> None:
        super().__init__(daemon=True)
        self._server = server
        self._random = random.Random(seed)
        self.answered = 0
        self.lost: list[str] = []

    def run(self) -> None:
        with contextlib.suppress(ConnectionRefusedError):
            while True:
                with self._server.connect() as conn:
                    while self._call(conn):
                        time.sleep(self._random.uniform(0, 0.4))

    def _call(self, conn: socket.socket) -> bool:
        # As connection pools do, doesn't use a connection that is known to be closed.
        if select.select([conn], [], [], 0)[0]:
            return False
        elapsed_s = self._server.drain.elapsed_s
        try:
            status, headers, _ = httpd_fixtures.call(conn, "/x", b"x" * 100)
        except (OSError, http.client.HTTPException) as exc:
            self.lost.append(f"{elapsed_s:.3f} s {exc!r}")
            return False
        check.assertEqual(status, 200)
        self.answered += 1
        return headers.get("Connection") != "close"


def test_callers_on_many_connections_lose_nothing():
    with httpd_fixtures.running(3.0) as server:
        callers = [_Caller(server, seed) for seed in range(CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(0.5)
        server.begin()
        check.assertTrue(server.is_over(10))
        for caller in callers:
            caller.join(5)
        check.assertEqual([lost for c in callers for lost in c.lost], [])
        check.assertGreater(sum(c.answered for c in callers), CALLERS)


def test_failing_event_loop_ends_the_server():
    with httpd_fixtures.running() as server:
        check.assertEqual(server.errors, [])
        server.server._stopper.step = _fail
        server.server._server.pull_trigger()
        check.assertTrue(server.is_over(5))
        check.assertEqual([str(e) for e in server.errors], ["step"])


def _fail() -> None:
    raise ValueError("step")


def test_response_that_begins_after_the_signal_announces_the_close():
    with httpd_fixtures.running() as server, server.connect() as conn:
        conn.sendall(httpd_fixtures.head("/wait"))
        check.assertTrue(server.app.started.acquire(timeout=5))
        # The event loop hasn't noticed yet.
        server.drain.begin()
        server.app.gate.set()
        _, headers, _ = httpd_fixtures.read(conn)
        check.assertEqual(headers.get("Connection"), "close")
