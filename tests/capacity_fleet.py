"""A scalable service under virtual time: replicas, their queues, and a platform.

The platform takes orders as the users' one does: counts by domain and kind, a boot
time, prices; a test scripts its refusals, silences, late effects and reclaims.
"""

import collections
import itertools
import random
from collections.abc import Callable

import attrs

from tests import capacity_engines
from turmericward import capacity, duties, fleet, routing

PRICES = {"a": 0.85, "b": 1.2, "c": 1.0}
SCALING = routing.Scaling(
    min_count=1, max_count=24, boot_s=4.0, spot_price=0.22, domain_prices=PRICES
)
STEP_S = 0.05
LEAVES_S = 2.0
CROSS_DOMAIN_S = 0.003
# From the end of a prefill until the front has the first token, and the end.
FIRST_OUTPUT_S = 0.05
DECODE_S = 0.1


def _always_accepted(order: duties.CapacityOrder, now: float) -> duties.Outcome:
    return duties.Outcome.ACCEPTED


class ScalableFleet:
    """The service, its load and the platform; `now` is virtual time in seconds."""

    def __init__(
        self,
        *,
        scaling: routing.Scaling = SCALING,
        per_domain: int = 12,
        classes: tuple[capacity_engines.CallClass, ...] = (
            capacity_engines.SHORT,
            capacity_engines.LONG,
        ),
        traffic_from: float = 15.0,
        seed: int = 1,
        estimate: float = 1.0,
        answer: Callable = _always_accepted,
        prefill_per_domain: int | None = None,
    ) -> None:
        self.now = 0.0
        self.scaling = scaling
        self.estimate = estimate
        self.answer = answer
        self.engines: list[capacity_engines.Engine] = []
        self.desired: collections.Counter[capacity.Pool] = collections.Counter()
        self.orders: list[tuple[float, duties.CapacityOrder, duties.Outcome]] = []
        self.price = 0.0
        self.arrived, self.served, self.in_time = 0, 0, 0
        self._effects: list[tuple[float, duties.CapacityOrder]] = []
        self._random = random.Random(seed)
        self._classes = classes
        self._traffic_from = traffic_from
        self._numbers = itertools.count()
        self._burst_until = 0.0
        self._bursting: capacity_engines.CallClass | None = None
        for domain in PRICES:
            pool = capacity.Pool(domain=domain, spot=False)
            self.desired[pool] = per_domain
            self._resize(pool, per_domain, boot_s=0.0)
        self._role_orders: list[tuple[float, str, fleet.EngineRole]] = []
        self._has_roles = prefill_per_domain is not None
        for index, engine in enumerate(self.engines if self._has_roles else ()):
            prefills = index % per_domain < prefill_per_domain
            engine.role = (
                fleet.EngineRole.PREFILL if prefills else fleet.EngineRole.DECODE
            )

    # Platform.

    def order(self, order: duties.CapacityOrder, late_s: float = 0.0) -> None:
        """Takes an order into effect now or later."""
        self._effects.append((self.now + late_s, order))

    def perform(self, duty: capacity.CapacityDuty) -> None:
        """Makes the call that a duty has to make, if any."""
        order = duty.next_call(self.now)
        if order is None:
            return
        outcome = self.answer(order, self.now)
        self.orders.append((self.now, order, outcome))
        if outcome is duties.Outcome.ACCEPTED:
            self.order(order)
            self._take_effects()
        duty.record_outcome(order, outcome, self.now)

    def _take_effects(self) -> None:
        due = [order for at, order in self._effects if at <= self.now]
        self._effects = [e for e in self._effects if e[0] > self.now]
        for order in due:
            pool = capacity.Pool(domain=order.domain, spot=order.spot)
            self.desired[pool] = order.count
            total = sum(n for s, n in self.desired.items() if s.domain == order.domain)
            if not self.scaling.min_count <= total <= self.scaling.max_count:
                raise AssertionError(f"{total} replicas desired in {order.domain}")
            self._resize(pool, order.count, boot_s=self.scaling.boot_s)

    def _resize(self, pool: capacity.Pool, count: int, boot_s: float) -> None:
        present = [e for e in self.engines if e.pool == pool and e.leaves_at is None]
        for _ in range(count - len(present)):
            number = next(self._numbers)
            name = f"{pool.domain}-{'spot-' if pool.spot else ''}{number}"
            engine = capacity_engines.Engine(
                name=name, pool=pool, ready_at=self.now + boot_s
            )
            if boot_s and self._has_roles:
                engine.role = fleet.EngineRole.DECODE
            self.engines.append(engine)
        for engine in present[: max(0, len(present) - count)]:
            engine.leaves_at = self.now + LEAVES_S

    def reclaim(self, domain: str) -> None:
        """Takes all spot replicas of a domain back, which drain first."""
        for engine in self.engines:
            if engine.pool == capacity.Pool(domain=domain, spot=True):
                engine.leaves_at = self.now + LEAVES_S

    def lose(self, domain: str) -> None:
        """Ends all replicas of a domain at once, with their calls."""
        for engine in [e for e in self.engines if e.pool.domain == domain]:
            lost = [c for c in engine.calls if c[1] > self.now]
            self.served -= len(lost)
            self.in_time -= sum(not c[3] for c in lost)
            self.engines.remove(engine)

    def plan_roles(self, planner: fleet.RolePlanner) -> None:
        """Lets a planner order a role, which the engine takes 3 s later."""
        for at, name, role in self._role_orders:
            for engine in self.engines:
                if at <= self.now and engine.name == name:
                    engine.role = role
        self._role_orders = [o for o in self._role_orders if o[0] > self.now]
        engines = [e.replica(self.now).target for e in self.engines if self._takes(e)]
        planner.observe(engines, self.now)
        change = planner.plan(engines, {}, self.now)
        if change is not None:
            planner.ordered(change, self.now)
            order = (self.now + 3.0, change.target.name, change.role)
            self._role_orders.append(order)

    def prefill_count(self) -> int:
        """Returns the prefill engines that take calls."""
        prefill = fleet.EngineRole.PREFILL
        return sum(self._takes(e) and e.role is prefill for e in self.engines)

    def _takes(self, engine: capacity_engines.Engine) -> bool:
        return engine.takes_calls(self.now)

    # Load.

    def run(self, until: float, duty: capacity.CapacityDuty | None = None) -> None:
        """Lets time pass."""
        while self.now < until:
            self.now = round(self.now + STEP_S, 6)
            self._take_effects()
            for engine in self.engines:
                engine.calls = [c for c in engine.calls if c[1] > self.now]
            self.engines = [
                e
                for e in self.engines
                if e.leaves_at is None or e.leaves_at > self.now or e.calls
            ]
            self._arrive()
            self._bill()
            if duty is not None:
                self.perform(duty)

    def _bill(self) -> None:
        for engine in self.engines:
            price = self.scaling.domain_prices[engine.pool.domain]
            if engine.pool.spot:
                price *= self.scaling.spot_price
            self.price += price * STEP_S

    def _arrive(self) -> None:
        if self.now < self._traffic_from:
            return
        if self.now >= self._burst_until:
            self._burst_until = self.now + self._random.uniform(3.0, 15.0)
            others = [c for c in self._classes if c is not self._bursting]
            self._bursting = others[0]
        ready = [e for e in self.engines if e.takes_calls(self.now)]
        for kind in self._classes:
            rate = kind.per_s * (kind.burst if kind is self._bursting else 1.0)
            count = int(rate * STEP_S + self._random.random())
            for _ in range(count):
                self._place(kind, ready)

    def _place(
        self, kind: capacity_engines.CallClass, ready: list[capacity_engines.Engine]
    ) -> None:
        self.arrived += 1
        domain = self._random.choice(tuple(PRICES))
        if not ready:
            return
        engine = min(
            ready,
            key=lambda e: (
                max(e.free_at, self.now) + CROSS_DOMAIN_S * (e.pool.domain != domain)
            ),
        )
        engine_free = max(engine.free_at, self.now) + kind.work_s
        first = engine_free + FIRST_OUTPUT_S
        took_s = first - self.now
        if took_s > kind.deadline_s:
            return
        late = took_s > kind.objective_s
        engine.free_at = engine_free
        engine.calls.append((first, first + DECODE_S, kind.work_s, late))
        self.served += 1
        self.in_time += not late

    # What a front sees.

    def view(self) -> capacity.View:
        """Returns the announced replicas; loads are misjudged by `estimate`."""
        replicas = [e.replica(self.now) for e in self.engines if self.now >= e.ready_at]
        replicas = [
            attrs.evolve(r, queued_s=r.queued_s * self.estimate) for r in replicas
        ]
        service = capacity.ServiceView(
            name="chat", scaling=self.scaling, replicas=tuple(replicas)
        )
        return capacity.View(services=(service,))

    def duty(self) -> capacity.CapacityDuty:
        """Returns a duty of a new holder."""
        duty = capacity.CapacityDuty(self.view)
        duty.took_over(self.now)
        return duty

    def count(self, *, spot: bool | None = None, domain: str = "") -> int:
        """Returns the replicas that take calls."""
        return sum(
            e.takes_calls(self.now)
            and spot in (None, e.pool.spot)
            and domain in ("", e.pool.domain)
            for e in self.engines
        )

    @property
    def served_share(self) -> float:
        return self.served / max(1, self.arrived)

    @property
    def in_time_share(self) -> float:
        return self.in_time / max(1, self.arrived)
