"""Adapters against stand-in servers, including injected faults."""

import contextlib
import socket
import threading
import time

from standins import _http, engine, instances, launch, log, loopback
from tests import fixtures
from turmericward import authority, runtime, schema
from turmericward.adapters import _guard, errors, service
from turmericward.adapters import engine_control as engine_adapter
from turmericward.adapters import instances as instances_adapter
from turmericward.adapters import log as log_adapter

check = fixtures.check
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@contextlib.contextmanager
def serve_app(app):
    """Serves a stand-in on a background thread; yields its address."""
    address = f"127.0.0.1:{loopback.free_ports(1)[0]}"
    server = _http.Server(address, app)
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    try:
        yield address
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


@contextlib.contextmanager
def raw_server(answer: bytes, *, read: bool = True):
    """Accepts one connection, sends `answer` and closes; yields its address."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve() -> None:
            conn, _ = listener.accept()
            with conn:
                # Unread bytes would turn the close into a reset.
                data = b""
                while read and not data.endswith(b"\r\n\r\n{}"):
                    data += conn.recv(65536)
                conn.sendall(answer)

        thread = threading.Thread(target=serve)
        thread.start()
        yield f"127.0.0.1:{listener.getsockname()[1]}"
        thread.join()


def test_log_appends_in_order_and_reads_from_an_offset():
    with serve_app(log.Log()) as address:
        client = log_adapter.LogClient(address, 2.0)
        check.assertEqual(client.append("s", ["a", "b"]), 0)
        check.assertEqual(client.append("s", ["c"]), 2)
        page = client.read("s", 1)
        check.assertEqual([r.value for r in page.records], ["b", "c"])
        check.assertEqual((page.next_offset, page.first), (3, 0))
        check.assertEqual(client.read("s", 3, 0.05).records, [])
        client.close()


def test_log_faults_raise_adapter_errors():
    cases = [
        ({"outage": True}, "append", errors.LogUnavailableError, 0),
        ({"outage": True}, "read", errors.LogUnavailableError, 0),
        ({"refuse": 1}, "append", errors.LogUnavailableError, 0),
        ({"lose_answers": 1}, "append", errors.LogUnavailableError, 1),
        ({"delay_s": 0.5}, "append", errors.LogUnavailableError, 1),
    ]
    for faults, call, expected, records in cases:
        with serve_app(log.Log()) as address:
            client = log_adapter.LogClient(address, 0.2)
            launch.request(address, "POST", "/_faults", faults)
            with check.assertRaises(expected):
                client.append("s", ["x"]) if call == "append" else client.read("s", 0)
            no_faults = {"outage": False, "delay_s": 0}
            launch.request(address, "POST", "/_faults", no_faults)
            time.sleep(0.5 if "delay_s" in faults else 0)
            check.assertEqual(len(client.read("s", 0).records), records, faults)
            client.close()


class _ClosingLog(log.Log):
    """Closes the connection of its second request, unanswered, as it is received."""

    def __init__(self) -> None:
        super().__init__()
        self.methods = []

    def handle_request(self, req) -> None:
        self.methods.append(req.command)
        if len(self.methods) == 2:
            req.close_connection = True
            req.connection.shutdown(socket.SHUT_RDWR)
            return
        super().handle_request(req)


def test_a_read_on_a_kept_connection_that_is_being_closed_is_repeated():
    app = _ClosingLog()
    with serve_app(app) as address:
        client = log_adapter.LogClient(address, 2.0)
        client.append("s", ["a"])
        page = client.read("s", 0)
        check.assertEqual([r.value for r in page.records], ["a"])
    check.assertEqual(app.methods, ["POST", "GET", "GET"])


def test_an_append_on_a_kept_connection_that_is_being_closed_is_not_repeated():
    app = _ClosingLog()
    with serve_app(app) as address:
        client = log_adapter.LogClient(address, 2.0)
        client.read("s", 0)
        with check.assertRaises(errors.LogUnavailableError):
            client.append("s", ["a"])
    check.assertEqual(app.methods, ["GET", "POST"])


def test_log_read_of_an_expired_offset_raises():
    with serve_app(log.Log()) as address:
        launch.request(address, "POST", "/_faults", {"retain": 2})
        client = log_adapter.LogClient(address, 2.0)
        client.append("s", [1, 2, 3, 4, 5])
        with check.assertRaises(errors.OffsetExpiredError) as caught:
            client.read("s", 1)
        check.assertEqual(caught.exception.first, 3)
        client.close()


def test_a_record_beyond_the_limits_does_not_hide_the_others_of_its_page():
    with serve_app(log.Log()) as address:
        client = log_adapter.LogClient(address, 2.0)
        client.append("s", [{"n": 1}])
        nested = []
        for _ in range(schema.MAX_DEPTH):
            nested = [nested]
        for value in (nested, 2**63, {"n": 2}, float("inf")):
            client.append("s", [value])
        page = client.read("s", 0)
        values = [record.value for record in page.records]
        check.assertEqual(values, [{"n": 1}, None, None, {"n": 2}, None])
        check.assertEqual([r.offset for r in page.records], list(range(5)))
        check.assertEqual(page.next_offset, 5)
        client.close()


def test_odd_rows_of_the_instance_list_do_not_hide_the_others():
    good = {"kind": "entry", "name": "a1", "domain": "a", "leaving": False}
    good |= {"address": "127.0.0.1"}
    target = good | {"kind": "target", "name": "e1", "address": "127.0.0.1:5"}
    odd = [
        good | {"address": "a..b"},
        good | {"address": "::1%" + "a" * 300},
        good | {"name": 5},
        good | {"leaving": "no"},
        {},
    ]
    with serve_app(instances.InstanceList()) as address:
        body = {"instances": [*odd, good | {"later": 1}, target]}
        launch.request(address, "POST", "/instances", body)
        client = instances_adapter.InstanceListClient(address, 2.0)
        names = [row.name for row in client.read()]
        client.close()
    check.assertEqual(names, ["a1", "e1"])


def test_service_errors_distinguish_not_sent_from_response_lost():
    req = service.Request(method="POST", path="/x", body=b"{}")
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
    cases = [
        ("closed at once", b"", errors.AnswerLostError),
        ("half a head", b"HTTP/1.1 200 OK\r\nCont", errors.AnswerLostError),
        ("head cut behind its length", head, errors.AnswerLostError),
        ("empty and cut", head.replace(b"5", b"0"), errors.AnswerLostError),
        ("cut without length", b"HTTP/1.1 200 OK\r\n", errors.AnswerLostError),
        ("half a chunk", CHUNKED + b"5\r\nab", errors.AnswerLostError),
        ("no last chunk", CHUNKED + b"2\r\nab\r\n", errors.AnswerLostError),
        ("half a body", head + b"\r\nab", errors.AnswerLostError),
        ("no HTTP", b"hello", errors.AnswerLostError),
        ("foreign", head + b"X-Request-Id: z\r\n\r\nabcde", errors.ForeignAnswerError),
    ]
    for name, answer, expected in cases:
        with raw_server(answer) as address, check.assertRaises(expected, msg=name):
            service.call(address, req, "mine", 1.0)
    unused_address = f"127.0.0.1:{loopback.free_ports(1)[0]}"
    with check.assertRaises(errors.NotSentError):
        service.call(unused_address, req, "mine", 1.0)
    invalid = service.Request(method="POST", path="/x", headers=(("A", "b\r\nc"),))
    with (
        raw_server(b"", read=False) as address,
        check.assertRaises(errors.NotSentError),
    ):
        service.call(address, invalid, "mine", 1.0)


def idle_engine(fencing: bool) -> engine.Engine:
    return engine.Engine(
        token_s=0.001, change_s=0.0, lag_s=0.0, fencing=fencing, slots=4, clock=False
    )


def _order(address: str, token: int, until: float, clock=time.monotonic) -> bool:
    lease_authority = authority.Authority(token=token, not_before=0.0, until=until)
    control = engine_adapter.EngineControl(address, 0.5)
    return control.order("o", authority.Spec(role="decode"), lease_authority, clock)


def test_order_is_not_applied_if_the_term_ends_during_send():
    app = idle_engine(fencing=False)
    with serve_app(app) as address:
        now = time.monotonic()
        check.assertTrue(_order(address, 1, now + 60))
        # Clock of a lease holder that is paused before it sends the last byte.
        clock_readings = iter([now + 59.0, now + 61.0])
        with check.assertRaises(errors.AuthorityLapsedError):
            _order(address, 1, now + 60, lambda: next(clock_readings))
        with check.assertRaises(errors.AuthorityLapsedError):
            _order(address, 1, now + 0.4)
        time.sleep(0.1)
        check.assertEqual(len(app._orders), 1)


def test_fencing_engine_rejects_an_older_token():
    with serve_app(idle_engine(fencing=True)) as address:
        until = time.monotonic() + 60
        check.assertTrue(_order(address, 5, until))
        check.assertFalse(_order(address, 4, until))
        check.assertTrue(_order(address, 5, until))


def test_bytes_that_come_all_the_time_do_not_keep_a_call_from_ending():
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.sendall(b"x" * 1000)
        guard = _guard.Guard(runtime.now() + 60.0, lambda: True)
        with check.assertRaises(errors.CancelledError):
            for _ in range(100):
                guard.wait(ours)
                ours.recv(1)
