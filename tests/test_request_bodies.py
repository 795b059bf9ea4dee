"""Receivers of request bodies, unsent bytes, and connections that hold them."""

import contextlib
import random
import socket
import threading
import time
from collections.abc import Iterator

from tests import fixtures, httpd_fixtures
from turmericward import httpd, memory, runtime
from turmericward.adapters import _body_memory, _request
from turmericward.httpd import _outbuf, _receivers

check = fixtures.check
MB = 1024 * 1024
MAX_BYTES = 100_000
CHUNKED = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


def _feed(data: bytes, rng: random.Random) -> tuple[_receivers.ChunkedReceiver, int]:
    """Passes bytes in random pieces; returns the receiver and what it took."""
    receiver = _receivers.ChunkedReceiver(MAX_BYTES)
    taken = 0
    while taken < len(data) and not (receiver.completed or receiver.error):
        size = rng.choice((1, 2, 3, 7, 100, 20_000))
        taken += receiver.received(data[taken : taken + size])
    return receiver, taken


def test_chunked_bodies_are_decoded_however_they_are_cut():
    """Guards against framing that is lost between two reads."""
    rng = random.Random(1)
    for number in range(300):
        sizes = [rng.choice((1, 2, 15, 16, 3000)) for _ in range(rng.randrange(9))]
        parts = [rng.randbytes(size) for size in sizes]
        extension = rng.choice((b"", b";a", b' ; a="b"'))
        body = b"".join(b"%X%s\r\n%s\r\n" % (len(p), extension, p) for p in parts)
        trailers = rng.choice((b"", b"A: b\r\n", b"A: b\r\nC: d\r\n"))
        body += b"0\r\n" + trailers + b"\r\n"
        receiver, taken = _feed(body + b"GET /next", rng)
        check.assertTrue(receiver.completed, number)
        check.assertEqual(taken, len(body), number)
        check.assertEqual(receiver.getfile().read(), b"".join(parts), number)


def test_framing_that_is_malformed_or_too_long_is_refused():
    """Guards against framing that has no bound of its own."""
    for body, code in (
        (b"x\r\n", 400),
        (b"-1\r\n", 400),
        (b"0x1\r\n", 400),
        (b"\r\n", 400),
        (b"1\nx\r\n", 400),
        (b"1;a\x00\r\n", 400),
        (b"2\r\nabc\r\n", 400),
        (b"1" + b"0" * 17 + b"\r\n", 400),
        (b"1;" + b"a" * 3000, 400),
        (b"0\r\n" + b"A: b\r\n" * 4000, 400),
        ((b"1;" + b"a" * 1000 + b"\r\nx\r\n") * 100, 400),
        (b"%x\r\n" % MAX_BYTES, 413),
        ((b"4000\r\n" + b"x" * 0x4000 + b"\r\n") * 7, 413),
    ):
        receiver, taken = _feed(body, random.Random(2))
        check.assertEqual(receiver.error and receiver.error.code, code, body[:20])
        check.assertEqual(receiver.getfile().read(), b"")
        check.assertGreater(taken, 0)


def test_unsent_bytes_come_out_in_their_order():
    """Guards against bytes that are joined or cut wrongly."""
    rng = random.Random(3)
    outbuf, sent, expected = _outbuf.Outbuf(), b"", b""
    for _ in range(3000):
        if rng.random() < 0.5:
            data = rng.randbytes(rng.choice((1, 10, 4095, 4096, 9000)))
            outbuf.append(data)
            expected += data
        part = outbuf.get(rng.choice((1, 100, 5000)))
        if part:
            sent += bytes(part)
            outbuf.skip(len(part), True)
        check.assertEqual(len(outbuf), len(expected) - len(sent))
    check.assertTrue(expected.startswith(sent))
    check.assertGreater(len(sent), 1_000_000)


def test_a_single_request_at_the_limits_is_served():
    """Guards against limits that a legal request reaches in calm conditions."""
    size = 4 * MB
    limits = httpd.ClientLimits(
        max_header_bytes=16_384,
        max_body_bytes=size,
        header_timeout_s=30.0,
        idle_timeout_s=30.0,
    )
    # Less than the body.
    account = memory.Account(3 * MB)
    chunks = (b"1000\r\n" + b"x" * 4096 + b"\r\n") * (size // 4096) + b"0\r\n\r\n"
    field = b"X-Long: " + b"x" * 16_200 + b"\r\n"
    with httpd_fixtures.running(account=account) as server:
        server.server.set_client_limits(limits)
        for request in (
            httpd_fixtures.head("/x", size) + b"x" * size,
            CHUNKED + chunks,
            CHUNKED.replace(b"Host", field + b"Host") + chunks,
        ):
            with server.connect() as conn:
                conn.sendall(request)
                check.assertEqual(httpd_fixtures.read(conn)[2], b"/x %d" % size)
        _wait_until_free(account)


def _wait_until_free(account: memory.Account) -> None:
    until = time.monotonic() + 5
    while account.held and time.monotonic() < until:
        time.sleep(0.02)
    check.assertEqual((account.held, account.holdings()), (0, []))


def test_pipelined_requests_are_parsed_as_they_are_answered():
    """Guards against parsed requests, larger than their bytes, that fill the memory."""
    count = 200
    with httpd_fixtures.running(account=memory.Account(MB)) as server:
        with server.connect() as conn:
            heads = [httpd_fixtures.head(f"/p{n}") for n in range(count - 1)]
            last = httpd_fixtures.last_head(f"/p{count - 1}")
            conn.sendall(b"".join(heads) + last)
            received = b"".join(iter(lambda: conn.recv(65536), b""))
        check.assertEqual(server.app.paths, [f"/p{n}" for n in range(count)])
        check.assertEqual(received.count(b"HTTP/1.1 200 OK"), count)


def test_a_stalled_body_gives_way_to_one_that_waits_and_is_told_that_it_did_not_run():
    """Guards against holders that keep others out, and refusals of what ran."""
    account = memory.Account(200_000)
    with httpd_fixtures.running(account=account) as server:
        with server.connect() as stalled, server.connect() as waiting:
            stalled.sendall(httpd_fixtures.head("/stalled", 90_000) + b"x" * 89_990)
            other = server.connect()
            other.sendall(httpd_fixtures.head("/other", 80_000) + b"x" * 79_990)
            while account.held < 170_000:
                time.sleep(0.01)
            status = httpd_fixtures.call(waiting, "/next", b"x" * 90_000)[0]
            check.assertEqual(status, 200)
            status, headers, _ = httpd_fixtures.read(stalled)
            check.assertEqual((status, headers["Connection"]), (408, "close"))
            # Nothing waits any more, so this one may go on.
            other.sendall(b"x" * 10)
            check.assertEqual(httpd_fixtures.read(other)[0], 200)
            other.close()
        check.assertEqual(server.app.paths, ["/next", "/other"])
        _wait_until_free(account)


class _LargeAnswers:
    """An application whose answers are read from a target within the account."""

    def __init__(self, account: memory.Account) -> None:
        self._bodies = _body_memory.BodyMemory()
        self._bodies.account = account

    def __call__(self, environ, start_response):
        body = b"small"
        if environ["PATH_INFO"] == "/large":
            chunks = (b"x" * 65536 for _ in range(7 * MB // 65536))
            try:
                body = _request.join_body(chunks, memory=self._bodies)
            except Exception:
                start_response("502 Bad Gateway", [("Content-Length", "0")])
                return [b""]
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]


@contextlib.contextmanager
def _serving_large_answers(account: memory.Account) -> Iterator[tuple[str, int]]:
    """Runs a server with `_LargeAnswers`; gives its address."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = probe.getsockname()
    limits = httpd.Limits(threads=8, max_body_bytes=MB, account=account)
    app = _LargeAnswers(account)
    server = httpd.Server(app, address, limits, runtime.Drain(5.0))
    stop = threading.Event()
    thread = threading.Thread(target=server.run, args=(stop, lambda: None))
    thread.start()
    try:
        yield address
    finally:
        stop.set()
        thread.join(20)


def test_a_request_behind_a_long_unsent_response_is_answered():
    """Guards against a worker that fails while it waits between two responses."""
    with (
        _serving_large_answers(memory.Account(24 * MB)) as address,
        socket.create_connection(address, 5) as conn,
    ):
        conn.sendall(httpd_fixtures.head("/large") + httpd_fixtures.last_head("/x"))
        # Long enough for the worker to come to the second request.
        time.sleep(0.5)
        received = b"".join(iter(lambda: conn.recv(MB), b""))
    check.assertEqual(received.count(b"HTTP/1.1 200 OK"), 2)
    check.assertTrue(received.endswith(b"small"))


def test_a_request_behind_a_response_that_is_never_read_is_freed():
    """Guards against requests of closed connections that stay in the account."""
    account = memory.Account(24 * MB)
    with _serving_large_answers(account) as address:
        with socket.create_connection(address, 5) as conn:
            behind = httpd_fixtures.head("/x", 30_000) + b"x" * 30_000
            conn.sendall(httpd_fixtures.head("/large") + behind)
            time.sleep(0.5)
            check.assertGreater(account.held, 30_000)
        _wait_until_free(account)


def test_answers_that_clients_do_not_read_filled_the_memory():
    """Guards against unsent answers without a bound."""
    account = memory.Account(24 * MB)
    highest = 0
    conns = []
    with _serving_large_answers(account) as address:
        try:
            for _ in range(16):
                conn = socket.socket()
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                conn.connect(address)
                conn.sendall(httpd_fixtures.head("/large"))
                conns.append(conn)
            until = time.monotonic() + 6
            while time.monotonic() < until:
                highest = max(highest, account.held)
                time.sleep(0.01)
            with socket.create_connection(address, 5) as conn:
                check.assertEqual(httpd_fixtures.call(conn, "/x")[2], b"small")
        finally:
            for conn in conns:
                conn.close()
    # An answer is counted again while it passes from its reader to its connection.
    check.assertLess(highest, (24 + 7) * MB)
    check.assertGreater(highest, 12 * MB)
