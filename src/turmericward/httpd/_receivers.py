"""Bodies of requests, held in memory and decoded in linear time."""

import io
import re

from waitress import utilities

from turmericward import memory

# Bounds of one line with the size of a chunk and its extensions, and of all trailers.
MAX_CHUNK_LINE_BYTES = 1024
MAX_TRAILER_BYTES = 16 * 1024
# Bytes of chunk sizes, extensions and ends beyond those of one-byte chunks (5 each).
MAX_FRAMING_BYTES = 64 * 1024
FRAMING_PER_BYTE = 5
# How far ahead of its bytes a body of unknown length is granted memory.
STEP_BYTES = 64 * 1024
# The first step, which small bodies don't exceed.
FIRST_BYTES = memory.SMALL_BYTES
# Least memory with which such a body is read.
MIN_ROOM_BYTES = 4096
# A body with more chunks than this in one read is costly.
COSTLY_CHUNKS = 64
_CHUNK_LINE = re.compile(
    rb"([0-9A-Fa-f]{1,16})[ \t]*(;[\t\x20-\x7e\x80-\xff]*)?\r\n", re.ASCII
)
_CHUNK_END = b"\r\n"
_TRAILERS_END = b"\r\n\r\n"


class Receiver:
    """Base of the receivers of one body; has the interface of waitress's.

    `granted` is the memory in bytes that the body may use, `is_costly` whether its
    bytes take much time to decode.
    """

    completed = False
    error: utilities.Error | None = None
    granted = 0
    is_costly = False

    def __init__(self) -> None:
        """Starts without bytes."""
        self._data = io.BytesIO()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def _add(self, data: bytes | memoryview) -> None:
        self._data.write(data)
        self._size += len(data)

    @property
    def size(self) -> int:
        """Bytes of memory, with those that are granted only."""
        return max(self._size, self.granted)

    def getfile(self) -> io.BytesIO:
        """Returns the body as a file; neither this nor its first `read` copies it."""
        data, self._data = self._data, io.BytesIO()
        return io.BytesIO(data.getvalue())

    def getbuf(self) -> "Receiver":
        """Returns what has to be closed."""
        return self

    def close(self) -> None:
        """Frees the memory."""
        self._data = io.BytesIO()
        self._size = self.granted = 0


class FixedReceiver(Receiver):
    """Receives a body with a length."""

    def __init__(self, length: int) -> None:
        """Starts without bytes; `length` is that of the body."""
        super().__init__()
        self.wanted = length

    @property
    def room(self) -> int:
        """Bytes that may be read with the memory that is granted."""
        return self.wanted - self._size if self.granted >= self.wanted else 0

    def received(self, data: bytes) -> int:
        """Takes bytes; returns how many belong to the body."""
        count = min(len(data), self.wanted - self._size)
        self._add(data if count == len(data) else memoryview(data)[:count])
        self.completed = self._size == self.wanted
        return count


class ChunkedReceiver(Receiver):
    """Decodes a chunked body; each byte is looked at a bounded number of times."""

    def __init__(self, max_bytes: int) -> None:
        """Starts without bytes.

        Args:
            max_bytes: a body of this size or more is refused.
        """
        super().__init__()
        self._max_bytes = max_bytes
        # The incomplete part of the framing.
        self._line = b""
        self._remaining = 0
        self._framing = 0
        self._chunk_count = 0
        self._step = self._read_size

    @property
    def size(self) -> int:
        """Bytes of memory, with those that are granted only."""
        return super().size + len(self._line)

    @property
    def wanted(self) -> int:
        """Memory needed before more is read."""
        if self._size + MIN_ROOM_BYTES <= FIRST_BYTES and not self._remaining:
            return FIRST_BYTES
        return self._size + max(STEP_BYTES, min(self._remaining, self._max_bytes))

    @property
    def room(self) -> int:
        """Bytes that may be read with the memory that is granted."""
        room = self.granted - self._size
        return room if room >= min(MIN_ROOM_BYTES, self.wanted) else 0

    def received(self, data: bytes) -> int:
        """Decodes bytes; returns how many belong to the body."""
        earlier = len(self._line)
        self._chunk_count = 0
        if earlier:
            data, self._line = self._line + data, b""
        position = 0
        while position < len(data) and not (self.completed or self.error):
            following = self._step(data, position)
            if following is None:
                self._line = data[position:]
                return len(data) - earlier
            position = following
        return position - earlier

    def _fail(self, error: utilities.Error) -> None:
        self.error = error
        self.close()

    def _read_size(self, data: bytes, position: int) -> int | None:
        match = _CHUNK_LINE.match(data, position)
        if match is None:
            return self._incomplete_size(data, position)
        size = int(match[1], 16)
        self._framing += match.end() - position
        allowed = MAX_FRAMING_BYTES + FRAMING_PER_BYTE * self._size
        if match.end() - position > MAX_CHUNK_LINE_BYTES or self._framing > allowed:
            self._fail(utilities.BadRequest("Chunk framing is too long"))
        elif self._size + size >= self._max_bytes:
            limit = f"exceeds max_body of {self._max_bytes}"
            self._fail(utilities.RequestEntityTooLarge(limit))
        self._chunk_count += 1
        self.is_costly |= self._chunk_count > COSTLY_CHUNKS
        self._remaining = size
        self._step = self._read_data if size else self._read_trailers
        # The end of the line of the last chunk may end the empty trailers.
        return match.end() if size else match.end() - len(_CHUNK_END)

    def _incomplete_size(self, data: bytes, position: int) -> int | None:
        end = data.find(_CHUNK_END, position, position + MAX_CHUNK_LINE_BYTES)
        if end >= 0:
            self._fail(utilities.BadRequest("Invalid chunk size or extension"))
        elif len(data) - position >= MAX_CHUNK_LINE_BYTES:
            self._fail(utilities.BadRequest("Chunk size or extension is too long"))
        return None if self.error is None else len(data)

    def _read_data(self, data: bytes, position: int) -> int:
        end = min(len(data), position + self._remaining)
        self._add(memoryview(data)[position:end])
        self._remaining -= end - position
        if not self._remaining:
            self._step = self._read_end
        return end

    def _read_end(self, data: bytes, position: int) -> int | None:
        if len(data) - position < len(_CHUNK_END):
            return None
        if not data.startswith(_CHUNK_END, position):
            self._fail(utilities.BadRequest("Chunk not properly terminated"))
        self._step = self._read_size
        return position + len(_CHUNK_END)

    def _read_trailers(self, data: bytes, position: int) -> int | None:
        end = data.find(_TRAILERS_END, position)
        if end >= 0:
            self.completed = True
            return end + len(_TRAILERS_END)
        if len(data) - position > MAX_TRAILER_BYTES:
            self._fail(utilities.BadRequest("Trailers are too long"))
            return len(data)
        return None
