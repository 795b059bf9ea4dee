"""Bounds the waits for the bytes of a response."""

import contextlib
import io
import select
from collections.abc import Callable

from turmericward import runtime
from turmericward.adapters import _pending, errors

CANCEL_POLL_S = 0.2


class Guard:
    """Bounds waits for bytes by time and by cancellation.

    `until` is the end of the wait in monotonic seconds; it may change between reads.
    """

    def __init__(
        self,
        until: float,
        cancelled: Callable[[], bool],
        on_late: Callable[[_pending.PendingConnection], float] = _pending.give_up,
        rival: _pending.PendingConnection | None = None,
    ) -> None:
        """Creates the guard.

        Args:
            until: the end of the wait.
            cancelled: polled while waiting.
            on_late: called when the wait is over, while the connection stays open;
                returns until when to wait further, or raises an error.
            rival: connection of another attempt at the same call; the wait ends as
                soon as bytes come on it, or on an earlier one.
        """
        self.until = until
        self._cancelled = cancelled
        self._on_late = on_late
        self._rival = rival
        self._next_poll_at = 0.0
        # Whether bytes have come since the wait was set.
        self._received = False

    def wait_until(self, until: float) -> None:
        """Sets the end of the wait for further progress."""
        self.until = until
        self._received = False

    def wait(self, fileno: int) -> None:
        """Waits until the descriptor is readable.

        Raises:
            TimeoutError: it was not readable by `until`.
            CancelledError: the client disconnected, or the process stops.
            RivalAnsweredError: bytes have come on the rival's connection.
        """
        # Unlike select, poll has no limit on the number of a descriptor.
        poll = select.poll()
        poll.register(fileno, select.POLLIN)
        for rival in self._rivals():
            poll.register(rival.fileno, select.POLLIN)
        while True:
            now = runtime.now()
            # Also while bytes come all the time.
            if now >= self._next_poll_at:
                self._next_poll_at = now + CANCEL_POLL_S
                if self._cancelled():
                    raise errors.CancelledError("call has ended")
            remaining_s = max(0.0, self.until - now)
            # Bytes received while the process was paused count even past the deadline.
            ready = dict(poll.poll(min(remaining_s, CANCEL_POLL_S) * 1000))
            if fileno in ready:
                self._received = True
                return
            if ready:
                self._check_rivals(poll, ready)
            elif not remaining_s:
                self.until = self._on_late(
                    _pending.PendingConnection(fileno, trickles=self._received)
                )
                self._stop_watching_closed_rival(poll)

    def check(self) -> None:
        """Checks, without waiting, that this attempt is still needed.

        Raises:
            CancelledError: the client disconnected, or the process stops.
            RivalAnsweredError: bytes have come on the rival's connection.
        """
        if self._cancelled():
            raise errors.CancelledError("call has ended")
        if any(rival.has_bytes() for rival in self._rivals()):
            raise errors.RivalAnsweredError("the other attempt goes on")

    def _rivals(self) -> list[_pending.PendingConnection]:
        return [] if self._rival is None else list(self._rival.all_watched())

    def _check_rivals(self, poll: select.poll, ready: dict[int, int]) -> None:
        for rival in self._rivals():
            if rival.fileno not in ready:
                continue
            if rival.has_bytes():
                raise errors.RivalAnsweredError("the other attempt goes on")
            # Its connection has ended: it is read when this attempt has failed.
            rival.watched = False
            rival.lost = True
            poll.unregister(rival.fileno)

    def _stop_watching_closed_rival(self, poll: select.poll) -> None:
        if self._rival is not None and not self._rival.watched:
            with contextlib.suppress(KeyError):
                poll.unregister(self._rival.fileno)


class GuardedReader(io.RawIOBase):
    """Reads from a raw socket reader, waiting under the guard before each read."""

    def __init__(self, raw: io.RawIOBase, guard: Guard) -> None:
        self._raw = raw
        self._guard = guard

    def readable(self) -> bool:
        return True

    def readinto(self, buffer) -> int | None:
        self._guard.wait(self._raw.fileno())
        return self._raw.readinto(buffer)

    def close(self) -> None:
        self._raw.close()
        super().close()
