"""Stand-in for a client: calls on a kept connection, and how each of them ended.

A caller never opens another connection by itself, so that its calls show what a front
does with a connection until its process is gone.
"""

import contextlib
import http.client
import select
import socket
import time

import attrs

from standins import platform_replica

ANSWER_TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 2.0
# A call that was sent less than this before its connection closed may have crossed
# the close, so that no front has read it.
CROSSING_S = 0.2
# Rate of a stream's tokens, so that its length can be expected from its prompt.
TOKENS_PER_S = 100


@attrs.frozen(kw_only=True)
class Call:
    """One call; `events` is the length of a stream, None for a plain call.

    `prompt_s` and `work_s` are the times that its target, if idle, works before a
    stream's events and on the rest, `caller` who sends it.
    """

    id: str
    route: str
    work_s: float = 0.0
    prompt_s: float = 0.0
    events: int | None = None
    deadline_s: float = 20.0
    method: str = "POST"
    caller: str = ""

    @property
    def target(self) -> str:
        """The path and query."""
        work_ms = int(1000 * self.work_s)
        if self.events is None:
            return f"/{self.route}/x?work_ms={work_ms}"
        stream = f"events={self.events}&gap_ms={work_ms // self.events}"
        return f"/{self.route}/x?{stream}&prompt_ms={int(1000 * self.prompt_s)}"

    @property
    def body(self) -> bytes:
        """The body."""
        return b"" if self.method == "GET" else b"q"

    def headers(self, host: str) -> dict[str, str]:
        """Returns the headers."""
        fields = {
            "Host": host,
            "Turmericward-Attempt-Id": self.id,
            "Turmericward-Deadline-Ms": str(int(1000 * self.deadline_s)),
        }
        if self.caller:
            fields["Authorization"] = self.caller
        if self.events is None:
            return fields
        tokens = max(1, int(TOKENS_PER_S * self.work_s))
        return fields | {
            "Turmericward-Model-Id": "m",
            "Turmericward-Token-Count": f"300,{tokens}",
            "Turmericward-Prompt-Prefix": f"shared:100,{self.caller or self.id}:200",
        }

    def answer(self) -> bytes:
        """Returns the body of the call's own whole answer."""
        if self.events is None:
            return f"answer to {self.id}".encode()
        numbers = range(1, self.events + 1)
        return b"".join(platform_replica.event(self.id, n) for n in numbers)


@attrs.frozen(kw_only=True)
class Outcome:
    """How a call ended; `status` is None if no response head arrived.

    `broken` says how the connection ended before the whole answer, empty if it
    didn't. Times are in monotonic seconds.
    """

    call: Call
    sent_at: float
    ended_at: float
    status: int | None = None
    body: bytes = b""
    signed: bool = False
    broken: str = ""

    @property
    def unanswered(self) -> bool:
        """Whether a front that read the call gave no whole answer to it."""
        crossed = self.status is None and self.ended_at - self.sent_at < CROSSING_S
        return bool(self.broken) and not crossed

    @property
    def foreign(self) -> bool:
        """Whether a success is anything but the call's own whole answer."""
        success = self.status is not None and self.status < 300 and not self.broken
        return success and not (self.signed and self.body == self.call.answer())


class Caller:
    """One connection to a front."""

    def __init__(self, address: str, host: str) -> None:
        """Connects.

        Args:
            address: `ip:port` of the front.
            host: value of the calls' `Host` header.
        """
        ip, _, port = address.rpartition(":")
        self._host = host
        self._conn = http.client.HTTPConnection(
            ip, int(port), timeout=CONNECT_TIMEOUT_S
        )
        self._conn.auto_open = 0
        self._conn.connect()
        self._conn.sock.settimeout(ANSWER_TIMEOUT_S)

    def is_open(self) -> bool:
        """Returns whether the front has not closed the connection."""
        sock = self._conn.sock
        if sock is None:
            return False
        # Unlike select, poll has no limit on the number of a descriptor.
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        if not poll.poll(0):
            return True
        with contextlib.suppress(OSError):
            return sock.recv(1, socket.MSG_PEEK) != b""
        return False

    def send(self, call: Call) -> Outcome:
        """Sends a call and reads its answer."""
        body = call.body or None
        sent_at = time.monotonic()
        status, received = None, b""
        try:
            self._conn.request(call.method, call.target, body, call.headers(self._host))
            sent_at = time.monotonic()
            resp = self._conn.getresponse()
            status = resp.status
            received = resp.read()
        except (OSError, http.client.HTTPException) as exc:
            self.close()
            return Outcome(
                call=call,
                sent_at=sent_at,
                ended_at=time.monotonic(),
                status=status,
                broken=repr(exc)[:120],
            )
        return Outcome(
            call=call,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            status=status,
            body=received,
            signed=resp.getheader("Turmericward-Server-Stamp") is not None,
        )

    def close(self) -> None:
        """Closes the connection."""
        with contextlib.suppress(OSError):
            self._conn.close()
