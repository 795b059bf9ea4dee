"""Stand-in for a replica of the users' platform, with faults a test can set.

Streams have numbered events whose data depends on the call's id alone, so that
one that goes on elsewhere can be checked. `fault` of the `Replica` names what
the next calls meet; `calls` lists every call that arrived; `kept` has the tokens
of the parts that it says it keeps.
"""

import socket
import threading
import time

import attrs

from standins import _http

EVENTS = 4
SILENCE_S = 30.0
SIGNATURE = "signed"


@attrs.frozen(kw_only=True)
class Seen:
    """One call as it arrived; `ran` tells whether work began."""

    path: str
    call_id: str
    headers: dict[str, str]
    body: bytes
    ran: bool


_OK = "HTTP/1.1 200 OK\r\nSIGNED"
_CHUNKED = _OK + "Transfer-Encoding: chunked\r\n\r\n"
_KB = b"x" * 1024
MAX_ENDLESS_WRITES = 200_000
# Part of an answer that doesn't end: what comes first, and what comes again and again.
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


def event(call_id: str, number: int) -> bytes:
    """Returns one event of a stream."""
    return f"id: {number}\ndata: {call_id}-{number}\n\n".encode()


class Replica:
    """One replica under an instance id."""

    def __init__(self, name: str) -> None:
        """Creates the replica without faults."""
        self.name = name
        self.fault = ""
        self.event_s = 0.0
        # Set when a caller has read far more than any answer holds.
        self.unbounded = False
        self.kept: dict[str, int] = {}
        # Sent with every answer.
        self.headers: tuple[tuple[str, str], ...] = ()
        self.calls: list[Seen] = []
        self.cancelled = threading.Event()

    def ran(self) -> list[str]:
        """Returns the ids of the calls that ran here."""
        return [seen.call_id for seen in self.calls if seen.ran]

    def do(self, req: _http.Handler) -> None:
        """Answers one call."""
        if req.path == "/api/kv-list":
            held = [["", part, tokens, "m"] for part, tokens in self.kept.items()]
            req.answer(200, {"epoch": 1, "NextToken": 1, "held": held})
            return
        call_id = req.headers.get("Turmericward-Attempt-Id", "")
        expected = req.headers.get("Turmericward-Expect-Instance", self.name)
        refused = self._refusal(expected)
        self.calls.append(
            Seen(
                path=req.path,
                call_id=call_id,
                headers=dict(req.headers.items()),
                body=req.body,
                ran=refused is None and self.fault != "silent",
            )
        )
        if refused is not None:
            headers = [("Turmericward-Not-Executed", "1")]
            headers.append(("Turmericward-Instance-Id", self.name))
            headers += self.headers
            req.answer(refused, {}, headers)
        elif self.fault.startswith("endless"):
            self._endless(req, call_id)
        elif self.fault == "silent":
            time.sleep(SILENCE_S)
            req.close_connection = True
        elif req.headers.get("Turmericward-Serving-Stage") == "prefill":
            req.answer(200, {"handle": "h1", "tokens": 1, "version": 1})
        elif "Turmericward-Prompt-Prefix" in req.headers:
            self._stream(req, call_id)
        else:
            self._whole(req, call_id)

    def _endless(self, req, call_id: str) -> None:
        """Sends bytes until the caller closes, in the part that the fault names."""
        _, _, part = self.fault.partition(" ")
        head, again = ENDLESS[part]
        signed = f"Turmericward-Attempt-Id: {call_id}\r\n"
        signed += f"Turmericward-Server-Stamp: {SIGNATURE}\r\n"
        req.close_connection = True
        try:
            req.wfile.write(head.replace("SIGNED", signed).encode())
            for _ in range(MAX_ENDLESS_WRITES):
                req.wfile.write(again)
        except OSError:
            return
        self.unbounded = True

    def _refusal(self, expected: str) -> int | None:
        if expected != self.name:
            return 421
        return 503 if self.fault == "full" else None

    def _head(self, req, call_id: str, status: int = 200) -> None:
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

    def _whole(self, req, call_id: str) -> None:
        body = f"answer to {call_id}".encode()
        if self.fault == "reset":
            self._reset(req)
            return
        self._head(req, call_id, 500 if self.fault == "error" else 200)
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

    def _stream(self, req, call_id: str) -> None:
        self._head(req, call_id)
        req.send_header("Content-Type", "text/event-stream")
        req.send_header("Transfer-Encoding", "chunked")
        req.end_headers()
        after = int(req.headers.get("Last-Event-Id", 0))
        for number in range(after + 1, EVENTS + 1):
            if self._gone(req):
                self.cancelled.set()
                req.close_connection = True
                return
            data = event(call_id, number)
            if self.fault == "hang" and number == EVENTS - 1:
                time.sleep(SILENCE_S)
            if self.fault == "cut" and number == EVENTS - 1:
                self._chunk(req, data[: len(data) // 2])
                self._reset(req)
                return
            self._chunk(req, data)
        self._chunk(req, b"")

    def _gone(self, req) -> bool:
        until = time.monotonic() + self.event_s
        while True:
            try:
                if req.connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b"":
                    return True
            except BlockingIOError:
                pass
            if time.monotonic() >= until:
                return False
            time.sleep(0.01)

    def _chunk(self, req, data: bytes) -> None:
        req.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))

    def _reset(self, req) -> None:
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        req.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        req.connection.close()
        req.close_connection = True
