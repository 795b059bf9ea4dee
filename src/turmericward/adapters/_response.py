"""HTTP responses that are accepted only if they are complete."""

import contextlib
import http.client
import io
import re
import select
from collections.abc import Callable

from turmericward import runtime
from turmericward.adapters import _pending, errors

CANCEL_POLL_S = 0.2
HEAD_TERMINATORS = (b"\r\n", b"\n")
BODILESS_STATUSES = frozenset({204, 304})
# http.client itself limits neither interim (1xx) responses nor trailer lines.
MAX_INTERIM_HEADS = 8
MAX_TRAILER_LINES = 100
MAX_LINE_BYTES = 65_536
MAX_LENGTH = 2**31 - 1
_LENGTH = re.compile(r"[0-9]{1,19}", re.ASCII)
_CHUNK_SIZE = re.compile(rb"[0-9a-fA-F]{1,7}")


class _LastLineReader:
    """Wraps a file and records the last line read from it."""

    def __init__(self, file) -> None:
        self._file = file
        self.last = b""

    def readline(self, limit: int = -1) -> bytes:
        self.last = self._file.readline(limit)
        return self.last

    def __getattr__(self, name: str):
        return getattr(self._file, name)


class WholeResponse(http.client.HTTPResponse):
    """Rejects a truncated head, and a body whose end is declared ambiguously.

    http.client treats the end of the connection as the end of the head, and a
    malformed length as none. A body that declares neither a length nor chunks ends
    with the connection.
    """

    _head_count = 0

    def begin(self) -> None:
        """Reads the status line and the headers.

        Raises:
            http.client.HTTPException: the head is truncated, or it doesn't tell for
                certain where the body ends.
        """
        file = self.fp
        self.fp = _LastLineReader(file)
        super().begin()
        complete = self.fp.last in HEAD_TERMINATORS
        self.fp = file
        if not complete:
            raise http.client.IncompleteRead(b"")
        self._check_framing()

    def _check_framing(self) -> None:
        lengths = self.headers.get_all("Content-Length", [])
        codings = self.headers.get_all("Transfer-Encoding", [])
        if not lengths and not codings:
            return
        if len(lengths) + len(codings) > 1:
            raise http.client.HTTPException("response declares its length twice")
        if codings and not self.chunked:
            raise http.client.HTTPException(f"unknown transfer coding {codings[0]!r}")
        if lengths and not _LENGTH.fullmatch(lengths[0].strip()):
            raise http.client.HTTPException(f"malformed length {lengths[0]!r:.80}")
        if lengths and int(lengths[0]) > MAX_LENGTH:
            raise http.client.HTTPException(f"length {lengths[0]} is too large")

    @property
    def unframed(self) -> bool:
        """Whether the body ends with the connection."""
        return self.length is None and not self.chunked and not self._has_no_body()

    def _read_status(self):
        # http.client skips any number of interim responses.
        self._head_count += 1
        if self._head_count > MAX_INTERIM_HEADS:
            raise http.client.HTTPException("too many interim responses")
        return super()._read_status()

    def _read_next_chunk_size(self) -> int:
        # http.client accepts signs, underscores and sizes beyond the memory.
        line = self.fp.readline(MAX_LINE_BYTES + 1)
        size = line.partition(b";")[0].strip(b" \t\r\n")
        if not line.endswith(b"\n") or not _CHUNK_SIZE.fullmatch(size):
            self._close_conn()
            raise ValueError(f"malformed chunk size {size[:20]!r}")
        return int(size, 16)

    def _read_and_discard_trailer(self) -> None:
        # http.client skips any number of lines, and accepts the end of the
        # connection as the end of the trailer.
        for _ in range(MAX_TRAILER_LINES):
            line = self.fp.readline(MAX_LINE_BYTES + 1)
            if line in HEAD_TERMINATORS:
                return
            if not line.endswith(b"\n"):
                break
        raise http.client.IncompleteRead(b"")

    def _has_no_body(self) -> bool:
        return self._method == "HEAD" or self.status in BODILESS_STATUSES


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


class _GuardedReader(io.RawIOBase):
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


class GuardedResponse(WholeResponse):
    """A response whose reads wait under a guard."""

    def __init__(self, *args, guard: Guard, **kwargs) -> None:
        """Creates the response on the socket of a connection."""
        super().__init__(*args, **kwargs)
        self.fp = io.BufferedReader(_GuardedReader(self.fp.detach(), guard))
