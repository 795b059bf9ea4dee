"""Clients that make a server hold memory, on one thread and few descriptors each."""

import contextlib
import selectors
import socket
import time
from collections.abc import Callable, Iterator

import attrs

SEND_BYTES = 65536
POLL_S = 0.1
# Without a byte that any server accepts for this time, a crowd has sent what it can.
QUIET_S = 2.0


def head(path: str, length: int | None) -> bytes:
    """Returns the head of a POST request, chunked if `length` is None."""
    framing = (
        "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    )
    return f"POST {path} HTTP/1.1\r\nHost: api.example\r\n{framing}\r\n\r\n".encode()


def chunk(size: int) -> bytes:
    """Returns one chunk of a body."""
    return b"%x\r\n%s\r\n" % (size, b"x" * size)


def with_length(length: int, sent: int, piece: int = SEND_BYTES) -> Iterator[bytes]:
    """Yields a request of which `sent` bytes of the body are sent."""
    yield head("/write/x", length)
    for start in range(0, sent, piece):
        yield b"x" * min(piece, sent - start)


def in_chunks(size: int, count: int, end: bytes = b"") -> Iterator[bytes]:
    """Yields a request with chunks of one size, without its end by default."""
    yield head("/write/x", None)
    per_send = max(1, SEND_BYTES // (size + 5))
    for start in range(0, count, per_send):
        yield chunk(size) * min(per_send, count - start)
    yield end


def unterminated(begin: bytes, part: bytes, size: int) -> Iterator[bytes]:
    """Yields a chunked request of which one part has no end."""
    yield head("/write/x", None) + begin
    for _ in range(0, size, SEND_BYTES):
        yield part * (SEND_BYTES // len(part))


@attrs.define(eq=False)
class _Client:
    sock: socket.socket
    pieces: Iterator[bytes]
    unsent: bytes = b""
    ended: bool = False

    def write(self) -> bool:
        """Sends what the socket takes; returns whether that is any."""
        if not self.unsent:
            self.unsent = next(self.pieces, b"")
        if not self.unsent:
            self.ended = True
            return False
        try:
            count = self.sock.send(self.unsent)
        except BlockingIOError:
            return False
        except OSError:
            self.ended = True
            return False
        self.unsent = self.unsent[count:]
        return True


class Crowd:
    """Connections that send, and never read, until they are closed."""

    def __init__(
        self, address: str, count: int, script: Callable[[], Iterator[bytes]]
    ) -> None:
        """Connects.

        Args:
            address: the server's address.
            count: number of connections.
            script: returns what one of them sends.
        """
        host, _, port = address.rpartition(":")
        self._clients = [
            _Client(socket.create_connection((host, int(port)), 10), script())
            for _ in range(count)
        ]

    def send(self, max_s: float, observe: Callable[[], None]) -> None:
        """Sends until nothing has been accepted for `QUIET_S`.

        Args:
            max_s: bounds the time.
            observe: called meanwhile.
        """
        began = moved_at = now = time.monotonic()
        with selectors.DefaultSelector() as selector:
            for client in self._clients:
                client.sock.setblocking(False)
                selector.register(client.sock, selectors.EVENT_WRITE, client)
            while now - moved_at < QUIET_S and now - began < max_s:
                for key, _ in selector.select(POLL_S):
                    if key.data.write():
                        moved_at = now
                    if key.data.ended:
                        selector.unregister(key.fileobj)
                observe()
                now = time.monotonic()

    def close(self) -> None:
        """Closes all connections."""
        for client in self._clients:
            with contextlib.suppress(OSError):
                client.sock.close()
