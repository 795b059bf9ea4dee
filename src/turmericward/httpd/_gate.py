"""Lets connections read as far as there is memory; for the event loop's thread."""

import math
from collections.abc import Hashable

import attrs
from waitress import utilities

from turmericward import memory, runtime, telemetry
from turmericward.httpd import _receivers

# A request whose memory isn't granted within this time is refused. Longer than idle
# holders keep theirs.
WAIT_S = 3.0
RETRY_AFTER_S = 1.0
STEP_S = 0.1
# Longest time that passes for holders between two steps: after the process was paused,
# unread bytes are read before anyone counts as idle.
MAX_ELAPSED_S = 1.0
RECV_BYTES = 65536
# Read at once while it isn't known how much memory a request needs. Most requests are
# whole then; a longer head is costly: 16 KiB can hold 2,000 fields, which take 2.5 ms.
FIRST_RECV_BYTES = 4096
LONG_HEAD_RECV_BYTES = 16 * 1024
# Costly bodies are read in small parts, and only so many in a turn of the event loop:
# 4,096 bytes are up to 700 chunks, which take about 1 ms.
COSTLY_RECV_BYTES = 4096
COSTLY_READS_PER_TURN = 4
# Nothing more is read in a turn that has taken this time, so that responses are sent.
TURN_S = 0.02
# Bounds the log lines.
MAX_LOGGED_PER_S = 5


class MemoryRefusal(utilities.Error):
    """Response to a request for which there is no memory."""

    code = 503
    reason = "Service Unavailable"

    def to_response(self, ident=None):
        """Adds the time after which the request may be retried."""
        status, headers, body = super().to_response(ident)
        headers.append(("Retry-After", f"{RETRY_AFTER_S:.2f}"))
        return status, headers, body


class IdleRefusal(utilities.Error):
    """Response to a request that held memory without progress."""

    code = 408
    reason = "Request Timeout"


_REFUSALS = {
    "no_memory": lambda: MemoryRefusal("No memory is free; it was not run."),
    "no_progress": lambda: IdleRefusal("It made no progress and was not run."),
}


@attrs.define
class _LogBudget:
    """Bounds the log lines of a second."""

    _second: int = 0
    _count: int = 0

    def take(self, now: float) -> bool:
        """Returns whether another line may be written."""
        if int(now) != self._second:
            self._second, self._count = int(now), 0
        self._count += 1
        return self._count <= MAX_LOGGED_PER_S


@attrs.frozen
class _Wait:
    since: float
    size: int


class Gate:
    """Grants memory to the connections of one server and takes it back."""

    def __init__(self, account: memory.Account) -> None:
        """Creates the gate of an account."""
        self.account = account
        # Seconds on a clock that stands still while the process is paused.
        self.now = 0.0
        self._seen_at = runtime.now()
        self._next_at = 0.0
        # Connections that wait for memory.
        self._waiting: dict[Hashable, _Wait] = {}
        self._log_budget = _LogBudget()
        # Connections that have been read in this round of turns.
        self._served: set[Hashable] = set()
        self._delayed = False
        self._full = False
        self.begin_turn()

    @property
    def step_s(self) -> float:
        """Time until the next step, if no client sends anything."""
        busy = (
            self._waiting or self._served or self.account.wanted or self.account.excess
        )
        return STEP_S if busy else math.inf

    def admits(self, channel, request) -> bool:
        """Returns whether a connection is to be read in this turn.

        Args:
            channel: the connection.
            request: its incomplete request, None before its first byte.
        """
        if channel in self._served:
            return False
        if request is None:
            return True
        receiver = request.body_rcv
        if receiver is None:
            return not self._full
        return receiver.room > 0 or self._admits_body(channel, receiver)

    def _admits_body(self, channel, receiver: _receivers.Receiver) -> bool:
        """Returns whether there is memory to read more of an incomplete body."""
        size = receiver.wanted
        if size <= memory.SMALL_BYTES and self._full:
            return False
        if size > memory.SMALL_BYTES and not self._grant(channel, size):
            wait = self._waiting.get(channel)
            since = wait.since if wait else self.now
            self._waiting[channel] = _Wait(since, size)
            return False
        receiver.granted = size
        self._waiting.pop(channel, None)
        return True

    def _grant(self, channel, size: int) -> bool:
        return self.account.grant(channel, memory.Kind.REQUEST, size, self.now)

    def read_size(self, channel, request) -> int:
        """Returns how many bytes may be read at once, 0 if none in this turn."""
        now = runtime.now()
        self._turn_at = self._turn_at or now
        self._full = self._full or self.account.excess > 0
        is_late = now - self._turn_at > TURN_S
        is_costly = request is not None and request.is_costly
        if is_late or (is_costly and (self._full or not self._reads_left)):
            self._delayed = True
            return 0
        self._served.add(channel)
        self._reads_left -= is_costly
        return _read_size(request)

    def begin_turn(self) -> None:
        """Lets connections be read again once each has had its turn."""
        if not self._delayed:
            self._served.clear()
        self._delayed = False
        self._full = self.account.excess > 0
        self._reads_left = COSTLY_READS_PER_TURN
        # Time of the first read.
        self._turn_at: float | None = None

    def is_waiting(self, channel) -> bool:
        """Returns whether a connection isn't read since it waits for memory."""
        return channel in self._waiting

    def end_wait(self, channel) -> None:
        """Records that a connection doesn't wait for memory."""
        self._waiting.pop(channel, None)

    def forget(self, channel) -> None:
        """Records that a connection is closed."""
        self._waiting.pop(channel, None)
        self._served.discard(channel)

    def step(self) -> None:
        """Frees memory if others wait or the limit is exceeded."""
        now = runtime.now()
        self.now += min(now - self._seen_at, MAX_ELAPSED_S)
        self._seen_at = now
        excess = self.account.excess
        if now < self._next_at and not excess:
            return
        self._next_at = now + STEP_S
        needed = sum(wait.size for wait in self._waiting.values())
        needed += self.account.wanted
        if excess:
            # Frees more at once, so that it isn't repeated for each request.
            excess += int(self.account.bounds.small)
        if needed or excess:
            self._relieve(needed, excess)
        late = [c for c, w in self._waiting.items() if self.now - w.since > WAIT_S]
        for channel in late:
            self._refuse(channel, "no_memory")

    def _relieve(self, needed: int, excess: int) -> None:
        holdings = self.account.holdings()
        for holding in memory.select_victims(
            holdings, self.now, self._waiting, needed, excess
        ):
            channel = holding.owner
            if holding.kind is memory.Kind.RESPONSE:
                self._report(channel, "response_not_read", holding.size)
                channel.handle_close()
            elif memory.is_idle(holding, self.now) and channel not in self._waiting:
                self._refuse(channel, "no_progress")
            else:
                self._refuse(channel, "no_memory")

    def _refuse(self, channel, reason: str) -> None:
        size = channel.request_size
        if channel.refuse(_REFUSALS[reason]()):
            self._report(channel, reason, size)

    def _report(self, channel, reason: str, size: int) -> None:
        self.account.count(f"memory.ended.{reason}")
        if self._log_budget.take(runtime.now()):
            telemetry.log_event(
                "memory_ended",
                reason=reason,
                request_id=channel.request_id,
                bytes=size,
                held_bytes=self.account.held,
            )


def _read_size(request) -> int:
    if request is None:
        return FIRST_RECV_BYTES
    receiver = request.body_rcv
    if receiver is None:
        return LONG_HEAD_RECV_BYTES
    return min(COSTLY_RECV_BYTES if receiver.is_costly else RECV_BYTES, receiver.room)
