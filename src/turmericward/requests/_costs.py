"""Costs of placing a call at an engine, in seconds of its and other calls' delay."""

from collections.abc import Callable, Mapping

import attrs

from turmericward import fleet
from turmericward.requests import (
    _cache_index,
    _in_flight,
    _loads,
    _outcomes,
    _prompts,
    _speed,
)

HANDOFF_S = 0.05
FETCH_OVERHEAD_S = 0.03
SECONDS_PER_OPEN_CALL = 0.002
# Cost of caching another copy of shared segments if all of it must evict others.
EVICTION_COST_S = 0.9
# Delay that prefilling a long prompt on a decode engine imposes on its running calls.
INTERFERENCE_SECONDS_PER_TOKEN = 1 / 3_000
# Open calls at which that delay counts in full; it grows with more calls up to
# MAX_INTERFERENCE_FACTOR times.
INTERFERENCE_OPEN_CALLS = 12
MAX_INTERFERENCE_FACTOR = 2.0
# Moving KV cache to another failure domain takes twice as long as within one.
CROSS_DOMAIN_COST_S = 0.03
# Cost of decoding where shared segments aren't cached: they are copied there and
# occupy KV cache.
DECODE_COPY_SECONDS_PER_TOKEN = 4e-6
# Costs of a failed call that can't be retried, and of one that is retried.
LOST_CALL_COST_S = 2.0
RETRIED_CALL_COST_S = 0.5


@attrs.frozen(kw_only=True)
class EngineEstimates:
    """A front's view of the engines.

    `load` returns the load of all fronts at a target.
    """

    load: Callable[[str], _loads.TargetLoad]
    cache_index: _cache_index.CacheIndex
    speed: _speed.PrefillSpeed
    hold_time: _speed.HoldTime
    outcomes: _outcomes.Outcomes


@attrs.frozen(kw_only=True)
class Query:
    """A prompt to place at `now` (monotonic seconds).

    `waits_s` has the engines that take it only after a time. KV cache may also be
    fetched from `sources`, engines of other domains that don't get the prompt.
    """

    prompt: _prompts.Prompt
    deadlines: _in_flight.Deadlines
    now: float
    waits_s: Mapping[str, float] = attrs.field(factory=dict)
    sources: tuple[fleet.Target, ...] = ()


class EngineCosts:
    """Estimates the cost of a prompt at each engine."""

    def __init__(self, estimates: EngineEstimates) -> None:
        """Takes the front's view of the engines."""
        self._load = estimates.load
        self._cache_index = estimates.cache_index
        self._speed = estimates.speed
        self._hold_time = estimates.hold_time
        self._outcomes = estimates.outcomes

    def wait_s(self, target: fleet.Target) -> float:
        """Returns the delay of any new call at an engine, beyond an idle ordinary one.

        It is negative for an idle engine that is faster than others.
        """
        load = self._load(target.name)
        wait_s = load.open_calls * SECONDS_PER_OPEN_CALL
        wait_s += load.queued_tokens(deferred=False) * self._speed.per_token(target)
        return wait_s * self._speed.slowness(target) + self._speed.excess_s(target)

    def prefill_placements(
        self, query: Query, targets, *, deferred: bool
    ) -> list[_in_flight.Placement]:
        """Returns the placement of a prefill at each engine, with its cost.

        Args:
            query: the prompt to place.
            targets: engines.
            deferred: whether it queues behind calls that can meet their soft deadline.
        """
        sources = {}
        if query.prompt.tokens >= _cache_index.SHORT_PROMPT_TOKENS:
            names = {t.name for t in targets}
            others = [t for t in query.sources if t.name not in names]
            sources = self._fetch_sources(query.prompt, [*targets, *others])
        return [
            self._prefill_placement(query, t, sources.get(t.domain), deferred)
            for t in targets
        ]

    def _fetch_sources(self, prompt, targets) -> dict[str, fleet.Target]:
        """Returns by domain the engine with most of the prompt cached.

        Engines of the domain itself win ties.
        """
        cached = {
            t: self._cache_index.cached_tokens(t, prompt, ready=True)
            for t in self._cache_index.engines_caching(prompt, targets)
        }
        if not cached:
            return {}
        return {
            domain: max(cached, key=lambda t: (cached[t], t.domain == domain))
            for domain in {t.domain for t in targets}
        }

    def _prefill_placement(
        self, query: Query, target, source, deferred: bool
    ) -> _in_flight.Placement:
        prompt = query.prompt
        cached = self._cache_index.cached_tokens(target, prompt, ready=False)
        fetch_from = ""
        load = self._load(target.name)
        extra_s = load.open_calls * SECONDS_PER_OPEN_CALL
        imposed_s = 0.0
        if source is not None and source is not target:
            fetchable = self._cache_index.cached_tokens(source, prompt, ready=True)
            if fetchable > cached:
                evicted = self._cache_index.eviction_share(target, fetchable - cached)
                cached = fetchable
                fetch_from = source.address
                extra_s += FETCH_OVERHEAD_S
                if query.sources and source.domain != target.domain:
                    extra_s += CROSS_DOMAIN_COST_S
                imposed_s += EVICTION_COST_S * evicted
        prefill_only = not target.can_decode
        if prefill_only:
            extra_s += HANDOFF_S
        elif prompt.tokens >= _cache_index.SHORT_PROMPT_TOKENS:
            factor = min(
                MAX_INTERFERENCE_FACTOR, load.open_calls / INTERFERENCE_OPEN_CALLS
            )
            imposed_s += (
                (prompt.tokens - cached) * INTERFERENCE_SECONDS_PER_TOKEN * factor
            )
        uncached = _speed.effective_tokens(max(1.0, prompt.tokens - cached), cached)
        queued = load.queued_tokens(deferred=deferred)
        start_after_s = query.waits_s.get(target.name, 0.0)
        expected_s = start_after_s + extra_s
        expected_s += self._speed.expected_s(target, queued + uncached)
        slot_s = self._hold_time.wait_s(target, load.open_calls)
        expected_s += slot_s
        queue_s = start_after_s + slot_s + queued * self._speed.per_token(target)
        adjusted_s = expected_s + imposed_s
        at_most_once = query.deadlines.at_most_once and not prefill_only
        return _in_flight.Placement(
            id=0,
            target=target,
            fetch_from=fetch_from,
            uncached_tokens=uncached,
            queued_tokens=queued,
            expected_s=expected_s,
            adjusted_s=adjusted_s,
            cost_s=adjusted_s + self._failure_cost_s(target, at_most_once, query.now),
            start_after_s=start_after_s,
            queue_s=queue_s,
            deferred=deferred,
            prefill_only=prefill_only,
        )

    def _failure_cost_s(self, target, at_most_once: bool, now: float) -> float:
        target_id = fleet.target_hash(target.name)
        share = self._outcomes.failure_share(target_id, now)
        return share * (LOST_CALL_COST_S if at_most_once else RETRIED_CALL_COST_S)

    def decode_placement(
        self, query: Query, prefill_domain: str, target: fleet.Target
    ) -> _in_flight.Placement:
        """Returns the placement of a decode at an engine, with its cost.

        Args:
            query: the prompt, prefilled elsewhere.
            prefill_domain: failure domain of the prefill engine; empty if unknown.
            target: engine.
        """
        load = self._load(target.name)
        start_after_s = query.waits_s.get(target.name, 0.0)
        expected_s = start_after_s + load.open_calls * SECONDS_PER_OPEN_CALL
        queued = load.queued_tokens(deferred=False)
        expected_s += queued * self._speed.per_token(target)
        expected_s += self._hold_time.wait_s(target, load.open_calls)
        expected_s += self._speed.excess_s(target)
        copied = query.prompt.shared_tokens - self._cache_index.cached_tokens(
            target, query.prompt, ready=False
        )
        cost_s = expected_s + DECODE_COPY_SECONDS_PER_TOKEN * max(0, copied)
        if prefill_domain not in ("", target.domain):
            cost_s += CROSS_DOMAIN_COST_S
        cost_s += self._failure_cost_s(target, query.deadlines.at_most_once, query.now)
        return _in_flight.Placement(
            id=0,
            target=target,
            expected_s=expected_s,
            cost_s=cost_s,
            start_after_s=start_after_s,
        )
