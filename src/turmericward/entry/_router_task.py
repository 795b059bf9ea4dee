"""Task that owns the router, the holds and what is in flight."""

import collections
import functools
import random
import time

import attrs
import result

from turmericward import configuration, fleet, membership, requests, runtime


@attrs.frozen(kw_only=True)
class SetView:
    """A new view and the holds in force; answered with the drained holds."""

    view: fleet.View
    holds: list[membership.Hold]
    released: list[str]


@attrs.frozen(kw_only=True)
class Choose:
    """Asks for an engine; answered with a Result of Assignment or Refusal."""

    demand: requests.Demand
    excluded: frozenset[str]
    retry: bool


@attrs.frozen(kw_only=True)
class FirstToken:
    """The first token of an assignment took `took_s`."""

    assignment: requests.Assignment
    took_s: float


@attrs.frozen(kw_only=True)
class Finished:
    """An assignment has ended; `failed` when the engine was at fault."""

    assignment: requests.Assignment
    failed: bool


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
    def _(self, message: Choose):
        if message.retry and not self._budget.spend():
            refusal = requests.Refusal(
                reason="retry_budget", retry_after_s=requests.MIN_RETRY_S
            )
            return result.Err(refusal)
        if not message.retry:
            self._budget.earn()
        now = time.monotonic()
        view = self.view
        engines = view.engines_by_model.get(message.demand.model, ())
        excluded = message.excluded | self._holds.held(now) | view.leaving
        chosen = self._router.choose(message.demand, engines, view.loads, excluded, now)
        if chosen.is_ok():
            self._engines_in_use[chosen.unwrap().engine] += 1
        return chosen

    @handle.register
    def _(self, message: FirstToken) -> None:
        self._router.first_token(message.assignment, message.took_s)

    @handle.register
    def _(self, message: Finished) -> None:
        self._engines_in_use[message.assignment.engine] -= 1
        now = time.monotonic()
        self._router.finished(message.assignment, message.failed, now)

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
