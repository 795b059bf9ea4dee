"""Delays that the machine causes: of the soak's own threads, and of the fronts'."""

import contextlib
import pathlib
import threading
import time

from soak import _evidence, _fleet

LAG, STARVED = "lag", "starved"
KINDS = (LAG, STARVED)
PERIOD_S = 0.05
# The stand-ins answer late if a thread of the soak runs this much late.
MAX_LAG_S = 0.25
STARVATION_PERIOD_S = 0.5
# A front is starved if one of its threads waits this long for a processor in a period.
MAX_WAIT_S = 0.25


class Monitor:
    """Records, as trouble, when the machine holds up the soak or a front."""

    def __init__(self, fleet: _fleet.Fleet) -> None:
        """Creates the monitor, used as a context manager."""
        self._fleet = fleet
        self._evidence = fleet.evidence
        self._ended = threading.Event()
        self._threads = [
            threading.Thread(target=target, daemon=True)
            for target in (self._watch_soak, self._watch_fronts)
        ]

    def __enter__(self):
        """Starts to watch."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc) -> None:
        """Ends the watch."""
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def _watch_soak(self) -> None:
        last = time.monotonic()
        while not self._ended.wait(PERIOD_S):
            now = time.monotonic()
            if now - last - PERIOD_S > MAX_LAG_S:
                for subject in (_evidence.STORE, _evidence.SOAK):
                    self._evidence.disrupt(LAG, subject, last).ended = now
            last = now

    def _watch_fronts(self) -> None:
        last = time.monotonic()
        before = {front.name: _waits_s(front) for front in self._fleet.fronts}
        while not self._ended.wait(STARVATION_PERIOD_S):
            now = time.monotonic()
            for front in self._fleet.fronts:
                waits = _waits_s(front)
                earlier = before[front.name]
                if any(s - earlier.get(t, s) > MAX_WAIT_S for t, s in waits.items()):
                    self._evidence.disrupt(STARVED, front.name, last).ended = now
                before[front.name] = waits
            last = now


def _waits_s(front: _fleet.Front) -> dict[str, float]:
    """Returns how long each thread of a front has waited for a processor so far."""
    waits = {}
    with contextlib.suppress(OSError):
        for task in pathlib.Path(f"/proc/{front.process.pid}/task").iterdir():
            with contextlib.suppress(OSError, IndexError):
                wait_ns = (task / "schedstat").read_text().split()[1]
                waits[task.name] = int(wait_ns) / 1e9
    return waits
