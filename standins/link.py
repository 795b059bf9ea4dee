"""TCP proxy that simulates a network partition.

A reset on one side becomes a reset on the other. `POST /_faults` on the control
address sets `mode`: `pass`, `refuse` (new and open connections are closed), `hang`
(bytes and ends are delayed, not lost) or `down` (nothing listens, as after the end of
the target).
"""

import contextlib
import socket
import struct
import threading

import click

from standins import _http

CHUNK_BYTES = 65536
# The mode after `close`.
CLOSED = "closed"
# Modes in which nothing listens, and those in which no connection stays open.
DEAF = ("down", CLOSED)
CUT = ("refuse", *DEAF)


class Link:
    """Forwards connections to one address."""

    def __init__(self, target: str) -> None:
        """Starts in the mode `pass`; `target` is `ip:port`."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._changed = threading.Condition()
        self._mode = "pass"
        self._open: set[socket.socket] = set()
        self._listener: socket.socket | None = None

    def handle_request(self, req: _http.Handler) -> None:
        """Sets the mode."""
        self.set_mode(req.json().get("mode", self._mode))
        req.answer(200, {"mode": self._mode})

    def set_mode(self, mode: str) -> None:
        """Sets the mode; may be called from any thread."""
        with self._changed:
            self._mode = mode
            self._changed.notify_all()
            if mode in DEAF and self._listener is not None:
                # Also ends a running accept.
                self._shut_down(self._listener)
            if mode in CUT:
                self._shut_down(*self._open)

    def close(self) -> None:
        """Ends all connections and frees the port for good."""
        self.set_mode(CLOSED)

    def _shut_down(self, *socks: socket.socket) -> None:
        for sock in socks:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def listen(self, address: str) -> None:
        """Accepts connections until the link is closed."""
        host, _, port = address.rpartition(":")
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self._mode != "down")
                if self._mode == CLOSED:
                    return
                self._listener = socket.create_server((host, int(port)), backlog=256)
            with self._listener, contextlib.suppress(OSError):
                self._accept_all(self._listener)

    def _accept_all(self, listener: socket.socket) -> None:
        while True:
            conn, _ = listener.accept()
            threading.Thread(target=self._forward, args=(conn,), daemon=True).start()

    def _forward(self, conn: socket.socket) -> None:
        self._wait_while_hung()
        if self._mode in CUT:
            conn.close()
            return
        with (
            contextlib.suppress(OSError),
            socket.create_connection(self._target) as upstream,
        ):
            self._add(conn, upstream)
            for sock in (conn, upstream):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            reverse = threading.Thread(
                target=self._copy, args=(upstream, conn), daemon=True
            )
            reverse.start()
            self._copy(conn, upstream)
            reverse.join()
            with self._changed:
                self._open -= {conn, upstream}
        conn.close()

    def _add(self, *socks: socket.socket) -> None:
        """Adds a pair of connections; ends it if the mode has changed meanwhile."""
        with self._changed:
            self._open.update(socks)
            if self._mode in CUT:
                self._shut_down(*socks)

    def _copy(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                self._wait_while_hung()
                sink.sendall(data)
        except OSError:
            # The system reports a reset to one of both threads only.
            self._wait_while_hung()
            for sock in (source, sink):
                _reset_at_close(sock)
            return
        self._wait_while_hung()
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)

    def _wait_while_hung(self) -> None:
        with self._changed:
            self._changed.wait_for(lambda: self._mode != "hang")


def _reset_at_close(sock: socket.socket) -> None:
    """Ends the reading of a connection, which is reset when it is closed."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        # Sends nothing.
        sock.shutdown(socket.SHUT_RD)


@click.command()
@_http.listen_option
@click.option("--control", required=True, help="ip:port of the control address")
@click.option("--target", required=True, help="ip:port to forward to")
def main(listen: str, control: str, target: str) -> None:
    """Forwards connections from `--listen` to `--target`."""
    link = Link(target)
    threading.Thread(target=link.listen, args=(listen,), daemon=True).start()
    _http.serve(control, link)


if __name__ == "__main__":
    main()
