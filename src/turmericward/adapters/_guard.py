"""Bounds the waits for the bytes of a response."""

import contextlib
import io
import select
from collections.abc import Callable

from turmericward import runtime
from turmericward.adapters import _connection, _pending, errors

CANCEL_POLL_S = 0.2
# How long bytes are still read after the end of a wait: they may have come before it,
# while the process was paused.
LATE_READ_S = 0.1


class Guard:
    """Bounds waits for bytes by time and by cancellation.

    `until` is the end of the wait in monotonic seconds; it may change between reads. It
    holds whether bytes come or not.
    """

    def __init__(
        self,
        until: float,
        cancelled: Callable[[], bool] | None = None,
        on_late: Callable[[_pending.PendingConnection], float] = _pending.give_up,
        rival: _pending.PendingConnection | None = None,
    ) -> None:
        """Creates the guard.

        Args:
            until: the end of the wait.
            cancelled: polled while waiting, if given.
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
        # When the wait was first seen to be over.
        self._over_since: float | None = None

    def wait_until(self, until: float) -> None:
        """Sets the end of the wait for further progress."""
        self.until = until
        self._received = False

    def wait(self, sock: _connection.ObservedSocket) -> None:
        """Waits until the socket is readable.

        Raises:
            TimeoutError: it was not readable by `until`.
            CancelledError: the client disconnected, or the process stops.
            RivalAnsweredError: bytes have come on the rival's connection.
        """
        # Unlike select, poll has no limit on the number of a descriptor.
        poll = select.poll()
        fileno = sock.fileno()
        poll.register(fileno, select.POLLIN)
        for rival in self._rivals():
            poll.register(rival, select.POLLIN)
        while True:
            now = runtime.now()
            self._check_cancelled(now)
            remaining_s = max(0.0, self.until - now)
            ready = dict(poll.poll(self._slice_s(remaining_s) * 1000))
            if fileno in ready and not self._is_overdue(now):
                self._received = True
                return
            if ready and fileno not in ready:
                self._check_rivals(poll, ready)
            elif not remaining_s:
                trickles = self._received or fileno in ready
                self.until = self._on_late(
                    _pending.PendingConnection(sock, trickles=trickles)
                )
                self._stop_watching_closed_rival(poll)

    def _check_cancelled(self, now: float) -> None:
        # Also while bytes come all the time.
        if self._cancelled is None or now < self._next_poll_at:
            return
        self._next_poll_at = now + CANCEL_POLL_S
        if self._cancelled():
            raise errors.CancelledError("call has ended")

    def _slice_s(self, remaining_s: float) -> float:
        if self._cancelled is None:
            return remaining_s
        return min(remaining_s, CANCEL_POLL_S)

    def _is_overdue(self, now: float) -> bool:
        """Returns whether bytes no longer count, though they have come."""
        if now < self.until:
            self._over_since = None
            return False
        if self._over_since is None:
            self._over_since = now
        return now - self._over_since >= LATE_READ_S

    def check(self) -> None:
        """Checks, without waiting, that this attempt is still needed.

        Raises:
            CancelledError: the client disconnected, or the process stops.
            RivalAnsweredError: bytes have come on the rival's connection.
        """
        if self._cancelled is not None and self._cancelled():
            raise errors.CancelledError("call has ended")
        if any(rival.has_bytes() for rival in self._rivals()):
            raise errors.RivalAnsweredError("the other attempt goes on")

    def check_writing(self, until: float) -> None:
        """Checks, without waiting, that a request is still to be written.

        Raises:
            TimeoutError: `until` is over.
            CancelledError: the client disconnected, or the process stops.
            RivalAnsweredError: bytes have come on the rival's connection.
        """
        self.check()
        if runtime.now() >= until:
            raise TimeoutError("request not written in time")

    def _rivals(self) -> list[_pending.PendingConnection]:
        return [] if self._rival is None else list(self._rival.all_watched())

    def _check_rivals(self, poll: select.poll, ready: dict[int, int]) -> None:
        for rival in self._rivals():
            if rival.fileno() not in ready:
                continue
            if rival.has_bytes():
                raise errors.RivalAnsweredError("the other attempt goes on")
            # Its connection has ended: it is read when this attempt has failed.
            rival.watched = False
            rival.lost = True
            poll.unregister(rival)

    def _stop_watching_closed_rival(self, poll: select.poll) -> None:
        if self._rival is not None and not self._rival.watched:
            with contextlib.suppress(KeyError):
                poll.unregister(self._rival)


class GuardedReader(io.RawIOBase):
    """Reads from a raw socket reader, waiting under the guard before each read."""

    def __init__(
        self, raw: io.RawIOBase, sock: _connection.ObservedSocket, guard: Guard
    ) -> None:
        self._raw = raw
        self._sock = sock
        self._guard = guard

    def readable(self) -> bool:
        return True

    def readinto(self, buffer) -> int | None:
        self._guard.wait(self._sock)
        return self._raw.readinto(buffer)

    def close(self) -> None:
        self._raw.close()
        super().close()
