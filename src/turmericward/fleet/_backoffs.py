"""Targets that asked for a backoff by Retry-After."""

import math
from collections.abc import Iterator

# Caps a backoff, so that an invalid value can't exclude a target for good.
MAX_BACKOFF_S = 600.0


class Backoffs:
    """When each target accepts this front's calls again, in monotonic seconds."""

    def __init__(self) -> None:
        """Starts with no target in backoff."""
        self._until: dict[str, float] = {}

    def record(self, name: str, backoff_s: float, now: float) -> bool:
        """Records a backoff that a target asked for; returns False if it is invalid."""
        if not math.isfinite(backoff_s) or backoff_s <= 0:
            return False
        until = now + min(backoff_s, MAX_BACKOFF_S)
        self._until[name] = max(until, self._until.get(name, until))
        return True

    def remaining_s(self, name: str, now: float) -> float:
        """Returns the remaining backoff of a target, 0 if there is none."""
        until = self._until.get(name)
        if until is None:
            return 0.0
        if until <= now:
            del self._until[name]
            return 0.0
        return until - now

    def __iter__(self) -> Iterator[str]:
        """Returns the names of the targets that may be in backoff."""
        return iter(tuple(self._until))

    def forget(self, name: str) -> None:
        """Drops the backoff of a target that was removed or has restarted."""
        self._until.pop(name, None)
