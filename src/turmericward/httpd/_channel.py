"""Client connections of the HTTP server and the requests on them."""

import contextlib
import math
import socket
import threading

from waitress import channel, utilities

from turmericward import memory, runtime
from turmericward.httpd import (
    _gate,
    _idle,
    _linger,
    _outbuf,
    _parser,
    _shutdown,
    _tasks,
)

# How long a client may read nothing while its response waits to be sent.
MAX_STALL_S = 10.0
STALL_POLL_S = 0.5
# What the system keeps of a stream for its client, who still has to read it when the
# stream is broken off.
STREAM_BUFFER_BYTES = 128 * 1024


class Channel(channel.HTTPChannel):
    """A connection that is closed only when the client has had time to read.

    Its last activity is in monotonic seconds, not wall-clock time.
    """

    task_class = _tasks.Task
    parser_class = _parser.Parser
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
    # All responses use the first buffer, so that waitress never begins another.
    current_outbuf_count = property(lambda self: 0, lambda self, _: None)

    def __init__(self, server, sock, addr, adj, map=None) -> None:  # noqa: A002
        """Creates the channel of an accepted connection."""
        super().__init__(server, sock, addr, adj, map)
        self.outbufs = [_outbuf.Outbuf()]
        # Bytes of requests after those that wait already.
        self._unparsed = b""
        self._rejected: _parser.Parser | None = None
        self._account_lock = threading.Lock()

    @property
    def last_activity(self) -> float:
        """Time of the last byte sent or received."""
        return self._last_active_at

    @last_activity.setter
    def last_activity(self, _) -> None:
        self._last_active_at = runtime.now()

    def idle_state(self) -> _idle.IdleState | None:
        """Returns the idle state, or None while a request is in progress."""
        if self.requests or self.total_outbufs_len or self._unparsed:
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
        self.task_class = _tasks.RefusalTask if self.refuses else _tasks.Task
        self.refuses = False
        self._served = self._serving = True
        self._served_id = self.request_id
        try:
            super().service()
        except channel.ClientDisconnected:
            # Raised while it waits between two responses; no task follows.
            self._drop_requests(0)
        finally:
            self._serving = False
            self._count_output()

    def _drop_requests(self, first: int) -> None:
        """Frees the complete requests from the position `first` on."""
        with self.requests_lock:
            dropped, self.requests = self.requests[first:], self.requests[:first]
        for request in dropped:
            request.close()

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
            partial = self.request is not None or bool(self._unparsed)
            partial = partial and not closing
            if len(self.requests) > 1 or partial:
                return False
            self._discards = True
            return True

    @property
    def request_size(self) -> int:
        """Bytes of memory that the incomplete request holds or may use."""
        request = self.request
        return len(self._unparsed) + (0 if request is None else request.size)

    def readable(self) -> bool:
        """Returns whether bytes are to be read, for which there is memory."""
        if self._unparsed and super().readable():
            self._parse_later()
        if self._unparsed or not super().readable():
            return False
        return self.server.gate.admits(self, self.request)

    def _parse_later(self) -> None:
        """Parses bytes that were read with an earlier request."""
        try:
            self.received(b"")
        except Exception:
            # As after an error in `handle_read`.
            self.handle_error()
        else:
            self._count_input()

    def handle_read(self) -> None:
        """Reads bytes, but none once the stop's time is used up."""
        if self.server.shutdown.ended:
            return
        size = self.server.gate.read_size(self, self.request)
        if not size:
            return
        try:
            data = self.recv(size)
        except OSError:
            self.handle_close()
            return
        if not data:
            self.connected = False
            return
        self.last_activity = None
        self.received(data)
        self._count_input(len(data))

    def received(self, data: bytes) -> bool:
        """Parses bytes unless the last response has been announced."""
        with self.requests_lock:
            if self._discards or self.will_close or self.close_when_flushed:
                self._unparsed = b""
                return False
            self._unparsed += data
            lookahead = self.adj.channel_request_lookahead
            while self._unparsed and len(self.requests) <= lookahead:
                self._parse()
            rejected, self._rejected = self._rejected, None
        if rejected is not None:
            self._reject(rejected)
        return True

    def _parse(self) -> None:
        """Parses bytes of one request."""
        request = self.request or self.parser_class(self.adj)
        self.request = request
        consumed = request.received(self._unparsed)
        self._unparsed = self._unparsed[consumed:]
        if (
            request.expect_continue
            and request.headers_finished
            and not self.requests
            and not self.sent_continue
        ):
            self.send_continue()
        if request.completed:
            self.sent_continue = False
            self.request = None
            if not request.empty:
                self._append(request)

    def _append(self, request: _parser.Parser) -> None:
        if request.error is not None:
            # Its end isn't known.
            self._discards = True
            self._unparsed = b""
            if not self.requests:
                self._rejected = request
                return
        self.requests.append(request)
        if len(self.requests) == 1:
            self.server.add_task(self)

    def _reject(self, request: _parser.Parser) -> None:
        """Answers a request that isn't run, if no response has to come before."""
        self._served_id = request.headers.get(self.server.id_header, "")
        with contextlib.suppress(channel.ClientDisconnected):
            self.error_task_class(self, request).service()
        self.close_when_flushed = True

    def refuse(self, error: utilities.Error | None = None) -> bool:
        """Answers an incomplete request; its remaining bytes are not parsed.

        Args:
            error: the response; by default, that the server stops.

        Returns:
            Whether there was one.
        """
        with self.requests_lock:
            request, self.request = self.request, None
            if request is None:
                return False
            request.close()
            request.error = error or _tasks.RequestTimeoutError(
                "The server stops; the incomplete request was not run."
            )
            request.completed = True
            self._append(request)
            rejected, self._rejected = self._rejected, None
        if rejected is not None:
            self._reject(rejected)
        self._count_input()
        return True

    def _count_input(self, received: int = 0) -> None:
        """Accounts for incomplete and waiting requests; by the event loop's thread."""
        gate = self.server.gate
        if self.request is None or not self.connected:
            gate.end_wait(self)
        size = self.request_size if self.connected else 0
        gate.account.set(self, memory.Kind.REQUEST, size, gate.now, received)
        self._count_output()

    def _count_output(self, sent: int = 0) -> None:
        """Accounts for complete requests and unsent bytes; by any thread."""
        gate = self.server.gate
        with self._account_lock:
            size = sum(request.size for request in list(self.requests))
            gate.account.set(self, memory.Kind.WORK, size, gate.now)
            unsent = self.total_outbufs_len if self.connected else 0
            gate.account.set(self, memory.Kind.RESPONSE, unsent, gate.now, sent)

    def write_soon(self, data: bytes) -> int:
        """Sends bytes, or holds those that the client doesn't take yet."""
        count = super().write_soon(data)
        self._count_output()
        return count

    def handle_write(self) -> None:
        """Sends bytes that wait."""
        unsent = self.total_outbufs_len
        super().handle_write()
        self._count_output(max(0, unsent - self.total_outbufs_len))

    def _flush_outbufs_below_high_watermark(self) -> None:
        """Waits, in a worker thread, until the client has read.

        It may hold the lock, which is reentrant: waitress calls this without it
        between two responses.

        Raises:
            ClientDisconnected: it has read nothing for too long.
        """
        with self.outbuf_lock:
            self._wait_until_read()

    def _wait_until_read(self) -> None:
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
        if self.socket is None:
            return False
        return bool(self._unparsed) or _linger.has_unread(self.socket)

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

    def give_way(self) -> bool:
        """Ends a connection without progress, to make room; returns whether it did.

        An incomplete request is refused. With unread bytes the connection is kept.
        """
        if self.has_unread():
            return False
        if self.request is None:
            self.handle_close()
            return True
        return self.refuse(_gate.IdleRefusal("It made no progress and was not run."))

    def handle_close(self) -> None:
        """Ends the connection for requests and lets its socket linger."""
        sock = self._detach()
        if sock is not None:
            _linger.close(sock, self._map, self.server.lingering)

    def _detach(self) -> socket.socket | None:
        """Ends the connection for requests; returns its socket, None if closed."""
        # While it is connected a worker has a task for those that follow the first.
        self._drop_requests(1)
        with self.outbuf_lock:
            # Worker threads don't use the socket once it isn't connected.
            self.connected = False
            sock, self.socket = self.socket, None
            whole = self.response_is_whole and not self.total_outbufs_len
        super().handle_close()
        self._release_input()
        if sock is not None and self.close_ends_response and not whole:
            _linger.reset(sock)
            return None
        return sock

    def _release_input(self) -> None:
        """Frees the memory of the incomplete request."""
        with self.requests_lock:
            request, self.request = self.request, None
            self._unparsed = b""
        if request is not None:
            request.close()
        self._count_input()
        self.server.gate.forget(self)
