"""An HTTP answer that is taken only when it is whole."""

import http.client

HEAD_ENDS = (b"\r\n", b"\n")
BODILESS = frozenset({204, 304})


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
        if self.length is None and not self.chunked and not self._bodiless():
            raise http.client.HTTPException("answer does not declare its length")

    def _bodiless(self) -> bool:
        return self._method == "HEAD" or self.status in BODILESS
