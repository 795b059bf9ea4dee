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
# Gain of the moving mean and deviation, and deviations that a slow call may lie above
# the mean.
GAIN = 1 / 16
SLOW_CALL_DEVIATIONS = 4.0
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

    def add(self, took_s: float) -> None:
        self.deviation_s += GAIN * (abs(took_s - self.mean_s) - self.deviation_s)
        self.mean_s += GAIN * (took_s - self.mean_s)


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

    def slow_call_s(self, route: str) -> float | None:
        """Returns the duration that few calls exceed, None without any call."""
        with self._lock:
            times = self._routes.get(route)
            if times is None:
                return None
            return times.mean_s + SLOW_CALL_DEVIATIONS * times.deviation_s


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
        need_s = call.remaining_s()
        slow_s = self.times.slow_call_s(call.route.name)
        if slow_s is not None:
            need_s = min(need_s, max(call.route.objective_s, slow_s - elapsed_s))
        return need_s <= self.drain.remaining_s
