"""A replica that answers as its case says, byte by byte."""

import contextlib
import socket
import threading

import attrs

from kit import fleet

STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"
BACKLOG = 256
READ_BYTES = 65536


@attrs.frozen(kw_only=True)
class Request:
    """A request as received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """The id of the client attempt."""
        return self.headers.get("turmericward-attempt-id", "")


def head(req: Request, *lines: str, status: str = "200 OK") -> bytes:
    """Returns the head of an answer with the given header lines."""
    own = (
        f"Turmericward-Attempt-Id: {req.id}",
        f"Turmericward-Server-Stamp: {STAMP}",
    )
    return "\r\n".join((f"HTTP/1.1 {status}", *own, *lines, "", "")).encode("latin-1")


def chunk(data: bytes) -> bytes:
    """Returns a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Replica:
    """Serves each connection on a thread of its own, one request after the other."""

    def __init__(
        self,
        deployment: "fleet.Fleet",
        name: str,
        service: str,
        serve,
        *,
        lists: bool = False,
        **entry,
    ) -> None:
        """Starts to listen and announces itself.

        Args:
            deployment: where it announces itself.
            name: its id.
            service: its service.
            serve: called with a request and the socket; returns whether the
                connection stays open.
            lists: whether `serve` also gets calls of the replicas' own interface.
            entry: further fields of its entry.
        """
        self.name = name
        self._lists = lists
        self._record = deployment.record
        self._serve = serve
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()
        deployment.announce(
            name, service=service, address=f"127.0.0.1:{port}", domain="a", **entry
        )

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._connection, args=(sock,), daemon=True).start()

    def _connection(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(OSError), sock:
            file = sock.makefile("rb")
            while True:
                req = read_request(file)
                if req is None or not self._answer(req, sock):
                    file.close()
                    return

    def _answer(self, req: Request, sock: socket.socket) -> bool:
        if req.target.startswith("/api/") and not self._lists:
            sock.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return True
        expected = req.headers.get("turmericward-expect-instance", self.name)
        if expected != self.name:
            lines = ("Turmericward-Not-Executed: 1", "Content-Length: 0")
            sock.sendall(head(req, *lines, status="421 Misdirected Request"))
            return True
        self._record.add("run", replica=self.name, id=req.id, target=req.target)
        return self._serve(req, sock)


def read_request(file) -> Request | None:
    """Reads a request with a length or without a body; None at the end."""
    line = file.readline().decode("latin-1").split()
    if len(line) != 3:
        return None
    headers = {}
    while (text := file.readline().decode("latin-1").strip()) != "":
        name, _, value = text.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    return Request(
        method=line[0], target=line[1], headers=headers, body=file.read(length)
    )
