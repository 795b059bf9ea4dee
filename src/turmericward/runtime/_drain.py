"""Time bounds of a process's planned stop."""

import math
import threading
from collections.abc import Callable

from turmericward.runtime import _clock

# Time between the last final answer and the end, and between the end and the moment
# at which the process may be killed: a share of the length, up to a maximum. Calls
# have at least five sixths of it.
ANSWER_MARGIN_SHARE = 1 / 15
MAX_ANSWER_MARGIN_S = 0.5
EXIT_MARGIN_SHARE = 1 / 10
MAX_EXIT_MARGIN_S = 0.5
# How late the process may learn that its stop has begun.
SIGNAL_MARGIN_S = 0.25


class Drain:
    """When a planned stop began, and when it has to be over.

    Times are on the clock of `now`. Every open call has its final answer by `deadline`;
    the process exits by `end`. Both are infinite until the stop begins. A process that
    was paused may find that they have passed. May be used from any thread.
    """

    def __init__(
        self,
        length_s: float,
        clock: Callable[[], float] = _clock.now,
        *,
        lag_s: float = 0.0,
    ) -> None:
        """Creates the bounds of a stop that has not begun.

        Args:
            length_s: time between the signal to stop and the kill.
            clock: returns the current time.
            lag_s: time that the load balancer takes to notice that the process stops.
        """
        self._lock = threading.Lock()
        self._clock = clock
        self._length_s = length_s
        self.lag_s = lag_s
        self._began_at: float | None = None

    def set_length(self, length_s: float) -> None:
        """Changes the length, also of a stop that has begun."""
        self._length_s = length_s

    def begin(self, clear_at: float | None = None) -> None:
        """Begins the stop; later calls change nothing.

        Args:
            clear_at: when no signal had come yet, as far as is known. If that is
                long ago, the process got no processor, and the stop began then.
        """
        with self._lock:
            if self._began_at is not None:
                return
            now = self._clock()
            is_late = clear_at is not None and now - clear_at > SIGNAL_MARGIN_S
            self._began_at = clear_at if is_late else now

    @property
    def length_s(self) -> float:
        """Seconds between the signal to stop and the kill."""
        return self._length_s

    @property
    def began(self) -> bool:
        """Whether the stop has begun."""
        return self._began_at is not None

    @property
    def elapsed_s(self) -> float:
        """Seconds since the stop began, 0 before."""
        return 0.0 if self._began_at is None else self._clock() - self._began_at

    def is_before_notice(self, elapsed_s: float) -> bool:
        """Returns whether callers couldn't know of the stop yet at a time of it."""
        return elapsed_s <= max(0.0, self.lag_s - SIGNAL_MARGIN_S)

    @property
    def until_end_s(self) -> float:
        """Seconds until `end`, 0 after it."""
        return max(0.0, self.end - self._clock())

    @property
    def deadline(self) -> float:
        """Time by which every open call has its final answer."""
        margin_s = min(MAX_ANSWER_MARGIN_S, ANSWER_MARGIN_SHARE * self._length_s)
        return self.end - margin_s

    @property
    def until_deadline_s(self) -> float:
        """Seconds until `deadline`."""
        return self.deadline - self._clock()

    @property
    def is_mostly_left(self) -> bool:
        """Whether more than half of the length is left until `deadline`."""
        return self.until_deadline_s > self._length_s / 2

    @property
    def end(self) -> float:
        """Time by which the process exits."""
        if self._began_at is None:
            return math.inf
        margin_s = min(MAX_EXIT_MARGIN_S, EXIT_MARGIN_SHARE * self._length_s)
        return self._began_at + self._length_s - margin_s
