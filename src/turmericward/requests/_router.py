"""Chooses an engine for a request, or refuses it at once."""

import collections
import hashlib
import random
from collections.abc import Mapping

import attrs
import result

from turmericward import fleet
from turmericward.requests import _book, _demand, _prefixes

FIRST_SECONDS_PER_TOKEN = 1 / 10_000
LEARNING_RATE = 0.05
SECONDS_PER_OPEN_REQUEST = 0.02
RANDOM_CANDIDATES = 2
NO_ENGINE_RETRY_S = 2.0
MIN_RETRY_S = 1.0


@attrs.frozen(kw_only=True)
class Bounds:
    """Bound on the first token of a class in seconds."""

    first_token_s: float


@attrs.frozen(kw_only=True)
class Assignment:
    """The engine that a request goes to, and the prefill it finds before it."""

    id: int
    engine: str
    address: str
    tokens: float


@attrs.frozen(kw_only=True)
class Refusal:
    """Why a request gets no engine, and when to come back in seconds."""

    reason: str
    retry_after_s: float


@attrs.frozen(kw_only=True)
class _Candidate:
    """An engine with the work before a request there and its expected times."""

    engine: fleet.EngineView
    entrant: _book.Entrant
    tokens: float
    first_token_s: float
    score_s: float


def _affinity(prefix: str, engine: str) -> bytes:
    return hashlib.blake2b(f"{prefix}/{engine}".encode(), digest_size=8).digest()


class Router:
    """Takes the best of the prefix's own engine and two random ones.

    An engine's work is estimated from the requests that this process has there
    and the last report, since a report alone is always stale.
    """

    def __init__(self, seed: int, domain: str, classes: dict[str, Bounds]) -> None:
        """Creates a router without requests in flight.

        Args:
            seed: seed of the random choices.
            domain: failure domain whose engines go first when scores are equal.
            classes: bounds by class name.
        """
        self._random = random.Random(seed)
        self._domain = domain
        self._classes = classes
        self._books: dict[str, _book.EngineBook] = collections.defaultdict(
            _book.EngineBook
        )
        self._seconds_per_token: dict[str, float] = collections.defaultdict(
            lambda: FIRST_SECONDS_PER_TOKEN
        )
        self._prefixes = _prefixes.PrefixMemory()
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
        best = self._best(demand, usable, reports, now)
        bound_s = self._classes[demand.traffic_class].first_token_s
        if best.first_token_s > bound_s:
            retry_s = max(MIN_RETRY_S, best.first_token_s - bound_s)
            return result.Err(Refusal(reason="overloaded", retry_after_s=retry_s))
        return result.Ok(self._assign(demand, best))

    def _best(self, demand, usable, reports, now: float) -> _Candidate:
        preferred = min(usable, key=lambda e: _affinity(demand.prefix, e.name))
        count = min(RANDOM_CANDIDATES, len(usable))
        chosen = [preferred, *self._random.sample(usable, count)]
        candidates = [
            self._candidate(demand, e, reports.get(e.name), now) for e in chosen
        ]
        return min(
            candidates, key=lambda c: (c.score_s, c.engine.domain != self._domain)
        )

    def _candidate(self, demand, engine, report, now: float) -> _Candidate:
        book = self._books[engine.name]
        cached = self._prefixes.cached(engine.name, demand.prefix)
        entrant = _book.entrant_of(demand, cached, now)
        ahead = book.tokens_ahead(demand.priority, report)
        tokens = ahead + entrant.prefill_tokens
        first_token_s = tokens * self._seconds_per_token[engine.name]
        crowd_s = book.open_requests(report) * SECONDS_PER_OPEN_REQUEST
        return _Candidate(
            engine=engine,
            entrant=entrant,
            tokens=tokens,
            first_token_s=first_token_s,
            score_s=first_token_s + crowd_s,
        )

    def _assign(self, demand, best: _Candidate) -> Assignment:
        self._last_id += 1
        name = best.engine.name
        assignment = Assignment(
            id=self._last_id,
            engine=name,
            address=best.engine.address,
            tokens=best.tokens,
        )
        self._open[assignment.id] = assignment
        self._books[name].add(assignment.id, best.entrant)
        self._prefixes.note(name, demand.prefix, demand.prefix_tokens)
        self.health.started(name)
        return assignment

    def first_token(self, assignment: Assignment, took_s: float) -> None:
        """Learns an engine's speed from the time to a first token."""
        self._books[assignment.engine].began(assignment.id)
        known = self._seconds_per_token[assignment.engine]
        seen = took_s / assignment.tokens
        self._seconds_per_token[assignment.engine] += LEARNING_RATE * (seen - known)

    def finished(self, assignment: Assignment, failed: bool, now: float) -> None:
        """Ends the assignment; repeated calls have no effect."""
        if self._open.pop(assignment.id, None) is None:
            return
        self._books[assignment.engine].end(assignment.id)
        if failed:
            self.health.failed(assignment.engine, now)
            self._prefixes.forget_engine(assignment.engine)
        else:
            self.health.succeeded(assignment.engine)
