"""Calls of the emulator's clients, and when they arrive."""

import itertools
from collections.abc import Iterator

import attrs
import numpy

from benchmarks import _loads
from turmericward import fleet, requests

# Calls arrive in groups from clients of one domain, spread over the window.
MEAN_GROUP_SIZE = 3.0
GROUP_WINDOW_S = 0.03


@attrs.define(eq=False)
class Front:
    """A front: its decisions, and what it publishes to its peers."""

    placer: requests.Placer
    admission: fleet.Admission
    domain: str
    published_at: float = -1.0
    published_loads: dict = attrs.field(factory=dict)
    cache_entries: list = attrs.field(factory=list)


@attrs.define(kw_only=True, eq=False)
class Call:
    """One call, its current placement, and what its client received."""

    kind: _loads.CallClass
    front: Front
    prompt: requests.Prompt
    tokens_out: int
    requested_at: float
    domain: str
    placement: requests.Placement | None = None
    first_token_at: float | None = None
    last_event_at: float = 0.0
    max_interval_s: float = 0.0
    state: str = "open"
    failures: int = 0
    hanging: bool = False
    retried: bool = False
    sent_at: float = 0.0
    generated: int = 0
    # Since when its engine is silent, and when a second attempt is next asked for.
    waiting_since: float = 0.0
    ask_at: float = 0.0


class Arrivals:
    """Draws the calls of a load."""

    def __init__(
        self,
        load: _loads.Load,
        rng: numpy.random.Generator,
        fronts: list[Front],
        order: itertools.count,
    ) -> None:
        """Creates the source of calls.

        Args:
            load: the load.
            rng: source of all random choices.
            fronts: fronts that clients reach, by domain.
            order: numbers the segments that no other prompt shares.
        """
        self._load = load
        self._rng = rng
        self._fronts = fronts
        self._order = order
        self._domains = sorted({front.domain for front in fronts})

    def of_class(self, kind: _loads.CallClass) -> Iterator[Call]:
        """Yields all calls of a class, groups in the order of their first call."""
        when = 0.0
        while True:
            rate = kind.per_s * self._rate_factor(kind, when) / MEAN_GROUP_SIZE
            when += self._rng.exponential(1 / rate)
            if when >= self._load.length_s:
                return
            domain = self._domains[self._rng.integers(len(self._domains))]
            for _ in range(self._rng.geometric(1 / MEAN_GROUP_SIZE)):
                offset = self._rng.uniform(0, GROUP_WINDOW_S)
                yield self._new_call(kind, when + offset, domain)

    def _rate_factor(self, kind, when: float) -> float:
        factor = 1.0
        for burst in self._load.bursts:
            if burst.name == kind.name and burst.at <= when < burst.at + burst.for_s:
                factor *= burst.x
        return factor

    def _new_call(self, kind, when: float, domain: str) -> Call:
        fronts = [f for f in self._fronts if f.domain == domain]
        sigma = kind.own_spread
        own_tokens = kind.own_tokens * self._rng.lognormal(-(sigma**2) / 2, sigma)
        segments = []
        for index, shared in enumerate(kind.shared):
            segment = self._rng.integers(shared.kinds)
            segments.append(
                requests.PromptSegment(
                    id=f"{kind.name}{index}-{segment}", tokens=shared.tokens
                )
            )
        own_tokens = int(max(1, min(kind.own_most, own_tokens)))
        segments.append(
            requests.PromptSegment(id=f"o{next(self._order)}", tokens=own_tokens)
        )
        events = kind.events * self._rng.lognormal(
            -(kind.events_spread**2) / 2, kind.events_spread
        )
        tokens_out = max(1, int(events * self._load.engine.tokens_per_event))
        return Call(
            kind=kind,
            front=fronts[self._rng.integers(len(fronts))],
            prompt=requests.Prompt(
                model="m", segments=tuple(segments), output_tokens=tokens_out
            ),
            tokens_out=tokens_out,
            requested_at=when,
            domain=domain,
        )
