"""An HTTP answer that is taken only when it is whole."""

import http.client
import io
import select
from collections.abc import Callable

from turmericward import runtime
from turmericward.adapters import errors

CANCEL_POLL_S = 0.2
HEAD_ENDS = (b"\r\n", b"\n")
BODILESS = frozenset({204, 304})
# More heads before the answer's own, or more after its last chunk, have no end.
MAX_INTERIM_HEADS = 8
MAX_TRAILER_LINES = 100
MAX_LINE_BYTES = 65_536


class _LineReader:
    """Keeps the last line that was read from a file."""

    def __init__(self, file) -> None:
        self._file = file
        self.last = b""

    def readline(self, limit: int = -1) -> bytes:
        self.last = self._file.readline(limit)
        return self.last

    def __getattr__(self, name: str):
        return getattr(self._file, name)


class WholeResponse(http.client.HTTPResponse):
    """Refuses a head that was cut and a body whose end can't be known.

    The library takes the end of the connection for the end of the head, and
    for the end of a body without a declared length.
    """

    unframed_allowed = False
    _heads = 0

    def begin(self) -> None:
        """Reads the head.

        Raises:
            http.client.HTTPException: the head is cut, or the body's length is
                neither declared nor chunked.
        """
        file = self.fp
        self.fp = _LineReader(file)
        super().begin()
        ended = self.fp.last in HEAD_ENDS
        self.fp = file
        if not ended:
            raise http.client.IncompleteRead(b"")
        framed = self.length is not None or self.chunked or self._bodiless()
        if not framed and not self.unframed_allowed:
            raise http.client.HTTPException("answer does not declare its length")

    def _read_status(self):
        # The library skips any number of interim heads.
        self._heads += 1
        if self._heads > MAX_INTERIM_HEADS:
            raise http.client.HTTPException("interim answers without end")
        return super()._read_status()

    def _read_and_discard_trailer(self) -> None:
        # The library skips any number of lines, and takes the end of the
        # connection for theirs.
        for _ in range(MAX_TRAILER_LINES):
            line = self.fp.readline(MAX_LINE_BYTES + 1)
            if line in HEAD_ENDS:
                return
            if not line.endswith(b"\n"):
                break
        raise http.client.IncompleteRead(b"")

    def _bodiless(self) -> bool:
        return self._method == "HEAD" or self.status in BODILESS


class Guard:
    """Ends a wait for bytes by time or when the caller went away.

    `until` is in monotonic seconds and may be moved between two reads.
    """

    def __init__(self, until: float, cancelled: Callable[[], bool]) -> None:
        """Creates the guard of one answer."""
        self.until = until
        self._cancelled = cancelled

    def wait(self, fileno: int) -> None:
        """Waits until the descriptor is readable.

        Raises:
            TimeoutError: it wasn't by `until`.
            CancelledError: the caller went away.
        """
        # Unlike select, poll takes descriptors of any number.
        poll = select.poll()
        poll.register(fileno, select.POLLIN)
        while True:
            left_s = max(0.0, self.until - runtime.now())
            # Bytes that came while the process was paused are taken all the same.
            if poll.poll(min(left_s, CANCEL_POLL_S) * 1000):
                return
            if not left_s:
                raise TimeoutError("no bytes in time")
            if self._cancelled():
                raise errors.CancelledError("caller went away")


class _GuardedReader(io.RawIOBase):
    """Reads from a socket's raw reader, each time after a guarded wait."""

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


class GuardedResponse(WholeResponse):
    """An answer whose reads wait under a guard.

    Without a declared length it ends with its connection.
    """

    unframed_allowed = True

    def __init__(self, *args, guard: Guard, **kwargs) -> None:
        """Creates the answer on a connection's socket."""
        super().__init__(*args, **kwargs)
        self.fp = io.BufferedReader(_GuardedReader(self.fp.detach(), guard))
