"""Bounds the memory of all response bodies that a process holds at a time.

Load pattern handled: targets that send bytes without end to many calls at once.
"""

import contextlib
import threading
from collections.abc import Iterator

from turmericward import memory, runtime
from turmericward.adapters import errors

DEFAULT_LIMIT_BYTES = 64 * 1024 * 1024
# Bodies up to this size are never refused for what others hold.
FREE_BYTES = 64 * 1024
# Less than targets bear with responses that aren't read.
WAIT_S = 2.0


class Reservation:
    """The memory of one body."""

    def __init__(self, memory: "BodyMemory") -> None:
        """Starts without bytes."""
        self._memory = memory
        self._size = 0

    def grow_to(self, size: int) -> None:
        """Reserves memory for a body that has grown.

        Raises:
            AnswerLostError: all bodies together would be too large.
        """
        self._memory.check_account(self, size)
        size = max(0, size - FREE_BYTES)
        self._memory.add(size - self._size)
        self._size = size

    def release(self) -> None:
        """Gives back what was reserved."""
        self._memory.add(-self._size)
        self._size = 0
        self._memory.leave_account(self)


class BodyMemory:
    """Counts the bytes of the bodies that are being received; thread-safe."""

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        """Creates the count, without bytes."""
        self.limit_bytes = limit_bytes
        # What is held for clients as well, if that is bounded.
        self.account: memory.Account | None = None
        self._lock = threading.Lock()
        self._held = 0

    @property
    def held(self) -> int:
        """Bytes that are reserved."""
        return self._held

    @contextlib.contextmanager
    def reservation(self) -> Iterator[Reservation]:
        """Yields the reservation of one body, released at the end."""
        reservation = Reservation(self)
        try:
            yield reservation
        finally:
            reservation.release()

    def check_account(self, reservation: Reservation, size: int) -> None:
        """Reserves memory of the process for a body that has grown.

        Bodies that need more than is free aren't read further for `WAIT_S`.

        Raises:
            AnswerLostError: no memory has become free.
        """
        if self.account is None:
            return
        kind, now = memory.Kind.WORK, runtime.now()
        if size <= FREE_BYTES:
            self.account.set(reservation, kind, size, now)
        elif not self.account.grant(reservation, kind, size, now, WAIT_S):
            self.account.count("memory.ended.answer_not_read")
            raise errors.AnswerLostError(
                f"{self.account.held} bytes are held for clients and targets"
            )

    def leave_account(self, reservation: Reservation) -> None:
        """Gives back what was reserved of the process's memory."""
        if self.account is not None:
            self.account.set(reservation, memory.Kind.WORK, 0, runtime.now())

    def add(self, count: int) -> None:
        """Reserves bytes, or gives them back.

        Raises:
            AnswerLostError: there would be too many.
        """
        with self._lock:
            if count > 0 and self._held + count > self.limit_bytes:
                raise errors.AnswerLostError(
                    f"responses hold {self._held} of {self.limit_bytes} bytes"
                )
            self._held += count


# The memory of a process is one.
shared = BodyMemory()
