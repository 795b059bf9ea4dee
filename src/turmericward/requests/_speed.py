"""Learned estimates of prefill speed, slot hold time and reply latency."""

import math
from collections.abc import Iterable

from turmericward import fleet

# Until the first sample. A decode engine prefills between decode steps.
INITIAL_SECONDS_PER_TOKEN = {
    fleet.EngineRole.PREFILL: 1 / 50_000,
    fleet.EngineRole.DECODE: 1 / 25_000,
}
INITIAL_OVERHEAD_S = 0.1
LEARNING_RATE = 0.05
# Bounds by how much an estimate may be slower or faster than the initial one.
MAX_SPEED_FACTOR = 8.0
# Context length at which attention costs as much as all other work on a token.
ATTENTION_TOKENS = 30_000.0
MIN_SAMPLE_TOKENS = 1_000.0
INITIAL_HOLD_S = 1.0
MAX_HOLD_S = 10.0
MIN_LATENCY_S = 0.001
LATENCY_LEARNING_RATE = 0.15
LATENCY_DECAY_S = 8.0


def effective_tokens(uncached: float, cached: float) -> float:
    """Returns the prefill cost of `uncached` tokens after `cached` ones.

    The unit is the cost of one token without context.
    """
    return uncached * (1 + (cached + uncached / 2) / ATTENTION_TOKENS)


class PrefillSpeed:
    """Overhead of a first token, and seconds per effective token before it."""

    def __init__(self) -> None:
        """Starts with the initial estimates."""
        self._seconds_per_token: dict[str, float] = {}
        self._overhead_s = INITIAL_OVERHEAD_S

    def forget(self, name: str) -> None:
        """Drops the estimate of an engine."""
        self._seconds_per_token.pop(name, None)

    def per_token(self, target: fleet.Target) -> float:
        """Returns the engine's estimated seconds per effective token."""
        initial = INITIAL_SECONDS_PER_TOKEN[target.role or fleet.EngineRole.DECODE]
        return self._seconds_per_token.get(target.name, initial)

    def expected_s(self, target: fleet.Target, tokens: float) -> float:
        """Returns the time to a first token after this many effective tokens."""
        return self._overhead_s + tokens * self.per_token(target)

    def learn(self, target: fleet.Target, tokens: float, took_s: float) -> None:
        """Takes a sample: a first token after `tokens` effective tokens."""
        if tokens < MIN_SAMPLE_TOKENS:
            if target.role is fleet.EngineRole.DECODE:
                sample = min(took_s, MAX_SPEED_FACTOR * INITIAL_OVERHEAD_S)
                self._overhead_s += LEARNING_RATE * (sample - self._overhead_s)
            return
        initial = INITIAL_SECONDS_PER_TOKEN[target.role or fleet.EngineRole.DECODE]
        sample = max(0.0, took_s - self._overhead_s) / tokens
        sample = min(
            initial * MAX_SPEED_FACTOR, max(initial / MAX_SPEED_FACTOR, sample)
        )
        estimate = self.per_token(target)
        self._seconds_per_token[target.name] = estimate + LEARNING_RATE * (
            sample - estimate
        )


class HoldTime:
    """How long a call occupies a decode slot, learned over all engines."""

    def __init__(self) -> None:
        """Starts with the initial estimate."""
        self._hold_s = INITIAL_HOLD_S

    @property
    def hold_s(self) -> float:
        """Returns how long a call occupies a slot."""
        return self._hold_s

    def learn(self, took_s: float) -> None:
        """Takes a sample: the time from a decode's placement to its end."""
        self._hold_s += LEARNING_RATE * (min(took_s, MAX_HOLD_S) - self._hold_s)

    def wait_s(self, target: fleet.Target, open_calls: int) -> float:
        """Returns how long a new call waits for a slot after the open ones."""
        excess = open_calls + 1 - max(1, target.slots)
        return max(0, excess) * self._hold_s / max(1, target.slots)


class Latency:
    """Smoothed reply latency by replica, which decays towards the fastest one's.

    A replica that was slow thus gets calls again after a while; otherwise no sample
    would show that it has recovered.
    """

    def __init__(self) -> None:
        """Starts without samples."""
        # Smoothed seconds, and the time of the last sample.
        self._samples: dict[str, tuple[float, float]] = {}

    def forget(self, name: str) -> None:
        """Drops the estimate of a replica."""
        self._samples.pop(name, None)

    def fastest(self, names: Iterable[str]) -> float:
        """Returns the lowest latency among the replicas with samples."""
        known = [self._samples[name][0] for name in names if name in self._samples]
        return min(known, default=MIN_LATENCY_S)

    def slowness(self, name: str, fastest_s: float, now: float) -> float:
        """Returns a replica's latency over the fastest one's; 1 without samples."""
        if name not in self._samples:
            return 1.0
        latency_s, at = self._samples[name]
        weight = math.exp(-(now - at) / LATENCY_DECAY_S)
        return 1.0 + weight * (latency_s / fastest_s - 1.0)

    def learn(self, name: str, took_s: float, now: float) -> None:
        """Takes a sample: a reply after `took_s`."""
        previous_s, at = self._samples.get(name, (took_s, now))
        decayed = 1.0 - math.exp(-(now - at) / LATENCY_DECAY_S)
        rate = max(LATENCY_LEARNING_RATE, decayed)
        latency_s = previous_s + rate * (took_s - previous_s)
        self._samples[name] = (max(MIN_LATENCY_S, latency_s), now)
