"""Callers of streams, who check what they get."""

import contextlib
import socket
import threading

import engine
import scene

LAST_CHUNK = b"0\r\n\r\n"
# Parts of prompts that requests share.
SHARED = 13


def call(address: str, path: str, call_id: str, deadline_s: float):
    """Sends one request; returns the head and the rest of its answer."""
    host, _, port = address.rpartition(":")
    shared = f"a{int(call_id, 16) % SHARED:x}"
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {scene.HOST}\r\n"
        f"Turmericward-Attempt-Id: {call_id}\r\n"
        f"Turmericward-Deadline-Ms: {deadline_s * 1000:.0f}\r\n"
        "Turmericward-Model-Id: m\r\nTurmericward-Token-Count: 300,30\r\n"
        f"Turmericward-Prompt-Prefix: {shared}:100,{call_id}:200\r\n"
        "Content-Length: 0\r\n\r\n"
    )
    received = b""
    with socket.create_connection((host, int(port)), 1.0) as sock:
        sock.settimeout(deadline_s + 1)
        sock.sendall(head.encode())
        with contextlib.suppress(OSError):
            while not received.partition(engine.HEAD_END)[2].endswith(LAST_CHUNK):
                data = sock.recv(65536)
                if not data:
                    break
                received += data
    head, _, rest = received.partition(engine.HEAD_END)
    return head, rest


def body_of(chunks: bytes) -> tuple[bytes, bool]:
    """Returns the body in an answer's chunks, and whether it has the last one."""
    body = b""
    while chunks:
        size, _, chunks = chunks.partition(b"\r\n")
        count = int(size, 16)
        if not count:
            return body, True
        body, chunks = body + chunks[:count], chunks[count + 2 :]
    return body, False


class Callers:
    """Callers of one front."""

    def __init__(
        self, address: str, record: scene.Record, count: int, deadline_s: float
    ) -> None:
        """Prepares callers.

        Args:
            address: the front's address.
            record: gets what is sent and answered.
            count: events of a whole stream.
            deadline_s: how long a caller waits.
        """
        self._address = address
        self._record = record
        self._count = count
        self._deadline_s = deadline_s
        self._lock = threading.Lock()
        self._results: list[str] = []
        # How many answers break the rule.
        self.wrong = 0

    def call(self, path: str, call_id: str) -> None:
        """Sends one request and judges its answer."""
        self._record.add(f"{call_id} sent, {path}")
        head, rest = call(self._address, path, call_id, self._deadline_s)
        status = head[9:12].decode("latin-1") or "no answer"
        result, wrong = f"ended with {status}", False
        if status == "200":
            result, wrong = self._judge(call_id, rest)
        self._record.add(f"{call_id} {status}, {result}")
        with self._lock:
            self._results.append(f"{path.split('/')[2]} {result}")
            self.wrong += wrong

    def _judge(self, call_id: str, rest: bytes) -> tuple[str, bool]:
        """Returns what was got, and whether it breaks the rule."""
        body, whole = body_of(rest)
        events = engine.stream(call_id, self._count)
        if not events.startswith(body):
            return "wrong events", True
        if body == events:
            return "whole", False
        if whole:
            return f"said to be complete after {body.count(b'data:')} events", True
        return "visibly cut", False

    def counts(self) -> dict[str, int]:
        """Returns how often each result has come."""
        return {r: self._results.count(r) for r in sorted(set(self._results))}
