"""Clients whose new connections are balanced, and then kept, most of them to the end.

A client whose connection isn't closed keeps it until the front is gone.
"""

import contextlib
import http
import random
import threading
import time

import attrs

from soak import _balancer, _evidence, _fleet, _profiles
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
# Every so many clients of a front one opens a connection for each call.
VISITORS_EVERY = 4
# No run is longer than this; the mix shifts until then.
MAX_LENGTH_S = 240.0


@attrs.define(eq=False)
class Client:
    """One client; an idle one calls seldom, and late in a stop.

    `home` is the front that it gets while all are ready, `front` the one it has.
    """

    name: str
    load: "Load"
    home: _fleet.Front
    front: _fleet.Front
    rng: random.Random
    idle: bool
    visitor: bool
    _count: int = 0
    _conn: caller.Caller | None = None
    _boot: int = 0
    # Incarnation of the front whose stop this client has used.
    _late_boot: int = 0

    def run(self) -> None:
        """Sends calls until the run ends."""
        while not self.load.ended.is_set():
            if self._conn is None or not self._conn.is_open():
                self._connect()
            else:
                self._await_turn()
                self._send()
                if self.visitor:
                    self._close()
        self._close()

    def _connect(self) -> None:
        self._close()
        front = self.load.balancer.choose(self.home, self.rng)
        if front is not self.front:
            self.front, self._late_boot = front, 0
        boot = self.front.boot
        try:
            self._conn = caller.Caller(self.front.address, _fleet.HOST)
            self._boot = boot
        except OSError:
            self.load.ended.wait(RECONNECT_S)
            return
        if self.idle:
            self._send()

    def _close(self) -> None:
        if self._conn is not None:
            self._conn.close()
        self._conn = None

    def _await_turn(self) -> None:
        if not self.idle:
            self.load.ended.wait(self.rng.expovariate(1 / THINK_MEAN_S))
            return
        until = time.monotonic() + self.rng.expovariate(1 / IDLE_CALL_S)
        late = self.rng.random() < LATE_SHARE
        delay_s = self.rng.uniform(LATE_FROM_S, LATE_TO_S)
        if not late:
            delay_s = self.rng.uniform(0, self.load.fleet.grace_s)
        while time.monotonic() < until and not self.load.ended.wait(POLL_S):
            stop_at = self.front.stop_at
            if stop_at is not None and self._late_boot < self._boot:
                self._late_boot = self._boot
                until = stop_at + delay_s

    def _send(self) -> None:
        # The front may have closed the connection while the client waited.
        if not self._conn.is_open():
            return
        outcome = self._conn.send(self._call())
        self.load.fleet.evidence.sent.append(
            _evidence.Sent(front=self.front.name, boot=self._boot, outcome=outcome)
        )
        if outcome.broken:
            self._close()
        if outcome.status != http.HTTPStatus.OK:
            self.load.ended.wait(BACKOFF_S)

    def _call(self) -> caller.Call:
        self._count += 1
        load = self.load
        return load.mix.call(
            f"{self.name}-{self._count}",
            time.monotonic() - load.began,
            load.fleet.version,
            self.rng,
        )


class Load:
    """All clients of a fleet, used as a context manager."""

    def __init__(
        self,
        fleet: _fleet.Fleet,
        per_front: int,
        profile: _profiles.Profile,
        rng: random.Random,
    ) -> None:
        """Creates the clients; every second one is idle."""
        self.fleet = fleet
        self.ended = threading.Event()
        self.mix = _profiles.Mix(profile, random.Random(rng.random()), MAX_LENGTH_S)
        self.balancer = _balancer.Balancer(fleet)
        self.began = 0.0
        self._threads = []
        for front in fleet.fronts:
            for number in range(per_front):
                client = Client(
                    name=f"{front.name}-c{number}",
                    load=self,
                    home=front,
                    front=front,
                    rng=random.Random(rng.random()),
                    idle=number % 2 == 1,
                    visitor=number % VISITORS_EVERY == 2,
                )
                self._threads.append(threading.Thread(target=client.run, daemon=True))

    def __enter__(self):
        """Starts all clients."""
        self.began = time.monotonic()
        self.balancer.__enter__()
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc) -> None:
        """Ends all clients after their calls in progress."""
        self.ended.set()
        deadline = time.monotonic() + caller.ANSWER_TIMEOUT_S
        for thread in self._threads:
            with contextlib.suppress(RuntimeError):
                thread.join(max(0.0, deadline - time.monotonic()))
        self.balancer.__exit__(*exc)
