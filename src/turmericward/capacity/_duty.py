"""The duty that keeps the replicas of scalable services at what their load needs."""

import math
from collections.abc import Callable

from turmericward import duties, telemetry
from turmericward.capacity import _service, _view

# How often the fleet is looked at; orders in between use the same view. In large fleets
# a look takes long: 10 us for each replica, which this bounds to 1 of 50.
VIEW_INTERVAL_S = 0.5
VIEW_INTERVAL_PER_REPLICA_S = 0.0005
# Minimum time between two orders of the duty.
ORDER_INTERVAL_S = 0.1


class CapacityDuty:
    """Orders replicas of the services that have a `Scaling`.

    It implements `duties.Duty`. Services without one are not considered.
    """

    def __init__(
        self,
        look: Callable[[], _view.View | None],
    ) -> None:
        """Starts without knowledge of the fleet.

        Args:
            look: returns the fleet as all fronts see it, None if unknown at present.
        """
        self._look = look
        self._services: dict[str, _service.ServiceCapacity] = {}
        self._looked_at = -math.inf
        self._view_interval_s = VIEW_INTERVAL_S
        # Whether the latest view leads to no further order.
        self._is_done = False
        self._age_s = 0.0
        self._ordered_at = -math.inf
        # Whether nobody can have ordered replicas before.
        self._first = False

    def took_over(self, now: float, *, first: bool = False) -> None:
        """Begins a term: forgets all orders, and what was seen of the load."""
        self._services.clear()
        self._first = first
        self._looked_at = -math.inf

    def next_call(self, now: float) -> duties.CapacityOrder | None:
        """Returns the order that is due, None if there is none."""
        if now - self._looked_at >= self._view_interval_s:
            self._observe(now)
        if self._is_done or now < self._ordered_at + ORDER_INTERVAL_S:
            return None
        for name, service in self._services.items():
            step = service.next_step(now)
            if step is None:
                continue
            self._ordered_at = now
            telemetry.log_event(
                "capacity_order",
                service=name,
                domain=step.pool.domain,
                spot=step.pool.spot,
                before=step.before,
                count=step.count,
                reason=step.reason,
                load_age_s=round(self._age_s + now - self._looked_at, 3),
                **service.inputs(),
            )
            return duties.CapacityOrder(
                service=name,
                domain=step.pool.domain,
                count=step.count,
                spot=step.pool.spot,
            )
        self._is_done = True
        return None

    def _observe(self, now: float) -> None:
        view = self._look()
        self._is_done = False
        if view is None:
            # No orders by an old view: the counts in it may have changed.
            for service in self._services.values():
                service.forget_view()
            return
        self._looked_at = now
        replicas = sum(len(service.replicas) for service in view.services)
        self._view_interval_s = max(
            VIEW_INTERVAL_S, replicas * VIEW_INTERVAL_PER_REPLICA_S
        )
        self._age_s = view.age_s
        known = {service.name for service in view.services}
        for name in self._services.keys() - known:
            del self._services[name]
        for service in view.services:
            if service.name not in self._services:
                self._services[service.name] = _service.ServiceCapacity(
                    service.name, now, handed_over=not self._first
                )
            self._services[service.name].observe(service, now)

    def record_outcome(
        self, call: duties.CapacityOrder, outcome: duties.Outcome, now: float
    ) -> None:
        """Records what became of an order."""
        self._is_done = False
        service = self._services.get(call.service)
        if service is not None:
            service.record_outcome(call, outcome, now)
