"""A link between a front and a replica that can be partitioned for a time."""

import contextlib
import socket
import struct
import threading

PART_BYTES = 65536


class Link:
    """Passes channels on; while it is cut, all bytes and ends of channels are held.

    What was held is delivered when the cut has healed, as after a partition whose two
    sides have not reset the channel.
    """

    def __init__(self, listen: str, target: str) -> None:
        """Listens at `ip:port` for channels to another."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._whole = threading.Event()
        self._whole.set()
        host, _, port = listen.rpartition(":")
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((host, int(port)))
        self._listener.listen(128)
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Begins to hold all bytes."""
        self._whole.clear()

    def heal(self) -> None:
        """Delivers what was held, and passes on again."""
        self._whole.set()

    def end(self) -> None:
        """Stops to listen."""
        self._whole.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._join, args=(near,), daemon=True).start()

    def _join(self, near: socket.socket) -> None:
        self._whole.wait()
        try:
            far = socket.create_connection(self._target, 1.0)
        except OSError:
            _reset(near)
            return
        far.settimeout(None)
        back = threading.Thread(target=self._pass_on, args=(far, near), daemon=True)
        back.start()
        self._pass_on(near, far)
        back.join()
        near.close()
        far.close()

    def _pass_on(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while True:
                data = source.recv(PART_BYTES)
                self._whole.wait()
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            # A reset on one side becomes a reset on the other.
            self._whole.wait()
            for sock in (source, sink):
                with contextlib.suppress(OSError):
                    _set_reset(sock)
                    sock.shutdown(socket.SHUT_RDWR)


def _set_reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def _reset(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        _set_reset(sock)
    sock.close()
