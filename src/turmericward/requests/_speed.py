"""Learned estimates of prefill speed, slot hold time and reply latency."""

import math
from collections.abc import Iterable

from turmericward import fleet
from turmericward.requests import _engine_speeds

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
    """Overhead of a first token, and seconds per effective token before it.

    It is what this front has seen of an engine, or, if engines are known to be unequal,
    what all fronts have seen of all engines.
    """

    def __init__(self, engines: _engine_speeds.EngineSpeeds) -> None:
        """Starts with the initial estimates.

        Args:
            engines: how slow each engine is.
        """
        self._engines = engines
        self._seconds_per_token: dict[str, float] = {}
        self._overhead_s = INITIAL_OVERHEAD_S

    def forget(self, name: str) -> None:
        """Drops the estimate of an engine."""
        self._seconds_per_token.pop(name, None)

    def per_token(self, target: fleet.Target) -> float:
        """Returns the engine's estimated seconds per effective token.

        If engines are unequal, it is that of all of them: how slow each one is decides
        which engines are candidates, and among these, small differences would send
        the calls of all fronts to the same engine.
        """
        if self._engines.uneven:
            return _initial(target) * self._engines.mean(target.role)
        return self._seconds_per_token.get(target.name, _initial(target))

    def slowness(self, target: fleet.Target) -> float:
        """Returns how slow an engine is against all; 1 if all are equally fast."""
        return self._engines.relative(fleet.target_hash(target.name))

    def excess_s(self, target: fleet.Target) -> float:
        """Returns by how much a first token comes later than at an ordinary engine.

        Negative for faster engines, 0 if all are equally fast.
        """
        return self._overhead_s * (self.slowness(target) - 1.0)

    def expected_s(self, target: fleet.Target, tokens: float) -> float:
        """Returns the time to a first token after this many effective tokens."""
        return self._overhead_s + tokens * self.per_token(target)

    def prefill_s(
        self, target: fleet.Target, tokens: float, took_s: float
    ) -> tuple[float, float]:
        """Returns the bounded time to a first token, and an ordinary engine's."""
        ordinary_s = INITIAL_OVERHEAD_S + tokens * _initial(target)
        bounds = ordinary_s / MAX_SPEED_FACTOR, ordinary_s * MAX_SPEED_FACTOR
        return min(bounds[1], max(bounds[0], took_s)), ordinary_s

    def learn(self, target: fleet.Target, tokens: float, took_s: float) -> None:
        """Takes a sample: a first token after `tokens` effective tokens."""
        if tokens < MIN_SAMPLE_TOKENS:
            if target.role is fleet.EngineRole.DECODE:
                sample = min(took_s, MAX_SPEED_FACTOR * INITIAL_OVERHEAD_S)
                self._overhead_s += LEARNING_RATE * (sample - self._overhead_s)
            return
        initial = _initial(target)
        sample = max(0.0, took_s - self._overhead_s) / tokens
        sample = min(
            initial * MAX_SPEED_FACTOR, max(initial / MAX_SPEED_FACTOR, sample)
        )
        estimate = self._seconds_per_token.get(target.name, initial)
        self._seconds_per_token[target.name] = estimate + LEARNING_RATE * (
            sample - estimate
        )


def _initial(target: fleet.Target) -> float:
    return INITIAL_SECONDS_PER_TOKEN[target.role or fleet.EngineRole.DECODE]


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
