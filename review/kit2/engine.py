"""Stand-in for an engine whose streams have no length and end with their channel."""

import contextlib
import json
import random
import socket
import struct
import threading
import time
from collections.abc import Callable

HEAD_END = b"\r\n\r\n"
PREFILL, DECODE = "prefill", "decode"
# Answers are lost for so long, again and again.
LOSS_S, LOSS_PERIOD_S = 4.0, 6.6
_LISTING = {"epoch": 1, "NextToken": 1, "held": []}


def event(call_id: str, number: int) -> bytes:
    """Returns one event of a stream."""
    return f"id: {number}\ndata: {call_id}-{number}\n\n".encode()


def stream(call_id: str, count: int, after: int = 0) -> bytes:
    """Returns the events of a whole stream after one of them."""
    return b"".join(event(call_id, n) for n in range(after + 1, count + 1))


def read_request(sock: socket.socket) -> tuple[str, dict[str, str]]:
    """Returns the request line and the headers, with names in lower case.

    Raises:
        ConnectionError: the channel has ended before.
    """
    data = b""
    while HEAD_END not in data:
        part = sock.recv(65536)
        if not part:
            raise ConnectionAbortedError("no whole request")
        data += part
    lines = data.partition(HEAD_END)[0].decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in lines[1:])
    return lines[0], {name.lower(): value.strip() for name, _, value in fields}


def refusal(call_id: str, status: int) -> bytes:
    """Returns the answer to a request that isn't run."""
    return (
        f"HTTP/1.1 {status} X\r\nTurmericward-Attempt-Id: {call_id}\r\n"
        "Turmericward-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def stream_head(call_id: str, name: str) -> bytes:
    """Returns the head of a stream that ends with its channel."""
    return (
        f"HTTP/1.1 200 OK\r\nTurmericward-Attempt-Id: {call_id}\r\n"
        f"Turmericward-Server-Stamp: {name}.{call_id}\r\n"
        "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    ).encode()


def whole(value: object) -> bytes:
    """Returns an answer with a JSON body."""
    body = json.dumps(value).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def answer_apart(
    request_line: str, headers: dict[str, str], name: str, stage: str
) -> bytes | None:
    """Returns the answer to what isn't to be run here, None if it is.

    Nothing is kept in the engine's memory. An order isn't expected: the operators'
    share of prefill engines is that of the start.
    """
    call_id = headers.get("turmericward-attempt-id", "")
    if headers.get("turmericward-expect-instance", name) != name:
        return refusal(call_id, 421)
    path = request_line.split(" ")[1].partition("?")[0]
    if path == "/api/kv-list":
        return whole(_LISTING)
    if path == "/api/report":
        counts = {"Queued": 0, "Running": 0, "KvUsed": 0, "KvTotal": 500_000}
        return whole({"stage": stage, "busy": False, "sequence": 0, **counts})
    if not path.startswith("/ask/"):
        return whole({})
    wanted = headers.get("turmericward-serving-stage", DECODE)
    if wanted != stage:
        return refusal(call_id, 421)
    if stage == PREFILL:
        return whole({"handle": call_id, "tokens": 300, "version": 1})
    return None


class PrefillEngine:
    """A sound engine that only reads prompts."""

    def __init__(self, name: str, address: str) -> None:
        """Listens at `ip:port`."""
        self._name = name
        self._listener = listen(address, self._serve)

    def end(self) -> None:
        """Stops to listen."""
        close(self._listener)

    def _serve(self, sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError):
            request_line, headers = read_request(sock)
            answer = answer_apart(request_line, headers, self._name, PREFILL)
            sock.sendall(answer)


def listen(address: str, serve: Callable[[socket.socket], None]) -> socket.socket:
    """Serves each channel to `ip:port` on a thread of its own; returns the listener."""
    host, _, port = address.rpartition(":")
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(128)

    def accept() -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=serve, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return listener


def close(listener: socket.socket) -> None:
    """Stops to listen."""
    with contextlib.suppress(OSError):
        listener.shutdown(socket.SHUT_RDWR)
    listener.close()


class Engine:
    """Sound, or one that loses the answers of some requests: their channels are reset.

    Requests for `/ask/short/` are streamed at once. Any other stream falls silent once,
    for `silence_s`, and goes on; one that goes on at another engine begins after
    `read_s`. An engine that `loses` resets the channels of these streams at the end of
    either time, but for `LOSS_S` of each `LOSS_PERIOD_S` from `losses_from` on only.
    """

    def __init__(self, name: str, address: str, *, loses: bool) -> None:
        """Listens at `ip:port`."""
        self.name = name
        self.loses = loses
        self.losses_from = float("inf")
        self.events = 6
        self.gap_s = 0.02
        self.events_before_silence = 2
        self.silence_s = (1.02, 1.17)
        self.read_s = 0.2
        # Time, id and what was done, of each request.
        self.log: list[tuple[float, str, str]] = []
        self.lost = 0
        self._random = random.Random(name)
        self._listener = listen(address, self._serve)

    def end(self) -> None:
        """Stops to listen."""
        close(self._listener)

    def _serve(self, sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError):
            request_line, headers = read_request(sock)
            self._handle(sock, request_line, headers)

    def _handle(self, sock, request_line: str, headers: dict[str, str]) -> None:
        answer = answer_apart(request_line, headers, self.name, DECODE)
        if answer is not None:
            sock.sendall(answer)
            return
        call_id = headers.get("turmericward-attempt-id", "")
        after = int(headers.get("last-event-id") or 0)
        self._note(call_id, f"runs after event {after}")
        self._stream(sock, call_id, after, short="/short/" in request_line)

    def _note(self, call_id: str, text: str) -> None:
        self.log.append((time.monotonic(), call_id, f"{text} at {self.name}"))

    def _stream(self, sock, call_id: str, after: int, *, short: bool) -> None:
        if after:
            time.sleep(self.read_s)
            if self._loses_now() and not short:
                self._reset(sock, call_id, after)
                return
        sock.sendall(stream_head(call_id, self.name))
        for number in range(after + 1, self.events + 1):
            if not short and not after and number == self.events_before_silence + 1:
                time.sleep(self._random.uniform(*self.silence_s))
                if self._loses_now():
                    self._reset(sock, call_id, number - 1)
                    return
            sock.sendall(event(call_id, number))
            time.sleep(self.gap_s)
        self._note(call_id, "stream made to its end")

    def _loses_now(self) -> bool:
        since_s = time.monotonic() - self.losses_from
        return self.loses and since_s >= 0 and since_s % LOSS_PERIOD_S < LOSS_S

    def _reset(self, sock: socket.socket, call_id: str, number: int) -> None:
        self.lost += 1
        self._note(call_id, f"channel reset after event {number}")
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
