"""Ports on loopback for servers, each given to one process of the machine.

Each process reserves blocks of ports by binding the first port of a block for as long
as it lives. All blocks are below the ports that clients' connections are given.
"""

import random
import socket
import threading
from collections.abc import Iterator

FIRST_PORT = 10_000
BLOCK_SIZE = 100
BLOCK_COUNT = 220
RESERVATION_HOST = "127.0.0.1"


class NoFreePortError(Exception):
    """Every block of ports is reserved."""


def _is_free(host: str, port: int) -> bool:
    """Returns whether both a stream and a datagram socket can be bound."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True


class PortAllocator:
    """Gives out each port of its blocks once."""

    def __init__(self) -> None:
        """Creates an allocator without a block."""
        self._lock = threading.Lock()
        self._reservations: list[socket.socket] = []
        self._block: Iterator[int] = iter(())

    def allocate(self, count: int, host: str) -> list[int]:
        """Returns ports that are free on this address.

        Raises:
            NoFreePortError: other processes have reserved all blocks.
        """
        with self._lock:
            return [self._next(host) for _ in range(count)]

    def close(self) -> None:
        """Lets other allocators reserve the blocks."""
        for sock in self._reservations:
            sock.close()

    def _next(self, host: str) -> int:
        while True:
            for port in self._block:
                if _is_free(host, port):
                    return port
            self._block = self._reserve()

    def _reserve(self) -> Iterator[int]:
        for number in random.sample(range(BLOCK_COUNT), BLOCK_COUNT):
            first = FIRST_PORT + number * BLOCK_SIZE
            sock = socket.socket()
            try:
                sock.bind((RESERVATION_HOST, first))
            except OSError:
                sock.close()
                continue
            self._reservations.append(sock)
            return iter(range(first + 1, first + BLOCK_SIZE))
        raise NoFreePortError(f"all {BLOCK_COUNT} blocks are reserved")


_allocator = PortAllocator()


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Returns ports that are free and that no other process is given."""
    return _allocator.allocate(count, host)
