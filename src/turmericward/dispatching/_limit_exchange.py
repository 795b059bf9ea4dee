"""Limits of targets, as answers name them and as fronts report them to each other."""

from turmericward import fleet, peers, runtime, telemetry


class LimitExchange:
    """Records limits of known targets."""

    def __init__(self, directory: fleet.Directory, limits: fleet.RateLimits) -> None:
        """Creates the exchange.

        Args:
            directory: the known targets.
            limits: receives the limits.
        """
        self._directory = directory
        self._limits = limits

    def record(self, target: fleet.Target, limit: fleet.RateLimit, source: str) -> bool:
        """Records what a target said of its limit; returns whether it changed.

        Args:
            target: the incarnation that said it.
            limit: the limit.
            source: `answer` if this front was told, else `peer`; for the log.
        """
        known = self._directory.get(target.name)
        if known is None or known.started_ms != target.started_ms:
            return False
        now = runtime.now()
        if not self._limits.record(target, limit, now):
            return False
        share = self._limits.share(target.name)
        telemetry.log_event(
            "target_limit",
            target=target.name,
            started_ms=target.started_ms,
            limit_per_s=limit.per_s,
            share_per_s=None if share is None else round(share.per_s, 3),
            burst=None if share is None else round(share.burst, 2),
            fronts=self._limits.members.count,
            source=source,
            age_s=round(now - limit.observed_at, 3),
        )
        return True

    def apply(self, reported: tuple[peers.TargetLimit, ...]) -> bool:
        """Records the limits that a peer reports; returns whether any changed."""
        now = runtime.now()
        changed = False
        for row in reported:
            target = self._directory.find(row.target, row.started_ms)
            if target is None:
                continue
            limit = fleet.RateLimit(per_s=row.per_s, observed_at=now - row.age_s)
            changed |= self.record(target, limit, "peer")
        return changed

    def reports(self) -> tuple[peers.TargetLimit, ...]:
        """Returns all limits as they are reported to the peers."""
        now = runtime.now()
        return tuple(
            peers.TargetLimit(
                target=fleet.target_hash(name),
                started_ms=started_ms,
                per_s=limit.per_s,
                age_s=now - limit.observed_at,
            )
            for name, started_ms, limit in self._limits.reports()
        )
