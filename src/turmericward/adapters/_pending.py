"""Connections on which an answer is awaited while another attempt is made.

Load pattern handled: targets that say nothing for a second or so and then go on. Their
connections stay open until another target is known to answer.
"""

import contextlib
import socket
from collections.abc import Callable, Iterator

import attrs

from turmericward.adapters import _connection


class PendingConnection:
    """A connection on which an answer is awaited, as seen from another attempt."""

    def __init__(
        self, sock: _connection.ObservedSocket, *, trickles: bool = False
    ) -> None:
        """Refers to an open connection without owning it.

        Args:
            sock: its socket.
            trickles: whether bytes have come that were no progress, so that further
                ones are no sign of it.
        """
        self._sock = sock
        self.watched = not trickles
        self.closed = False
        # Whether its target has ended it.
        self.lost = False
        # Connection of the attempt before this one, if that is open too.
        self.earlier: PendingConnection | None = None

    def all_watched(self) -> "Iterator[PendingConnection]":
        """Yields this connection and the earlier ones, as far as they are watched."""
        conn = self
        while conn is not None:
            if conn.watched:
                yield conn
            conn = conn.earlier

    def fileno(self) -> int:
        """Returns the connection's descriptor."""
        return self._sock.fileno()

    def has_bytes(self) -> bool:
        """Returns whether bytes can be read, rather than the connection's end."""
        return self._sock.has_bytes()

    def close(self) -> None:
        """Ends the connection; its owner still has to close the socket."""
        self.closed = True
        self.watched = False
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)


def give_up(_: PendingConnection) -> float:
    """Ends a wait that is over.

    Raises:
        TimeoutError: always.
    """
    raise TimeoutError("no bytes in time")


@attrs.frozen(kw_only=True)
class Watch:
    """What happens while a target is waited for; see `delivery.Dispatch`."""

    on_late: Callable[[PendingConnection], float] = give_up
    rival: PendingConnection | None = None


# A target that is late is given up.
NO_WATCH = Watch()
