"""What the system holds of a connection's bytes."""

import fcntl
import socket
import struct
import termios


def unread_bytes(sock: socket.socket) -> int:
    """Returns the bytes that the peer has sent and nobody has read.

    Unlike a look at them, this uses no error of the connection up.

    Raises:
        OSError: the socket is closed.
    """
    return _count(sock, termios.FIONREAD)


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Returns the bytes written that the peer hasn't acknowledged, 1 for the end.

    Raises:
        OSError: the socket is closed.
    """
    # For sockets, this request is SIOCOUTQ.
    return _count(sock, termios.TIOCOUTQ)


def _count(sock: socket.socket, request: int) -> int:
    return struct.unpack("i", fcntl.ioctl(sock, request, struct.pack("i", 0)))[0]
