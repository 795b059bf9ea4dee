"""Unsent bytes of responses, held in memory."""

import collections

# Smaller pieces are joined: each object of its own costs 33 bytes.
JOINED_BYTES = 4096


class Outbuf:
    """A queue of bytes with the interface of waitress's buffers.

    Large pieces aren't copied, so that a response isn't held twice.
    """

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._pieces: collections.deque[memoryview] = collections.deque()
        self._joined = bytearray()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, data: bytes) -> None:
        """Adds bytes at the end."""
        self._size += len(data)
        if len(data) >= JOINED_BYTES:
            self._end_joined()
            self._pieces.append(memoryview(data))
            return
        self._joined += data
        if len(self._joined) >= JOINED_BYTES:
            self._end_joined()

    def _end_joined(self) -> None:
        if self._joined:
            self._pieces.append(memoryview(bytes(self._joined)))
            self._joined.clear()

    def get(self, count: int) -> memoryview:
        """Returns at most `count` bytes of the front, which stay."""
        if not self._pieces:
            self._end_joined()
        return self._pieces[0][:count] if self._pieces else memoryview(b"")

    def skip(self, count: int, allow_prune: bool = False) -> None:  # noqa: FBT001, FBT002
        """Removes bytes that `get` has returned."""
        self._size -= count
        rest = self._pieces.popleft()[count:]
        if rest:
            self._pieces.appendleft(rest)

    def close(self) -> None:
        """Removes all bytes."""
        self._pieces.clear()
        self._joined.clear()
        self._size = 0
