"""Stand-in for a model engine: batching, streams, load reports and orders.

The text depends on the prompt alone, so that tests can check a stream resumed at
another engine. A role change aborts running requests and lasts `--change-s`.
`GET /_orders` returns every accepted order and how many were sent, `GET /_requests`
every started request. `POST /_faults` sets faults: `die_after` (events),
`break_after`, `duplicate`, `foreign`, `refuse`, `order_delay_s` (an order is under way
for that long). A `random_share` of requests gets a fault drawn from `random_seed`: the
stream breaks, an event is sent twice or omitted, the response has another request's
id, or the request is refused.
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
    order_delay_s: float = 0.0
    random_share: float = 0.0
    random_seed: int = 0


@attrs.define
class _Order:
    order_id: str
    token: int
    role: str
    loads: list


def answer_words(prompt: str, count: int) -> list[str]:
    """Returns the words of the answer to a prompt, the same on every engine."""
    digest = hashlib.sha256(prompt.encode()).hexdigest()
    return [f"{digest[n % 60 : n % 60 + 4]}{n} " for n in range(count)]


def _disconnected(conn: socket.socket) -> bool:
    """Returns whether the peer closed the connection, which cancels its request."""
    try:
        return conn.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False


def _envelope(body: dict, request_id: str) -> dict:
    return {"id": request_id, "created": 0, "model": body["model"]}


class Engine:
    """Simulates one engine with a bounded number of concurrent requests."""

    def __init__(
        self,
        token_s: float,
        change_s: float,
        lag_s: float,
        fencing: bool,
        slots: int,
        clock: bool,
    ) -> None:
        """Starts idle in the mixed role with no model loaded.

        Args:
            token_s: interval between two tokens.
            change_s: duration of a role change.
            lag_s: maximum age of a load report.
            fencing: whether orders with an older fencing token are refused.
            slots: maximum number of concurrent requests.
            clock: whether `created` of each event is its send time.
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
        self._aborted_count = 0
        self._changing_until = 0.0
        self._orders: list[_Order] = []
        self._sent_orders = 0
        self._current_order = _Order("", 0, "mixed", [])
        self._started_requests: list[dict] = []
        self._last_report = (0.0, {})
        self._faults = _Faults()
        self._random = random.Random(0)

    def handle_request(self, req: _http.Handler) -> None:
        """Handles control, state and completion requests."""
        path = req.url.path
        if path == "/_faults":
            for name, value in req.json().items():
                setattr(self._faults, name, value)
            self._random = random.Random(self._faults.random_seed)
            req.answer(200, {})
        elif path == "/_orders":
            orders = [attrs.asdict(o) for o in self._orders]
            req.answer(200, {"orders": orders, "sent": self._sent_orders})
        elif path == "/_requests":
            req.answer(
                200, {"starts": self._started_requests, "cut": self._aborted_count}
            )
        elif path == "/load":
            req.answer(200, self._lagging_load())
        elif path == "/state":
            req.answer(200, self._state())
        elif path == "/orders":
            self._handle_order(req)
        else:
            self._handle_completion(req)

    def _changing(self) -> bool:
        return time.monotonic() < self._changing_until

    def _state(self) -> dict:
        with self._lock:
            last = self._orders[-1] if self._orders else self._current_order
            return {
                "role": self._current_order.role,
                "loads": self._current_order.loads,
                "changing": self._changing(),
                "running": self._running,
                "queued": self._queued,
                "order_id": last.order_id,
                "order_token": last.token,
            }

    def _lagging_load(self) -> dict:
        reported_at, report = self._last_report
        if time.monotonic() - reported_at >= self._lag_s:
            report = self._state()
            self._last_report = (time.monotonic(), report)
        return report

    def _handle_order(self, req: _http.Handler) -> None:
        order = _Order(**req.json())
        self._sent_orders += 1
        time.sleep(self._faults.order_delay_s)
        with self._lock:
            newest = max((o.token for o in self._orders), default=0)
            if self._fencing and order.token < newest:
                req.answer(409, {"error": "stale token"})
                return
            self._orders.append(order)
            self._current_order = order
            self._aborted_count += self._running
            self._epoch += 1
            self._changing_until = time.monotonic() + self._change_s
        req.answer(200, {})

    def _handle_completion(self, req: _http.Handler) -> None:
        request_id = req.headers.get("X-Request-Id", "")
        if self._faults.foreign:
            self._faults.foreign -= 1
            request_id = "foreign"
        fault = self._draw_fault()
        if fault == "foreign":
            request_id = "foreign"
        headers = [("X-Request-Id", request_id)]
        if self._changing() or self._faults.refuse or fault == "refuse":
            req.answer(503, {"error": {"message": "not started"}}, headers)
            return
        body = req.json()
        with self._lock:
            self._started_requests.append({"id": request_id, "at": time.time()})
            epoch = self._epoch
            self._queued += 1
            while self._running >= self._slots:
                self._lock.wait()
            self._queued -= 1
            self._running += 1
        try:
            self._generate(req, body, request_id, epoch, fault)
        finally:
            with self._lock:
                self._running -= 1
                self._lock.notify()

    def _generate(
        self, req, body: dict, request_id: str, epoch: int, fault: str
    ) -> None:
        prompt = json.dumps(body.get("messages", body.get("prompt")))
        prompt += " of another" if request_id == "foreign" else ""
        count = body.get("max_tokens") or body.get("max_completion_tokens") or 16
        words = answer_words(prompt, count)
        chat = "messages" in body
        if body.get("stream"):
            self._stream(req, body, request_id, epoch, words, chat, fault)
            return
        for _ in range(count):
            time.sleep(self._token_s)
            if epoch != self._epoch or _disconnected(req.connection):
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
        self, req, body, request_id, epoch, words, chat: bool, fault: str
    ) -> None:
        req.send_response(200)
        req.send_header("Content-Type", "text/event-stream")
        req.send_header("X-Request-Id", request_id)
        req.send_header("Transfer-Encoding", "chunked")
        req.end_headers()
        after = int(req.headers.get("Last-Event-ID", 0))
        faulty = self._random.randint(1, len(words)) if fault else 0
        for number, word in enumerate(words[after:], start=after + 1):
            time.sleep(self._token_s)
            broken = fault == "break" and number == faulty
            if broken or epoch != self._epoch or not self._sends_event(number):
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
            self._send_chunk(req, event * self._copies(fault, number == faulty))
        self._send_chunk(req, b"data: [DONE]\n\n")
        self._send_chunk(req, b"")

    def _draw_fault(self) -> str:
        if self._random.random() >= self._faults.random_share:
            return ""
        return self._random.choice(("break", "twice", "omit", "foreign", "refuse"))

    def _copies(self, fault: str, faulty: bool) -> int:
        if faulty and fault == "omit":
            return 0
        return 2 if self._faults.duplicate or (faulty and fault == "twice") else 1

    def _sends_event(self, number: int) -> bool:
        if self._faults.die_after and number > self._faults.die_after:
            os._exit(1)
        limit = self._faults.break_after
        return not limit or number <= limit

    def _send_chunk(self, req, data: bytes) -> None:
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
    """Serves an engine until SIGTERM."""
    _http.serve(listen, Engine(**options))


if __name__ == "__main__":
    main()
