"""Every reader of responses against every way in which one can be framed or broken."""

import contextlib
import socket
import threading
import time

import attrs

from tests import fixtures, test_dispatch
from turmericward import authority, fleet, positions, routing
from turmericward.adapters import engine, engine_control, errors, log, service
from turmericward.platform import (
    _cache_listing,
    _notices,
    _orders,
    _store,
    _transport,
)

check = fixtures.check
CALL_ID = "c1"
ID_HEADERS = {"Turmericward-Attempt-Id": CALL_ID, "Turmericward-Server-Stamp": "s"}
FOREIGN_ID = {"Turmericward-Attempt-Id": "c0"}


class _Server:
    """Answers the requests of each connection with the next of its responses.

    It closes a connection after its last response, by a reset if that ends so.
    """

    def __init__(self, *connections: "tuple[bytes, ...]", reset: bool = False) -> None:
        self._connections = connections
        self._reset = reset

    def __enter__(self) -> str:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def __exit__(self, *_) -> None:
        self._listener.close()

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            for responses in self._connections:
                conn, _ = self._listener.accept()
                with conn:
                    self._answer(conn, responses)

    def _answer(self, conn, responses) -> None:
        for response in responses:
            _read_request(conn)
            conn.sendall(response)
        if self._reset:
            time.sleep(0.05)
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def _read_request(conn) -> None:
    data = b""
    while b"\r\n\r\n" not in data:
        received = conn.recv(65536)
        if not received:
            raise ConnectionError("closed by the client")
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    while len(body) < length:
        body += conn.recv(65536)


@attrs.frozen(kw_only=True)
class _Reader:
    """A reader of responses: the headers and body that it takes, and what it reads."""

    read: object
    body: bytes
    headers: dict[str, str] = attrs.field(factory=dict)
    foreign: dict[str, str] | None = None


def _target(address: str) -> fleet.Target:
    return attrs.evolve(test_dispatch._target("m1"), address=address)


def _notice_reader() -> _notices.NoticeReader:
    return _notices.NoticeReader(lambda message: None, frozenset)


def _call() -> routing.Call:
    return attrs.evolve(test_dispatch._call(2.0), id=CALL_ID)


def _read_call(address: str) -> bytes:
    transport = _transport.ReplicaTransport(_notice_reader())
    dispatch = routing.Dispatch(timeout_s=2.0, priority=1)
    answer = transport.send(_target(address), _call(), dispatch)
    if answer.outcome is routing.Outcome.NOT_RUN:
        raise errors.NotExecutedError(f"status {answer.status}")
    return answer.read()


def _read_prefill(address: str) -> str:
    transport = _transport.ReplicaTransport(_notice_reader())
    dispatch = routing.Dispatch(timeout_s=2.0, priority=1, prefill_only=True)
    handle = transport.prefill(_target(address), _call(), dispatch)
    return handle.removeprefix(address)


def _read_listing(address: str):
    lister = _cache_listing.ReplicaCacheLister(_notice_reader())
    return lister.cached_segments(_target(address))


def _read_report(address: str):
    orders = _orders.ReplicaOrders("front-1", _notice_reader())
    return orders.state(_target(address))


def _read_store(address: str):
    client = _store.StoreClient(address, 2.0, positions.Eras())
    with contextlib.closing(client):
        return client.newest("keyed.op")


def _read_service(address: str):
    req = service.Request(method="POST", path="/x", body=b"{}")
    return service.call(address, req, CALL_ID, 2.0)


def _read_completion(address: str):
    job = engine.Job(path="/x", body=b"{}", request_id=CALL_ID)
    return engine.EngineClient(address).complete(job, 2.0)


def _read_load(address: str):
    control = engine_control.EngineControl(address, 2.0)
    try:
        return control.load()
    finally:
        control.close()


def _send_order(address: str):
    lease = authority.Authority(token=1, not_before=0.0, until=time.monotonic() + 60)
    control = engine_control.EngineControl(address, 2.0)
    return control.order("o", authority.Spec(role="decode"), lease)


def _append(address: str):
    client = log.LogClient(address, 2.0)
    try:
        return client.append("s", ["x"])
    finally:
        client.close()


PRODUCT_ID = {"X-Request-Id": CALL_ID}
REPORT = b'{"stage": "decode", "busy": false, "sequence": 1}'
READERS = {
    "call": _Reader(
        read=_read_call, body=b"hello", headers=ID_HEADERS, foreign=FOREIGN_ID
    ),
    "prefill": _Reader(
        read=_read_prefill,
        body=b'{"handle": "h"}',
        headers=ID_HEADERS,
        foreign=FOREIGN_ID,
    ),
    "listing": _Reader(read=_read_listing, body=b'{"held": [["", "aa", 5, "m"]]}'),
    "report": _Reader(read=_read_report, body=REPORT),
    "store": _Reader(read=_read_store, body=b'{"items": [], "more": false, "end": 0}'),
    "service": _Reader(
        read=_read_service,
        body=b"hello",
        headers=PRODUCT_ID,
        foreign={"X-Request-Id": "c0"},
    ),
    "completion": _Reader(
        read=_read_completion,
        body=b"{}",
        headers=PRODUCT_ID,
        foreign={"X-Request-Id": "c0"},
    ),
    "load": _Reader(
        read=_read_load, body=b'{"role": "decode", "running": 0, "queued": 0}'
    ),
    "order": _Reader(read=_send_order, body=b"{}"),
    "log": _Reader(read=_append, body=b'{"first": 0}'),
}


def _response(
    reader: _Reader, framing: dict[str, str], body: bytes, status: str = "200 OK"
) -> bytes:
    fields = reader.headers | framing
    lines = [f"HTTP/1.1 {status}", *(f"{n}: {v}" for n, v in fields.items())]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def _framed(reader: _Reader) -> bytes:
    return _response(reader, {"Content-Length": str(len(reader.body))}, reader.body)


def _chunked(reader: _Reader) -> bytes:
    body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(reader.body), reader.body)
    return _response(reader, {"Transfer-Encoding": "chunked"}, body)


def _unframed(reader: _Reader) -> bytes:
    return _response(reader, {}, reader.body)


def _odd_chunk(reader: _Reader, size: bytes) -> bytes:
    body = size + b"\r\n" + reader.body + b"\r\n0\r\n\r\n"
    return _response(reader, {"Transfer-Encoding": "chunked"}, body)


def _broken(reader: _Reader) -> dict[str, bytes]:
    """Returns responses that are no answer, by what is wrong with them."""
    framed, chunked, body = _framed(reader), _chunked(reader), reader.body
    head_end = framed.index(b"\r\n\r\n")
    size = len(reader.body)
    two_lengths = b"Content-Length: %d\r\nContent-Length: %d\r\n\r\n" % (size, size - 1)
    both = b"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n" % (size - 1)
    head = _unframed(reader).removesuffix(b"\r\n" + reader.body)
    status_line, _, _ = head.partition(b"\r\n")
    return {
        "nothing": b"",
        "status line cut": framed[:11],
        "head cut behind the status line": status_line + b"\r\n",
        "head cut in a field": framed[: head_end - 3],
        "head cut before its end": framed[: head_end + 2],
        "body cut": framed[:-1],
        "no body": framed[: head_end + 4],
        "chunk cut": chunked[: chunked.rindex(reader.body) + 1],
        "last chunk missing": chunked[: -len(b"0\r\n\r\n")],
        "trailer cut": chunked[:-2],
        "two lengths": head + two_lengths + reader.body,
        "length and chunks": head + both + chunked.partition(b"\r\n\r\n")[2],
        "malformed length": _response(reader, {"Content-Length": "5x"}, reader.body),
        "length without end": _response(reader, {"Content-Length": "9" * 5000}, body),
        "length beyond memory": _response(reader, {"Content-Length": "9" * 18}, body),
        "length beside a control byte": _response(
            reader, {"Content-Length": f"\x1c{size}"}, body
        ),
        "length split by a control byte": _response(
            reader, {"Content-Length": f"{size}\x1f{size}"}, body
        ),
        "line without a colon": status_line
        + b"\r\nX\r\n"
        + framed[len(status_line) + 2 :],
        "length in another script": _response(reader, {"Content-Length": "\xb2"}, body),
        "chunk beyond memory": _odd_chunk(reader, b"f" * 16),
        "chunk without end": _odd_chunk(reader, b"f" * 5000),
        "signed chunk": _odd_chunk(reader, b"+%x" % size),
        "negative chunk": _odd_chunk(reader, b"-1"),
        "chunk with underscore": _odd_chunk(reader, b"0_%x" % size),
        "chunk with prefix": _odd_chunk(reader, b"0x%x" % size),
        "negative length": _response(reader, {"Content-Length": "-1"}, reader.body),
        "unknown coding": _response(
            reader, {"Transfer-Encoding": "gzip, chunked"}, reader.body
        ),
        "text before the head": b"not run\r\n" + framed,
    }


def _outcome(reader: _Reader, response: bytes, *, reset: bool = False) -> object:
    """Returns what the reader reads, or the type of its error."""
    with _Server((response,), reset=reset) as address:
        try:
            return reader.read(address)
        except errors.AdapterError as exc:
            return type(exc)


def _is_error(outcome: object) -> bool:
    return isinstance(outcome, type)


def test_whole_responses_are_read_however_they_are_framed():
    for name, reader in READERS.items():
        framings = (_framed, _chunked, _unframed)
        outcomes = [_outcome(reader, framing(reader)) for framing in framings]
        check.assertFalse(_is_error(outcomes[0]), name)
        check.assertEqual(outcomes, outcomes[:1] * 3, name)


def test_broken_responses_are_never_read_as_whole():
    read = [
        f"{name}: {fault}"
        for name, reader in READERS.items()
        for fault, response in _broken(reader).items()
        if not _is_error(_outcome(reader, response))
    ]
    check.assertEqual(read, [])


def test_an_unframed_response_that_is_reset_is_not_whole():
    for name, reader in READERS.items():
        outcome = _outcome(reader, _unframed(reader), reset=True)
        check.assertTrue(_is_error(outcome), name)


class _EndingServer(_Server):
    """Ends with its response, as a process that is killed: its listener too."""

    def _answer(self, conn, responses) -> None:
        super()._answer(conn, responses)
        # Also ends the accepting of connections that wait.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


def test_an_unframed_response_of_a_killed_process_looked_whole_to_an_entry():
    """Guards against the end of a process that is taken for the end of its answer."""
    for name in ("service", "completion"):
        reader = READERS[name]
        with (
            _EndingServer((_unframed(reader),)) as address,
            check.assertRaises(errors.ConnectionLostError, msg=name),
        ):
            reader.read(address)


def test_responses_to_other_requests_are_not_believed_whatever_they_say():
    refusal = {"Turmericward-Not-Executed": "1", "Content-Length": "0"}
    believed = []
    for name, reader in READERS.items():
        if reader.foreign is None:
            continue
        foreign = attrs.evolve(reader, headers=reader.headers | reader.foreign)
        responses = [_framed(foreign)] + [
            _response(foreign, refusal, b"", status)
            for status in ("503 Busy", "421 Misdirected", "429 Busy")
        ]
        for response in responses:
            if _outcome(foreign, response) is not errors.ForeignAnswerError:
                believed.append((name, response[:20]))
    check.assertEqual(believed, [])


def test_a_second_copy_of_a_response_does_not_answer_the_next_request():
    first = b'{"role": "decode", "running": 1, "queued": 0}'
    second = b'{"role": "decode", "running": 2, "queued": 0}'
    reader = READERS["load"]
    doubled = _framed(attrs.evolve(reader, body=first)) * 2
    fresh = _framed(attrs.evolve(reader, body=second))
    for connections in (
        ((doubled, fresh), (fresh,)),
        ((doubled,), (fresh,)),
    ):
        with _Server(*connections) as address:
            control = engine_control.EngineControl(address, 2.0)
            check.assertEqual(control.load().running, 1)
            time.sleep(0.05)
            check.assertEqual(control.load().running, 2)
            control.close()
