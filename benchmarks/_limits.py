"""Engines of the emulator that name a rate for all fronts together."""

import collections
from collections.abc import Callable

from benchmarks import _calls, _engines
from turmericward import fleet

WINDOW_S = 4.0


class EngineLimits:
    """The rates that engines name, and how the fronts learn them."""

    def __init__(
        self,
        fronts: list[_calls.Front],
        delay_s: float,
        schedule: Callable[..., None],
    ) -> None:
        """Starts without limits.

        Args:
            fronts: the fronts, which tell each other.
            delay_s: how long that takes.
            schedule: schedules a call for a virtual time.
        """
        self._fronts = fronts
        self._delay_s = delay_s
        self._schedule = schedule
        self._per_s: dict[str, float] = {}
        self._arrivals: dict[str, list[float]] = collections.defaultdict(list)

    def set(self, name: str, per_s: float | None) -> None:
        """Sets or, with None, ends the rate that an engine names."""
        if per_s is None:
            self._per_s.pop(name, None)
        else:
            self._per_s[name] = per_s

    def record_arrival(self, name: str, now: float) -> None:
        """Records a request that reached an engine."""
        if name in self._per_s:
            self._arrivals[name].append(now)

    def max_rate(self, name: str) -> float:
        """Returns the highest rate of a limited engine in any window."""
        times = self._arrivals[name]
        counts = (sum(0 <= t - start < WINDOW_S for t in times) for start in times)
        return max(counts, default=0) / WINDOW_S

    def answer(self, job: _engines.Job, now: float) -> None:
        """Tells the front of a job what its engine names in the answer."""
        target, front = job.placement.target, job.call.front
        limit = fleet.RateLimit(per_s=self._per_s.get(target.name), observed_at=now)
        limits = front.admission.limits
        if limit.per_s is None and target.name not in limits.limited():
            return
        if not limits.record(target, limit, now):
            return
        for other in self._fronts:
            if other is not front:
                when = now + self._delay_s
                record = other.admission.limits.record
                self._schedule(when, record, target, limit, when)
