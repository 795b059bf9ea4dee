"""What a call costs at an engine, in seconds: its own wait and the harm to others."""

from collections.abc import Callable

import attrs

from turmericward import fleet
from turmericward.requests import (
    _in_flight,
    _loads,
    _memories,
    _outcomes,
    _prompts,
    _speed,
)

HANDOVER_S = 0.05
FETCH_S = 0.03
SECONDS_PER_OPEN_CALL = 0.002
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
# What a call costs that is lost with its target's answer, and one that is repeated.
LOST_CALL_COST_S = 2.0
REPEATED_CALL_COST_S = 0.5


@attrs.frozen(kw_only=True)
class Beliefs:
    """What a front believes of engines.

    `load` returns the work of all fronts at a target.
    """

    load: Callable[[str], _loads.TargetLoad]
    memories: _memories.EngineMemories
    speed: _speed.ReadingSpeed
    hold: _speed.HoldTime
    outcomes: _outcomes.Outcomes


@attrs.frozen(kw_only=True)
class Asked:
    """A prompt that is to be placed at `now`."""

    prompt: _prompts.Prompt
    patience: _in_flight.Patience
    now: float


class EngineCosts:
    """Costs of a prompt at engines, by what a front believes of them."""

    def __init__(self, beliefs: Beliefs) -> None:
        """Creates the costs."""
        self._load = beliefs.load
        self._memories = beliefs.memories
        self._speed = beliefs.speed
        self._hold = beliefs.hold
        self._outcomes = beliefs.outcomes

    def wait_s(self, target: fleet.Target) -> float:
        """Returns what any call waits for at an engine."""
        load = self._load(target.name)
        wait_s = load.open_calls * SECONDS_PER_OPEN_CALL
        return wait_s + load.tokens_ahead(deferred=False) * self._speed.per_token(
            target
        )

    def reading(
        self, asked: Asked, targets, *, deferred: bool
    ) -> list[_in_flight.Placement]:
        """Returns what it costs to read a prompt at each engine.

        Args:
            asked: the prompt.
            targets: engines.
            deferred: whether it goes behind the calls that can still be on time.
        """
        sources = {}
        if asked.prompt.tokens >= _memories.SHORT_PROMPT_TOKENS:
            sources = self._sources(asked.prompt, targets)
        return [
            self._reading_at(asked, t, sources.get(t.domain), deferred) for t in targets
        ]

    def _sources(self, prompt, targets) -> dict[str, fleet.Target]:
        """Returns for each domain the engine that keeps most, a near one if equal."""
        kept = {
            t: self._memories.tokens_kept(t, prompt, ready=True)
            for t in self._memories.keeping(prompt, targets)
        }
        if not kept:
            return {}
        return {
            domain: max(kept, key=lambda t: (kept[t], t.domain == domain))
            for domain in {t.domain for t in targets}
        }

    def _reading_at(
        self, asked: Asked, target, source, deferred: bool
    ) -> _in_flight.Placement:
        prompt = asked.prompt
        kept = self._memories.tokens_kept(target, prompt, ready=False)
        fetch_from = ""
        load = self._load(target.name)
        extra_s = load.open_calls * SECONDS_PER_OPEN_CALL
        harm_s = 0.0
        if source is not None and source is not target:
            there = self._memories.tokens_kept(source, prompt, ready=True)
            if there > kept:
                yielding = self._memories.yielding_share(target, there - kept)
                kept = there
                fetch_from = source.address
                extra_s += FETCH_S
                harm_s += COPY_COST_S * yielding
        read_apart = not target.answers
        if read_apart:
            extra_s += HANDOVER_S
        elif prompt.tokens >= _memories.SHORT_PROMPT_TOKENS:
            factor = min(MAX_HARM_FACTOR, load.open_calls / HARM_OPEN_CALLS)
            harm_s += (prompt.tokens - kept) * HARM_SECONDS_PER_TOKEN * factor
        work = _speed.effective_tokens(max(1.0, prompt.tokens - kept), kept)
        ahead = load.tokens_ahead(deferred=deferred)
        expected_s = extra_s + self._speed.expected_s(target, ahead + work)
        expected_s += self._hold.wait_s(target, load.open_calls)
        bound_s = expected_s + harm_s
        once = asked.patience.once and not read_apart
        return _in_flight.Placement(
            id=0,
            target=target,
            fetch_from=fetch_from,
            work_tokens=work,
            ahead_tokens=ahead,
            expected_s=expected_s,
            bound_s=bound_s,
            cost_s=bound_s + self._failure_cost_s(target, once, asked.now),
            deferred=deferred,
            prefill_only=read_apart,
        )

    def _failure_cost_s(self, target, once: bool, now: float) -> float:
        number = _memories.target_hash(target.name)
        share = self._outcomes.failure_share(number, now)
        return share * (LOST_CALL_COST_S if once else REPEATED_CALL_COST_S)

    def answering(
        self, asked: Asked, read_in: str, target: fleet.Target
    ) -> _in_flight.Placement:
        """Returns what it costs to answer a prompt that was read in a domain."""
        load = self._load(target.name)
        expected_s = load.open_calls * SECONDS_PER_OPEN_CALL
        ahead = load.tokens_ahead(deferred=False)
        expected_s += ahead * self._speed.per_token(target)
        expected_s += self._hold.wait_s(target, load.open_calls)
        copied = asked.prompt.shared_tokens - self._memories.tokens_kept(
            target, asked.prompt, ready=False
        )
        cost_s = expected_s + ANSWER_COPY_SECONDS_PER_TOKEN * max(0, copied)
        if read_in not in ("", target.domain):
            cost_s += CROSSING_COST_S
        cost_s += self._failure_cost_s(target, asked.patience.once, asked.now)
        return _in_flight.Placement(
            id=0, target=target, expected_s=expected_s, cost_s=cost_s
        )
