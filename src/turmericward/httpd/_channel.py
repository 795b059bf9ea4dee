"""Client connections of the HTTP server and the requests on them."""

from waitress import channel, parser, task

from turmericward import runtime
from turmericward.httpd import _idle, _linger

RECEIVED_AT_KEY = "turmericward.received"


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

    def received(self, data: bytes) -> int:
        """Parses bytes; returns how many belong to this request."""
        consumed = super().received(data)
        if self.completed and not self.received_at:
            self.received_at = runtime.now()
        return consumed


class Task(task.WSGITask):
    """Closes the connection after the response while the server drains."""

    def get_environment(self) -> dict:
        """Adds the time of the request's last byte."""
        environ = super().get_environment()
        environ[RECEIVED_AT_KEY] = self.request.received_at
        return environ

    def build_response_header(self) -> bytes:
        """Announces that the connection will be closed."""
        if self.channel.server.draining:
            self.set_close_on_finish()
        return super().build_response_header()


class Channel(channel.HTTPChannel):
    """A connection that is closed only when the client has had time to read.

    Its last activity is in monotonic seconds, not wall-clock time.
    """

    task_class = Task
    parser_class = Parser
    _last_active_at = 0.0

    @property
    def last_activity(self) -> float:
        """Time of the last byte sent or received."""
        return self._last_active_at

    @last_activity.setter
    def last_activity(self, _) -> None:
        self._last_active_at = runtime.now()

    def idle_state(self) -> _idle.IdleState | None:
        """Returns the idle state, or None while a request is in progress."""
        if self.requests or self.total_outbufs_len:
            return None
        header_started_at = None
        if self.request is not None and not self.request.headers_finished:
            header_started_at = self.request.header_started_at
        return _idle.IdleState(
            connection=self,
            last_active_at=self._last_active_at,
            header_started_at=header_started_at,
        )

    def close_idle(self) -> bool:
        """Closes the connection unless bytes are unread; returns whether it did.

        Called in the event loop's thread, so that no bytes are read between the check
        and the end of the sending side.
        """
        if self.socket is None or _linger.has_unread(self.socket):
            return False
        self.handle_close()
        return True

    def handle_close(self) -> None:
        """Ends the connection for requests and lets its socket linger."""
        with self.outbuf_lock:
            # Worker threads don't use the socket once it isn't connected.
            self.connected = False
            sock, self.socket = self.socket, None
        super().handle_close()
        if sock is not None:
            _linger.close(sock, self._map, self.server.lingering)
