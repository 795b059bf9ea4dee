"""Chooses an engine for a request, or refuses it at once."""

import collections
import hashlib
import random
from collections.abc import Mapping

import attrs
import result

from turmericward import fleet
from turmericward.requests import _demand

PREFILL_TOKENS_PER_UNIT = 2000
DECODE_TOKENS_PER_UNIT = 100
LOAD_BOUND = 1.25
SLACK_UNITS = 2.0
LEARNING_RATE = 0.1
FIRST_SECONDS_PER_UNIT = 0.02
REPORTED_REQUEST_UNITS = 2.0
NO_ENGINE_RETRY_S = 2.0
MIN_RETRY_S = 1.0


@attrs.frozen(kw_only=True)
class Bounds:
    """Bound on the first token of a class in seconds."""

    first_token_s: float


@attrs.frozen(kw_only=True)
class Assignment:
    """The engine that a request goes to, and what it is counted as there."""

    id: int
    engine: str
    address: str
    units: float


@attrs.frozen(kw_only=True)
class Refusal:
    """Why a request gets no engine, and when to come back in seconds."""

    reason: str
    retry_after_s: float


@attrs.define
class _Learned:
    seconds_per_unit: float = FIRST_SECONDS_PER_UNIT


def _affinity(prefix: str, engine: str) -> bytes:
    return hashlib.blake2b(f"{prefix}/{engine}".encode(), digest_size=8).digest()


def units_of(demand: _demand.Demand) -> float:
    """Returns the work of a request: prefill and decode in one measure."""
    prefill = demand.prompt_tokens / PREFILL_TOKENS_PER_UNIT
    decode = demand.output_tokens / DECODE_TOKENS_PER_UNIT
    return prefill + decode


class Router:
    """Routes by prefix affinity under a load bound, else by two random choices.

    Load reports lag, so an engine's load is its last report or the requests
    this process has there, whichever is more, plus what it sent since.
    """

    def __init__(self, seed: int, domain: str, classes: dict[str, Bounds]) -> None:
        """Creates a router without requests in flight.

        Args:
            seed: seed of the random choices.
            domain: failure domain whose engines go first when loads are equal.
            classes: bounds by class name.
        """
        self._random = random.Random(seed)
        self._domain = domain
        self._classes = classes
        self._own: dict[str, float] = collections.defaultdict(float)
        self._since: dict[str, list[tuple[float, float]]] = {}
        self._learned: dict[str, _Learned] = collections.defaultdict(_Learned)
        self._open: dict[int, Assignment] = {}
        self._last_id = 0
        self.health = fleet.Health()

    def in_flight(self) -> int:
        """Returns the number of requests that have an engine."""
        return len(self._open)

    def choose(
        self,
        demand: _demand.Demand,
        engines: tuple[fleet.EngineView, ...],
        reports: Mapping[str, fleet.LoadView],
        excluded: frozenset[str],
        now: float,
    ) -> result.Result[Assignment, Refusal]:
        """Assigns an engine to the request or refuses it.

        Args:
            demand: what the request asks for.
            engines: engines that serve the model.
            reports: latest load report by engine name.
            excluded: engines that are held, leave or have failed this request.
            now: monotonic seconds.
        """
        usable = [
            e
            for e in engines
            if e.name not in excluded and self.health.usable(e.name, now)
        ]
        if not usable:
            return result.Err(
                Refusal(reason="no_engine", retry_after_s=NO_ENGINE_RETRY_S)
            )
        loads = {e.name: self._load(e.name, reports.get(e.name)) for e in usable}
        engine = self._pick(demand, usable, loads)
        wait_s = self._first_token_s(engine.name, loads[engine.name], demand)
        bound_s = self._classes[demand.traffic_class].first_token_s
        if wait_s > bound_s:
            retry_s = max(MIN_RETRY_S, wait_s - bound_s)
            return result.Err(Refusal(reason="overloaded", retry_after_s=retry_s))
        return result.Ok(self._assign(engine, units_of(demand), now))

    def _load(self, engine: str, report: fleet.LoadView | None) -> float:
        own = self._own[engine]
        if report is None:
            self._since.pop(engine, None)
            return own
        reported = (report.running + report.queued) * REPORTED_REQUEST_UNITS
        sent = self._since.get(engine, [])
        sent = [(at, units) for at, units in sent if at > report.at]
        self._since[engine] = sent
        return max(own, reported + sum(units for _, units in sent))

    def _pick(self, demand, usable, loads) -> fleet.EngineView:
        mean = sum(loads.values()) / len(loads)
        limit = mean * LOAD_BOUND + SLACK_UNITS
        ranked = sorted(usable, key=lambda e: _affinity(demand.prefix, e.name))
        preferred = ranked[0]
        if loads[preferred.name] <= limit:
            return preferred
        pair = self._random.sample(usable, min(2, len(usable)))
        return min(pair, key=lambda e: (loads[e.name], e.domain != self._domain))

    def _first_token_s(self, engine: str, load: float, demand) -> float:
        prefill = demand.prompt_tokens / PREFILL_TOKENS_PER_UNIT
        return (load + prefill) * self._learned[engine].seconds_per_unit

    def _assign(self, engine, units: float, now: float) -> Assignment:
        self._last_id += 1
        assignment = Assignment(
            id=self._last_id, engine=engine.name, address=engine.address, units=units
        )
        self._open[assignment.id] = assignment
        self._own[engine.name] += units
        self._since.setdefault(engine.name, []).append((now, units))
        self.health.started(engine.name)
        return assignment

    def first_token(self, assignment: Assignment, took_s: float) -> None:
        """Learns an engine's speed from the time to a first token."""
        load = max(1.0, self._own[assignment.engine])
        learned = self._learned[assignment.engine]
        seen = took_s / load
        learned.seconds_per_unit += LEARNING_RATE * (seen - learned.seconds_per_unit)

    def finished(self, assignment: Assignment, failed: bool, now: float) -> None:
        """Ends the assignment; repeated calls have no effect."""
        if self._open.pop(assignment.id, None) is None:
            return
        self._own[assignment.engine] -= assignment.units
        if failed:
            self.health.failed(assignment.engine, now)
        else:
            self.health.succeeded(assignment.engine)
