"""Rates of work that forget what is long past."""

import math

import attrs

# Work counts less by a factor of e after this time: long enough to average the calls
# of a workspace at one front, short enough for bursts of 3 to 15 s.
WORK_DECAY_S = 3.0


@attrs.define
class DecayedRate:
    """Work per second, averaged over about `WORK_DECAY_S`; times are monotonic."""

    _work: float = 0.0
    _at: float = 0.0

    def add(self, work: float, now: float) -> None:
        """Adds work, or takes some of it back."""
        self._work = max(0.0, self._decayed(now) + work)
        self._at = max(now, self._at)

    def per_s(self, now: float) -> float:
        """Returns the work per second."""
        return self._decayed(now) / WORK_DECAY_S

    def _decayed(self, now: float) -> float:
        elapsed_s = max(0.0, now - self._at)
        return self._work * math.exp(-elapsed_s / WORK_DECAY_S)


@attrs.define
class DecayedSamples:
    """Sum and number of samples; older ones count less. Times are monotonic."""

    _decay_s: float
    _sum: float = 0.0
    _weight: float = 0.0
    _at: float = 0.0

    def add(self, sample: float, now: float) -> None:
        """Adds a sample."""
        factor = self._factor(now)
        self._sum = self._sum * factor + sample
        self._weight = self._weight * factor + 1.0
        self._at = max(now, self._at)

    def weight(self, now: float) -> float:
        """Returns the number of recent samples."""
        return self._weight * self._factor(now)

    def total(self, now: float) -> float:
        """Returns the sum of the recent samples."""
        return self._sum * self._factor(now)

    def _factor(self, now: float) -> float:
        return math.exp(-max(0.0, now - self._at) / self._decay_s)
