"""A replica as a process of its own, which its case may kill.

Streams have as many numbered events as their path's last part says; so many lines has
any other answer. Each is written at once, with a pause before the next. Answers come
in chunks if the third argument is `chunks`; with `open` they have neither a length nor
chunks and end with their channel, as the pages allow. The fourth argument is the width
of the events' ids, which are filled with zeros.
"""

import socket
import sys
import threading
import time

from kit import replica

PAUSE_S = 0.1


def piece(attempt: str, number: int, *, stream: bool, width: int = 1) -> bytes:
    """Returns an event of a stream, or a line of another answer."""
    if stream:
        return f"id: {number:0{width}}\ndata: {attempt}-{number}\n\n".encode()
    return f"{attempt}-{number}\n".encode()


def body(attempt: str, count: int, *, stream: bool, width: int = 1) -> bytes:
    """Returns a whole body."""
    return b"".join(
        piece(attempt, n + 1, stream=stream, width=width) for n in range(count)
    )


def _serve(sock: socket.socket, name: str, *, chunks: bool, width: int) -> None:
    with sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        req = replica.read_request(sock.makefile("rb"))
        if req is None or req.target.startswith("/api/"):
            return
        if req.headers.get("turmericward-expect-instance", name) != name:
            lines = ("Turmericward-Not-Executed: 1", "Content-Length: 0")
            sock.sendall(replica.head(req, *lines, status="421 Misdirected Request"))
            return
        # One write, as other threads write too.
        sys.stdout.write(f"run {req.id}\n")
        sys.stdout.flush()
        stream = "turmericward-prompt-prefix" in req.headers
        kind = "text/event-stream" if stream else "text/plain"
        framing = ("Transfer-Encoding: chunked",) if chunks else ()
        lines = (f"Content-Type: {kind}", "Connection: close", *framing)
        sock.sendall(replica.head(req, *lines))
        first = int(req.headers.get("last-event-id", 0))
        for number in range(first, int(req.target.rpartition("/")[2])):
            time.sleep(PAUSE_S)
            data = piece(req.id, number + 1, stream=stream, width=width)
            sock.sendall(replica.chunk(data) if chunks else data)
        if chunks:
            sock.sendall(replica.chunk(b""))


def main() -> None:
    """Serves at the given port under the given id until it is killed."""
    port, name, framing, width = sys.argv[1:]
    how = {"chunks": framing == "chunks", "width": int(width)}
    listener = socket.create_server(("127.0.0.1", int(port)), backlog=256)
    print("listens", flush=True)
    while True:
        sock, _ = listener.accept()
        args = (sock, name)
        threading.Thread(target=_serve, args=args, kwargs=how, daemon=True).start()


if __name__ == "__main__":
    main()
