"""Chooses the target of a call: the pure part, without clock, socket or thread.

Load patterns that it answers: prompts that come in bursts while answers fall
off, and the other way round, so that now the prefill engines are full and now
the decode engines; shared prompt parts that together fit the memory of all
engines but not of a few; more prompts than can be read in time, where those
that are late already must not make the others late too; bursts of short prompts
that the decode engines can't read alone.
"""

import collections
import random

import attrs
import result

from turmericward import fleet
from turmericward.requests import (
    _costs,
    _in_flight,
    _loads,
    _memories,
    _outcomes,
    _prompts,
    _router,
    _shortlist,
    _speed,
)

# A domain that was cut off is back in use this long after the cut at the latest.
MAX_EJECTION_S = 4.0
# A target that refuses is avoided, since it looks idle.
REFUSALS_TO_AVOID = 1
FIRST_AVOIDANCE_S = 0.2
MAX_AVOIDANCE_S = 1.5
# No connection is as good a sign as several failures.
UNREACHED_WEIGHT = 3
# Replicas within this factor of the fastest one are taken to be as fast.
TOLERATED_SLOWNESS = 1.5
MIN_RETRY_S = 0.2
# From this many fronts on a front's view of the others' work is old.
MANY_FRONTS = 12
# Costs that differ by less are taken to be equal among many fronts, for calls with
# much to read and with little.
LONG_SPREAD_S = 0.1
SHORT_SPREAD_S = 0.01
LONG_WORK_TOKENS = 1_000.0
# How much a replica's recent failures weigh against its open calls.
FAILURE_WEIGHT = 10.0


class Placer:
    """Calls in flight by target, and the choice of the next one's target."""

    def __init__(self, seed: int, domain: str) -> None:
        """Creates a placer without calls in flight.

        Args:
            seed: seed of the random choices.
            domain: failure domain whose targets go first when scores are equal.
        """
        self._random = random.Random(seed)
        self._domain = domain
        self._own: dict[str, _in_flight.OwnCalls] = collections.defaultdict(
            _in_flight.OwnCalls
        )
        self._latency = _speed.Latency()
        self._speed = _speed.ReadingSpeed()
        self._shortlist = _shortlist.Shortlist(domain)
        self._last_id = 0
        self.memories = _memories.EngineMemories()
        self._outcomes = _outcomes.Outcomes()
        self._hold = _speed.HoldTime()
        beliefs = _costs.Beliefs(
            load=self.load,
            memories=self.memories,
            speed=self._speed,
            hold=self._hold,
            outcomes=self._outcomes,
        )
        self._costs = _costs.EngineCosts(beliefs)
        self.peers = _loads.PeerLoads(self._outcomes)
        self.health = fleet.Health(max_s=MAX_EJECTION_S)
        self._refusals = fleet.Health(
            REFUSALS_TO_AVOID, FIRST_AVOIDANCE_S, MAX_AVOIDANCE_S
        )

    # What is known of targets.

    def forget(self, name: str) -> None:
        """Drops what was learnt of a target that is gone or began anew."""
        self._latency.forget(name)
        self._speed.forget(name)
        self.memories.forget(name)
        self._outcomes.forget(_memories.target_hash(name))
        if name in self._own and not self._own[name].open:
            del self._own[name]
        self.health.succeeded(name)
        self._refusals.succeeded(name)

    def own_loads(self) -> dict[int, _loads.TargetLoad]:
        """Returns the own work by target, without targets that were never used."""
        return {
            _memories.target_hash(name): own.load()
            for name, own in self._own.items()
            if own.open or own.ended_calls
        }

    def note_overdue(self, now: float) -> None:
        """Counts calls as failed that their targets should have begun long ago."""
        for name, own in self._own.items():
            for placement in own.waiting.values():
                if placement.id in own.overdue or not placement.is_overdue(now):
                    continue
                own.overdue.add(placement.id)
                self._count_end(name, now, failed=True)

    def load(self, name: str) -> _loads.TargetLoad:
        """Returns the work of all fronts at a target."""
        own = self._own.get(name)
        peers = self.peers.at(_memories.target_hash(name))
        return peers if own is None else own.load() + peers

    def failure_share(self, name: str, now: float) -> float:
        """Returns the share of all fronts' recent calls at a target that failed."""
        return self._outcomes.failure_share(_memories.target_hash(name), now)

    def _in_use(self, targets, now: float) -> list[fleet.Target]:
        """Returns the targets that neither fail nor refuse at present."""
        return [
            t
            for t in targets
            if self.health.usable(t.name, now) and self._refusals.usable(t.name, now)
        ]

    def _healthy(self, targets, now: float) -> list[fleet.Target]:
        healthy = [t for t in targets if self.health.usable(t.name, now)]
        willing = self._in_use(healthy, now)
        # With every target ejected, failing ones are better than none.
        return willing or healthy or list(targets)

    # Replicas of plain services.

    def choose_replica(self, targets, now: float) -> _in_flight.Placement | None:
        """Chooses a replica of a plain service by its open calls and its latency."""
        usable = self._healthy(targets, now)
        if not usable:
            return None
        self._random.shuffle(usable)
        fastest_s = self._latency.fastest(t.name for t in usable)
        best = min(usable, key=lambda t: self._replica_score(t, fastest_s, now))
        return self._assign(_in_flight.Placement(id=0, target=best), now)

    def _replica_score(
        self, target: fleet.Target, fastest_s: float, now: float
    ) -> tuple[float, bool]:
        slowness = self._latency.slowness(target.name, fastest_s, now)
        busy = self.load(target.name).open_calls + 1
        score = busy / max(1, target.slots) * max(1.0, slowness / TOLERATED_SLOWNESS)
        score *= 1 + FAILURE_WEIGHT * self.failure_share(target.name, now)
        return (score, target.domain != self._domain)

    # Engines.

    def choose_engine(
        self,
        prompt: _prompts.Prompt,
        targets,
        patience: _in_flight.Patience,
        now: float,
    ) -> result.Result[_in_flight.Placement, _router.Refusal] | None:
        """Chooses where a prompt is read, at the place of its answer or before it."""
        usable = self._worth_a_look(prompt, targets, now)
        if not _can_answer(usable):
            usable = self._healthy(targets, now)
        if not _can_answer(usable):
            # Nobody could answer what was read.
            return None
        asked = _costs.Asked(prompt=prompt, patience=patience, now=now)
        best = self._best(asked, usable)
        if best.bound_s > patience.given_up_s:
            retry_s = max(MIN_RETRY_S, best.bound_s - patience.given_up_s)
            return result.Err(
                _router.Refusal(reason="overloaded", retry_after_s=retry_s)
            )
        placement = self._assign(best, now)
        if prompt.tokens >= _memories.SHORT_PROMPT_TOKENS:
            self.memories.note_prompt(placement.target, prompt, ready=False)
        return result.Ok(placement)

    def _worth_a_look(
        self, prompt, targets, now: float, *, answering: bool = False
    ) -> list[fleet.Target]:
        """Returns the engines with little to do and those that keep the prompt."""
        listed = self._shortlist.pick(
            targets, self._costs.wait_s, now, answering=answering
        )
        able = _answering(targets) if answering else targets
        if listed is targets:
            return self._healthy(able, now)
        names = {t.name for t in listed}
        keeping = self.memories.keeping(prompt, able)
        found = [*listed, *(t for t in keeping if t.name not in names)]
        return self._in_use(found, now) or self._healthy(able, now)

    def _best(self, asked: _costs.Asked, targets) -> _in_flight.Placement:
        """Returns the cheapest target that is on time, else one that is soon enough."""
        for deferred, most_s in (
            (False, asked.patience.on_time_s),
            (True, asked.patience.given_up_s),
        ):
            found = self._costs.reading(asked, targets, deferred=deferred)
            able = [p for p in found if p.bound_s <= most_s]
            if able:
                return self._spread(able, min(able, key=self._order))
        return min(found, key=lambda p: p.bound_s)

    def _spread(self, found, best: _in_flight.Placement) -> _in_flight.Placement:
        """Returns one of the placements that are nearly as good as the best.

        Each of many fronts knows late what the others place: without chance all
        of them would send their calls to the same idle engine.
        """
        if self.peers.live() < MANY_FRONTS:
            return best
        long = best.work_tokens >= LONG_WORK_TOKENS
        spread_s = LONG_SPREAD_S if long else SHORT_SPREAD_S
        most_s = best.cost_s + spread_s
        return self._random.choice([p for p in found if p.cost_s <= most_s])

    def _order(self, placement: _in_flight.Placement) -> tuple[float, bool]:
        return (placement.cost_s, placement.target.domain != self._domain)

    def choose_answerer(
        self,
        prompt: _prompts.Prompt,
        read_in: str,
        targets,
        patience: _in_flight.Patience,
        now: float,
    ) -> _in_flight.Placement | None:
        """Chooses where a prompt that was read in a domain is answered."""
        usable = self._worth_a_look(prompt, targets, now, answering=True)
        if not usable:
            return None
        asked = _costs.Asked(prompt=prompt, patience=patience, now=now)
        found = [self._costs.answering(asked, read_in, target) for target in usable]
        return self._assign(min(found, key=self._order), now)

    # Calls in flight.

    def _assign(self, chosen: _in_flight.Placement, now: float) -> _in_flight.Placement:
        self._last_id += 1
        placement = attrs.evolve(chosen, id=self._last_id, placed_at=now)
        own = self._own[placement.target.name]
        own.open[placement.id] = placement
        own.waiting[placement.id] = placement
        self.health.started(placement.target.name)
        self._refusals.started(placement.target.name)
        return placement

    def began(
        self, placement: _in_flight.Placement, prompt, took_s: float, now: float
    ) -> None:
        """Notes the first token, the end of a prefill or an answer, after `took_s`."""
        name = placement.target.name
        if self._own[name].waiting.pop(placement.id, None) is None:
            return
        if prompt is None:
            self._latency.learn(name, took_s, now)
            return
        if placement.work_tokens:
            tokens = placement.ahead_tokens + placement.work_tokens
            self._speed.learn(placement.target, tokens, took_s)
        if prompt.tokens >= _memories.SHORT_PROMPT_TOKENS:
            self.memories.note_prompt(placement.target, prompt, ready=True)

    def ended(
        self, placement: _in_flight.Placement, ending: _in_flight.Ending, now: float
    ) -> None:
        """Ends a placement; repeated calls have no effect."""
        name = placement.target.name
        own = self._own[name]
        own.waiting.pop(placement.id, None)
        if own.open.pop(placement.id, None) is None:
            return
        if placement.id in own.overdue:
            own.overdue.remove(placement.id)
        elif ending in _COUNTED:
            self._count_end(name, now, failed=ending in _FAILURES)
        if ending is _in_flight.Ending.REFUSED:
            self._refusals.failed(name, now)
            return
        if ending is _in_flight.Ending.LEFT:
            self._refusals.released(name)
            self.health.released(name)
            return
        self._refusals.succeeded(name)
        if ending is _in_flight.Ending.SOUND:
            self.health.succeeded(name)
        else:
            weight = UNREACHED_WEIGHT if ending is _in_flight.Ending.UNREACHED else 1
            self.health.failed(name, now, weight=weight)

    def _count_end(self, name: str, now: float, *, failed: bool) -> None:
        own = self._own[name]
        own.ended_calls += 1
        own.failed_calls += failed
        self._outcomes.ended(_memories.target_hash(name), 1, int(failed), now)

    def streamed(self, placement: _in_flight.Placement, now: float) -> None:
        """Notes that an answer was streamed to its end."""
        self._hold.learn(now - placement.placed_at)


# Endings that tell whether a target answers what it takes.
_FAILURES = frozenset({_in_flight.Ending.FAILED, _in_flight.Ending.UNREACHED})
_COUNTED = _FAILURES | {_in_flight.Ending.SOUND}


def _answering(targets) -> list[fleet.Target]:
    """Returns the engines that don't only read prompts."""
    return [t for t in targets if t.answers]


def _can_answer(targets) -> bool:
    return any(t.answers for t in targets)
