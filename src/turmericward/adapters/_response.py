"""HTTP responses that are accepted only if they are complete."""

import http.client
import io
import re

from turmericward.adapters import _guard

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


class GuardedResponse(WholeResponse):
    """A response whose reads wait under a guard."""

    def __init__(self, *args, guard: _guard.Guard, **kwargs) -> None:
        """Creates the response on the socket of a connection."""
        super().__init__(*args, **kwargs)
        self.fp = io.BufferedReader(_guard.GuardedReader(self.fp.detach(), guard))
