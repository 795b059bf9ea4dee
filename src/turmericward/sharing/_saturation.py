"""Whether a service is saturated, and how much work it may be given then.

Load pattern handled: bursts that fill the queues of a service for seconds, and targets
that become slower or fewer while it is saturated.
"""

import attrs

from turmericward.sharing import _decay, _work

# A sample of pressure is a call's wait behind other calls, as a share of its route's
# latency objective; the service is saturated from this mean on.
SATURATED_PRESSURE = 0.8
PRESSURE_DECAY_S = 1.0
# While saturated, pressure above the first value reduces what the service is given to
# less than it does, so that queues get shorter; below the second one it is given more.
HIGH_PRESSURE = 0.4
LOW_PRESSURE = 0.2
DRAIN_FACTOR = 0.97
# Growth without pressure; it falls to 0 as the pressure gets to the second value.
GROWTH_PER_S = 2.0
# Kept of what is asked for when nothing is served, so that the estimate can grow again
# after an outage.
MIN_CAPACITY_SHARE = 0.05
# Given so much more than callers ask for, the service counts as no longer saturated.
RELEASE_FACTOR = 1.2
UPDATE_INTERVAL_S = 0.25
# Bounds one sample, so that a single call can't hold the mean up for seconds.
MAX_SAMPLE = 2.0


@attrs.define
class Saturation:
    """Estimates what a service is able to do, from waits and served work.

    `capacity` is the work per second that it may be given, None if it isn't saturated;
    times are monotonic seconds.
    """

    capacity: float | None = None
    _samples: _decay.DecayedSamples = attrs.field(
        factory=lambda: _decay.DecayedSamples(PRESSURE_DECAY_S)
    )
    _updated_at: float = float("-inf")

    def observe(self, pressure: float, now: float) -> None:
        """Records the wait of a call, as a share of its latency objective."""
        self._samples.add(min(MAX_SAMPLE, pressure), now)

    def is_due(self, now: float) -> bool:
        """Returns whether the estimate is to be updated."""
        return now - self._updated_at >= UPDATE_INTERVAL_S

    def local_pressure(self, now: float) -> _work.Pressure:
        """Returns the recent samples of this front."""
        return _work.Pressure(
            total=self._samples.total(now), samples=self._samples.weight(now)
        )

    def may_limit(self, pressure: _work.Pressure, now: float) -> bool:
        """Returns whether the service is saturated, or may be from now on.

        Args:
            pressure: samples of all fronts.
            now: monotonic seconds.
        """
        if self.capacity is not None or pressure.mean >= SATURATED_PRESSURE:
            return True
        self._updated_at = now
        return False

    def update(
        self,
        pressure_of_all: _work.Pressure,
        served: float,
        offered: float,
        now: float,
    ) -> None:
        """Updates the estimate from the samples and the work of all fronts."""
        elapsed_s = min(1.0, now - self._updated_at)
        self._updated_at = now
        pressure = pressure_of_all.mean
        if self.capacity is None:
            if pressure >= SATURATED_PRESSURE and served > 0:
                self.capacity = served
            return
        if pressure >= HIGH_PRESSURE:
            self.capacity = DRAIN_FACTOR * served
        elif pressure < LOW_PRESSURE:
            growth_per_s = GROWTH_PER_S * (1 - pressure / LOW_PRESSURE)
            self.capacity *= 1 + growth_per_s * elapsed_s
        self.capacity = max(self.capacity, MIN_CAPACITY_SHARE * offered)
        if self.capacity >= RELEASE_FACTOR * offered:
            self.capacity = None
