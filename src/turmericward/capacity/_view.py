"""What decisions on capacity are based on: replicas and the load of all fronts."""

import attrs

from turmericward import fleet, routing


@attrs.frozen(kw_only=True)
class Replica:
    """An announced replica and the load that all fronts put on it.

    `queued_s` is the time that it needs to prefill the prompts whose first token is
    due; `late_s` is the part of calls that can't meet their latency objective.
    """

    target: fleet.Target
    open_calls: int = 0
    queued_s: float = 0.0
    late_s: float = 0.0


@attrs.frozen(kw_only=True)
class ServiceView:
    """A scalable service with its announced replicas, including leaving ones."""

    name: str
    scaling: routing.Scaling
    replicas: tuple[Replica, ...] = ()

    @property
    def serving(self) -> list[Replica]:
        """The replicas that take new calls."""
        return [r for r in self.replicas if not r.target.leaving]


@attrs.frozen(kw_only=True)
class View:
    """The scalable services; the loads are up to `age_s` old."""

    services: tuple[ServiceView, ...] = ()
    age_s: float = 0.0
