"""Calls during a planned stop of the process: which still begin, when open ones end.

Load pattern handled: clients go on using their connections until the process has
ended, so that calls arrive that can't be answered before it does.
"""

import enum
import threading

import attrs

from turmericward import runtime
from turmericward.delivery import _calls

REASON = "stopping"
# Other instances take the call at once.
RETRY_AFTER_S = 0.1
# Lowest gain of the moving mean and deviation.
MIN_GAIN = 1 / 16
# Deviations above the mean that a call may take, and the share of its time that one
# without earlier calls of its route may take.
CAUTIOUS_DEVIATIONS = 4.0
CAUTIOUS_SHARE = 1.0
# The same for calls that may be repeated, while most of the stop is left: being cut is
# little worse for their clients than a refusal.
RELAXED_DEVIATIONS = 2.0
RELAXED_SHARE = 0.5
MAX_ROUTES = 10_000


class Phase(enum.Enum):
    """What a call was doing when the stop ended it."""

    WAITING = "waiting"
    PREFILL = "prefill"
    RUNNING = "running"
    STREAMING = "streaming"

    @property
    def may_run(self) -> bool:
        """Whether a target has the call itself, not only its prompt."""
        return self in (Phase.RUNNING, Phase.STREAMING)


@attrs.define
class _RouteTimes:
    """Moving mean and mean deviation of the durations of a route's calls."""

    mean_s: float
    deviation_s: float
    calls: int = 1

    def add(self, took_s: float) -> None:
        self.calls += 1
        gain = max(MIN_GAIN, 1 / self.calls)
        self.deviation_s += gain * (abs(took_s - self.mean_s) - self.deviation_s)
        self.mean_s += gain * (took_s - self.mean_s)


class CallTimes:
    """How long calls take to the end of their answers, by route; thread-safe."""

    def __init__(self) -> None:
        """Starts without calls."""
        self._lock = threading.Lock()
        self._routes: dict[str, _RouteTimes] = {}

    def record(self, route: str, took_s: float) -> None:
        """Records a call that was answered."""
        with self._lock:
            times = self._routes.get(route)
            if times is not None:
                times.add(took_s)
                return
            if len(self._routes) >= MAX_ROUTES:
                self._routes.pop(next(iter(self._routes)))
            self._routes[route] = _RouteTimes(mean_s=took_s, deviation_s=took_s / 2)

    def slow_call_s(self, route: str, deviations: float) -> float | None:
        """Returns the mean plus so many deviations, None without any call."""
        with self._lock:
            times = self._routes.get(route)
            if times is None:
                return None
            return times.mean_s + deviations * times.deviation_s


@attrs.frozen(kw_only=True)
class CallStop:
    """The process's stop, as far as its calls are concerned."""

    drain: runtime.Drain
    times: CallTimes = attrs.field(factory=CallTimes)

    def must_end(self) -> bool:
        """Returns whether open calls have to get their final answers now."""
        return self.drain.remaining_s <= 0

    def admits(self, call: _calls.Call, elapsed_s: float) -> bool:
        """Returns whether an attempt is likely to end before the stop does.

        Args:
            call: the call; without earlier calls of its route it may last until its
                deadline.
            elapsed_s: time since its first attempt began, if none has failed.
        """
        if not self.drain.began:
            return True
        return self._need_s(call, elapsed_s) <= self.drain.remaining_s

    def _need_s(self, call: _calls.Call, elapsed_s: float) -> float:
        relaxed = call.route.repeatable and self.drain.is_mostly_left
        deviations = RELAXED_DEVIATIONS if relaxed else CAUTIOUS_DEVIATIONS
        slow_s = self.times.slow_call_s(call.route.name, deviations)
        if slow_s is None:
            return call.remaining_s() * (RELAXED_SHARE if relaxed else CAUTIOUS_SHARE)
        return min(call.remaining_s(), max(call.route.objective_s, slow_s - elapsed_s))
