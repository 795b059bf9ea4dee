"""Stand-in for a network path that can be cut: a TCP relay with modes.

`POST /_faults` on the control address sets `mode`: `pass`, `refuse` (new and
open connections are reset) or `hang` (bytes are held back, not lost).
"""

import contextlib
import socket
import threading

import click

from standins import _http

CHUNK_BYTES = 65536


class Link:
    """Relays connections to one address."""

    def __init__(self, target: str) -> None:
        """Creates the relay in the mode `pass`."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._changed = threading.Condition()
        self._mode = "pass"
        self._open: set[socket.socket] = set()

    def do(self, req: _http.Handler) -> None:
        """Sets the mode."""
        with self._changed:
            self._mode = req.json().get("mode", self._mode)
            self._changed.notify_all()
            if self._mode == "refuse":
                self._reset_all()
        req.answer(200, {"mode": self._mode})

    def _reset_all(self) -> None:
        for sock in self._open:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def listen(self, address: str) -> None:
        """Accepts connections for ever."""
        host, _, port = address.rpartition(":")
        listener = socket.create_server((host, int(port)), backlog=256)
        while True:
            conn, _ = listener.accept()
            threading.Thread(target=self._relay, args=(conn,), daemon=True).start()

    def _relay(self, conn: socket.socket) -> None:
        with self._changed:
            self._changed.wait_for(lambda: self._mode != "hang")
        if self._mode == "refuse":
            conn.close()
            return
        with contextlib.suppress(OSError), socket.create_connection(self._target) as to:
            self._open |= {conn, to}
            for sock in (conn, to):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            back = threading.Thread(target=self._pump, args=(to, conn), daemon=True)
            back.start()
            self._pump(conn, to)
            back.join()
            self._open -= {conn, to}
        conn.close()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                with self._changed:
                    self._changed.wait_for(lambda: self._mode != "hang")
                sink.sendall(data)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)


@click.command()
@_http.listen_option
@click.option("--control", required=True, help="ip:port of the control address")
@click.option("--target", required=True, help="ip:port to relay to")
def main(listen: str, control: str, target: str) -> None:
    """Relays connections."""
    link = Link(target)
    threading.Thread(target=link.listen, args=(listen,), daemon=True).start()
    _http.serve(control, link)


if __name__ == "__main__":
    main()
