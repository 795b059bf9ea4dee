"""How the calls of all fronts lately ended at each target.

Load pattern that it answers: a target that answers its health checks and loses a
part of its calls, now and then one in a row, looks idle for it and gets more.
"""

import collections
import math

import attrs

# What is older than this counts little.
MEMORY_S = 4.0
# Calls without failure that a target is taken to have had before.
PRIOR_CALLS = 4.0
# Less tells nothing: a target without other calls would never get one again.
MIN_SHARE = 0.02


@attrs.define
class _Decaying:
    """A count in which what is old weighs less and less; times are steady seconds."""

    value: float = 0.0
    at: float = 0.0

    def add(self, count: int, now: float) -> None:
        self.value = self.now(now) + count
        self.at = now

    def now(self, now: float) -> float:
        return self.value * math.exp(-max(0.0, now - self.at) / MEMORY_S)


@attrs.define
class _Target:
    ended: _Decaying = attrs.field(factory=_Decaying)
    failed: _Decaying = attrs.field(factory=_Decaying)


class Outcomes:
    """Recent calls, and those that failed, by the number of their target."""

    def __init__(self) -> None:
        """Creates the state without calls."""
        self._targets: dict[int, _Target] = collections.defaultdict(_Target)

    def forget(self, target: int) -> None:
        """Drops what is known of a target that is gone or began anew."""
        self._targets.pop(target, None)

    def ended(self, target: int, calls: int, failed: int, now: float) -> None:
        """Notes calls that ended, and how many of them failed."""
        found = self._targets[target]
        found.ended.add(calls, now)
        if failed:
            found.failed.add(failed, now)

    def failure_share(self, target: int, now: float) -> float:
        """Returns the share of a target's recent calls that failed."""
        found = self._targets.get(target)
        if found is None or not found.failed.value:
            return 0.0
        share = found.failed.now(now) / (found.ended.now(now) + PRIOR_CALLS)
        return share if share >= MIN_SHARE else 0.0
