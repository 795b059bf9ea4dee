"""Stand-in for a replica of the users' platform, with faults set by tests.

Streams have numbered events whose data depends on the call's id alone, so that
tests can check a stream resumed at another replica. `Replica.fault` names the fault
of the next calls, `calls` lists all received calls, and `cached_segments` holds
the prefix segments that the replica lists as cached, with their tokens.

A call's query may set its work: `work_ms` before a plain answer, `events`, `gap_ms`
between them and `prompt_ms` before them for a stream. With `slowdown_per_call`, streams
get slower the more of them are at work.
"""

import contextlib
import socket
import sys
import threading
import time
from collections.abc import Callable

import attrs

from standins import _http

EVENTS_PER_STREAM = 4
HANG_S = 30.0
SIGNATURE = "signed"
# Fault of answers without a length, of which a part is sent: after a silence the
# connection is reset.
LATE_RESET = "late reset"
NO_STATUS = "no status"
# Fault of plain answers without a length, which come in halves.
HALVES = "halves"
HALVES_PAUSE_S = 2.0
# Faults of replicas that do the work of a call and then answer with one of the statuses
# that say to clients that it hasn't run, without stating so themselves.
DISCLAIMERS = {"says 408": 408, "says 429": 429, "says 503": 503}
# Longer than a caller waits for the next event before it asks another replica.
SILENCE_S = 2.15
# What another replica takes until it breaks off a stream that goes on there.
RESUMED_S = 0.25


@attrs.frozen(kw_only=True)
class RoleOrder:
    """An accepted order; `at` is when it was received, in monotonic seconds."""

    holder: str
    token: int
    stage: str
    at: float = attrs.field(factory=time.monotonic)


@attrs.frozen(kw_only=True)
class ReceivedCall:
    """One call as received; `ran` is whether its execution began.

    `at` is when it was received, in monotonic seconds.
    """

    path: str
    call_id: str
    headers: dict[str, str]
    body: bytes
    ran: bool
    at: float = attrs.field(factory=time.monotonic)


@attrs.frozen(kw_only=True)
class Content:
    """What the same call has in common each time that it is sent."""

    path: str
    caller: str = ""
    body: bytes = b""


_OK = "HTTP/1.1 200 OK\r\nSIGNED"
_CHUNKED = _OK + "Transfer-Encoding: chunked\r\n\r\n"
_KB = b"x" * 1024
MAX_ENDLESS_WRITES = 200_000
# Endless part of a response: the bytes before it, and those repeated without end.
ENDLESS = {
    "status line": ("HTTP/1.1 200 ", _KB),
    "header line": ("HTTP/1.1 200 OK\r\nX: ", _KB),
    "headers": ("HTTP/1.1 200 OK\r\n", b"X-Y: " + _KB + b"\r\n"),
    "interim answers": ("", b"HTTP/1.1 100 Continue\r\nX: " + _KB + b"\r\n\r\n"),
    "body": (_OK + "\r\n", _KB),
    "chunks": (_CHUNKED, b"400\r\n" + _KB + b"\r\n"),
    "chunk size": (_CHUNKED, b"0" * 1024),
    "chunk extension": (_CHUNKED + "5;", _KB),
    "trailer": (_CHUNKED + "0\r\n", b"X: " + _KB + b"\r\n"),
}
_STREAM = _OK + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
# The same for streams, whose first event comes first.
ENDLESS_STREAMS = {
    "noise": b"x" * 500 + b"\n\n" + b"y" * 500,
    "empty lines": b"\n" * 1024,
    "comments": b": still here\n\n" * 64,
    "events without id": b"data: x\n\n" * 64,
    "old ids": b"id: 1\ndata: x\n\n" * 64,
}


def shared_segments(headers) -> frozenset[str]:
    """Returns the ids of the prompt segments that a call shares with others."""
    prefix = headers.get("Turmericward-Prompt-Prefix", "")
    return frozenset(part.partition(":")[0] for part in prefix.split(",")[:-1])


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(call_id: str, number: int) -> bytes:
    """Returns one event of a stream."""
    return f"id: {number}\ndata: {call_id}-{number}\n\n".encode()


def _is_stream(req: _http.Handler) -> bool:
    return "Turmericward-Prompt-Prefix" in req.headers


def _has_prompt(req: _http.Handler) -> bool:
    """Returns whether another engine has read the prompt."""
    return "Turmericward-Kv-Source" in req.headers


class Replica:
    """Simulates one replica; `name` is its instance id."""

    def __init__(self, name: str) -> None:
        """Starts without faults, calls and cached segments."""
        self.name = name
        self.fault = ""
        self.event_interval_s = 0.0
        # By how much of its time each other stream at work slows a stream down.
        self.slowdown_per_call = 0.0
        self._at_work = 0
        self._lock = threading.Lock()
        # Set if the caller reads far more than any response holds without closing.
        self.unbounded_read = False
        self.cached_segments: dict[str, int] = {}
        # Stage of an engine that takes role orders, empty for any other replica.
        self.stage = ""
        self.orders: list[RoleOrder] = []
        self.stage_changed: Callable[[], None] = lambda: None
        # Extra headers of every response.
        self.headers: tuple[tuple[str, str], ...] = ()
        # Prompt segments on which the replica crashes instead of writing an answer.
        self.deadly_segments: frozenset[str] = frozenset()
        # Contents of calls on which it crashes as well.
        self.deadly_contents: frozenset[Content] = frozenset()
        self.crash: Callable[[], None] = lambda: None
        self.calls: list[ReceivedCall] = []
        # Ids of the calls whose work ended, and when, in monotonic seconds.
        self.ended: list[tuple[str, float]] = []
        self.cancelled = threading.Event()

    def executed_ids(self) -> list[str]:
        """Returns the ids of the calls whose execution began here."""
        return [call.call_id for call in self.calls if call.ran]

    def handle_request(self, req: _http.Handler) -> None:
        """Handles one call, with the fault that is set."""
        if req.path == "/api/kv-list":
            held = [
                ["", part, tokens, "m"] for part, tokens in self.cached_segments.items()
            ]
            req.answer(200, {"epoch": 1, "NextToken": 1, "held": held})
            return
        if self.stage and req.path in ("/api/report", "/api/order"):
            self._handle_role(req)
            return
        call_id = req.headers.get("Turmericward-Attempt-Id", "")
        expected = req.headers.get("Turmericward-Expect-Instance", self.name)
        refusal_status = self._refusal_status(expected)
        self.calls.append(
            ReceivedCall(
                path=req.path,
                call_id=call_id,
                headers=dict(req.headers.items()),
                body=req.body,
                ran=refusal_status is None and self.fault != "silent",
            )
        )
        if self.fault == "foreign refusal":
            headers = [("Turmericward-Not-Executed", "1")]
            headers.append(("Turmericward-Attempt-Id", "another"))
            req.answer(503, {}, headers)
        elif refusal_status is not None:
            headers = [("Turmericward-Not-Executed", "1")]
            headers.append(("Turmericward-Instance-Id", self.name))
            headers += self.headers
            req.answer(refusal_status, {}, headers)
        elif self.fault.startswith("endless"):
            self._respond_endlessly(req, call_id)
        elif self.fault == "silent":
            time.sleep(HANG_S)
            req.close_connection = True
        elif req.headers.get("Turmericward-Serving-Stage") == "prefill":
            with self._batched():
                self._disconnected(req, self._prompt_s(req))
            status = DISCLAIMERS.get(self.fault, 200)
            req.answer(status, {"handle": "h1", "tokens": 1, "version": 1})
        elif self._is_deadly(req):
            self.crash()
        else:
            work = self._stream if _is_stream(req) else self._respond
            try:
                with self._batched() if _is_stream(req) else contextlib.nullcontext():
                    work(req, call_id)
            finally:
                self.ended.append((call_id, time.monotonic()))

    @contextlib.contextmanager
    def _batched(self):
        """Counts a stream as at work."""
        with self._lock:
            self._at_work += 1
        try:
            yield
        finally:
            with self._lock:
                self._at_work -= 1

    def _slowdown(self) -> float:
        return 1.0 + self.slowdown_per_call * (self._at_work - 1)

    def _prompt_s(self, req) -> float:
        return int(req.query.get("prompt_ms", 0)) / 1000 * self._slowdown()

    def _is_deadly(self, req) -> bool:
        caller = req.headers.get("Authorization", "")
        if Content(path=req.path, caller=caller, body=req.body) in self.deadly_contents:
            return True
        return bool(self.deadly_segments & shared_segments(req.headers))

    def _handle_role(self, req) -> None:
        sequence = len(self.orders)
        if req.path == "/api/report":
            report = {"stage": self.stage, "busy": False, "sequence": sequence}
            req.answer(200, report)
            return
        order = req.json()
        if order["expected_sequence"] != sequence:
            req.answer(409, {"sequence": sequence})
            return
        self.stage = order["stage"]
        self.orders.append(
            RoleOrder(
                holder=order["holder"], token=order["fencing_token"], stage=self.stage
            )
        )
        req.answer(200, {})
        self.stage_changed()

    def _respond_endlessly(self, req, call_id: str) -> None:
        """Sends bytes without end, in the part of the response that the fault names."""
        _, _, part = self.fault.partition(" ")
        if part in ENDLESS_STREAMS:
            head, writes = _STREAM, sys.maxsize
            repeated = _chunk(ENDLESS_STREAMS[part])
        else:
            (head, repeated), writes = ENDLESS[part], MAX_ENDLESS_WRITES
        signed = f"Turmericward-Attempt-Id: {call_id}\r\n"
        signed += f"Turmericward-Server-Stamp: {SIGNATURE}\r\n"
        req.close_connection = True
        try:
            req.wfile.write(head.replace("SIGNED", signed).encode())
            if part in ENDLESS_STREAMS:
                req.wfile.write(_chunk(event(call_id, 1)))
            for _ in range(writes):
                req.wfile.write(repeated)
        except OSError:
            return
        self.unbounded_read = True

    def _refusal_status(self, expected: str) -> int | None:
        if expected != self.name:
            return 421
        return 503 if self.fault == "full" else None

    def _send_headers(self, req, call_id: str, status: int = 200) -> None:
        req.send_response(status)
        if self.fault == "foreign":
            call_id = "another"
        req.send_header("Turmericward-Attempt-Id", call_id)
        for name, value in self.headers:
            req.send_header(name, value)
        if self.fault != "unsigned":
            req.send_header("Turmericward-Server-Stamp", SIGNATURE)
        if self.fault == "encoded":
            req.send_header("Content-Encoding", "gzip")

    def _respond(self, req, call_id: str) -> None:
        time.sleep(int(req.query.get("work_ms", 0)) / 1000)
        body = f"answer to {call_id}".encode()
        if self.fault == "reset":
            self._reset(req)
            return
        if self.fault == LATE_RESET:
            self._break_off(req, call_id, body[:5])
            return
        if self.fault == HALVES:
            self._respond_in_halves(req, call_id, body)
            return
        statuses = {"error": 500, NO_STATUS: 700} | DISCLAIMERS
        status = statuses.get(self.fault, 200)
        self._send_headers(req, call_id, status)
        if self.fault != "unframed":
            req.send_header("Content-Length", str(len(body)))
        req.end_headers()
        if self.fault == "torn":
            req.wfile.write(body[:-3])
            req.close_connection = True
            return
        req.wfile.write(body)
        if self.fault == "extra":
            req.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
        if self.fault == "unframed":
            req.close_connection = True

    def _disclaim(self, req, call_id: str) -> None:
        self._disconnected(req, self._prompt_s(req))
        self._send_headers(req, call_id, DISCLAIMERS[self.fault])
        req.send_header("Content-Length", "0")
        req.end_headers()

    def _respond_in_halves(self, req, call_id: str, body: bytes) -> None:
        self._send_headers(req, call_id)
        req.end_headers()
        req.wfile.write(body[:5])
        req.wfile.flush()
        if not self._disconnected(req, HALVES_PAUSE_S):
            req.wfile.write(body[5:])
        req.close_connection = True

    def _break_off(self, req, call_id: str, part: bytes) -> None:
        self._send_headers(req, call_id)
        req.end_headers()
        req.wfile.write(part)
        req.wfile.flush()
        self._disconnected(req, SILENCE_S)
        self._reset(req)

    def _break_off_stream(self, req, call_id: str) -> None:
        after = int(req.headers.get("Last-Event-Id", 0))
        if after:
            self._disconnected(req, RESUMED_S)
            self._reset(req)
            return
        self._break_off(req, call_id, event(call_id, 1) + event(call_id, 2))

    def _stream(self, req, call_id: str) -> None:
        if self.fault == LATE_RESET:
            self._break_off_stream(req, call_id)
            return
        if self.fault in DISCLAIMERS:
            self._disclaim(req, call_id)
            return
        self._send_headers(req, call_id, 700 if self.fault == NO_STATUS else 200)
        req.send_header("Content-Type", "text/event-stream")
        req.send_header("Transfer-Encoding", "chunked")
        req.end_headers()
        after = int(req.headers.get("Last-Event-Id", 0))
        count = int(req.query.get("events", EVENTS_PER_STREAM))
        gap_s = int(req.query.get("gap_ms", 1000 * self.event_interval_s)) / 1000
        wait_s = 0.0 if _has_prompt(req) else self._prompt_s(req)
        for number in range(after + 1, count + 1):
            wait_s += gap_s * self._slowdown()
            if self._disconnected(req, wait_s):
                self.cancelled.set()
                req.close_connection = True
                return
            wait_s = 0.0
            data = event(call_id, number)
            if self.fault == "hang" and number == count - 1:
                time.sleep(HANG_S)
            if self.fault == "cut" and number == count - 1:
                self._send_chunk(req, data[: len(data) // 2])
                self._reset(req)
                return
            self._send_chunk(req, data)
        self._send_chunk(req, b"")

    def _disconnected(self, req, wait_s: float) -> bool:
        """Waits; returns whether the caller disconnected."""
        deadline = time.monotonic() + wait_s
        while True:
            try:
                if req.connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b"":
                    return True
            except BlockingIOError:
                pass
            if time.monotonic() >= deadline:
                return False
            time.sleep(0.01)

    def _send_chunk(self, req, data: bytes) -> None:
        req.wfile.write(_chunk(data))

    def _reset(self, req) -> None:
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        req.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        req.connection.close()
        req.close_connection = True
