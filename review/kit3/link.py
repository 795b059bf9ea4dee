"""A link between fronts and one replica that can be cut: what is sent waits meanwhile.

During a cut nothing passes in either direction, and new channels aren't answered. What
was held up passes when the cut heals, as do the ends of channels.
"""

import contextlib
import socket
import threading


class Link:
    """Forwards channels from one loopback address to another."""

    def __init__(self, listen: str, target: str) -> None:
        """Begins to forward."""
        self._target = _split(target)
        self._whole = threading.Event()
        self._whole.set()
        self._listener = socket.create_server(_split(listen), backlog=512)
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Lets nothing pass until `heal`."""
        self._whole.clear()

    def heal(self) -> None:
        """Lets everything pass."""
        self._whole.set()

    def close(self) -> None:
        """Accepts no further channels."""
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._listener.accept()
                threading.Thread(
                    target=self._forward, args=(conn,), daemon=True
                ).start()

    def _forward(self, conn: socket.socket) -> None:
        self._whole.wait()
        try:
            upstream = socket.create_connection(self._target, 5.0)
        except OSError:
            _reset(conn)
            return
        upstream.settimeout(None)
        for sock in (conn, upstream):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reverse = threading.Thread(
            target=self._copy, args=(upstream, conn), daemon=True
        )
        reverse.start()
        self._copy(conn, upstream)
        reverse.join()
        conn.close()
        upstream.close()

    def _copy(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(65536):
                self._whole.wait()
                sink.sendall(data)
            self._whole.wait()
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            self._whole.wait()
            for sock in (source, sink):
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _reset(sock: socket.socket) -> None:
    linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()
