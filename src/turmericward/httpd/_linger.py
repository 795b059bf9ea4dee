"""Lingering close of connections (RFC 9112, 9.6)."""

import fcntl
import socket
import struct
import termios

from waitress import wasyncore

from turmericward import runtime

# Time without progress, and in all, for which a closed connection is read on.
LINGER_S = 2.0
MAX_LINGER_S = 30.0
DISCARD_BYTES = 65536


def has_unread(sock: socket.socket) -> bool:
    """Returns whether bytes of the client are waiting to be read."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


def unacknowledged(sock: socket.socket) -> int:
    """Returns the bytes written that the client hasn't acknowledged, 1 for the end."""
    try:
        # For sockets, this request is SIOCOUTQ.
        raw = fcntl.ioctl(sock, termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError:
        return 0
    return struct.unpack("i", raw)[0]


class Lingering(wasyncore.dispatcher):
    """The reading side of a connection on which nothing more is sent.

    Closing a socket with unread bytes, or that receives bytes later, resets the
    connection, which may destroy the last response before the client has read it. So
    bytes are read and discarded until the client closes.
    """

    def __init__(self, sock: socket.socket, map_: dict, registry: set) -> None:
        """Adds itself to the event loop's map and to `registry` until it is closed."""
        super().__init__(sock, map_)
        self.connected = True
        self._registry = registry
        self._started_at = self._progress_at = runtime.now()
        self._unacknowledged = unacknowledged(sock)
        registry.add(self)

    @property
    def unacknowledged(self) -> int:
        """Bytes that the client hasn't acknowledged."""
        return 0 if self.socket is None else unacknowledged(self.socket)

    def writable(self) -> bool:
        """Nothing more is sent."""
        return False

    def handle_read(self) -> None:
        """Discards bytes; closes at the end of the client's side."""
        try:
            data = self.socket.recv(DISCARD_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            self._progress_at = runtime.now()
        else:
            self.close()

    def handle_expt(self) -> None:
        """Urgent bytes are ignored as well."""

    def handle_close(self) -> None:
        """Closes after an error."""
        self.close()

    def close(self) -> None:
        """Closes the socket."""
        super().close()
        self._registry.discard(self)

    def close_expired(self, now: float) -> None:
        """Closes if there was no progress in either direction for too long."""
        left = self.unacknowledged
        if left < self._unacknowledged:
            self._progress_at = now
        self._unacknowledged = left
        idle_s, age_s = now - self._progress_at, now - self._started_at
        if idle_s > LINGER_S or age_s > MAX_LINGER_S:
            self.close()


def close(sock: socket.socket, map_: dict, registry: set) -> None:
    """Ends the sending side, and closes the socket when the client has closed."""
    try:
        sock.shutdown(socket.SHUT_WR)
        closed = not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        closed = False
    except OSError:
        closed = True
    if closed:
        sock.close()
    else:
        Lingering(sock, map_, registry)
