"""Refuses requests that wait too long for a worker.

Load pattern handled: all workers are busy with calls that wait for silent targets,
while clients go on sending.
"""

import math

from turmericward import runtime, telemetry
from turmericward.httpd import _channel, _monitor, _workers

REFUSERS = 1


class WaitMonitor(_monitor.Monitor):
    """Finds requests that have waited too long, at two checks in a row.

    After the process was paused all seem to have, though workers are about to begin
    them.
    """

    interval_s = 0.25

    def __init__(self, max_wait_s: float) -> None:
        """Creates the monitor; the first check is due immediately.

        Args:
            max_wait_s: how long a request may wait, in seconds.
        """
        super().__init__()
        self._max_wait_s = max_wait_s
        self._suspects: set[_channel.Channel] = set()

    def find_expired(
        self, waiting: list[tuple[_channel.Channel, float]], now: float
    ) -> list[_channel.Channel]:
        """Returns the connections whose requests are to be refused.

        Args:
            waiting: connections, each with the time since which its request waits.
            now: monotonic seconds.
        """
        late = {c for c, since in waiting if now - since > self._max_wait_s}
        confirmed = [c for c, _ in waiting if c in late & self._suspects]
        self._suspects = late
        return confirmed


class Refuser:
    """Answers late requests by a worker of its own; for the event loop's thread."""

    def __init__(
        self,
        workers: _workers.GrowingDispatcher,
        max_wait_s: float,
        drain: runtime.Drain,
    ) -> None:
        """Creates the refuser of the requests that wait for `workers`.

        Args:
            workers: the workers.
            max_wait_s: how long a request may wait, in seconds.
            drain: time bounds of the stop, which none outlasts.
        """
        self._workers = workers
        self._drain = drain
        self._monitor = WaitMonitor(max_wait_s)
        self._refusers = _workers.GrowingDispatcher(REFUSERS)

    @property
    def step_s(self) -> float:
        """Time until the next step, if no client sends anything."""
        return self._monitor.interval_s if self._workers.waiting() else math.inf

    def step(self) -> None:
        """Refuses what has waited too long, or to the end of a stop."""
        for channel in self._expired(runtime.now()):
            # A worker may have begun it meanwhile.
            if self._workers.withdraw(channel):
                telemetry.log_event("refusal", status=503, detail="no worker is free")
                channel.refuses = True
                self._refusers.add_task(channel)

    def _expired(self, now: float) -> list[_channel.Channel]:
        # Workers whose calls end at the deadline have half of what is left then.
        if now >= (self._drain.deadline + self._drain.end) / 2:
            return self._workers.waiting()
        if not self._monitor.is_due(now):
            return []
        waiting = [(c, c.waiting_since) for c in self._workers.waiting()]
        return self._monitor.find_expired(waiting, now)

    def close(self) -> None:
        """Lets the worker end."""
        self._refusers.set_thread_count(0)
