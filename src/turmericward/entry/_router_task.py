"""Task that owns the router, the holds and what is in flight."""

import collections
import functools
import random
import time

import attrs
import result

from turmericward import configuration, delivery, fleet, membership, requests, runtime


@attrs.frozen(kw_only=True)
class SetView:
    """A new view and the holds in force; answered with the drained holds."""

    view: fleet.View
    holds: list[membership.Hold]
    released: list[str]


@attrs.frozen(kw_only=True)
class RankTargets:
    """Asks for a service's live targets in the order of preference."""

    targets: list[configuration.ServiceTarget]


@attrs.frozen(kw_only=True)
class TargetEnded:
    """A call of a service's target has ended; `failed` without whole answer."""

    target: str
    failed: bool


@attrs.frozen(kw_only=True)
class Enter:
    """A tenant's request begins; answered with whether it may."""

    tenant: str


@attrs.frozen(kw_only=True)
class Leave:
    """A tenant's request has ended."""

    tenant: str


class RouterTask(runtime.Task):
    """Chooses engines by the latest view; `view` may be read by any thread."""

    def __init__(self, cfg, seed: int) -> None:
        """Creates the task without a view."""
        super().__init__()
        classes = {
            name: requests.Bounds(first_token_s=bounds.first_token_s)
            for name, bounds in cfg.entry.classes.items()
        }
        self._router = requests.Router(seed, cfg.instance.domain, classes)
        self._budget = requests.RetryBudget()
        self._domain = cfg.instance.domain
        self._random = random.Random(seed)
        self._services = fleet.Health()
        self._holds = membership.EntryHolds()
        self._assigned: dict[int, requests.Assignment] = {}
        self._engines_in_use: collections.Counter[str] = collections.Counter()
        self._tenants: collections.Counter[str] = collections.Counter()
        self.view: fleet.View | None = None

    @functools.singledispatchmethod
    def handle(self, message: object) -> object:
        """Acts on one message."""
        return super().handle(message)

    @handle.register
    def _(self, message: SetView) -> list[str]:
        self.view = message.view
        self._holds.take(message.holds, message.released)
        return self._drained()

    def _drained(self) -> list[str]:
        self._holds.held(time.monotonic())
        return [
            hold.hold_id
            for hold in self._holds.all()
            if not self._engines_in_use[hold.engine]
        ]

    @handle.register
    def _(self, message: delivery.Place):
        """Answers with a Result of Placement or Refusal."""
        if message.retry and not self._budget.spend():
            refusal = requests.Refusal(
                reason="retry_budget", retry_after_s=requests.MIN_RETRY_S
            )
            return result.Err(refusal)
        if not message.retry:
            self._budget.earn()
        now = time.monotonic()
        view = self.view
        demand = message.call.prompt
        engines = view.engines_by_model.get(demand.model, ())
        excluded = message.excluded | self._holds.held(now) | view.leaving
        chosen = self._router.choose(demand, engines, view.loads, excluded, now)
        return chosen.map(self._placed)

    def _placed(self, assignment: requests.Assignment) -> requests.Placement:
        self._engines_in_use[assignment.engine] += 1
        self._assigned[assignment.id] = assignment
        target = fleet.Target(
            name=assignment.engine,
            service="",
            address=assignment.address,
            domain="",
            slots=0,
        )
        return requests.Placement(
            id=assignment.id, target=target, work_tokens=assignment.tokens
        )

    @handle.register
    def _(self, message: delivery.Began) -> None:
        assignment = self._assigned.get(message.placement.id)
        if assignment is not None:
            self._router.first_token(assignment, message.took_s)

    @handle.register
    def _(self, message: delivery.Ended) -> None:
        assignment = self._assigned.pop(message.placement.id, None)
        if assignment is None:
            return
        self._engines_in_use[assignment.engine] -= 1
        failed = message.ending in (
            requests.Ending.FAILED,
            requests.Ending.UNREACHED,
        )
        self._router.finished(assignment, failed, time.monotonic())

    @handle.register
    def _(self, message: RankTargets) -> list[configuration.ServiceTarget]:
        now = time.monotonic()
        live = [t for t in message.targets if t.name not in self.view.leaving]
        usable = [t for t in live if self._services.usable(t.name, now)] or live
        self._random.shuffle(usable)
        return sorted(usable, key=lambda t: t.domain != self._domain)

    @handle.register
    def _(self, message: TargetEnded) -> None:
        if message.failed:
            self._services.failed(message.target, time.monotonic())
        else:
            self._services.succeeded(message.target)

    @handle.register
    def _(self, message: Enter) -> bool:
        tenant = self.view.tenants.get(message.tenant)
        if tenant is None or self._tenants[message.tenant] >= tenant.max_in_flight:
            return False
        self._tenants[message.tenant] += 1
        return True

    @handle.register
    def _(self, message: Leave) -> None:
        self._tenants[message.tenant] -= 1
        if self._tenants[message.tenant] <= 0:
            del self._tenants[message.tenant]
