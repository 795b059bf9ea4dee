"""Chooses an engine for a request, or refuses it immediately."""

import collections
import hashlib
import random
from collections.abc import Mapping

import attrs
import result

from turmericward import fleet
from turmericward.requests import _demand, _engine_requests, _recent_prefixes

INITIAL_SECONDS_PER_TOKEN = 1 / 10_000
LEARNING_RATE = 0.05
# Part of the time to first token that doesn't depend on the prompt, as a number of
# tokens. It is most of a short prompt's time, and says nothing about a long one's.
FIXED_COST_TOKENS = 128
SECONDS_PER_OPEN_REQUEST = 0.02
RANDOM_CANDIDATES = 2
NO_ENGINE_RETRY_AFTER_S = 2.0
MIN_RETRY_AFTER_S = 1.0


@attrs.frozen(kw_only=True)
class Bounds:
    """Bound on the time to first token of a traffic class."""

    first_token_s: float


@attrs.frozen(kw_only=True)
class Assignment:
    """The engine of a request; `tokens` counts its prefill and the queued ones."""

    id: int
    engine: str
    address: str
    tokens: float


@attrs.frozen(kw_only=True)
class Refusal:
    """Why a request gets no engine, and when to retry."""

    reason: str
    retry_after_s: float


@attrs.frozen(kw_only=True)
class _Candidate:
    """An engine, and the tokens that it prefills until the request's first token.

    `score_s` is the time to that token plus a delay for each open request.
    """

    engine: fleet.EngineView
    req: _engine_requests.OpenRequest
    tokens: float
    first_token_s: float
    score_s: float


def _affinity(prefix: str, engine: str) -> bytes:
    return hashlib.blake2b(f"{prefix}/{engine}".encode(), digest_size=8).digest()


class Router:
    """Takes the best of the prefix's preferred engine and two random ones.

    An engine's load is estimated from the local requests there and its last report,
    since a report alone is always stale.
    """

    def __init__(self, seed: int, domain: str, classes: dict[str, Bounds]) -> None:
        """Starts with no requests in flight.

        Args:
            seed: seed of the random choices.
            domain: failure domain whose engines are preferred on equal scores.
            classes: bounds by class name.
        """
        self._random = random.Random(seed)
        self._domain = domain
        self._classes = classes
        self._requests: dict[str, _engine_requests.EngineRequests] = (
            collections.defaultdict(_engine_requests.EngineRequests)
        )
        self._seconds_per_token: dict[str, float] = collections.defaultdict(
            lambda: INITIAL_SECONDS_PER_TOKEN
        )
        self._prefixes = _recent_prefixes.RecentPrefixes()
        self._open: dict[int, Assignment] = {}
        self._last_id = 0
        self.health = fleet.Health()

    def in_flight(self) -> int:
        """Returns the number of requests assigned to an engine."""
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
            demand: estimated work of the request.
            engines: engines that serve the model.
            reports: latest load report by engine name.
            excluded: engines that are held, are leaving or have failed this request.
            now: monotonic seconds.
        """
        usable = [
            e
            for e in engines
            if e.name not in excluded and self.health.usable(e.name, now)
        ]
        if not usable:
            return result.Err(
                Refusal(reason="no_engine", retry_after_s=NO_ENGINE_RETRY_AFTER_S)
            )
        best = self._best(demand, usable, reports, now)
        bound_s = self._classes[demand.traffic_class].first_token_s
        if best.first_token_s > bound_s:
            retry_s = max(MIN_RETRY_AFTER_S, best.first_token_s - bound_s)
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
        requests = self._requests[engine.name]
        cached = self._prefixes.cached_tokens(engine.name, demand.prefix)
        req = _engine_requests.open_request(demand, cached, now)
        queued = requests.queued_tokens(demand.priority, report)
        tokens = queued + req.prefill_tokens
        first_token_s = tokens * self._seconds_per_token[engine.name]
        contention_s = requests.open_requests(report) * SECONDS_PER_OPEN_REQUEST
        return _Candidate(
            engine=engine,
            req=req,
            tokens=tokens,
            first_token_s=first_token_s,
            score_s=first_token_s + contention_s,
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
        self._requests[name].add(assignment.id, best.req)
        self._prefixes.record(name, demand.prefix, demand.prefix_tokens)
        self.health.started(name)
        return assignment

    def first_token(self, assignment: Assignment, took_s: float) -> None:
        """Updates an engine's estimated speed with the time to a first token."""
        self._requests[assignment.engine].prefilled(assignment.id)
        estimate = self._seconds_per_token[assignment.engine]
        sample = took_s / (assignment.tokens + FIXED_COST_TOKENS)
        self._seconds_per_token[assignment.engine] += LEARNING_RATE * (
            sample - estimate
        )

    def finished(self, assignment: Assignment, failed: bool, now: float) -> None:
        """Ends the assignment; repeated calls have no effect."""
        if self._open.pop(assignment.id, None) is None:
            return
        self._requests[assignment.engine].end(assignment.id, now)
        if failed:
            self.health.failed(assignment.engine, now)
            self._prefixes.forget_engine(assignment.engine)
        else:
            self.health.succeeded(assignment.engine)
