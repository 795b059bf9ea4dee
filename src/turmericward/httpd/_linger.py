"""Lingering close of connections (RFC 9112, 9.6)."""

import socket
import struct

from waitress import wasyncore

from turmericward import runtime

# How long a closed connection is kept without progress once the client has
# acknowledged everything, and before.
LINGER_S = 2.0
STALLED_S = 30.0
# After this time, bytes that the client sends are no progress.
MAX_LINGER_S = 30.0
DISCARD_BYTES = 65536


def has_unread(sock: socket.socket) -> bool:
    """Returns whether bytes of the client are waiting to be read."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


def unacknowledged(sock: socket.socket) -> int:
    """Returns the bytes that the client hasn't acknowledged, 0 if it is closed."""
    try:
        return runtime.unacknowledged_bytes(sock)
    except OSError:
        return 0


def reset(sock: socket.socket) -> None:
    """Closes the socket so that the client sees an error, not an end."""
    # A linger time of 0 s.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


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
        self.started_at = self._progress_at = runtime.now()
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
        if not data:
            self.close()
            return
        now = runtime.now()
        if now - self.started_at < MAX_LINGER_S:
            self._progress_at = now

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
        if now - self._progress_at > (STALLED_S if left else LINGER_S):
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
