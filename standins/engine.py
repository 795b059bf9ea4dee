"""Stand-in for a model engine: batching, streams, load reports and orders.

The text is a function of the prompt alone, so that a stream resumed elsewhere
can be checked. A role change cuts whatever still runs and lasts `--change-s`.
`GET /_orders` returns every order taken, `GET /_requests` every start of work.
Faults by `POST /_faults`: `die_after` (events), `break_after`, `duplicate`,
`foreign`, `refuse`; `random_share` of requests get one of them, drawn by
`random_seed`: broken off, an event twice or left out, another's id, not begun.
"""

import hashlib
import json
import os
import random
import socket
import threading
import time

import attrs
import click

from standins import _http

DEFAULT_SLOTS = 64


@attrs.define
class _Faults:
    die_after: int = 0
    break_after: int = 0
    duplicate: bool = False
    foreign: int = 0
    refuse: bool = False
    random_share: float = 0.0
    random_seed: int = 0


@attrs.define
class _Order:
    order_id: str
    token: int
    role: str
    loads: list


def words_of(prompt: str, count: int) -> list[str]:
    """Returns the answer to a prompt as words, the same on every engine."""
    digest = hashlib.sha256(prompt.encode()).hexdigest()
    return [f"{digest[n % 60 : n % 60 + 4]}{n} " for n in range(count)]


def _gone(conn: socket.socket) -> bool:
    """Tells whether the peer closed the connection, which cancels its work."""
    try:
        return conn.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False


def _envelope(body: dict, request_id: str) -> dict:
    return {"id": request_id, "created": 0, "model": body["model"]}


class Engine:
    """One engine."""

    def __init__(
        self,
        token_s: float,
        change_s: float,
        lag_s: float,
        fencing: bool,
        slots: int,
        clock: bool,
    ) -> None:
        """Creates an idle engine in the mixed role with nothing loaded.

        Args:
            token_s: time between two tokens.
            change_s: how long a change takes.
            lag_s: age that a load report may have.
            fencing: whether orders under older tokens are refused.
            slots: requests that run at a time.
            clock: whether `created` of each event is when it was sent.
        """
        self._token_s = token_s
        self._change_s = change_s
        self._lag_s = lag_s
        self._fencing = fencing
        self._slots = slots
        self._clock = clock
        self._lock = threading.Condition()
        self._running = 0
        self._queued = 0
        self._epoch = 0
        self._cut = 0
        self._changing_until = 0.0
        self._orders: list[_Order] = []
        self._current = _Order("", 0, "mixed", [])
        self._starts: list[dict] = []
        self._report = (0.0, {})
        self._faults = _Faults()
        self._random = random.Random(0)

    def do(self, req: _http.Handler) -> None:
        """Answers one request."""
        path = req.url.path
        if path == "/_faults":
            for name, value in req.json().items():
                setattr(self._faults, name, value)
            self._random = random.Random(self._faults.random_seed)
            req.answer(200, {})
        elif path == "/_orders":
            req.answer(200, {"orders": [attrs.asdict(o) for o in self._orders]})
        elif path == "/_requests":
            req.answer(200, {"starts": self._starts, "cut": self._cut})
        elif path == "/load":
            req.answer(200, self._lagging_load())
        elif path == "/state":
            req.answer(200, self._state())
        elif path == "/orders":
            self._order(req)
        else:
            self._complete(req)

    def _changing(self) -> bool:
        return time.monotonic() < self._changing_until

    def _state(self) -> dict:
        with self._lock:
            last = self._orders[-1] if self._orders else self._current
            return {
                "role": self._current.role,
                "loads": self._current.loads,
                "changing": self._changing(),
                "running": self._running,
                "queued": self._queued,
                "order_id": last.order_id,
                "order_token": last.token,
            }

    def _lagging_load(self) -> dict:
        at, report = self._report
        if time.monotonic() - at >= self._lag_s:
            report = self._state()
            self._report = (time.monotonic(), report)
        return report

    def _order(self, req: _http.Handler) -> None:
        order = _Order(**req.json())
        with self._lock:
            newest = max((o.token for o in self._orders), default=0)
            if self._fencing and order.token < newest:
                req.answer(409, {"error": "stale token"})
                return
            self._orders.append(order)
            self._current = order
            self._cut += self._running
            self._epoch += 1
            self._changing_until = time.monotonic() + self._change_s
        req.answer(200, {})

    def _complete(self, req: _http.Handler) -> None:
        request_id = req.headers.get("X-Request-Id", "")
        if self._faults.foreign:
            self._faults.foreign -= 1
            request_id = "foreign"
        drawn = self._draw()
        if drawn == "foreign":
            request_id = "foreign"
        headers = [("X-Request-Id", request_id)]
        if self._changing() or self._faults.refuse or drawn == "refuse":
            req.answer(503, {"error": {"message": "not started"}}, headers)
            return
        body = req.json()
        with self._lock:
            self._starts.append({"id": request_id, "at": time.time()})
            epoch = self._epoch
            self._queued += 1
            while self._running >= self._slots:
                self._lock.wait()
            self._queued -= 1
            self._running += 1
        try:
            self._generate(req, body, request_id, epoch, drawn)
        finally:
            with self._lock:
                self._running -= 1
                self._lock.notify()

    def _generate(
        self, req, body: dict, request_id: str, epoch: int, drawn: str
    ) -> None:
        prompt = json.dumps(body.get("messages", body.get("prompt")))
        prompt += " of another" if request_id == "foreign" else ""
        count = body.get("max_tokens") or body.get("max_completion_tokens") or 16
        words = words_of(prompt, count)
        chat = "messages" in body
        if body.get("stream"):
            self._stream(req, body, request_id, epoch, words, chat, drawn)
            return
        for _ in range(count):
            time.sleep(self._token_s)
            if epoch != self._epoch or _gone(req.connection):
                req.close_connection = True
                return
        text = "".join(words)
        message = {"role": "assistant", "content": text}
        choice = {"message": message} if chat else {"text": text}
        choice |= {"index": 0, "finish_reason": "stop"}
        value = _envelope(body, request_id)
        usage = {"prompt_tokens": len(prompt) // 4, "completion_tokens": count}
        value["usage"] = usage | {"total_tokens": sum(usage.values())}
        value["object"] = "chat.completion" if chat else "text_completion"
        value["choices"] = [choice]
        req.answer(200, value, [("X-Request-Id", request_id)])

    def _stream(
        self, req, body, request_id, epoch, words, chat: bool, drawn: str
    ) -> None:
        req.send_response(200)
        req.send_header("Content-Type", "text/event-stream")
        req.send_header("X-Request-Id", request_id)
        req.send_header("Transfer-Encoding", "chunked")
        req.end_headers()
        after = int(req.headers.get("Last-Event-ID", 0))
        bad = self._random.randint(1, len(words)) if drawn else 0
        for number, word in enumerate(words[after:], start=after + 1):
            time.sleep(self._token_s)
            broken = drawn == "break" and number == bad
            if broken or epoch != self._epoch or not self._go_on(number):
                req.close_connection = True
                req.connection.shutdown(socket.SHUT_RDWR)
                return
            delta = {"delta": {"content": word}} if chat else {"text": word}
            done = "stop" if number == len(words) else None
            value = _envelope(body, request_id)
            if self._clock:
                value["created"] = time.time()
            value["object"] = "chat.completion.chunk" if chat else "text_completion"
            value["choices"] = [{"index": 0, "finish_reason": done} | delta]
            event = f"id: {number}\ndata: {json.dumps(value)}\n\n".encode()
            self._chunk(req, event * self._times(drawn, number == bad))
        self._chunk(req, b"data: [DONE]\n\n")
        self._chunk(req, b"")

    def _draw(self) -> str:
        if self._random.random() >= self._faults.random_share:
            return ""
        return self._random.choice(("break", "twice", "omit", "foreign", "refuse"))

    def _times(self, drawn: str, bad: bool) -> int:
        if bad and drawn == "omit":
            return 0
        return 2 if self._faults.duplicate or (bad and drawn == "twice") else 1

    def _go_on(self, number: int) -> bool:
        if self._faults.die_after and number > self._faults.die_after:
            os._exit(1)
        limit = self._faults.break_after
        return not limit or number <= limit

    def _chunk(self, req, data: bytes) -> None:
        req.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))


@click.command()
@_http.listen_option
@click.option("--token-s", default=0.01)
@click.option("--change-s", default=0.5)
@click.option("--lag-s", default=0.3)
@click.option("--fencing/--no-fencing", default=True)
@click.option("--slots", default=DEFAULT_SLOTS)
@click.option("--clock", is_flag=True)
def main(listen, **options) -> None:
    """Serves the engine."""
    _http.serve(listen, Engine(**options))


if __name__ == "__main__":
    main()
