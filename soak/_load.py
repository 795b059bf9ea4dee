"""Clients that keep each connection until it is closed or its front is gone."""

import contextlib
import http
import random
import threading
import time

import attrs

from soak import _evidence, _fleet
from standins import caller

THINK_MEAN_S = 0.3
RECONNECT_S = 0.1
# Wait after a call that was not served.
BACKOFF_S = 0.5
# An idle client sends its only call of a stop after one of these delays.
LATE_FROM_S, LATE_TO_S = 2.9, 3.6
LATE_SHARE = 0.5
IDLE_CALL_S = 4.0
POLL_S = 0.02
MAX_EVENTS = 40
EVENTS_PER_S = 8
# Route or version, weight, and bounds of the work in seconds.
MIX = (
    ("read", 4, 0.0, 0.3),
    ("job", 3, 0.0, 0.3),
    ("batch", 1, 0.5, 4.0),
    ("ask", 2, 0.05, 0.5),
    ("once", 2, 0.05, 0.5),
    ("once", 1, 1.0, 7.0),
    ("ask", 1, 1.0, 7.0),
    ("split", 1, 0.1, 3.0),
    (_fleet.VERSION_PREFIX, 2, 0.0, 0.05),
)
_STREAMS = frozenset({"ask", "once", "split"})


@attrs.define(eq=False)
class Client:
    """One client of one front; an idle one calls seldom, and late in a stop."""

    name: str
    fleet: _fleet.Fleet
    front: _fleet.Front
    rng: random.Random
    idle: bool
    ended: threading.Event
    _count: int = 0
    _conn: caller.Caller | None = None
    _boot: int = 0
    # Incarnation of the front whose stop this client has used.
    _late_boot: int = 0

    def run(self) -> None:
        """Sends calls until the run ends."""
        while not self.ended.is_set():
            if self._conn is None or not self._conn.is_open():
                self._connect()
            else:
                self._await_turn()
                self._send()
        self._close()

    def _connect(self) -> None:
        self._close()
        boot = self.front.boot
        try:
            self._conn = caller.Caller(self.front.address, _fleet.HOST)
            self._boot = boot
        except OSError:
            self.ended.wait(RECONNECT_S)
            return
        if self.idle:
            self._send()

    def _close(self) -> None:
        if self._conn is not None:
            self._conn.close()
        self._conn = None

    def _await_turn(self) -> None:
        if not self.idle:
            self.ended.wait(self.rng.expovariate(1 / THINK_MEAN_S))
            return
        until = time.monotonic() + self.rng.expovariate(1 / IDLE_CALL_S)
        late = self.rng.random() < LATE_SHARE
        delay_s = self.rng.uniform(LATE_FROM_S, LATE_TO_S)
        if not late:
            delay_s = self.rng.uniform(0, self.fleet.grace_s)
        while time.monotonic() < until and not self.ended.wait(POLL_S):
            stop_at = self.front.stop_at
            if stop_at is not None and self._late_boot < self._boot:
                self._late_boot = self._boot
                until = stop_at + delay_s

    def _send(self) -> None:
        # The front may have closed the connection while the client waited.
        if not self._conn.is_open():
            return
        outcome = self._conn.send(self._call())
        self.fleet.evidence.sent.append(
            _evidence.Sent(front=self.front.name, boot=self._boot, outcome=outcome)
        )
        if outcome.broken:
            self._close()
        if outcome.status != http.HTTPStatus.OK:
            self.ended.wait(BACKOFF_S)

    def _call(self) -> caller.Call:
        self._count += 1
        weights = [weight for _, weight, _, _ in MIX]
        ((route, _, low_s, high_s),) = self.rng.choices(MIX, weights)
        work_s = self.rng.uniform(low_s, high_s)
        events = None
        if route in _STREAMS:
            events = min(MAX_EVENTS, max(2, int(EVENTS_PER_S * work_s)))
        if route == _fleet.VERSION_PREFIX:
            route += str(self.rng.randint(2, self.fleet.version))
        method = "GET" if route.startswith(("read", _fleet.VERSION_PREFIX)) else "POST"
        return caller.Call(
            id=f"{self.name}-{self._count}",
            route=route,
            work_s=work_s,
            events=events,
            method=method,
        )


class Load:
    """All clients of a fleet, used as a context manager."""

    def __init__(self, fleet: _fleet.Fleet, per_front: int, rng: random.Random) -> None:
        """Creates the clients; every second one is idle."""
        self._ended = threading.Event()
        self._threads = []
        for front in fleet.fronts:
            for number in range(per_front):
                client = Client(
                    name=f"{front.name}-c{number}",
                    fleet=fleet,
                    front=front,
                    rng=random.Random(rng.random()),
                    idle=number % 2 == 1,
                    ended=self._ended,
                )
                self._threads.append(threading.Thread(target=client.run, daemon=True))

    def __enter__(self):
        """Starts all clients."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc) -> None:
        """Ends all clients after their calls in progress."""
        self._ended.set()
        deadline = time.monotonic() + caller.ANSWER_TIMEOUT_S
        for thread in self._threads:
            with contextlib.suppress(RuntimeError):
                thread.join(max(0.0, deadline - time.monotonic()))
