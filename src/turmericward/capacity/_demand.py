"""How many replicas are kept busy by the load of a service, and will be soon.

Load patterns handled: bursts of short and of long prompts that alternate every few
seconds, so that a mean of both hides either; load that rises while new replicas are
starting; estimates that are too low, which shows in calls that miss their objective.
"""

import collections
import math

import attrs

from turmericward.capacity import _view

# Time from a call's placement to its first token without queue and prefill.
FIRST_OUTPUT_S = 0.1
# Time constant of the smoothed load, and of the slower one that shows its trend.
SMOOTHING_S = 1.0
TREND_SMOOTHING_S = 4.0
# Bounds the rise that the trend adds, as bursts rise steeply and end soon.
MAX_TREND_FACTOR = 1.3
# Calls beyond a replica's slots are a queue, which lasts longer than what caused it: up
# to this occupancy they count as load.
MAX_OCCUPANCY = 1.25
# Peaks count for so long: longer than a cycle of two bursts of up to 15 s each.
PEAK_WINDOW_S = 45.0
PEAK_BUCKET_S = 1.0
# Smoothed work of late calls per replica from which there are too few of them.
LATE_S_PER_REPLICA = 0.05
LATE_SMOOTHING_S = 2.0
# With fewer busy replicas an estimate that is too low by the maximal correction would
# still leave some free: others wouldn't make the calls less late.
MIN_LATE_UTILIZATION = 0.2
# The estimate is raised by this factor for each interval with late calls, up to the
# maximum; the correction is forgotten with this time constant.
CORRECTION_STEP = 1.25
MAX_CORRECTION = 3.0
CORRECTION_SMOOTHING_S = 300.0
CORRECTION_MARGIN_S = 1.0
# The load in use rises by a little more than it has to, and falls only below this
# share, so that noise causes no orders.
RISE_FACTOR = 1.05
FALL_SHARE = 0.85


@attrs.frozen(kw_only=True)
class Sample:
    """The load of a service at one moment, in replicas that it keeps busy.

    `slots` is by occupied slots, `prefill` by prompts to prefill; `late_s` is the work
    of late calls for each of the `serving` replicas.
    """

    slots: float
    prefill: float
    late_s: float
    serving: int = 0


def sample(service: _view.ServiceView) -> Sample:
    """Returns the present load of a service."""
    serving = service.serving
    count = max(1, len(serving))
    slots = sum(
        min(MAX_OCCUPANCY, r.open_calls / max(1, r.target.slots))
        for r in service.replicas
    )
    late_s = sum(r.late_s for r in service.replicas)
    # Little's law at each replica: the work present is the rate of work times the time
    # for which it is present, that of an idle replica and that of the queue.
    prefill = sum(r.queued_s / (FIRST_OUTPUT_S + r.queued_s) for r in service.replicas)
    return Sample(
        slots=slots, prefill=prefill, late_s=late_s / count, serving=len(serving)
    )


class _Smoothed:
    """An exponentially smoothed value."""

    def __init__(self, smoothing_s: float) -> None:
        self._smoothing_s = smoothing_s
        self.value = 0.0

    def add(self, value: float, elapsed_s: float) -> None:
        weight = 1 - math.exp(-elapsed_s / self._smoothing_s)
        self.value += weight * (value - self.value)


class _Peak:
    """The highest expected value of the latest `PEAK_WINDOW_S`."""

    def __init__(self) -> None:
        self._smoothed = _Smoothed(SMOOTHING_S)
        self._slow = _Smoothed(TREND_SMOOTHING_S)
        # Number and maximum of each bucket of time, oldest first.
        self._buckets: collections.deque[tuple[int, float]] = collections.deque()

    def add(self, value: float, elapsed_s: float, ahead_s: float, now: float) -> None:
        """Takes a value, and expects what its trend leads to after `ahead_s`."""
        self._smoothed.add(value, elapsed_s)
        self._slow.add(value, elapsed_s)
        level = self._smoothed.value
        slope = (level - self._slow.value) / (TREND_SMOOTHING_S - SMOOTHING_S)
        expected = min(level + max(0.0, slope) * ahead_s, level * MAX_TREND_FACTOR)
        bucket = int(now / PEAK_BUCKET_S)
        if self._buckets and self._buckets[-1][0] == bucket:
            expected = max(expected, self._buckets.pop()[1])
        self._buckets.append((bucket, expected))
        while self._buckets[0][0] < bucket - PEAK_WINDOW_S / PEAK_BUCKET_S:
            self._buckets.popleft()

    @property
    def level(self) -> float:
        return self._smoothed.value

    @property
    def value(self) -> float:
        return max((value for _, value in self._buckets), default=0.0)


class DemandTracker:
    """The load of one service; times are monotonic seconds."""

    def __init__(self) -> None:
        """Starts without load."""
        self._slots = _Peak()
        self._prefill = _Peak()
        self._late = _Smoothed(LATE_SMOOTHING_S)
        self._at: float | None = None
        self._corrected_at = -math.inf
        self._traffic_since: float | None = None
        self._held = 0.0
        self.correction = 1.0

    def observe(
        self, taken: Sample, boot_s: float, now: float, *, is_short: bool = False
    ) -> None:
        """Takes the load of one moment.

        Args:
            taken: the load.
            boot_s: time after which new replicas would serve.
            now: monotonic seconds.
            is_short: whether there are fewer replicas than planned. Calls are late for
                that then, and don't show that the estimate is too low.
        """
        elapsed_s = 0.0 if self._at is None else max(0.0, now - self._at)
        self._at = now
        if self._traffic_since is None and taken.slots > 0:
            self._traffic_since = now
        self._slots.add(taken.slots, elapsed_s, boot_s, now)
        self._prefill.add(taken.prefill, elapsed_s, boot_s, now)
        self._late.add(taken.late_s, elapsed_s)
        self._correct(taken.serving, elapsed_s, boot_s, now, is_short=is_short)
        self._hold(max(self._slots.value, self._prefill.value) * self.correction)

    def _correct(
        self,
        serving: int,
        elapsed_s: float,
        boot_s: float,
        now: float,
        *,
        is_short: bool,
    ) -> None:
        excess = self.correction - 1.0
        self.correction = 1.0 + excess * math.exp(-elapsed_s / CORRECTION_SMOOTHING_S)
        if is_short or self._late.value < LATE_S_PER_REPLICA:
            return
        busy = max(self._slots.level, self._prefill.level)
        if busy < serving * MIN_LATE_UTILIZATION:
            return
        if now - self._corrected_at < boot_s + CORRECTION_MARGIN_S:
            return
        self._corrected_at = now
        self.correction = min(MAX_CORRECTION, self.correction * CORRECTION_STEP)

    def _hold(self, load: float) -> None:
        if load > self._held or load < self._held * FALL_SHARE / RISE_FACTOR:
            self._held = load * RISE_FACTOR

    @property
    def busy_replicas(self) -> float:
        """Replicas kept busy at the peak, corrected, without the noise."""
        return self._held

    @property
    def has_traffic(self) -> bool:
        """Whether the service has had calls in this term."""
        return self._traffic_since is not None

    def is_known(self, now: float) -> bool:
        """Returns whether the peaks of a whole window of traffic are known."""
        since = self._traffic_since
        return since is not None and now - since >= PEAK_WINDOW_S
