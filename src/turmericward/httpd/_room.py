"""Keeps room for new connections beside those that linger.

Load pattern handled: thousands of clients whose requests are refused and who send on,
beside ordinary callers who need the connections.
"""

import heapq
from collections.abc import Collection

from turmericward import telemetry
from turmericward.httpd import _linger

# Shares of the connections: with fewer free than the first, as many are freed that the
# second is free.
LEAST_FREE_SHARE = 1 / 32
FREED_SHARE = 1 / 16


class Room:
    """Closes lingering connections while too few are free, the oldest first."""

    def __init__(self, limit: int) -> None:
        """Creates it for a server with at most `limit` connections."""
        self._limit = limit
        self._least = max(1, int(limit * LEAST_FREE_SHARE))
        self._freed = max(1, int(limit * FREED_SHARE))

    def missing(self, count: int) -> int:
        """Returns how many of `count` open connections to close, if they linger."""
        free = self._limit - count
        return 0 if free >= self._least else self._freed - free


def close_oldest(lingering: Collection[_linger.Lingering], count: int) -> None:
    """Closes the oldest ones; their clients may lose a response not yet read."""
    oldest = heapq.nsmallest(count, lingering, key=lambda conn: conn.started_at)
    for conn in oldest:
        conn.close()
    if oldest:
        telemetry.log_event(
            "lingering_closed", closed=len(oldest), lingering=len(lingering)
        )
