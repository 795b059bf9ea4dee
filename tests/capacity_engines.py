"""Calls and replicas of the scalable service in `capacity_fleet`."""

import attrs

from turmericward import capacity, fleet

SLOTS = 12


@attrs.frozen(kw_only=True)
class CallClass:
    """Calls of one kind: arrivals per second, work, latency objective, deadline."""

    per_s: float
    work_s: float
    objective_s: float
    deadline_s: float
    burst: float


# Half of 36 replicas are busy on average.
SHORT = CallClass(
    per_s=201, work_s=0.02, objective_s=0.273, deadline_s=3.282, burst=1.9
)
LONG = CallClass(
    per_s=15.7, work_s=0.45, objective_s=1.263, deadline_s=6.317, burst=2.6
)


@attrs.define(kw_only=True, eq=False)
class Engine:
    """A replica that works off its calls one after the other."""

    name: str
    pool: capacity.Pool
    ready_at: float
    free_at: float = 0.0
    leaves_at: float | None = None
    role: fleet.EngineRole | None = None
    # First output, end, work and whether the objective is missed, of each call.
    calls: list[tuple[float, float, float, bool]] = attrs.field(factory=list)

    def takes_calls(self, now: float) -> bool:
        return now >= self.ready_at and self.leaves_at is None

    def replica(self, now: float) -> capacity.Replica:
        waiting = [c for c in self.calls if c[0] > now]
        return capacity.Replica(
            target=fleet.Target(
                name=self.name,
                service="chat",
                address="10.0.0.1:1",
                domain=self.pool.domain,
                slots=SLOTS,
                role=self.role,
                leaving=self.leaves_at is not None,
                spot=self.pool.spot,
            ),
            open_calls=len(self.calls),
            queued_s=sum(c[2] for c in waiting),
            late_s=sum(c[2] for c in waiting if c[3]),
        )
