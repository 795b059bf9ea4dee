"""Delays of the soak's own threads, on a machine that is busy."""

import threading
import time

from soak import _evidence

PERIOD_S = 0.05
# The stand-ins answer late if a thread of the soak runs this much late.
MAX_LAG_S = 0.25


class Monitor:
    """Records each time at which the soak, and with it the store, is late."""

    def __init__(self, evidence: _evidence.Evidence) -> None:
        """Creates the monitor, used as a context manager."""
        self._evidence = evidence
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self):
        """Starts to watch."""
        self._thread.start()
        return self

    def __exit__(self, *exc) -> None:
        """Ends the watch."""
        self._ended.set()
        self._thread.join()

    def _run(self) -> None:
        last = time.monotonic()
        while not self._ended.wait(PERIOD_S):
            now = time.monotonic()
            if now - last - PERIOD_S > MAX_LAG_S:
                for subject in (_evidence.STORE, _evidence.SOAK):
                    self._evidence.disrupt("lag", subject, last).ended = now
            last = now
