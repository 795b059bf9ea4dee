"""Connections to targets that keep how they have ended.

Load pattern handled: targets whose connections are reset while another call looks at
them. The system reports a reset once, to whichever call comes first: a look, a write, a
read. Every later read sees an end in order, which an answer without a length takes for
its own. Also targets that crash while their bytes are held up, or this process stands
still: their end is read long after it was sent, and another process listens by then.
"""

import enum
import errno
import http.client
import math
import select
import socket

from turmericward import runtime

# A target that crashes doesn't listen again within this time.
MIN_RESTART_S = 1.0
# What was held up on the way is read within this time once it passes.
BACKLOG_S = 0.5
# Errors of a call that say nothing of the connection; None is that of a timeout.
_NOT_ENDED = frozenset({None, errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR})


class Ending(enum.Enum):
    """How a connection has ended."""

    OPEN = "open"
    IN_ORDER = "in_order"
    RESET = "reset"
    CLOSED_HERE = "closed_here"


class ObservedSocket(socket.socket):
    """A socket whose reads tell an end in order from every other one.

    `ending` is kept until the socket is closed, whoever learnt it.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Takes over the descriptor of a connected socket."""
        timeout_s = sock.gettimeout()
        super().__init__(sock.family, sock.type, sock.proto, fileno=sock.detach())
        self.settimeout(timeout_s)
        self.ending = Ending.OPEN
        # When bytes were last read or written, and when the last silence was over in
        # which the peer may have restarted.
        self._active_at = runtime.now()
        self._silent_until = -math.inf

    def recv_into(self, buffer, nbytes: int = 0, flags: int = 0) -> int:
        """Reads into a buffer; returns 0 only at an end in order.

        Raises:
            ConnectionError: the connection has ended otherwise, now or earlier.
            OSError: as for other sockets.
        """
        count = self._observed(super().recv_into, buffer, nbytes, flags)
        if not count and len(buffer):
            self._check_end()
        return count

    def send(self, data, flags: int = 0) -> int:
        """Writes as for other sockets."""
        return self._observed(super().send, data, flags)

    def sendall(self, data, flags: int = 0) -> None:
        """Writes all as for other sockets."""
        self._observed(super().sendall, data, flags)

    def shutdown(self, how: int) -> None:
        """Ends one side or both; reads after the end of the reading side fail."""
        if how != socket.SHUT_WR and self.ending is Ending.OPEN:
            self.ending = Ending.CLOSED_HERE
        super().shutdown(how)

    def has_bytes(self) -> bool:
        """Returns whether bytes can be read; uses up no error."""
        try:
            return runtime.unread_bytes(self) > 0
        except OSError:
            return False

    def _observed(self, operation, *args):
        try:
            value = operation(*args)
        except OSError as exc:
            if exc.errno not in _NOT_ENDED:
                self.ending = Ending.RESET
            raise
        self._record_activity(runtime.now())
        return value

    def _record_activity(self, now: float) -> None:
        if now - self._active_at >= MIN_RESTART_S:
            self._silent_until = now
        self._active_at = now

    def ended_promptly(self) -> bool:
        """Returns whether the last bytes, or the end, were read as they were sent.

        If not, they came right after a silence, which may have been one of this
        process, or it has stood still since. Their sender may have ended, and its
        successor listen, long before.
        """
        is_recent = runtime.now() - self._active_at < MIN_RESTART_S
        return is_recent and self._active_at - self._silent_until >= BACKLOG_S

    def ended_in_order(self) -> bool:
        """Returns whether the peer has ended the connection and not reset it since."""
        if self.ending is Ending.IN_ORDER and self.fileno() >= 0 and self._is_reset():
            self.ending = Ending.RESET
        return self.ending is Ending.IN_ORDER

    def _check_end(self) -> None:
        if self.ending is Ending.OPEN:
            self.ending = Ending.IN_ORDER
        if self.ended_in_order():
            return
        if self.ending is Ending.CLOSED_HERE:
            raise ConnectionAbortedError("connection was closed here")
        raise ConnectionResetError("connection was reset, or ended too early")

    def _is_reset(self) -> bool:
        """Returns whether an end in order was followed by a reset, or will be.

        A peer that has ended its side before its system had all that was sent resets
        the connection when the rest arrives.
        """
        poll = select.poll()
        poll.register(self, 0)
        if any(event & select.POLLERR for _, event in poll.poll(0)):
            return True
        return runtime.unacknowledged_bytes(self) > 0


class HTTPConnection(http.client.HTTPConnection):
    """An HTTP connection on an observed socket, which doesn't reconnect by itself."""

    # An automatic reconnect could send a request twice.
    auto_open = 0

    def connect(self) -> None:
        """Connects; see `http.client`."""
        super().connect()
        self.sock = ObservedSocket(self.sock)
