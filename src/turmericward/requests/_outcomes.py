"""Recent outcomes of all fronts' calls at each target.

Load pattern handled: a target that passes its health checks but loses some of its
calls, rarely several in a row, looks idle and so attracts more of them.
"""

import collections
import math

import attrs

# Time constant of the exponential decay of the counts.
DECAY_S = 4.0
# Successful calls assumed for each target in addition to the counted ones.
PRIOR_CALLS = 4.0
# A smaller share counts as 0, or a target without recent calls would never get one
# again and couldn't show that it has recovered.
MIN_FAILURE_SHARE = 0.02


@attrs.define
class _DecayingCount:
    """A count that decays exponentially; times are monotonic seconds."""

    value: float = 0.0
    at: float = 0.0

    def add(self, count: int, now: float) -> None:
        self.value = max(0.0, self.value_at(now) + count)
        self.at = now

    def value_at(self, now: float) -> float:
        return self.value * math.exp(-max(0.0, now - self.at) / DECAY_S)


@attrs.define
class _TargetCounts:
    ended: _DecayingCount = attrs.field(factory=_DecayingCount)
    failed: _DecayingCount = attrs.field(factory=_DecayingCount)


class Outcomes:
    """Recent calls and failures by target hash."""

    def __init__(self) -> None:
        """Starts without calls."""
        self._targets: dict[int, _TargetCounts] = collections.defaultdict(_TargetCounts)

    def forget(self, target: int) -> None:
        """Drops the counts of a target that was removed or has restarted."""
        self._targets.pop(target, None)

    def ended(self, target: int, calls: int, failed: int, now: float) -> None:
        """Adds calls that ended, and how many of them failed.

        The number of failures is negative if calls that counted as failed go on.
        """
        counts = self._targets[target]
        counts.ended.add(calls, now)
        if failed:
            counts.failed.add(failed, now)

    def failure_share(self, target: int, now: float) -> float:
        """Returns the share of a target's recent calls that failed."""
        counts = self._targets.get(target)
        if counts is None or not counts.failed.value:
            return 0.0
        share = counts.failed.value_at(now) / (counts.ended.value_at(now) + PRIOR_CALLS)
        return share if share >= MIN_FAILURE_SHARE else 0.0
