"""The duty that keeps the replicas of scalable services at what their load needs."""

import math
from collections.abc import Callable

from turmericward import duties, telemetry
from turmericward.capacity import _service, _view

# How often the fleet is looked at; orders in between use the same view.
VIEW_INTERVAL_S = 0.25
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
        self._age_s = 0.0
        self._since = -math.inf
        self._ordered_at = -math.inf

    def took_over(self, now: float) -> None:
        """Begins a term: forgets all orders, and what was seen of the load."""
        self._services.clear()
        self._looked_at = -math.inf
        self._since = now

    def next_call(self, now: float) -> duties.CapacityOrder | None:
        """Returns the order that is due, None if there is none."""
        if now - self._looked_at >= VIEW_INTERVAL_S:
            self._observe(now)
        if now < self._ordered_at + ORDER_INTERVAL_S:
            return None
        for name, service in self._services.items():
            step = service.next_step(now)
            if step is None:
                continue
            self._ordered_at = now
            telemetry.log_event(
                "capacity_order",
                service=name,
                domain=step.subject.domain,
                spot=step.subject.spot,
                before=step.before,
                count=step.count,
                reason=step.reason,
                load_age_s=round(self._age_s + now - self._looked_at, 3),
                **service.inputs(),
            )
            return duties.CapacityOrder(
                service=name,
                domain=step.subject.domain,
                count=step.count,
                spot=step.subject.spot,
            )
        return None

    def _observe(self, now: float) -> None:
        view = self._look()
        if view is None:
            # No orders by an old view: the counts in it may have changed.
            for service in self._services.values():
                service.lost_sight()
            return
        self._looked_at = now
        self._age_s = view.age_s
        known = {service.name for service in view.services}
        for name in self._services.keys() - known:
            del self._services[name]
        for service in view.services:
            if service.name not in self._services:
                self._services[service.name] = _service.ServiceCapacity(
                    service.name, self._since
                )
            self._services[service.name].observe(service, now)

    def record_outcome(
        self, call: duties.CapacityOrder, outcome: duties.Outcome, now: float
    ) -> None:
        """Records what became of an order."""
        service = self._services.get(call.service)
        if service is not None:
            service.record_outcome(call, outcome, now)
