"""Times that a test checks, on a machine whose processors may all be taken."""

import contextlib
import pathlib
import threading
import time
from collections.abc import Callable

from tests import fixtures

check = fixtures.check
MAX_RUNS = 8
_SCHEDSTAT = pathlib.Path("/proc/thread-self/schedstat")


def _own_wait_s() -> float:
    """Returns how long this thread has waited for a processor; 0 if not known."""
    with contextlib.suppress(OSError, IndexError):
        return int(_SCHEDSTAT.read_text().split()[1]) / 1e9
    return 0.0


class Stopwatch:
    """Measures a run's time, and how long its threads waited for a processor in it."""

    def __init__(self) -> None:
        """Starts the time."""
        self._began = time.monotonic()
        self._before_s = _own_wait_s()
        self._others: dict[int, float] = {}
        self.took_s = self._own_s = 0.0

    def stop(self) -> None:
        """Ends the time, in the thread that started it."""
        self.took_s = time.monotonic() - self._began
        self._own_s = _own_wait_s() - self._before_s

    def note(self) -> None:
        """Records what a thread that began meanwhile has waited; called by it."""
        self._others[threading.get_ident()] = _own_wait_s()

    @property
    def waited_s(self) -> float:
        """The threads' waits, one after the other."""
        return self._own_s + sum(list(self._others.values()))


def check_times(
    play: Callable[[], tuple[Stopwatch, list[float]]], limits_s: list[float], name: str
) -> None:
    """Checks that a run keeps its limits.

    A run that doesn't is played again only if it would have kept them without the time
    in which its threads waited for a processor.

    Args:
        play: plays a run; returns its stopwatch and its times.
        limits_s: what each time has to be below.
        name: the run, for the message.
    """
    for _ in range(MAX_RUNS):
        watch, times_s = play()
        pairs = list(zip(times_s, limits_s, strict=True))
        if all(time_s < limit_s for time_s, limit_s in pairs):
            return
        for time_s, limit_s in pairs:
            check.assertLess(time_s, limit_s + watch.waited_s, name)
    check.fail(f"{name}: {MAX_RUNS} runs were late, as the processors were taken")
