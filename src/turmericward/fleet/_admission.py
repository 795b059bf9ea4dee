"""Which targets may get a call of this front now, and when the others may."""

import math
from collections.abc import Collection, Mapping, Sequence, Set

import attrs

from turmericward.fleet import _backoffs, _rate_limits, _return_times, _targets

NO_TARGET = "no_target"
IN_BACKOFF = "targets_rest"
LIMITED = "targets_limited"
# Shortest wait of a refused call.
MIN_RETURN_S = 0.5
# How long after an urgent call others leave a part of the limits to further ones.
URGENT_MEMORY_S = 5.0


@attrs.frozen(kw_only=True)
class _Bar:
    """Why a target may not get a call now, and for how long."""

    reason: str
    wait_s: float


@attrs.frozen(kw_only=True)
class Candidates:
    """Targets of a service that may get a call now, or soon.

    `waits_s` has the targets that take the call only after a time. `reason` is why a
    call is refused if none of them can take it; `return_s` is the time until a
    further target may get it, at least `MIN_RETURN_S`. `barred` names the targets
    that are left out for now.
    """

    service: str
    targets: Sequence[_targets.Target]
    waits_s: Mapping[str, float] = attrs.field(factory=dict)
    reason: str = NO_TARGET
    return_s: float = MIN_RETURN_S
    barred: frozenset[str] = frozenset()


class Admission:
    """The directory, and what excludes a target of it from new calls for a time.

    Times are monotonic seconds.
    """

    def __init__(self, front: str, grace_s: float) -> None:
        """Starts without targets.

        Args:
            front: name of this front.
            grace_s: how long a missing target is retained after an outage.
        """
        self.directory = _targets.Directory(grace_s)
        self.backoffs = _backoffs.Backoffs()
        self.limits = _rate_limits.RateLimits(front)
        self._return_times = _return_times.ReturnTimes()
        self._held_until: dict[int, float] = {}
        # When each service last got an urgent call.
        self._urgent_at: dict[str, float] = {}
        # The latest result of `_without` for each service, with its arguments.
        self._filtered: dict[str, tuple[Sequence, Set, tuple]] = {}

    def forget(self, name: str) -> None:
        """Drops what a target asked for that has restarted."""
        self.backoffs.forget(name)
        self.limits.forget(name)

    def removed(self, name: str) -> None:
        """Drops the backoff of a target that was removed.

        Its rate limit is kept for a while, as the announcement of a target that still
        runs may return.
        """
        self.backoffs.forget(name)

    # Holds.

    def hold(self, target: int, until: float) -> None:
        """Holds back new calls to a target, given by its hash."""
        self._held_until[target] = until

    def release(self, name: str) -> None:
        """Ends the hold on a target."""
        self._held_until.pop(_targets.target_hash(name), None)

    def is_held(self, name: str, now: float) -> bool:
        """Returns whether new calls to a target are held back."""
        return self._held_until.get(_targets.target_hash(name), now) > now

    def expire(self, now: float) -> list[str]:
        """Drops what has expired; returns the names of the targets among it."""
        self._held_until = {
            target: until for target, until in self._held_until.items() if until > now
        }
        self.limits.expire(now, self.directory.contains)
        return self.directory.expire(now)

    # Calls.

    def candidates(
        self,
        service: str,
        excluded: Collection[str],
        now: float,
        *,
        urgent: bool = True,
        max_wait_s: float = 0.0,
    ) -> Candidates:
        """Returns the targets of a service that may get a call.

        Args:
            service: name of the service.
            excluded: names of targets that this call must not go to.
            now: monotonic seconds.
            urgent: whether the call goes before others at targets with a rate limit.
            max_wait_s: how long the call can wait for a target with a rate limit.
        """
        if urgent:
            self._urgent_at[service] = now
        reserve = not urgent and self._gets_urgent_calls(service, now)
        allowed = self.directory.usable(service)
        if excluded or self._held_until:
            allowed = [
                t
                for t in allowed
                if t.name not in excluded and not self.is_held(t.name, now)
            ]
        bars = self._bars(now, reserve=reserve)
        waits_s = {
            name: bar.wait_s
            for name, bar in bars.items()
            if bar.reason == LIMITED and bar.wait_s <= max_wait_s
        }
        accepting = self._without(service, allowed, bars.keys() - waits_s.keys())
        if len(accepting) == len(allowed):
            return Candidates(service=service, targets=allowed, waits_s=waits_s)
        barred = {
            t.name: bars[t.name]
            for t in allowed
            if t.name in bars and t.name not in waits_s
        }
        return Candidates(
            service=service,
            targets=accepting,
            waits_s=waits_s,
            reason=_reason(barred),
            return_s=_return_s(barred),
            barred=frozenset(barred),
        )

    def _gets_urgent_calls(self, service: str, now: float) -> bool:
        return now - self._urgent_at.get(service, -math.inf) < URGENT_MEMORY_S

    def _bars(self, now: float, *, reserve: bool) -> dict[str, _Bar]:
        """Returns the targets in backoff and those whose limit is used up."""
        waits = {name: self.backoffs.remaining_s(name, now) for name in self.backoffs}
        bars = {
            name: _Bar(reason=IN_BACKOFF, wait_s=wait_s)
            for name, wait_s in waits.items()
            if wait_s
        }
        for name in self.limits.limited():
            wait_s = self.limits.wait_s(name, now, reserve=reserve)
            if wait_s and (name not in bars or wait_s > bars[name].wait_s):
                bars[name] = _Bar(reason=LIMITED, wait_s=wait_s)
        return bars

    def _without(
        self, service: str, targets: Sequence[_targets.Target], names: Set[str]
    ) -> Sequence[_targets.Target]:
        """Returns the targets without the named ones, as the same object if possible.

        The placer reuses its shortlist as long as the object is the same.
        """
        if not names:
            return targets
        last = self._filtered.get(service)
        if last is not None and last[0] is targets and last[1] == names:
            return last[2]
        filtered = tuple(t for t in targets if t.name not in names)
        self._filtered[service] = (targets, names, filtered)
        return filtered

    def sent(self, name: str, now: float) -> None:
        """Counts a request to a target, of a call or another one."""
        self.limits.spend(name, now)

    def return_after_s(self, candidates: Candidates, now: float) -> float:
        """Returns when a call that none of the candidates can take may return."""
        if candidates.reason != LIMITED:
            return candidates.return_s
        shares = (self.limits.share(name) for name in candidates.barred)
        per_s = sum(share.per_s for share in shares if share is not None)
        return self._return_times.reserve_s(
            candidates.service, candidates.return_s, per_s, now
        )


def _reason(bars: Mapping[str, _Bar]) -> str:
    reasons = {bar.reason for bar in bars.values()}
    return LIMITED if LIMITED in reasons else IN_BACKOFF


def _return_s(bars: Mapping[str, _Bar]) -> float:
    known = (bar.wait_s for bar in bars.values() if math.isfinite(bar.wait_s))
    return max(MIN_RETURN_S, min(known, default=MIN_RETURN_S))
