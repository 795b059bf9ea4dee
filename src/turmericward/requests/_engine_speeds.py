"""How slow each engine is, from the prefills of all fronts.

Load pattern handled: engines of unequal speed behind many fronts, each of which sends
an engine too few prompts to learn its speed alone; engines that slow down for a time.
"""

import collections
import math
from collections.abc import Iterable, Sequence

import attrs

from turmericward import fleet

# Time constant of the exponential decay of the samples.
DECAY_S = 15.0
# Prefill time assumed for each engine at the speed of all, in addition to its samples.
PRIOR_S = 0.5
# From this factor on between the slowness of engines, but for a share of them at each
# end, they count as unequal, until it falls below the second one: the fast ones get
# more calls then, which makes them slower. Samples differ by chance and by the prompts
# that an engine got.
MIN_SPREAD = 1.55
KEPT_SPREAD = 1.35
OUTER_SHARE = 0.2
# Too few engines have samples to tell otherwise.
MIN_ENGINES = 12
# Engines with fewer seconds of samples don't count for that.
MIN_SAMPLE_S = 1.0
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
        self._roles: dict[int, fleet.EngineRole | None] = {}
        self._slowness: dict[int, float] = {}
        self._means: dict[fleet.EngineRole | None, float] = {}
        self._refresh_at = -math.inf

    @property
    def uneven(self) -> bool:
        """Whether some engines are known to be slower than others."""
        return bool(self._slowness)

    def mean(self, role: fleet.EngineRole | None) -> float:
        """Returns the slowness of all engines of a role together."""
        return self._means.get(role, 1.0)

    def set_role(self, target: fleet.Target) -> None:
        """Records the role of an engine: roles differ in their ordinary speed.

        Samples of another role are dropped.
        """
        target_id = fleet.target_hash(target.name)
        if self._roles.get(target_id) is not target.role:
            self.forget(target_id)
        self._roles[target_id] = target.role

    def forget(self, target: int) -> None:
        """Drops the samples of a target that was removed or has restarted."""
        self._samples.pop(target, None)
        self._slowness.pop(target, None)
        self._roles.pop(target, None)

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
        """Returns a target's slowness over its role's; 1 if all are equally fast."""
        return self._slowness.get(target, 1.0)

    def _refresh(self, now: float) -> None:
        by_role: dict[fleet.EngineRole | None, dict[int, _Sample]]
        by_role = collections.defaultdict(dict)
        for target, sample in self._samples.items():
            sample.add(0.0, 0.0, now)
            by_role[self._roles.get(target)][target] = sample
        self._means = {role: _mean(group.values()) for role, group in by_role.items()}
        relative = {
            target: _relative(sample, self._means[role])
            for role, group in by_role.items()
            for target, sample in group.items()
        }
        known = sorted(
            relative[target]
            for target, sample in self._samples.items()
            if sample.ordinary_s >= MIN_SAMPLE_S
        )
        required = KEPT_SPREAD if self.uneven else MIN_SPREAD
        self._slowness = relative if _spread(known) >= required else {}


def _mean(samples: Iterable[_Sample]) -> float:
    samples = list(samples)
    ordinary_s = sum(sample.ordinary_s for sample in samples)
    return sum(sample.took_s for sample in samples) / ordinary_s if ordinary_s else 1.0


def _relative(sample: _Sample, mean: float) -> float:
    slowness = (sample.took_s / mean + PRIOR_S) / (sample.ordinary_s + PRIOR_S)
    return min(MAX_FACTOR, max(1 / MAX_FACTOR, slowness))


def _spread(slowness: Sequence[float]) -> float:
    """Returns the factor between sorted values, without those at both ends."""
    if len(slowness) < MIN_ENGINES:
        return 1.0
    outer = int(OUTER_SHARE * len(slowness))
    return slowness[-1 - outer] / slowness[outer]
