"""Rates of requests that targets name, and what this front may send under them."""

import math
from collections.abc import Callable, Iterator

import attrs

from turmericward.fleet import _shares, _targets

# Share of what may be sent at once, beyond one request, that is left to urgent calls.
URGENT_BURST_SHARE = 0.5
# How long the end of a limit is remembered, so that late reports don't bring it back,
# and the limit of a target whose announcement is gone.
RETENTION_S = 10.0
# Tolerance for the rounding of sums.
EPSILON = 1e-9


@attrs.frozen(kw_only=True)
class RateLimit:
    """The rate of requests that a target names in an answer.

    `per_s` counts requests a second from all fronts together. At `observed_at`, in
    monotonic seconds, the answer was received; without a limit, where `per_s` is None,
    its call was sent: an answer may be read long after it was given.
    """

    per_s: float | None
    observed_at: float


@attrs.define
class _TokenBucket:
    """Requests that may be sent now; starts with less than one."""

    share: _shares.Share
    at: float
    tokens: float

    def refill(self, now: float) -> None:
        added = max(0.0, now - self.at) * self.share.per_s
        self.tokens = min(self.share.burst, self.tokens + added)
        self.at = now

    def set_share(self, share: _shares.Share, now: float) -> None:
        self.refill(now)
        if share.burst < self.share.burst:
            self.tokens *= share.burst / self.share.burst
        self.share = share


@attrs.define
class _Entry:
    started_ms: int
    limit: RateLimit
    # When the limit was last set or ended.
    changed_at: float = -math.inf
    bucket: _TokenBucket | None = None

    @property
    def last_limited_at(self) -> float:
        """When the limit was last named, or ended."""
        return self.changed_at if self.bucket is None else self.limit.observed_at


class RateLimits:
    """The latest limit of each target, and a token bucket for this front's share.

    Every request to a limited target takes a token. Times are monotonic seconds.
    """

    def __init__(self, front: str) -> None:
        """Starts without limits.

        Args:
            front: name of this front.
        """
        self.members = _shares.Members(front)
        self._entries: dict[str, _Entry] = {}

    def record(self, target: _targets.Target, limit: RateLimit, now: float) -> bool:
        """Records what a target's answer says; returns whether that changed its limit.

        Answers may be reported late: those that were received before the latest one,
        or came from an earlier incarnation, are ignored.
        """
        known = self._entries.get(target.name)
        if known is None or target.started_ms > known.started_ms:
            known = _Entry(
                started_ms=target.started_ms,
                limit=RateLimit(per_s=None, observed_at=-math.inf),
            )
        elif target.started_ms < known.started_ms:
            return False
        if limit.observed_at < known.limit.observed_at:
            return False
        self._entries[target.name] = known
        changed = limit.per_s != known.limit.per_s
        known.limit = limit
        if changed:
            known.changed_at = now
            self._update_bucket(target.name, known, now)
        return changed

    def _update_bucket(self, name: str, entry: _Entry, now: float) -> None:
        if entry.limit.per_s is None:
            entry.bucket = None
            return
        share = self.members.share(name, entry.limit.per_s)
        if entry.bucket is None:
            entry.bucket = _TokenBucket(share, now, tokens=share.phase)
        else:
            entry.bucket.set_share(share, now)

    def update_shares(self, now: float) -> None:
        """Divides the limits anew, after a change of `members`."""
        for name, entry in self._entries.items():
            self._update_bucket(name, entry, now)

    # Requests.

    def wait_s(self, name: str, now: float, *, reserve: bool = False) -> float:
        """Returns when a call may go to a target: 0 now, infinite if not from here.

        Args:
            name: name of the target.
            now: monotonic seconds.
            reserve: whether the call leaves a part of the burst to urgent ones.
        """
        bucket = self._bucket(name)
        if bucket is None:
            return 0.0
        bucket.refill(now)
        needed = 1.0
        if reserve:
            needed += URGENT_BURST_SHARE * max(0.0, bucket.share.burst - 1.0)
        missing = needed - bucket.tokens
        if missing <= EPSILON:
            return 0.0
        return missing / bucket.share.per_s if bucket.share.per_s else math.inf

    def spend(self, name: str, now: float) -> None:
        """Takes a token for a request, or the next one that will be added."""
        bucket = self._bucket(name)
        if bucket is not None:
            bucket.refill(now)
            bucket.tokens -= 1.0

    def _bucket(self, name: str) -> _TokenBucket | None:
        entry = self._entries.get(name)
        return None if entry is None else entry.bucket

    # Limits.

    def per_s(self, name: str) -> float | None:
        """Returns the rate that a target has named, None without a limit."""
        entry = self._entries.get(name)
        return None if entry is None else entry.limit.per_s

    def share(self, name: str) -> _shares.Share | None:
        """Returns this front's share of a target's limit, None without a limit."""
        bucket = self._bucket(name)
        return None if bucket is None else bucket.share

    def limited(self) -> frozenset[str]:
        """Returns the names of the targets that have a limit."""
        return frozenset(name for name, e in self._entries.items() if e.bucket)

    def recently_limited(self) -> frozenset[str]:
        """Returns the names of the targets that have a limit or had one recently.

        Their answers are recorded also without a limit: fronts that don't send to a
        target learn of its end from reports, which have to be newer than any other.
        """
        return frozenset(self._entries)

    def reports(self) -> Iterator[tuple[str, int, RateLimit]]:
        """Yields name, start and limit of each target, also of ended limits."""
        for name, entry in self._entries.items():
            yield name, entry.started_ms, entry.limit

    def expire(self, now: float, is_known: Callable[[str], bool]) -> None:
        """Drops limits that ended a while ago, and those of removed targets.

        Args:
            now: monotonic seconds.
            is_known: returns whether a target is known.
        """
        expired = [
            name
            for name, entry in self._entries.items()
            if (entry.bucket is None or not is_known(name))
            and now - entry.last_limited_at > RETENTION_S
        ]
        for name in expired:
            self.forget(name)

    def forget(self, name: str) -> None:
        """Drops the limit of a target that was removed or has restarted."""
        self._entries.pop(name, None)
        self.members.forget(name)
