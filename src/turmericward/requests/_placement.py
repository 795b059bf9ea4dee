"""Chooses the target of a call: the pure part, without clock, socket or thread.

Load patterns that it answers: prompts that come in bursts while answers fall
off, and the other way round, so that now the prefill engines are full and now
the decode engines; shared prompt parts that together fit the memory of all
engines but not of a few.
"""

import collections
import hashlib
import math
import random

import attrs

from turmericward import fleet
from turmericward.requests import _book, _prefixes, _prompts

# Until measured: a decode engine reads prompts between the tokens it makes.
FIRST_SECONDS_PER_TOKEN = {
    fleet.EngineRole.PREFILL: 1 / 60_000,
    fleet.EngineRole.DECODE: 1 / 30_000,
}
LEARNING_RATE = 0.1
# Share of a prompt's shared parts that its preferred engine is taken to keep.
PREFERRED_HIT_SHARE = 0.6
# Prompts with fewer tokens are read where they are answered.
SHORT_PROMPT_TOKENS = 2_048
TRANSFER_S = 0.02
FETCH_S = 0.05
SECONDS_PER_OPEN_REQUEST = 0.003
FIRST_LATENCY_S = 0.1


@attrs.frozen(kw_only=True)
class Placement:
    """A call at a target; `fetch_from` is the address of KV cache or empty.

    `work_tokens` is what had to be read before the first token, `prefill_only`
    tells that another target makes the answer.
    """

    id: int
    target: fleet.Target
    fetch_from: str = ""
    work_tokens: float = 0.0
    prefill_only: bool = False


@attrs.frozen(kw_only=True)
class _Candidate:
    target: fleet.Target
    fetch_from: str
    entrant: _book.Entrant
    work_tokens: float
    score_s: float


def _rank(key: str, target: fleet.Target) -> float:
    """Returns a weighted rendezvous rank; the lowest is preferred.

    Prefill engines read twice as fast, so they get twice the prompts.
    """
    digest = hashlib.blake2b(f"{key}/{target.name}".encode(), digest_size=8).digest()
    draw = (int.from_bytes(digest) + 1) / 2**64
    weight = 2.0 if target.role is fleet.EngineRole.PREFILL else 1.0
    return -math.log(draw) / weight


class Placer:
    """Own calls in flight by target, and the choice of the next one's target."""

    def __init__(self, seed: int, domain: str) -> None:
        """Creates a placer without calls in flight.

        Args:
            seed: seed of the random choices.
            domain: failure domain whose targets go first when scores are equal.
        """
        self._random = random.Random(seed)
        self._domain = domain
        self._books: dict[str, _book.EngineBook] = collections.defaultdict(
            _book.EngineBook
        )
        self._seconds_per_token: dict[str, float] = {}
        self._latency_s: dict[str, float] = {}
        self._prefixes = _prefixes.PrefixMemory()
        self._open: dict[int, Placement] = {}
        self._last_id = 0
        self.health = fleet.Health()

    def in_flight(self) -> int:
        """Returns the number of calls that have a target."""
        return len(self._open)

    def forget(self, name: str) -> None:
        """Drops what was learnt of a target that is gone or began anew."""
        self._seconds_per_token.pop(name, None)
        self._latency_s.pop(name, None)
        self._prefixes.forget_engine(name)
        self.health.succeeded(name)

    def _healthy(self, targets, now: float) -> list[fleet.Target]:
        usable = [t for t in targets if self.health.usable(t.name, now)]
        # With every target ejected, failing ones are better than none.
        return usable or list(targets)

    def choose_replica(self, targets, priority: int, now: float) -> Placement | None:
        """Chooses a replica of a plain service by its latency and open calls."""
        usable = self._healthy(targets, now)
        if not usable:
            return None
        self._random.shuffle(usable)
        best = min(usable, key=self._replica_score)
        entrant = _book.Entrant(at=now, priority=priority, prefill_tokens=0.0)
        return self._assign(
            _Candidate(
                target=best, fetch_from="", entrant=entrant, work_tokens=0.0, score_s=0
            )
        )

    def _replica_score(self, target: fleet.Target) -> tuple[float, bool]:
        latency_s = self._latency_s.get(target.name, FIRST_LATENCY_S)
        busy = self._books[target.name].open_requests(None)
        slots = max(1, target.slots)
        return (latency_s * (1 + busy / slots) + latency_s * (busy >= slots),
                target.domain != self._domain)  # fmt: skip

    def choose_engine(
        self, prompt: _prompts.Prompt, targets, priority: int, now: float
    ) -> Placement | None:
        """Chooses where a prompt is read, at the place of its answer or before it."""
        usable = self._healthy(targets, now)
        preferred = self._preferred(prompt, usable)
        if prompt.tokens < SHORT_PROMPT_TOKENS:
            usable = [t for t in usable if t.role is not fleet.EngineRole.PREFILL]
        candidates = [
            self._candidate(prompt, t, preferred, priority, now) for t in usable
        ]
        if not candidates:
            return None
        return self._assign(min(candidates, key=self._order))

    def choose_answerer(
        self, prompt: _prompts.Prompt, targets, priority: int, now: float
    ) -> Placement | None:
        """Chooses where a prompt that was read elsewhere is answered."""
        able = [t for t in targets if t.role is not fleet.EngineRole.PREFILL]
        usable = self._healthy(able, now)
        if not usable:
            return None
        preferred = self._preferred(prompt, usable)
        candidates = []
        for target in usable:
            entrant = _book.Entrant(at=now, priority=priority, prefill_tokens=1.0)
            score_s = self._wait_s(target, priority)
            if preferred is not target:
                score_s += FETCH_S
            candidates.append(
                _Candidate(
                    target=target,
                    fetch_from="",
                    entrant=entrant,
                    work_tokens=0.0,
                    score_s=score_s,
                )
            )
        return self._assign(min(candidates, key=self._order))

    def _order(self, candidate: _Candidate) -> tuple[float, bool]:
        return (candidate.score_s, candidate.target.domain != self._domain)

    def _preferred(self, prompt, targets) -> fleet.Target | None:
        if prompt.tokens < SHORT_PROMPT_TOKENS or not targets:
            return None
        return min(targets, key=lambda t: _rank(prompt.shared_key, t))

    def _wait_s(self, target: fleet.Target, priority: int) -> float:
        book = self._books[target.name]
        ahead = book.tokens_ahead(priority, None)
        open_s = book.open_requests(None) * SECONDS_PER_OPEN_REQUEST
        return ahead * self._speed(target) + open_s

    def _speed(self, target: fleet.Target) -> float:
        first = FIRST_SECONDS_PER_TOKEN[target.role or fleet.EngineRole.DECODE]
        return self._seconds_per_token.get(target.name, first)

    def _kept(self, prompt, target: fleet.Target, preferred) -> float:
        """Returns how many tokens of the prompt the target should keep."""
        known = self._prefixes.cached(target.name, prompt.shared_key)
        if target is preferred:
            return max(known, PREFERRED_HIT_SHARE * prompt.shared_tokens)
        return float(known)

    def _candidate(self, prompt, target, preferred, priority, now) -> _Candidate:
        kept = self._kept(prompt, target, preferred)
        fetch_from = ""
        score_s = 0.0
        if preferred is not None and preferred is not target:
            there = self._kept(prompt, preferred, preferred)
            if there > kept:
                kept = there
                fetch_from = preferred.address
                score_s += FETCH_S
        if target.role is fleet.EngineRole.PREFILL:
            score_s += TRANSFER_S
        work = max(1.0, prompt.tokens - kept)
        entrant = _book.Entrant(at=now, priority=priority, prefill_tokens=work)
        score_s += self._wait_s(target, priority) + work * self._speed(target)
        return _Candidate(
            target=target,
            fetch_from=fetch_from,
            entrant=entrant,
            work_tokens=work,
            score_s=score_s,
        )

    def _assign(self, best: _Candidate) -> Placement:
        self._last_id += 1
        placement = Placement(
            id=self._last_id,
            target=best.target,
            fetch_from=best.fetch_from,
            work_tokens=best.work_tokens,
            prefill_only=best.target.role is fleet.EngineRole.PREFILL,
        )
        self._open[placement.id] = placement
        self._books[best.target.name].add(placement.id, best.entrant)
        self.health.started(best.target.name)
        return placement

    def began(self, placement: Placement, prompt, took_s: float) -> None:
        """Notes the first token, or the end of a prefill, after `took_s`."""
        if placement.id not in self._open:
            return
        name = placement.target.name
        self._books[name].began(placement.id)
        if prompt is None:
            known = self._latency_s.get(name, FIRST_LATENCY_S)
            self._latency_s[name] = known + LEARNING_RATE * (took_s - known)
            return
        if prompt.tokens >= SHORT_PROMPT_TOKENS:
            self._prefixes.note(name, prompt.shared_key, prompt.shared_tokens)

    def ended(self, placement: Placement, *, failed: bool, now: float) -> None:
        """Ends a placement; repeated calls have no effect."""
        if self._open.pop(placement.id, None) is None:
            return
        name = placement.target.name
        self._books[name].end(placement.id)
        if failed:
            self.health.failed(name, now)
            self._prefixes.forget_engine(name)
        else:
            self.health.succeeded(name)
