"""Bounds the memory of all response bodies that a process holds at a time.

Load pattern handled: targets that send bytes without end to many calls at once.
"""

import contextlib
import threading
from collections.abc import Iterator

from turmericward.adapters import errors

DEFAULT_LIMIT_BYTES = 64 * 1024 * 1024
# Bodies up to this size are never refused for what others hold.
FREE_BYTES = 64 * 1024


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
        size = max(0, size - FREE_BYTES)
        self._memory.add(size - self._size)
        self._size = size

    def release(self) -> None:
        """Gives back what was reserved."""
        self._memory.add(-self._size)
        self._size = 0


class BodyMemory:
    """Counts the bytes of the bodies that are being received; thread-safe."""

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        """Creates the count, without bytes."""
        self.limit_bytes = limit_bytes
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
