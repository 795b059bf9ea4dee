"""How slow each engine is, from the prefills of all fronts.

Load pattern handled: engines of unequal speed behind many fronts, each of which sends
an engine too few prompts to learn its speed alone; engines that slow down for a time.
"""

import math

import attrs

# Time constant of the exponential decay of the samples.
DECAY_S = 15.0
# Prefill time assumed for each engine at the speed of all, in addition to its samples.
PRIOR_S = 0.5
# Engines whose slowness differs by less, the slowest against the fastest, count as
# equally fast: their samples differ by chance and by the prompts that they got.
MIN_SPREAD = 1.35
# Engines with fewer seconds of samples don't count for that.
MIN_SAMPLE_S = 0.5
# One engine's slowness against that of all is bounded by this factor either way.
MAX_FACTOR = 4.0
REFRESH_S = 0.5


@attrs.define
class _Sample:
    """Decaying sums of the seconds taken, and of those at ordinary speed."""

    took_s: float = 0.0
    ordinary_s: float = 0.0
    at: float = 0.0

    def add(self, took_s: float, ordinary_s: float, now: float) -> None:
        weight = math.exp(-max(0.0, now - self.at) / DECAY_S)
        self.took_s = self.took_s * weight + took_s
        self.ordinary_s = self.ordinary_s * weight + ordinary_s
        self.at = now


class EngineSpeeds:
    """Slowness by target hash; times are monotonic seconds.

    The slowness of an engine is the time that its prefills take over the time that
    they take at ordinary speed.
    """

    def __init__(self) -> None:
        """Starts without samples: all engines count as equally fast."""
        self._samples: dict[int, _Sample] = {}
        self._slowness: dict[int, float] = {}
        self._mean = 1.0
        self._refresh_at = -math.inf

    @property
    def uneven(self) -> bool:
        """Whether some engines are known to be slower than others."""
        return bool(self._slowness)

    @property
    def mean(self) -> float:
        """Slowness of all engines together."""
        return self._mean

    def forget(self, target: int) -> None:
        """Drops the samples of a target that was removed or has restarted."""
        self._samples.pop(target, None)
        self._slowness.pop(target, None)

    def add(self, target: int, took_s: float, ordinary_s: float, now: float) -> None:
        """Adds the time of prefills; without effect if one of the times is 0 or less.

        So are the differences between the counts of a front and those after its
        restart.
        """
        if took_s <= 0.0 or ordinary_s <= 0.0:
            return
        self._samples.setdefault(target, _Sample()).add(took_s, ordinary_s, now)
        if now >= self._refresh_at:
            self._refresh_at = now + REFRESH_S
            self._refresh(now)

    def relative(self, target: int) -> float:
        """Returns a target's slowness over that of all; 1 if all are equally fast."""
        return self._slowness.get(target, 1.0)

    def _refresh(self, now: float) -> None:
        for sample in self._samples.values():
            sample.add(0.0, 0.0, now)
        took_s = sum(sample.took_s for sample in self._samples.values())
        ordinary_s = sum(sample.ordinary_s for sample in self._samples.values())
        if ordinary_s < MIN_SAMPLE_S:
            return
        self._mean = took_s / ordinary_s
        relative = {
            target: _relative(sample, self._mean)
            for target, sample in self._samples.items()
        }
        known = [
            relative[target]
            for target, sample in self._samples.items()
            if sample.ordinary_s >= MIN_SAMPLE_S
        ]
        uneven = len(known) > 1 and max(known) >= MIN_SPREAD * min(known)
        self._slowness = relative if uneven else {}


def _relative(sample: _Sample, mean: float) -> float:
    slowness = (sample.took_s / mean + PRIOR_S) / (sample.ordinary_s + PRIOR_S)
    return min(MAX_FACTOR, max(1 / MAX_FACTOR, slowness))
