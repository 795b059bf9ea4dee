"""Which targets may get a call of this front now, and when the others may."""

from collections.abc import Collection, Sequence

import attrs

from turmericward.fleet import _backoffs, _targets

NO_TARGET = "no_target"
IN_BACKOFF = "targets_rest"


@attrs.frozen(kw_only=True)
class Candidates:
    """Targets of a service that may get a call now.

    `reason` is why a call is refused if none of them can take it; `wait_s` is the
    time until a further target may get it, 0 if that isn't known.
    """

    targets: Sequence[_targets.Target]
    reason: str = NO_TARGET
    wait_s: float = 0.0


class Admission:
    """The directory, and what excludes a target of it from new calls for a time.

    Times are monotonic seconds.
    """

    def __init__(self, grace_s: float) -> None:
        """Starts without targets.

        Args:
            grace_s: how long a missing target is retained after an outage.
        """
        self.directory = _targets.Directory(grace_s)
        self.backoffs = _backoffs.Backoffs()
        self._held_until: dict[int, float] = {}

    def forget(self, name: str) -> None:
        """Drops what a target asked for that was removed or has restarted."""
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
        """Drops expired holds and targets; returns the names of the targets."""
        self._held_until = {
            target: until for target, until in self._held_until.items() if until > now
        }
        return self.directory.expire(now)

    # Calls.

    def candidates(
        self, service: str, excluded: Collection[str], now: float
    ) -> Candidates:
        """Returns the targets of a service that may get a call.

        Args:
            service: name of the service.
            excluded: names of targets that this call must not go to.
            now: monotonic seconds.
        """
        allowed = self.directory.usable(service)
        if excluded or self._held_until:
            allowed = [
                t
                for t in allowed
                if t.name not in excluded and not self.is_held(t.name, now)
            ]
        if not self.backoffs:
            return Candidates(targets=allowed)
        waits_s = {t.name: self.backoffs.remaining_s(t.name, now) for t in allowed}
        accepting = [t for t in allowed if not waits_s[t.name]]
        if len(accepting) == len(allowed):
            return Candidates(targets=allowed)
        wait_s = min(filter(None, waits_s.values()))
        return Candidates(targets=accepting, reason=IN_BACKOFF, wait_s=wait_s)
