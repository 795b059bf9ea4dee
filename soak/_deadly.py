"""A request that crashes each replica that begins it, sent again and again."""

import contextlib
import functools
import random
import threading
import time

import attrs

from soak import _evidence, _fleet
from standins import caller, platform_replica

RESTART_MIN_S, RESTART_MAX_S = 1.0, 4.0
INTERVAL_S = 0.15
SENT_FOR_S = 10.0
# Route, method, and events of its answer.
KINDS = (
    ("read", "GET", None),
    ("job", "POST", None),
    ("ask", "POST", 4),
    ("once", "POST", 4),
)


class DeadlyRequest:
    """One such request; `replicas` are all of its service."""

    def __init__(
        self, fleet: _fleet.Fleet, rng: random.Random, kind: tuple, replicas: list[str]
    ) -> None:
        """Lets nothing crash yet."""
        route, method, events = kind
        self._fleet = fleet
        self._rng = rng
        self._replicas = replicas
        self._record = _evidence.DeadlyRequest(caller=f"deadly{rng.random()}")
        self._call = caller.Call(
            id="", route=route, method=method, events=events, caller=self._record.caller
        )
        self._lock = threading.Lock()
        self._crashed: set[str] = set()

    def play(self) -> None:
        """Sends the request to random fronts for a time; ends with all replicas up."""
        self._fleet.evidence.deadly.append(self._record)
        content = platform_replica.Content(
            path=self._call.target, caller=self._call.caller, body=self._call.body
        )
        for name in self._replicas:
            replica = self._fleet.replicas[name]
            replica.crash = functools.partial(self._crash, name)
            replica.deadly_contents = frozenset((content,))
        until = time.monotonic() + SENT_FOR_S
        while time.monotonic() < until:
            threading.Thread(target=self._send, daemon=True).start()
            time.sleep(INTERVAL_S)
        for name in self._replicas:
            self._fleet.replicas[name].deadly_contents = frozenset()
        while self._crashed:
            time.sleep(INTERVAL_S)

    def _send(self) -> None:
        with self._lock:
            front = self._rng.choice(self._fleet.fronts)
            call_id = f"{self._record.caller}-{len(self._record.fronts)}"
            self._record.fronts[call_id] = front.name
        with contextlib.suppress(OSError):
            conn = caller.Caller(front.address, _fleet.HOST)
            conn.send(attrs.evolve(self._call, id=call_id))
            conn.close()

    def _crash(self, name: str) -> None:
        with self._lock:
            if name in self._crashed:
                return
            self._crashed.add(name)
            away_s = self._rng.uniform(RESTART_MIN_S, RESTART_MAX_S)
        now = time.monotonic()
        self._record.crashed_at.append(now)
        disruption = self._fleet.evidence.disrupt("deadly_request", name, now)
        self._fleet.crash_replica(name)
        time.sleep(away_s)
        self._fleet.restart_replica(name)
        disruption.ended = time.monotonic()
        with self._lock:
            self._crashed.discard(name)
