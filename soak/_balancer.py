"""A load balancer, which asks fronts for their readiness and chooses among them."""

import contextlib
import http.client
import random
import threading

from soak import _fleet

INTERVAL_S = 1.0
# So many questions in a row without a 200 take a front out.
MISSES = 2


class Balancer:
    """Asks each front in a thread of its own, used as a context manager."""

    def __init__(self, fleet: _fleet.Fleet) -> None:
        """Creates the balancer; all fronts are in rotation at first."""
        self._fleet = fleet
        self._misses = dict.fromkeys((front.name for front in fleet.fronts), 0)
        self._ended = threading.Event()
        self._threads = [
            threading.Thread(target=self._watch, args=(front,), daemon=True)
            for front in fleet.fronts
        ]

    def __enter__(self):
        """Starts to ask."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc) -> None:
        """Ends the questions."""
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def _watch(self, front: _fleet.Front) -> None:
        while not self._ended.wait(INTERVAL_S):
            is_ready = False
            with contextlib.suppress(OSError, http.client.HTTPException):
                is_ready = front.is_ready(INTERVAL_S)
            self._misses[front.name] = 0 if is_ready else self._misses[front.name] + 1

    def _in_rotation(self, domain: str) -> list[_fleet.Front]:
        """Returns the fronts of a domain to choose from; all, if few are ready."""
        fronts = [f for f in self._fleet.fronts if f.domain == domain]
        ready = [f for f in fronts if self._misses[f.name] < MISSES]
        return fronts if 0 < 2 * len(ready) < len(fronts) else ready

    def choose(self, home: _fleet.Front, rng: random.Random) -> _fleet.Front:
        """Returns the front of a new connection: `home`, unless it is out.

        Args:
            home: the front that the client gets while all are ready.
            rng: chooses another front of its domain, or else of the others.
        """
        domains = sorted({f.domain for f in self._fleet.fronts} - {home.domain})
        fronts = self._in_rotation(home.domain) or [
            front for domain in domains for front in self._in_rotation(domain)
        ]
        return home if home in fronts or not fronts else rng.choice(fronts)
