"""Client connections of the HTTP server and the requests on them."""

import contextlib
import math
import socket

from waitress import channel, parser, task, utilities

from turmericward import runtime
from turmericward.httpd import _heads, _idle, _linger, _shutdown

RECEIVED_AT_KEY = "turmericward.received"
# Other instances may take the request at once.
REFUSAL_RETRY_AFTER_S = 0.5
# How long a client may read nothing while its response waits to be sent.
MAX_STALL_S = 10.0
STALL_POLL_S = 0.5
# What the system keeps of a stream for its client, who still has to read it when the
# stream is broken off.
STREAM_BUFFER_BYTES = 128 * 1024


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

    def received(self, data: bytes) -> int:
        """Parses bytes; returns how many belong to this request."""
        consumed = super().received(data)
        if self.completed and not self.received_at:
            self.received_at = runtime.now()
        return consumed


class RequestTimeoutError(utilities.Error):
    """Response to a request that isn't complete when the server stops."""

    code = 408
    reason = "Request Timeout"


class Task(task.WSGITask):
    """Closes the connection after the last response while the server stops."""

    def get_environment(self) -> dict:
        """Adds the time of the request's last byte."""
        environ = super().get_environment()
        environ[RECEIVED_AT_KEY] = self.request.received_at
        return environ

    def build_response_header(self) -> bytes:
        """Announces the close if no further response follows."""
        if self.channel.mark_last_response():
            self.request.headers["CONNECTION"] = "close"
        header = super().build_response_header()
        has_length = any(n == "Content-Length" for n, _ in self.response_headers)
        if not has_length:
            self.channel.bound_send_buffer()
        self.channel.response_is_whole = False
        self.channel.close_ends_response = self.has_body and not (
            self.chunked_response or has_length
        )
        return header

    def finish(self) -> None:
        """Completes the response."""
        super().finish()
        self.channel.response_is_whole = True


class RefusalTask(Task):
    """Answers that the request wasn't run, without the application."""

    # waitress writes no response that isn't.
    complete = True

    def execute(self) -> None:
        """Writes the response."""
        self.status = "503 Service Unavailable"
        self.response_headers = [
            ("Content-Length", "0"),
            ("Retry-After", f"{REFUSAL_RETRY_AFTER_S:.2f}"),
        ]
        self.content_length = 0
        self.write(b"")


class Channel(channel.HTTPChannel):
    """A connection that is closed only when the client has had time to read.

    Its last activity is in monotonic seconds, not wall-clock time.
    """

    task_class = Task
    parser_class = Parser
    _last_active_at = 0.0
    _served = False
    _serving = False
    _discards = False
    # Whether the next request is refused.
    refuses = False
    # Whether the client knows the end of the response by the close alone (HTTP/1.0).
    close_ends_response = False
    response_is_whole = False
    _served_id = ""

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

    def state(self) -> _shutdown.State:
        """Returns the progress of the connection; for the event loop's thread."""
        if self.requests:
            running = self._serving
            return _shutdown.State.RUNNING if running else _shutdown.State.WAITING
        if self.total_outbufs_len or self.close_when_flushed:
            return _shutdown.State.FLUSHING
        if self.request is not None:
            in_header = not self.request.headers_finished
            return _shutdown.State.HEADER if in_header else _shutdown.State.BODY
        return _shutdown.State.IDLE if self._served else _shutdown.State.NEW

    def service(self) -> None:
        """Answers the first request; called by a worker thread."""
        self.task_class = RefusalTask if self.refuses else Task
        self.refuses = False
        self._served = self._serving = True
        self._served_id = self.request_id
        try:
            super().service()
        finally:
            self._serving = False

    @property
    def request_id(self) -> str:
        """Id of the first request, or of the one whose response is being sent."""
        first = next(iter(self.requests), None)
        if first is None:
            return self._served_id
        return first.headers.get(self.server.id_header, "")

    @property
    def waiting_since(self) -> float:
        """Time at which the first request was complete, infinite without one."""
        first = next(iter(self.requests), None)
        return math.inf if first is None else first.received_at

    def mark_last_response(self) -> bool:
        """Makes the next response the last one, if it has to be; returns whether it is.

        While the server stops, that is so unless another request was read already.
        Bytes that come later are discarded.
        """
        shutdown = self.server.shutdown
        if not shutdown.began:
            return False
        with self.requests_lock:
            closing = shutdown.phase is _shutdown.Phase.CLOSING
            partial = self.request is not None and not closing
            if len(self.requests) > 1 or partial:
                return False
            self._discards = True
            return True

    def handle_read(self) -> None:
        """Reads bytes, but none once the stop's time is used up."""
        if not self.server.shutdown.ended:
            super().handle_read()

    def received(self, data: bytes) -> bool:
        """Parses bytes unless the last response has been announced."""
        return not self._discards and super().received(data)

    def refuse(self) -> None:
        """Answers an incomplete request; its remaining bytes are not parsed."""
        with self.requests_lock:
            request, self.request = self.request, None
            request.error = RequestTimeoutError(
                "The server stops; the incomplete request was not run."
            )
            request.completed = True
            self._discards = True
            self.requests.append(request)
        self.server.add_task(self)

    def _flush_outbufs_below_high_watermark(self) -> None:
        """Waits, in a worker thread that holds the lock, until the client has read.

        Raises:
            ClientDisconnected: it has read nothing for too long.
        """
        limit = self.adj.outbuf_high_watermark
        least = self.total_outbufs_len
        stalled_since = runtime.now()
        while self.connected and self.total_outbufs_len > limit:
            self.server.pull_trigger()
            self.outbuf_lock.wait(STALL_POLL_S)
            if self.total_outbufs_len < least:
                least, stalled_since = self.total_outbufs_len, runtime.now()
            elif runtime.now() - stalled_since >= MAX_STALL_S:
                # Ends the connection in the event loop too.
                with contextlib.suppress(OSError):
                    self.socket.shutdown(socket.SHUT_RDWR)
                raise channel.ClientDisconnected

    def bound_send_buffer(self) -> None:
        """Bounds what the system keeps of the response that begins."""
        with contextlib.suppress(OSError, AttributeError):
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, STREAM_BUFFER_BYTES
            )

    def has_unread(self) -> bool:
        """Returns whether bytes of the client are waiting to be read."""
        return self.socket is not None and _linger.has_unread(self.socket)

    def cut(self) -> None:
        """Closes the socket as it is."""
        sock = self._detach()
        if sock is not None:
            sock.close()

    def close_idle(self) -> bool:
        """Closes the connection unless bytes are unread; returns whether it did.

        Called in the event loop's thread, so that no bytes are read between the check
        and the end of the sending side.
        """
        if self.has_unread():
            return False
        self.handle_close()
        return True

    def handle_close(self) -> None:
        """Ends the connection for requests and lets its socket linger."""
        sock = self._detach()
        if sock is not None:
            _linger.close(sock, self._map, self.server.lingering)

    def _detach(self) -> socket.socket | None:
        """Ends the connection for requests; returns its socket, None if closed."""
        with self.outbuf_lock:
            # Worker threads don't use the socket once it isn't connected.
            self.connected = False
            sock, self.socket = self.socket, None
            whole = self.response_is_whole and not self.total_outbufs_len
        super().handle_close()
        if sock is not None and self.close_ends_response and not whole:
            _linger.reset(sock)
            return None
        return sock
