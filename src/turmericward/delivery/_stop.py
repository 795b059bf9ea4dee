"""Calls during a planned stop of the process: which still begin, when open ones end.

Load pattern handled: clients go on using their connections until the process has
ended, so that calls arrive that can't be answered before it does.
"""

import collections
import enum
import statistics
import threading

import attrs

from turmericward import routing, runtime

REASON = "stopping"
# Other instances take the call at once.
RETRY_AFTER_S = 0.1
# Calls of a route whose durations are kept, and below how many of them little is known
# of most calls, and of the longest.
RECENT_CALLS = 128
MIN_CALLS = 10
MIN_CALLS_FOR_LONGEST = 30
# While most of the stop is left: mean deviations above the mean that a call may take,
# and the share of its time that one may take of whose route little is known.
USUAL_DEVIATIONS = 2.0
USUAL_SHARE = 0.5
# Later, a call may take so much longer than the longest recent one.
LONGEST_FACTOR = 1.25
MAX_ROUTES = 200


class CallPhase(enum.Enum):
    """What a call was doing when the stop ended it."""

    WAITING = "waiting"
    PREFILL = "prefill"
    RUNNING = "running"
    STREAMING = "streaming"

    @property
    def may_run(self) -> bool:
        """Whether a target has the call itself, not only its prompt."""
        return self in (CallPhase.RUNNING, CallPhase.STREAMING)


class Basis(enum.Enum):
    """What the time that an attempt needs in a stop is taken from."""

    USUAL = "usual"
    LONGEST = "longest"
    # The time that the call has left, or a share of it.
    DEADLINE = "deadline"


@attrs.frozen(kw_only=True)
class Admission:
    """Whether an attempt may begin during a stop.

    `need_s` is the time that it is taken to need, `left_s` the time until open calls
    have to end.
    """

    basis: Basis
    need_s: float
    left_s: float

    @property
    def granted(self) -> bool:
        """Whether the attempt may begin."""
        return self.need_s <= self.left_s


class CallTimes:
    """How long recent calls took to the end of their answers; thread-safe."""

    def __init__(self) -> None:
        """Starts without calls."""
        self._lock = threading.Lock()
        self._routes: dict[str, collections.deque[float]] = {}

    def record(self, route: str, took_s: float) -> None:
        """Records a call that was answered."""
        with self._lock:
            if route not in self._routes:
                self._routes[route] = collections.deque(maxlen=RECENT_CALLS)
            if len(self._routes) > MAX_ROUTES:
                self._routes.pop(next(iter(self._routes)))
            self._routes[route].append(took_s)

    def usual_s(self, route: str) -> float | None:
        """Returns what most calls of a route take, None if few are known."""
        recent = self._recent(route)
        if len(recent) < MIN_CALLS:
            return None
        mean_s = statistics.fmean(recent)
        deviation_s = statistics.fmean(abs(took_s - mean_s) for took_s in recent)
        return mean_s + USUAL_DEVIATIONS * deviation_s

    def longest_s(self, route: str) -> float | None:
        """Returns what hardly any call of a route exceeds, None if few are known."""
        recent = self._recent(route)
        if len(recent) < MIN_CALLS_FOR_LONGEST:
            return None
        return LONGEST_FACTOR * max(recent)

    def _recent(self, route: str) -> list[float]:
        with self._lock:
            return list(self._routes.get(route, ()))


@attrs.frozen(kw_only=True)
class CallStop:
    """The process's stop, as far as its calls are concerned."""

    drain: runtime.Drain
    times: CallTimes = attrs.field(factory=CallTimes)

    def must_end(self) -> bool:
        """Returns whether open calls have to get their final answers now."""
        return self.drain.until_deadline_s <= 0

    def received_s(self, call: routing.Call) -> float:
        """Returns how long after the beginning of the stop a call was received."""
        # In this order a pause in between makes the call a later one.
        age_s = runtime.now() - call.received
        return self.drain.elapsed_s - age_s

    def admission(self, call: routing.Call, elapsed_s: float) -> Admission | None:
        """Returns whether an attempt may begin during the stop; None before it.

        A call that came before its client could know of the stop may begin if it is
        likely to end in time. Of a later one only its own deadline is certain: calls
        may take longer than all before them.

        Args:
            call: the call.
            elapsed_s: time since its first attempt began, if none has failed.
        """
        if not self.drain.began:
            return None
        basis, need_s = self._need(call, elapsed_s)
        return Admission(basis=basis, need_s=need_s, left_s=self.drain.until_deadline_s)

    def _need(self, call: routing.Call, elapsed_s: float) -> tuple[Basis, float]:
        remaining_s = call.remaining_s()
        if not self.drain.is_before_notice(self.received_s(call)):
            return Basis.DEADLINE, remaining_s
        early = self.drain.is_mostly_left
        times, route = self.times, call.route
        likely_s = times.usual_s(route.name) if early else times.longest_s(route.name)
        if likely_s is None:
            return Basis.DEADLINE, remaining_s * (USUAL_SHARE if early else 1.0)
        basis = Basis.USUAL if early else Basis.LONGEST
        return basis, min(remaining_s, max(route.objective_s, likely_s - elapsed_s))
