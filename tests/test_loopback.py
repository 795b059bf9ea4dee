"""Ports that tests and stand-ins listen on."""

import contextlib
import socket

from standins import loopback
from tests import fixtures

check = fixtures.check
HOST = "127.0.0.1"
COUNT = 2 * loopback.BLOCK_SIZE


@contextlib.contextmanager
def _allocator():
    with contextlib.closing(loopback.PortAllocator()) as allocator:
        yield allocator


def test_two_processes_were_given_the_same_port():
    with _allocator() as one, _allocator() as other:
        given = [a.allocate(1, HOST)[0] for _ in range(COUNT) for a in (one, other)]
    check.assertEqual(len(set(given)), len(given))


def test_a_port_was_given_that_was_in_use_for_datagrams():
    with _allocator() as allocator, contextlib.ExitStack() as stack:
        (port,) = allocator.allocate(1, HOST)
        for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
            sock = stack.enter_context(socket.socket(socket.AF_INET, kind))
            port += 1
            sock.bind((HOST, port))
        check.assertEqual(allocator.allocate(1, HOST), [port + 1])
