"""Chooses the target of a call; pure logic without clock, sockets or threads.

Load patterns handled: bursts of prompts that alternate with bursts of output, so
that prefill and decode engines saturate in turn; shared prefix segments that fit
into the KV caches of all engines together but not into those of a few; more prompts
than can be prefilled before their deadlines, where calls that are already late must
not delay the others; bursts of short prompts that exceed the prefill capacity of
the decode engines.
"""

import random
import types
from collections.abc import Mapping

import attrs
import result

from turmericward import fleet, transfer
from turmericward.requests import (
    _cache_index,
    _costs,
    _in_flight,
    _loads,
    _prompts,
    _router,
    _shortlist,
    _speed,
    _target_calls,
    _transfers,
)

# Replicas whose latency is within this factor of the fastest count as equally fast.
LATENCY_TOLERANCE = 1.5
MIN_RETRY_AFTER_S = 0.2
# With this many peers the view of their load is stale enough that fronts which
# all take the cheapest engine collide.
MIN_PEERS_TO_RANDOMIZE = 12
# Placements whose costs differ by at most this count as tied, for prompts with at
# least LONG_PREFILL_TOKENS to prefill and for shorter ones.
LONG_PROMPT_TIE_S = 0.1
SHORT_PROMPT_TIE_S = 0.01
LONG_PREFILL_TOKENS = 1_000.0
# Weight of a replica's recent failure share relative to its open calls.
FAILURE_WEIGHT = 10.0
# Prefills behind more queued tokens than this share of their own don't show a speed.
MAX_QUEUED_SHARE = 0.2
NO_WAITS: Mapping[str, float] = types.MappingProxyType({})


class Placer:
    """Tracks the calls in flight by target and places new ones."""

    def __init__(
        self, seed: int, domain: str, link: transfer.Link | None = None
    ) -> None:
        """Starts with no calls in flight.

        Args:
            seed: seed of the random choices.
            domain: failure domain whose targets are preferred on equal scores.
            link: costs of the way to other domains, if calls stay in their domain
                unless leaving pays; None: they don't.
        """
        self._random = random.Random(seed)
        self._domain = domain
        self._calls = _target_calls.TargetCalls()
        self.peers = self._calls.peers
        self.health = self._calls.health
        self._latency = _speed.Latency()
        self._speed = _speed.PrefillSpeed(self._calls.speeds)
        # By the domains that a call may go to; empty for all.
        self._shortlists: dict[str, _shortlist.Shortlist] = {}
        self._last_id = 0
        self.cache_index = _cache_index.CacheIndex()
        self._hold_time = _speed.HoldTime()
        estimates = _costs.EngineEstimates(
            load=self._calls.load,
            cache_index=self.cache_index,
            speed=self._speed,
            hold_time=self._hold_time,
            outcomes=self._calls.outcomes,
        )
        self._costs = _costs.EngineCosts(estimates)
        self.transfers: _transfers.Transfers | None = None
        if link is not None:
            self.transfers = _transfers.Transfers(
                domain, link, seed, self._calls, self._speed
            )

    # State of targets.

    def put(self, target: fleet.Target) -> None:
        """Records an announced target."""
        self.cache_index.set_service(target)
        self._calls.speeds.set_role(target)

    def forget(self, name: str) -> None:
        """Drops the state of a target that was removed or has restarted."""
        self._latency.forget(name)
        self._speed.forget(name)
        self.cache_index.forget(name)
        self._calls.forget(name)

    def local_loads(self) -> dict[int, _loads.TargetLoad]:
        """Returns the local load by target, without targets that were never used."""
        return self._calls.local_loads()

    def accepting(self, targets, now: float) -> list[fleet.Target]:
        """Returns the targets that take calls as far as is known."""
        return self._calls.accepting(targets, now)

    def silent(self, name: str, silent_s: float, now: float) -> None:
        """Records that a call waits at a target that has been silent for a time."""
        self._calls.silent(name, silent_s, now)

    def heard(self, name: str, now: float) -> None:
        """Records output of a target."""
        self._calls.heard(name, now)

    def count_overdue(self, now: float) -> None:
        """Counts calls as failed whose first output is overdue."""
        self._calls.count_overdue(now)

    def load(self, name: str) -> _loads.TargetLoad:
        """Returns the load of all fronts at a target."""
        return self._calls.load(name)

    def seconds_per_token(self, target: fleet.Target) -> float:
        """Returns the time in which an engine prefills a token, as far as is known."""
        return self._speed.per_token(target)

    def failure_share(self, name: str, now: float) -> float:
        """Returns the share of all fronts' recent calls at a target that failed."""
        return self._calls.failure_share(name, now)

    # Replicas of plain services.

    def choose_replica(
        self,
        targets,
        now: float,
        waits_s: Mapping[str, float] = NO_WAITS,
        *,
        tried: bool = False,
    ) -> _in_flight.Placement | None:
        """Chooses a replica of a plain service by its open calls and its latency.

        Args:
            targets: replicas of the service.
            now: monotonic seconds.
            waits_s: replicas that take the call only after a time, used if no other
                is left.
            tried: whether a target has refused or lost the call before.
        """
        if self.transfers is not None and targets:
            hold_s = self._latency.fastest(t.name for t in targets)
            targets = self.transfers.select_replicas(
                targets, hold_s, now, waits_s, tried=tried
            )
        usable = self._calls.usable(targets, now)
        if not usable:
            return None
        self._random.shuffle(usable)
        min_wait_s = min(waits_s.get(t.name, 0.0) for t in usable)
        usable = [t for t in usable if waits_s.get(t.name, 0.0) == min_wait_s]
        fastest_s = self._latency.fastest(t.name for t in usable)
        best = min(usable, key=lambda t: self._replica_score(t, fastest_s, now))
        placement = _in_flight.Placement(
            id=0, target=best, expected_s=min_wait_s, start_after_s=min_wait_s
        )
        return self._assign(placement, now)

    def _replica_score(
        self, target: fleet.Target, fastest_s: float, now: float
    ) -> tuple[float, bool]:
        slowness = self._latency.slowness(target.name, fastest_s, now)
        busy = self._calls.load(target.name).open_calls + 1
        score = busy / max(1, target.slots) * max(1.0, slowness / LATENCY_TOLERANCE)
        score *= 1 + FAILURE_WEIGHT * self._calls.failure_share(target.name, now)
        return (score, target.domain != self._domain)

    # Engines.

    def choose_engine(
        self,
        prompt: _prompts.Prompt,
        targets,
        deadlines: _in_flight.Deadlines,
        now: float,
        waits_s: Mapping[str, float] = NO_WAITS,
        *,
        tried: bool = False,
    ) -> result.Result[_in_flight.Placement, _router.Refusal] | None:
        """Chooses the engine that prefills a prompt, and may decode it as well.

        Args:
            prompt: the prompt.
            targets: engines of the service.
            deadlines: how long the client still waits.
            now: monotonic seconds.
            waits_s: engines that take the prompt only after a time.
            tried: whether a target has refused or lost the call before.

        Returns:
            The placement or a refusal; None if no usable engine could decode
            afterwards.
        """
        query = _costs.Query(
            prompt=prompt, deadlines=deadlines, now=now, waits_s=waits_s
        )
        if self.transfers is None or not targets:
            best = self._best_of(query, targets)
        else:
            best = self._best_selected(query, targets, tried=tried)
        if best is None:
            return None
        if best.adjusted_s > deadlines.hard_deadline_s:
            retry_s = max(
                MIN_RETRY_AFTER_S, best.adjusted_s - deadlines.hard_deadline_s
            )
            return result.Err(
                _router.Refusal(reason="overloaded", retry_after_s=retry_s)
            )
        placement = self._assign(best, now)
        if prompt.tokens >= _cache_index.SHORT_PROMPT_TOKENS:
            self.cache_index.record_prompt(placement.target, prompt, ready=False)
        return result.Ok(placement)

    def _best_of(
        self, query: _costs.Query, targets, key: str = ""
    ) -> _in_flight.Placement | None:
        """Returns the best placement; None if no usable engine could decode."""
        usable = self._candidates(query.prompt, targets, query.now, key=key)
        if not _any_can_decode(usable):
            usable = self._calls.usable(targets, query.now)
        if not _any_can_decode(usable):
            return None
        return self._best(query, usable)

    def _best_selected(
        self, query: _costs.Query, targets, *, tried: bool
    ) -> _in_flight.Placement | None:
        """Returns the best placement among the domains that the call may go to.

        A kept call leaves if that pays, and it would be late or its prefix is cached
        elsewhere only.
        """
        selected = self.transfers.select(
            targets, self._hold_time.hold_s, query.now, tried=tried
        )
        caching = self.cache_index.engines_caching(query.prompt, targets)
        sources = tuple(self._calls.accepting(caching, query.now))
        query = attrs.evolve(query, sources=sources)
        best = self._best_of(query, selected.targets, selected.key)
        if best is None:
            return self._best_of(query, targets)
        elsewhere = selected.elsewhere
        if best.adjusted_s <= query.deadlines.soft_deadline_s:
            if best.uncached_tokens < LONG_PREFILL_TOKENS:
                return best
            caching = self.cache_index.engines_caching(query.prompt, elsewhere)
            elsewhere = self._calls.accepting(caching, query.now)
        if not _any_can_decode(elsewhere):
            return best
        other = self._best_of(query, elsewhere, "elsewhere")
        if other is None or not self.transfers.pays(
            best.cost_s, other.cost_s, query.prompt
        ):
            return best
        return other

    def _candidates(
        self, prompt, targets, now: float, *, decode: bool = False, key: str = ""
    ) -> list[fleet.Target]:
        """Returns the least loaded engines and those that cache the prompt's prefix.

        Each `key` has a shortlist of its own.
        """
        shortlist = self._shortlists.get(key)
        if shortlist is None:
            shortlist = _shortlist.Shortlist(self._domain)
            self._shortlists[key] = shortlist
        shortlisted = shortlist.pick(targets, self._costs.wait_s, now, decode=decode)
        eligible = _decode_capable(targets) if decode else targets
        if shortlisted is targets:
            return self._calls.usable(eligible, now)
        names = {t.name for t in shortlisted}
        caching = self.cache_index.engines_caching(prompt, eligible)
        candidates = [*shortlisted, *(t for t in caching if t.name not in names)]
        return self._calls.accepting(candidates, now) or self._calls.usable(
            eligible, now
        )

    def _best(self, query: _costs.Query, targets) -> _in_flight.Placement:
        """Returns the cheapest placement that meets the soft or else the hard deadline.

        If none does, returns the one with the least delay.
        """
        for deferred, limit_s in (
            (False, query.deadlines.soft_deadline_s),
            (True, query.deadlines.hard_deadline_s),
        ):
            placements = self._costs.prefill_placements(
                query, targets, deferred=deferred
            )
            in_time = [p for p in placements if p.adjusted_s <= limit_s]
            if in_time:
                return self._break_tie(in_time, min(in_time, key=self._order))
        return min(placements, key=lambda p: p.adjusted_s)

    def _break_tie(
        self, placements, best: _in_flight.Placement
    ) -> _in_flight.Placement:
        """Returns a random one of the placements that cost nearly as little as `best`.

        With many fronts each one sees its peers' placements late: without
        randomization all of them would send their calls to the same idle engine.
        """
        if self.peers.live() < MIN_PEERS_TO_RANDOMIZE:
            return best
        long = best.uncached_tokens >= LONG_PREFILL_TOKENS
        tie_s = LONG_PROMPT_TIE_S if long else SHORT_PROMPT_TIE_S
        limit_s = best.cost_s + tie_s
        return self._random.choice([p for p in placements if p.cost_s <= limit_s])

    def _order(self, placement: _in_flight.Placement) -> tuple[float, bool]:
        return (placement.cost_s, placement.target.domain != self._domain)

    def choose_decode_engine(
        self,
        prompt: _prompts.Prompt,
        prefill_domain: str,
        targets,
        deadlines: _in_flight.Deadlines,
        now: float,
        waits_s: Mapping[str, float] = NO_WAITS,
    ) -> _in_flight.Placement | None:
        """Chooses the engine that decodes after a separate prefill.

        Args:
            prompt: the prefilled prompt.
            prefill_domain: failure domain of the prefill engine; empty if unknown.
            targets: engines of the service.
            deadlines: how long the client still waits.
            now: monotonic seconds.
            waits_s: engines that take the prompt only after a time.
        """
        key = ""
        if self.transfers is not None and targets:
            selected = self.transfers.select_decode(targets, prefill_domain, now)
            targets, key = selected.targets, selected.key
        usable = self._candidates(prompt, targets, now, decode=True, key=key)
        if not usable:
            return None
        query = _costs.Query(
            prompt=prompt, deadlines=deadlines, now=now, waits_s=waits_s
        )
        placements = [
            self._costs.decode_placement(query, prefill_domain, target)
            for target in usable
        ]
        return self._assign(min(placements, key=self._order), now)

    # Calls in flight.

    def _assign(self, chosen: _in_flight.Placement, now: float) -> _in_flight.Placement:
        self._last_id += 1
        placement = attrs.evolve(chosen, id=self._last_id, placed_at=now)
        self._calls.begin(placement)
        return placement

    def record_first_output(
        self, placement: _in_flight.Placement, prompt, took_s: float, now: float
    ) -> None:
        """Records a placement's first output, which came after `took_s`.

        That is the first token of a decode, the end of a separate prefill, or the
        reply of a plain service, for which `prompt` is None.
        """
        if not self._calls.record_first_output(placement, now):
            return
        name = placement.target.name
        if prompt is None:
            self._latency.learn(name, took_s, now)
            return
        if placement.uncached_tokens:
            tokens = placement.queued_tokens + placement.uncached_tokens
            self._speed.learn(placement.target, tokens, took_s)
            self._record_prefill(placement, took_s, now)
        if prompt.tokens >= _cache_index.SHORT_PROMPT_TOKENS:
            self.cache_index.record_prompt(placement.target, prompt, ready=True)

    def _record_prefill(
        self, placement: _in_flight.Placement, took_s: float, now: float
    ) -> None:
        # What others had queued there is known late, and hides how fast the engine is.
        if placement.queued_tokens > MAX_QUEUED_SHARE * placement.uncached_tokens:
            return
        tokens = placement.queued_tokens + placement.uncached_tokens
        target = placement.target
        prefill_s, ordinary_s = self._speed.prefill_s(target, tokens, took_s)
        self._calls.record_prefill(target, prefill_s, ordinary_s, now)

    def ended(
        self, placement: _in_flight.Placement, ending: _in_flight.Ending, now: float
    ) -> None:
        """Ends a placement; repeated calls have no effect."""
        self._calls.ended(placement, ending, now)

    def streamed(self, placement: _in_flight.Placement, now: float) -> None:
        """Records that a response was streamed to its end."""
        self._hold_time.learn(now - placement.placed_at)


def _decode_capable(targets) -> list[fleet.Target]:
    return [t for t in targets if t.can_decode]


def _any_can_decode(targets) -> bool:
    return any(t.can_decode for t in targets)
