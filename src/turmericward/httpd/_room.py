"""Keeps room for new connections beside those that nobody uses.

Load pattern handled: thousands of clients whose requests are refused and who send on,
whose bodies stop short of their end, or who stay after their answer, beside ordinary
callers who need the connections.
"""

import heapq
import math
from collections.abc import Collection, Iterable

from turmericward import telemetry
from turmericward.httpd import _idle, _linger

# Shares of the connections: with fewer free than the first, as many are freed that the
# second is free.
LEAST_FREE_SHARE = 1 / 32
FREED_SHARE = 1 / 16
# A connection without a byte for this time may be closed for a new one.
MIN_IDLE_S = 1.0
# With none free for this time, the server takes no new clients.
FULL_S = 1.0
# How often all connections are looked at while too few are free.
SCAN_INTERVAL_S = 0.1


class Room:
    """Tells how many connections have to be closed, and whether that was too few."""

    def __init__(self, limit: int) -> None:
        """Creates it for a server with at most `limit` connections."""
        self._limit = limit
        self._least = max(1, int(limit * LEAST_FREE_SHARE))
        self._freed = max(1, int(limit * FREED_SHARE))
        self._short = False
        self._full_since = math.inf
        self._next_scan_at = -math.inf

    def missing(self, count: int) -> int:
        """Returns how many of `count` connections to close, if they aren't used."""
        free = self._limit - count
        self._short = free < self._least
        return self._freed - free if self._short else 0

    @property
    def step_s(self) -> float:
        """Time until connections are to be looked at, if no client sends anything."""
        return SCAN_INTERVAL_S if self._short else math.inf

    def is_scan_due(self, now: float) -> bool:
        """Returns whether all connections may be looked at, and schedules the next."""
        if now < self._next_scan_at:
            return False
        self._next_scan_at = now + SCAN_INTERVAL_S
        return True

    def observe(self, count: int, now: float) -> None:
        """Records how many connections are open."""
        if count < self._limit:
            self._full_since = math.inf
        elif self._full_since == math.inf:
            self._full_since = now

    def is_full(self, now: float) -> bool:
        """Returns whether no connection has been free for some time."""
        return now - self._full_since >= FULL_S


def close_oldest(lingering: Collection[_linger.Lingering], count: int) -> int:
    """Closes the oldest ones; their clients may lose a response not yet read.

    Returns how many were closed.
    """
    oldest = heapq.nsmallest(count, lingering, key=lambda conn: conn.started_at)
    for conn in oldest:
        conn.close()
    if oldest:
        telemetry.log_event(
            "lingering_closed", closed=len(oldest), lingering=len(lingering)
        )
    return len(oldest)


def close_idle(
    idle_states: Iterable[_idle.IdleState], count: int, now: float
) -> list[_idle.IdleState]:
    """Closes connections without progress, those that had none for longest first.

    Incomplete requests on them are refused. Connections with unread bytes are kept.

    Args:
        idle_states: connections without a complete request or an unsent response.
        count: how many to close.
        now: time on their clock.

    Returns:
        The states of those that were closed.
    """
    idle = [s for s in idle_states if now - s.last_active_at >= MIN_IDLE_S]
    closed = []
    for state in sorted(idle, key=lambda s: s.last_active_at):
        if len(closed) >= count:
            break
        if state.connection.give_way():
            closed.append(state)
    if closed:
        telemetry.log_event(
            "idle_closed",
            closed=len(closed),
            idle=len(idle),
            longest_s=round(now - closed[0].last_active_at, 3),
            shortest_s=round(now - closed[-1].last_active_at, 3),
        )
    return closed
