"""HTTP responses that are accepted only if they are complete."""

import http.client
import io

from turmericward.adapters import _connection, _guard, _head

# http.client itself doesn't limit the number of interim (1xx) responses.
MAX_INTERIM_HEADS = 8


class WholeResponse(http.client.HTTPResponse):
    """Reads head and framing by the grammar, and rejects what is truncated.

    http.client drops header lines that it doesn't understand and all after them, takes
    the end of the connection for the end of the head, and a malformed length for none.
    A body that declares neither a length nor chunks ends with the connection.
    """

    def begin(self) -> None:
        """Reads the status line and the headers.

        Raises:
            http.client.HTTPException: the head is truncated or malformed, or it doesn't
                tell for certain where the body ends.
        """
        if self.headers is not None:
            return
        head = self._read_final_head()
        self.version = 11 if head.minor_version else 10
        self.code = self.status = head.status
        self.reason = head.reason
        self.headers = self.msg = http.client.HTTPMessage()
        for name, value in head.fields:
            self.headers[name] = value
        self.length = head.length
        self.chunked = head.chunked
        self.chunk_left = None
        self.will_close = self._check_close() or self.unframed

    def _read_final_head(self) -> _head.Head:
        if not self.fp.peek(1):
            raise http.client.RemoteDisconnected("connection closed without a response")
        for _ in range(MAX_INTERIM_HEADS):
            lines = _head.read_lines(self.fp)
            head = _head.decode_head(lines, bodiless=self._method == "HEAD")
            if not head.interim:
                return head
        raise _head.MalformedResponseError("too many interim responses")

    @property
    def unframed(self) -> bool:
        """Whether the body ends with the connection."""
        return self.length is None and not self.chunked

    def _get_chunk_left(self) -> int | None:
        """Returns how much of the chunk is left, None after the last one."""
        # http.client accepts any bytes in the place of a chunk's end.
        if self.chunk_left:
            return self.chunk_left
        if self.chunk_left is not None:
            self._read_chunk_end()
        line = _head.read_line(self.fp, _head.MAX_CHUNK_LINE_BYTES)
        self.chunk_left = _head.decode_chunk_size(line) or None
        if self.chunk_left is None:
            _head.check_trailer(_head.read_lines(self.fp))
            self._close_conn()
        return self.chunk_left

    def _read_chunk_end(self) -> None:
        end = self._safe_read(len(_head.CRLF))
        if end != _head.CRLF:
            raise _head.MalformedResponseError(f"chunk ends in {end!r}")


class GuardedResponse(WholeResponse):
    """A response whose reads wait under a guard."""

    def __init__(
        self, sock: _connection.ObservedSocket, *args, guard: _guard.Guard, **kwargs
    ) -> None:
        """Creates the response on the socket of a connection."""
        super().__init__(sock, *args, **kwargs)
        self._sock = sock
        # Until `close`, the connection of an unframed body is kept after its end: it
        # still tells whether a reset follows.
        self._kept = True
        reader = _guard.GuardedReader(self.fp.detach(), sock, guard)
        self.fp = io.BufferedReader(reader)

    def ended_in_order(self) -> bool:
        """Returns whether its target has ended the connection, not by a reset.

        Of an unframed response, this is asked until `close`: a reset may follow.
        """
        return self._sock.ended_in_order()

    def ended_promptly(self) -> bool:
        """Returns whether the end was read as it was sent, as far as can be told."""
        return self._sock.ended_promptly()

    def _close_conn(self) -> None:
        if not (self._kept and self.unframed):
            super()._close_conn()

    def close(self) -> None:
        """Closes the response, and its connection if that isn't used further."""
        self._kept = False
        super().close()
