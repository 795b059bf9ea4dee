"""Rates of requests that targets name, for all fronts together."""

import attrs

from turmericward.fleet import _targets


@attrs.frozen(kw_only=True)
class RateLimit:
    """The rate of requests that a target names in an answer.

    `per_s` counts requests a second from all fronts together, None without a limit;
    `observed_at` is when the answer was received, in monotonic seconds.
    """

    per_s: float | None
    observed_at: float


@attrs.frozen(kw_only=True)
class _Entry:
    started_ms: int
    limit: RateLimit


class RateLimits:
    """The latest limit of each target that has named one."""

    def __init__(self) -> None:
        """Starts without limits."""
        self._entries: dict[str, _Entry] = {}

    def record(self, target: _targets.Target, limit: RateLimit) -> bool:
        """Records what a target's answer says; returns whether that changed its limit.

        Answers may be reported late: those that were received before the latest one,
        or came from an earlier incarnation, are ignored.
        """
        known = self._entries.get(target.name)
        if known is not None:
            if target.started_ms < known.started_ms:
                return False
            is_older = limit.observed_at < known.limit.observed_at
            if target.started_ms == known.started_ms and is_older:
                return False
        previous = None if known is None else known.limit.per_s
        self._entries[target.name] = _Entry(started_ms=target.started_ms, limit=limit)
        return limit.per_s != previous

    def per_s(self, name: str) -> float | None:
        """Returns the rate that a target has named, None without a limit."""
        entry = self._entries.get(name)
        return None if entry is None else entry.limit.per_s

    def limited(self) -> frozenset[str]:
        """Returns the names of the targets that have a limit."""
        return frozenset(
            name
            for name, entry in self._entries.items()
            if entry.limit.per_s is not None
        )

    def forget(self, name: str) -> None:
        """Drops the limit of a target that was removed or has restarted."""
        self._entries.pop(name, None)
