"""Task that owns the router, the holds and the requests in flight."""

import collections
import functools
import random
import time

import attrs
import result

from turmericward import (
    configuration,
    dispatching,
    fleet,
    membership,
    requests,
    runtime,
)
from turmericward.entry import _engine_crashes


@attrs.frozen(kw_only=True)
class SetView:
    """Replaces the view and the holds; the reply is the ids of drained holds."""

    view: fleet.View
    holds: list[membership.Hold]
    released: list[str]


@attrs.frozen(kw_only=True)
class RankTargets:
    """Requests a service's live targets in order of preference."""

    targets: list[configuration.ServiceTarget]


@attrs.frozen(kw_only=True)
class CallEnded:
    """A call to a service target ended; `failed` without a complete response."""

    target: str
    failed: bool


@attrs.frozen(kw_only=True)
class AdmitRequest:
    """Asks to admit a tenant's request; the reply is whether it was admitted."""

    tenant: str


@attrs.frozen(kw_only=True)
class ReleaseRequest:
    """Reports the end of an admitted request."""

    tenant: str


class RouterTask(runtime.Task):
    """Selects engines by the latest view; `view` may be read from any thread."""

    # They carry a client's call.
    foreign = (dispatching.Place, dispatching.FirstOutput, dispatching.PlacementEnded)

    def __init__(self, cfg, seed: int) -> None:
        """Creates the task without a view; `seed` makes the choices reproducible."""
        super().__init__()
        classes = {
            name: requests.Bounds(first_token_s=bounds.first_token_s)
            for name, bounds in cfg.entry.classes.items()
        }
        self._router = requests.Router(seed, cfg.instance.domain, classes)
        self._retry_budget = requests.RetryBudget()
        self._domain = cfg.instance.domain
        self._random = random.Random(seed)
        self._service_health = fleet.Health()
        self._crashes = dispatching.CrashGuard(
            _engine_crashes.EngineCrashes().incarnation_of
        )
        self._holds = membership.EntryHolds()
        self._assigned: dict[int, requests.Assignment] = {}
        self._in_flight_by_engine: collections.Counter[str] = collections.Counter()
        self._in_flight_by_tenant: collections.Counter[str] = collections.Counter()
        self.view: fleet.View | None = None

    def run_periodic(self) -> None:
        """Drops old evidence on crashes, and logs the new."""
        self._crashes.expire(runtime.now())

    @functools.singledispatchmethod
    def handle(self, message: object) -> object:
        """Dispatches a message by its type."""
        return super().handle(message)

    @handle.register
    def _(self, message: SetView) -> list[str]:
        self.view = message.view
        self._holds.update(message.holds, message.released)
        return self._drained_holds()

    def _drained_holds(self) -> list[str]:
        # Drops expired holds.
        self._holds.held(time.monotonic())
        return [
            hold.hold_id
            for hold in self._holds.all()
            if not self._in_flight_by_engine[hold.engine]
        ]

    @handle.register
    def _(self, message: dispatching.Place):
        """Returns a Result of Placement or Refusal."""
        refusal = self._crashes.refusal(message)
        if refusal is not None:
            return result.Err(refusal)
        budget = self._retry_budget
        if message.is_optional and not budget.has_spare(message.retries_kept):
            return _budget_refusal("retry_reserve")
        if message.retry and not budget.spend():
            return _budget_refusal("retry_budget")
        if message.first and not message.retry:
            budget.earn()
        now = time.monotonic()
        view = self.view
        demand = message.call.prompt
        served = view.engines_by_model.get(demand.model, ())
        engines = tuple(e for e in served if message.may_go_to(e.name))
        excluded = message.excluded | self._holds.held(now) | view.leaving
        chosen = self._router.choose(demand, engines, view.loads, excluded, now)
        placed = chosen.map(self._record_assignment)
        if placed.is_ok():
            self._crashes.placed(message, placed.unwrap().id)
        elif message.retry:
            self._retry_budget.refund()
        return placed

    def _record_assignment(self, assignment: requests.Assignment) -> requests.Placement:
        self._in_flight_by_engine[assignment.engine] += 1
        self._assigned[assignment.id] = assignment
        target = fleet.Target(
            name=assignment.engine,
            service="",
            address=assignment.address,
            domain="",
            slots=0,
        )
        return requests.Placement(
            id=assignment.id, target=target, uncached_tokens=assignment.tokens
        )

    @handle.register
    def _(self, message: dispatching.FirstOutput) -> None:
        assignment = self._assigned.get(message.placement.id)
        if assignment is not None:
            self._router.first_token(assignment, message.took_s)

    @handle.register
    def _(self, message: dispatching.PlacementEnded) -> None:
        assignment = self._assigned.pop(message.placement.id, None)
        if assignment is None:
            return
        self._in_flight_by_engine[assignment.engine] -= 1
        self._crashes.placement_ended(message)
        failed = message.ending.target_failed or message.ending.unsent
        self._router.finished(assignment, failed, time.monotonic())

    @handle.register
    def _(self, message: RankTargets) -> list[configuration.ServiceTarget]:
        now = time.monotonic()
        live = [t for t in message.targets if t.name not in self.view.leaving]
        usable = [t for t in live if self._service_health.usable(t.name, now)] or live
        self._random.shuffle(usable)
        return sorted(usable, key=lambda t: t.domain != self._domain)

    @handle.register
    def _(self, message: CallEnded) -> None:
        if message.failed:
            self._service_health.failed(message.target, time.monotonic())
        else:
            self._service_health.succeeded(message.target)

    @handle.register
    def _(self, message: AdmitRequest) -> bool:
        tenant = self.view.tenants.get(message.tenant)
        if (
            tenant is None
            or self._in_flight_by_tenant[message.tenant] >= tenant.max_in_flight
        ):
            return False
        self._in_flight_by_tenant[message.tenant] += 1
        return True

    @handle.register
    def _(self, message: ReleaseRequest) -> None:
        self._in_flight_by_tenant[message.tenant] -= 1
        if self._in_flight_by_tenant[message.tenant] <= 0:
            del self._in_flight_by_tenant[message.tenant]


def _budget_refusal(reason: str):
    return result.Err(
        requests.Refusal(reason=reason, retry_after_s=requests.MIN_RETRY_AFTER_S)
    )
