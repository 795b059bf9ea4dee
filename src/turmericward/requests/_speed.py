"""How long an engine takes to read prompts, learnt from first tokens."""

import math
from collections.abc import Iterable

from turmericward import fleet

# Until measured. A decode engine reads between the tokens that it makes.
FIRST_SECONDS_PER_TOKEN = {
    fleet.EngineRole.PREFILL: 1 / 50_000,
    fleet.EngineRole.DECODE: 1 / 25_000,
}
FIRST_OVERHEAD_S = 0.1
LEARNING_RATE = 0.05
# Bounds of what one engine may be taken to be slower or faster than at first.
MAX_FACTOR = 8.0
# Tokens of context at which attention costs as much again as the rest.
ATTENTION_TOKENS = 30_000.0
MIN_SAMPLE_TOKENS = 1_000.0
FIRST_HOLD_S = 1.0
MAX_HOLD_S = 10.0
MIN_LATENCY_S = 0.001
LATENCY_LEARNING_RATE = 0.15
LATENCY_MEMORY_S = 8.0


def effective_tokens(work: float, kept: float) -> float:
    """Returns the cost of reading `work` tokens after `kept` ones."""
    return work * (1 + (kept + work / 2) / ATTENTION_TOKENS)


class ReadingSpeed:
    """Overhead of a first token, and seconds for each effective token before it."""

    def __init__(self) -> None:
        """Creates the estimate without samples."""
        self._seconds_per_token: dict[str, float] = {}
        self._overhead_s = FIRST_OVERHEAD_S

    def forget(self, name: str) -> None:
        """Drops what was learnt of an engine."""
        self._seconds_per_token.pop(name, None)

    def per_token(self, target: fleet.Target) -> float:
        """Returns the seconds that the engine takes for an effective token."""
        first = FIRST_SECONDS_PER_TOKEN[target.role or fleet.EngineRole.DECODE]
        return self._seconds_per_token.get(target.name, first)

    def expected_s(self, target: fleet.Target, tokens: float) -> float:
        """Returns the time to a first token behind this many effective tokens."""
        return self._overhead_s + tokens * self.per_token(target)

    def learn(self, target: fleet.Target, tokens: float, took_s: float) -> None:
        """Takes a sample: a first token after `tokens` effective tokens."""
        if tokens < MIN_SAMPLE_TOKENS:
            if target.role is fleet.EngineRole.DECODE:
                sample = min(took_s, MAX_FACTOR * FIRST_OVERHEAD_S)
                self._overhead_s += LEARNING_RATE * (sample - self._overhead_s)
            return
        first = FIRST_SECONDS_PER_TOKEN[target.role or fleet.EngineRole.DECODE]
        sample = max(0.0, took_s - self._overhead_s) / tokens
        sample = min(first * MAX_FACTOR, max(first / MAX_FACTOR, sample))
        known = self.per_token(target)
        self._seconds_per_token[target.name] = known + LEARNING_RATE * (sample - known)


class HoldTime:
    """How long an answer takes its slot, learnt over all engines."""

    def __init__(self) -> None:
        """Creates the estimate without samples."""
        self._hold_s = FIRST_HOLD_S

    def learn(self, took_s: float) -> None:
        """Takes the time from an answer's placement to its end."""
        self._hold_s += LEARNING_RATE * (min(took_s, MAX_HOLD_S) - self._hold_s)

    def wait_s(self, target: fleet.Target, open_calls: int) -> float:
        """Returns how long a call waits for a slot behind the open ones."""
        excess = open_calls + 1 - max(1, target.slots)
        return max(0, excess) * self._hold_s / max(1, target.slots)


class Latency:
    """Time to an answer by replica; what is old counts less and less.

    A replica that was slow gets calls again after a while, since nobody would
    learn otherwise that it has recovered.
    """

    def __init__(self) -> None:
        """Creates the estimate without samples."""
        # Smoothed seconds, and when the last sample came.
        self._known: dict[str, tuple[float, float]] = {}

    def forget(self, name: str) -> None:
        """Drops what was learnt of a replica."""
        self._known.pop(name, None)

    def fastest(self, names: Iterable[str]) -> float:
        """Returns the least latency of the replicas that gave samples."""
        known = [self._known[name][0] for name in names if name in self._known]
        return min(known, default=MIN_LATENCY_S)

    def slowness(self, name: str, fastest_s: float, now: float) -> float:
        """Returns a replica's latency over the fastest one's; 1 without samples."""
        if name not in self._known:
            return 1.0
        latency_s, at = self._known[name]
        weight = math.exp(-(now - at) / LATENCY_MEMORY_S)
        return 1.0 + weight * (latency_s / fastest_s - 1.0)

    def learn(self, name: str, took_s: float, now: float) -> None:
        """Takes a sample."""
        known_s, at = self._known.get(name, (took_s, now))
        forgotten = 1.0 - math.exp(-(now - at) / LATENCY_MEMORY_S)
        rate = max(LATENCY_LEARNING_RATE, forgotten)
        latency_s = known_s + rate * (took_s - known_s)
        self._known[name] = (max(MIN_LATENCY_S, latency_s), now)
