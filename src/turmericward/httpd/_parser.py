"""Parser of requests, whose bodies are held in memory."""

from waitress import parser

from turmericward import runtime
from turmericward.httpd import _heads, _receivers

# What a header field takes beyond its bytes: two strings and a place in a table.
FIELD_BYTES = 160


class Parser(parser.HTTPRequestParser):
    """Records when a request was complete; closes connections with unclear framing."""

    received_at = 0.0

    def __init__(self, adj) -> None:
        """Creates the parser of the request whose first bytes have come."""
        super().__init__(adj)
        self.header_started_at = runtime.now()

    def parse_header(self, header_plus: bytes) -> None:
        """Parses the header."""
        super().parse_header(header_plus)
        if self.chunked and "CONTENT_LENGTH" in self.headers:
            # With both headers, a proxy may see a different end of the body, so that
            # bytes after it must not be read as a request (request smuggling).
            self.headers["CONNECTION"] = "close"
        if self.chunked:
            max_bytes = self.adj.max_request_body_size
            self.body_rcv = _receivers.ChunkedReceiver(max_bytes)
        elif self.body_rcv is not None:
            self.body_rcv = _receivers.FixedReceiver(self.content_length)
        self.header_plus = b""
        if self.chunked or self.content_length > _heads.MAX_UNCHECKED_BODY_BYTES:
            self._check_head()

    def _check_head(self) -> None:
        """Completes a request that is refused by its head; its body isn't read."""
        check = getattr(self.adj, "check_head", None)
        if check is None:
            return
        refusal = check(_heads.Head(target=self.request_uri, headers=self.headers))
        if refusal is None:
            return
        self.error = _heads.RefusedHeadError(refusal)
        # The client may go on with its body after a 100 (Continue).
        self.expect_continue = False
        self.completed = True

    @property
    def is_costly(self) -> bool:
        """Whether the next bytes take much time to parse."""
        if self.body_rcv is None:
            return not self.completed
        return self.body_rcv.is_costly

    @property
    def size(self) -> int:
        """Bytes of memory that the request holds or may use."""
        if not self.headers_finished:
            return len(self.header_plus)
        size = self.header_bytes_received + FIELD_BYTES * len(self.headers)
        return size if self.body_rcv is None else size + self.body_rcv.size

    def received(self, data: bytes) -> int:
        """Parses bytes; returns how many belong to this request."""
        if self.body_rcv is None or self.completed:
            consumed = super().received(data)
        else:
            consumed = self._receive_body(data)
        if self.error is not None:
            self.close()
        if self.completed and not self.received_at:
            self.received_at = runtime.now()
        return consumed

    def _receive_body(self, data: bytes) -> int:
        receiver = self.body_rcv
        consumed = receiver.received(data)
        self.error = receiver.error
        self.completed = receiver.completed or self.error is not None
        if self.completed and self.chunked:
            # The application sees a body with a length.
            self.headers["CONTENT_LENGTH"] = str(len(receiver))
        return consumed
