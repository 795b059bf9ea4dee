"""When the known limits of targets are sent to the peers."""

import attrs

from turmericward.peers import _codec

# Unchanged limits are repeated after this time, for peers that have missed a datagram
# or have started since.
REPEAT_INTERVAL_S = 0.5
# Limits in one datagram; if more are known, each datagram holds the next ones.
MAX_LIMITS_PER_DATAGRAM = 500


class LimitReports:
    """All known limits, and when they were sent; times are monotonic seconds."""

    def __init__(self) -> None:
        """Starts without limits."""
        self._limits: tuple[_codec.TargetLimit, ...] = ()
        self._received_at = 0.0
        self._sent_at = float("-inf")
        self._changed = False
        self._next = 0

    def replace(self, limits: tuple[_codec.TargetLimit, ...], now: float) -> None:
        """Replaces the known limits, whose ages are as of now."""
        if _rates(limits) != _rates(self._limits):
            self._changed = True
        self._limits = limits
        self._received_at = now

    def pop_due(self, now: float) -> tuple[_codec.TargetLimit, ...]:
        """Returns the limits to send now, with their ages."""
        due = self._changed or now - self._sent_at >= REPEAT_INTERVAL_S
        if not due or not self._limits:
            return ()
        self._sent_at = now
        self._changed = False
        elapsed_s = now - self._received_at
        return tuple(
            attrs.evolve(limit, age_s=limit.age_s + elapsed_s)
            for limit in self._next_limits()
        )

    def _next_limits(self) -> tuple[_codec.TargetLimit, ...]:
        count = len(self._limits)
        if count <= MAX_LIMITS_PER_DATAGRAM:
            return self._limits
        start = self._next % count
        self._next = start + MAX_LIMITS_PER_DATAGRAM
        return (self._limits + self._limits)[start : self._next]


def _rates(limits: tuple[_codec.TargetLimit, ...]) -> set[tuple]:
    return {(limit.target, limit.started_ms, limit.per_s) for limit in limits}
