"""An engine as a process of its own, which a case kills and starts again.

Usage: engine_process.py NAME IP:PORT EVENTS GAP_S LOG. It answers each request with a
stream that has no length and ends with its channel.
"""

import contextlib
import socket
import sys
import threading
import time

import engine


class Process:
    """A sound engine."""

    def __init__(self, name: str, count: int, gap_s: float, log) -> None:
        """Prepares the engine.

        Args:
            name: its id.
            count: events of a stream.
            gap_s: time between two of them.
            log: file for the ids of what runs, and of what was made to its end.
        """
        self._name, self._count, self._gap_s, self._log = name, count, gap_s, log

    def serve(self, sock: socket.socket) -> None:
        """Answers one request."""
        with sock, contextlib.suppress(OSError):
            request_line, headers = engine.read_request(sock)
            self._handle(sock, request_line, headers)

    def _handle(self, sock, request_line: str, headers: dict[str, str]) -> None:
        answer = engine.answer_apart(request_line, headers, self._name, engine.DECODE)
        if answer is not None:
            sock.sendall(answer)
            return
        call_id = headers.get("turmericward-attempt-id", "")
        self._note(f"{call_id} runs at {self._name}")
        sock.sendall(engine.stream_head(call_id, self._name))
        after = int(headers.get("last-event-id") or 0)
        for number in range(after + 1, self._count + 1):
            time.sleep(self._gap_s)
            sock.sendall(engine.event(call_id, number))
        self._note(f"{call_id} made to its end at {self._name}")

    def _note(self, text: str) -> None:
        self._log.write(f"{time.monotonic()} {text}\n")
        self._log.flush()


def main() -> None:
    """Serves until it is killed."""
    name, address, count, gap_s, log = sys.argv[1:]
    host, _, port = address.rpartition(":")
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(128)
    with open(log, "a") as file:
        process = Process(name, int(count), float(gap_s), file)
        while True:
            sock, _ = listener.accept()
            threading.Thread(target=process.serve, args=(sock,), daemon=True).start()


if __name__ == "__main__":
    main()
