"""Chooses the target of a call: the pure part, without clock, socket or thread.

Load patterns that it answers: prompts that come in bursts while answers fall
off, and the other way round, so that now the prefill engines are full and now
the decode engines; shared prompt parts that together fit the memory of all
engines but not of a few; more prompts than can be read in time, where those
that are late already must not make the others late too; bursts of short prompts
that the decode engines can't read alone.
"""

import collections
import enum
import random

import attrs
import result

from turmericward import fleet
from turmericward.requests import (
    _loads,
    _memories,
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
HANDOVER_S = 0.05
FETCH_S = 0.03
SECONDS_PER_OPEN_CALL = 0.002
MIN_RETRY_S = 0.2
# What a further copy of shared parts costs where all others must yield to it.
COPY_COST_S = 0.9
# What a long prompt's reading at a decode engine costs the calls beside it.
HARM_SECONDS_PER_TOKEN = 1 / 3_000
# Open calls at which that cost counts in full, and how far it grows with more.
HARM_OPEN_CALLS = 12
MAX_HARM_FACTOR = 2.0
# What moving KV cache into another domain costs: it takes twice as long there.
CROSSING_COST_S = 0.03
# What an answer costs where a shared part isn't kept: it is copied there, and takes
# the memory of others.
ANSWER_COPY_SECONDS_PER_TOKEN = 4e-6
# Effective tokens beyond which work goes behind shorter work: the longest prompts
# hold an engine for as long as a dozen others.
WORK_STEPS = (4_000.0, 16_000.0)
# From this many fronts on a front's view of the others' work is old.
MANY_FRONTS = 12
# Costs that differ by less are taken to be equal among many fronts, for calls with
# much to read and with little.
LONG_SPREAD_S = 0.1
SHORT_SPREAD_S = 0.01
LONG_WORK_TOKENS = 1_000.0
# Steps by which calls that are late already go behind the others.
DEFERRED_STEPS = 5


class Ending(enum.Enum):
    """How a placement ended, as far as the target is concerned."""

    SOUND = "sound"
    FAILED = "failed"
    REFUSED = "refused"
    UNREACHED = "unreached"


@attrs.frozen(kw_only=True)
class Patience:
    """What a call's client still waits for, in seconds from now.

    A first token by `on_time_s` earns all; by `given_up_s` the client leaves.
    """

    on_time_s: float
    given_up_s: float


@attrs.frozen(kw_only=True)
class Placement:
    """A call at a target; `fetch_from` is the address of KV cache or empty.

    `work_tokens` has to be read before the first token, after `ahead_tokens` of
    other calls (both effective). The first token is expected after `expected_s`;
    `cost_s` adds what the call costs others. `deferred` calls go behind those
    that can still be on time; `prefill_only` tells that another target answers.
    """

    id: int
    target: fleet.Target
    fetch_from: str = ""
    work_tokens: float = 0.0
    ahead_tokens: float = 0.0
    expected_s: float = 0.0
    cost_s: float = 0.0
    deferred: bool = False
    prefill_only: bool = False

    @property
    def rank(self) -> int:
        """Steps by which the call goes behind the most urgent of its kind."""
        longer = sum(self.work_tokens > step for step in WORK_STEPS)
        return longer + DEFERRED_STEPS * self.deferred


@attrs.define
class _Own:
    """Own calls at one target: placements by id, and which have no token yet."""

    open: dict[int, Placement] = attrs.field(factory=dict)
    waiting: dict[int, Placement] = attrs.field(factory=dict)

    def load(self) -> _loads.TargetLoad:
        urgent = deferred = 0.0
        for placement in self.waiting.values():
            if placement.deferred:
                deferred += placement.work_tokens
            else:
                urgent += placement.work_tokens
        return _loads.TargetLoad(
            urgent_tokens=urgent, deferred_tokens=deferred, open_calls=len(self.open)
        )


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
        self._own: dict[str, _Own] = collections.defaultdict(_Own)
        self._latency = _speed.Latency()
        self._speed = _speed.ReadingSpeed()
        self._shortlist = _shortlist.Shortlist(domain)
        self._last_id = 0
        self.memories = _memories.EngineMemories()
        self.peers = _loads.PeerLoads()
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
        if name in self._own and not self._own[name].open:
            del self._own[name]
        self.health.succeeded(name)
        self._refusals.succeeded(name)

    def own_loads(self) -> dict[int, _loads.TargetLoad]:
        """Returns the own work by target, without idle targets."""
        return {
            _memories.target_hash(name): own.load()
            for name, own in self._own.items()
            if own.open
        }

    def load(self, name: str) -> _loads.TargetLoad:
        """Returns the work of all fronts at a target."""
        own = self._own.get(name)
        peers = self.peers.at(_memories.target_hash(name))
        return peers if own is None else own.load() + peers

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

    def choose_replica(self, targets, now: float) -> Placement | None:
        """Chooses a replica of a plain service by its open calls and its latency."""
        usable = self._healthy(targets, now)
        if not usable:
            return None
        self._random.shuffle(usable)
        fastest_s = self._latency.fastest((t.name for t in usable), now)
        best = min(usable, key=lambda t: self._replica_score(t, fastest_s, now))
        return self._assign(Placement(id=0, target=best))

    def _replica_score(
        self, target: fleet.Target, fastest_s: float, now: float
    ) -> tuple[float, bool]:
        slowness = self._latency.slowness(target.name, fastest_s, now)
        busy = self.load(target.name).open_calls + 1
        score = busy / max(1, target.slots) * max(1.0, slowness / TOLERATED_SLOWNESS)
        return (score, target.domain != self._domain)

    # Engines.

    def choose_engine(
        self, prompt: _prompts.Prompt, targets, patience: Patience, now: float
    ) -> result.Result[Placement, _router.Refusal] | None:
        """Chooses where a prompt is read, at the place of its answer or before it."""
        if all(t.role is fleet.EngineRole.PREFILL for t in targets):
            # Nobody could answer what was read.
            return None
        usable = self._worth_a_look(prompt, targets, now)
        best = self._best(prompt, usable, patience)
        if best.cost_s > patience.given_up_s:
            retry_s = max(MIN_RETRY_S, best.cost_s - patience.given_up_s)
            return result.Err(
                _router.Refusal(reason="overloaded", retry_after_s=retry_s)
            )
        placement = self._assign(best)
        if prompt.tokens >= _memories.SHORT_PROMPT_TOKENS:
            self.memories.note_prompt(placement.target, prompt, ready=False)
        return result.Ok(placement)

    def _worth_a_look(
        self, prompt, targets, now: float, *, answering: bool = False
    ) -> list[fleet.Target]:
        """Returns the engines with little to do and those that keep the prompt."""
        listed = self._shortlist.pick(targets, self._wait_s, now, answering=answering)
        if listed is targets:
            return self._healthy(targets, now)
        names = {t.name for t in listed}
        keeping = [
            t
            for t in self.memories.keeping(prompt, targets)
            if t.name not in names
            and not (answering and t.role is fleet.EngineRole.PREFILL)
        ]
        found = self._in_use([*listed, *keeping], now)
        return found or self._healthy(targets, now)

    def _wait_s(self, target: fleet.Target) -> float:
        """Returns what any call waits for at an engine."""
        load = self.load(target.name)
        wait_s = load.open_calls * SECONDS_PER_OPEN_CALL
        return wait_s + load.tokens_ahead(deferred=False) * self._speed.per_token(
            target
        )

    def _best(self, prompt, targets, patience: Patience) -> Placement:
        """Returns the cheapest target that is on time, else one that is soon enough."""
        for deferred, bound_s in (
            (False, patience.on_time_s),
            (True, patience.given_up_s),
        ):
            found = self._candidates(prompt, targets, deferred=deferred)
            best = min(found, key=self._order)
            if best.cost_s <= bound_s:
                return self._spread(found, best, bound_s)
        return best

    def _spread(self, found, best: Placement, bound_s: float) -> Placement:
        """Returns one of the placements that are nearly as good as the best.

        Each of many fronts knows late what the others place: without chance all
        of them would send their calls to the same idle engine.
        """
        if self.peers.live() < MANY_FRONTS:
            return best
        long = best.work_tokens >= LONG_WORK_TOKENS
        spread_s = LONG_SPREAD_S if long else SHORT_SPREAD_S
        most_s = min(bound_s, best.cost_s + spread_s)
        return self._random.choice([p for p in found if p.cost_s <= most_s])

    def _candidates(self, prompt, targets, *, deferred: bool) -> list[Placement]:
        sources = {}
        if prompt.tokens >= _memories.SHORT_PROMPT_TOKENS:
            sources = self._sources(prompt, targets)
        return [
            self._candidate(prompt, t, sources.get(t.domain), deferred) for t in targets
        ]

    def _sources(self, prompt, targets) -> dict[str, fleet.Target]:
        """Returns for each domain the engine that keeps most, a near one if equal."""
        kept = {
            t: self.memories.tokens_kept(t, prompt, ready=True)
            for t in self.memories.keeping(prompt, targets)
        }
        if not kept:
            return {}
        return {
            domain: max(kept, key=lambda t: (kept[t], t.domain == domain))
            for domain in {t.domain for t in targets}
        }

    def _order(self, placement: Placement) -> tuple[float, bool]:
        return (placement.cost_s, placement.target.domain != self._domain)

    def _candidate(self, prompt, target, source, deferred: bool) -> Placement:
        kept = self.memories.tokens_kept(target, prompt, ready=False)
        fetch_from = ""
        load = self.load(target.name)
        extra_s = load.open_calls * SECONDS_PER_OPEN_CALL
        harm_s = 0.0
        if source is not None and source is not target:
            there = self.memories.tokens_kept(source, prompt, ready=True)
            if there > kept:
                yielding = self.memories.yielding_share(target, there - kept)
                kept = there
                fetch_from = source.address
                extra_s += FETCH_S
                harm_s += COPY_COST_S * yielding
        if target.role is fleet.EngineRole.PREFILL:
            extra_s += HANDOVER_S
        elif prompt.tokens >= _memories.SHORT_PROMPT_TOKENS:
            factor = min(MAX_HARM_FACTOR, load.open_calls / HARM_OPEN_CALLS)
            harm_s += (prompt.tokens - kept) * HARM_SECONDS_PER_TOKEN * factor
        work = _speed.effective_tokens(max(1.0, prompt.tokens - kept), kept)
        ahead = load.tokens_ahead(deferred=deferred)
        expected_s = extra_s + self._speed.expected_s(target, ahead + work)
        return Placement(
            id=0,
            target=target,
            fetch_from=fetch_from,
            work_tokens=work,
            ahead_tokens=ahead,
            expected_s=expected_s,
            cost_s=expected_s + harm_s,
            deferred=deferred,
            prefill_only=target.role is fleet.EngineRole.PREFILL,
        )

    def choose_answerer(
        self, prompt: _prompts.Prompt, read_in: str, targets, now: float
    ) -> Placement | None:
        """Chooses where a prompt that was read in a domain is answered."""
        usable = self._worth_a_look(prompt, targets, now, answering=True)
        usable = [t for t in usable if t.role is not fleet.EngineRole.PREFILL]
        if not usable:
            return None
        found = [self._answering(prompt, read_in, target) for target in usable]
        return self._assign(min(found, key=self._order))

    def _answering(self, prompt, read_in: str, target: fleet.Target) -> Placement:
        load = self.load(target.name)
        expected_s = load.open_calls * SECONDS_PER_OPEN_CALL
        ahead = load.tokens_ahead(deferred=False)
        expected_s += ahead * self._speed.per_token(target)
        copied = prompt.shared_tokens - self.memories.tokens_kept(
            target, prompt, ready=False
        )
        cost_s = expected_s + ANSWER_COPY_SECONDS_PER_TOKEN * max(0, copied)
        if read_in not in ("", target.domain):
            cost_s += CROSSING_COST_S
        return Placement(id=0, target=target, expected_s=expected_s, cost_s=cost_s)

    # Calls in flight.

    def _assign(self, chosen: Placement) -> Placement:
        self._last_id += 1
        placement = attrs.evolve(chosen, id=self._last_id)
        own = self._own[placement.target.name]
        own.open[placement.id] = placement
        own.waiting[placement.id] = placement
        self.health.started(placement.target.name)
        self._refusals.started(placement.target.name)
        return placement

    def began(self, placement: Placement, prompt, took_s: float, now: float) -> None:
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

    def ended(self, placement: Placement, ending: Ending, now: float) -> None:
        """Ends a placement; repeated calls have no effect."""
        name = placement.target.name
        own = self._own[name]
        own.waiting.pop(placement.id, None)
        if own.open.pop(placement.id, None) is None:
            return
        if ending is Ending.REFUSED:
            self._refusals.failed(name, now)
            return
        self._refusals.succeeded(name)
        if ending is Ending.SOUND:
            self.health.succeeded(name)
        else:
            weight = UNREACHED_WEIGHT if ending is Ending.UNREACHED else 1
            self.health.failed(name, now, weight=weight)
