"""Routing configuration of a front."""

import collections
from collections.abc import Iterable, Mapping

import attrs

from turmericward import httpd
from turmericward.routing import _calls, _errors, _workspaces


@attrs.frozen(kw_only=True)
class Scaling:
    """Bounds and prices of the replicas that may be ordered for a service.

    `min_count` and `max_count` bound the replicas of each failure domain, of both kinds
    together. A new replica serves `boot_s` seconds after its order. One second of a
    replica costs what `domain_prices` names for its domain, that of a spot replica
    `spot_price` times as much, None if there are no spot replicas.
    """

    min_count: int
    max_count: int
    boot_s: float
    spot_price: float | None = None
    domain_prices: Mapping[str, float] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class ServiceTraits:
    """Configured properties of one service.

    `kv_capacity_tokens` is the KV cache capacity of one of its engines, 0 for plain
    services; `scaling` is None if its replicas can't be ordered.
    """

    name: str
    kv_capacity_tokens: float = 0.0
    scaling: Scaling | None = None


class RoutingTable:
    """Routes of one configuration version, by host and longest path prefix."""

    def __init__(
        self,
        version: int,
        routes: Iterable[_calls.Route],
        services: Iterable[ServiceTraits] = (),
        client_limits: httpd.ClientLimits | None = None,
        workspaces: _workspaces.Workspaces | None = None,
    ) -> None:
        """Creates the table of one version.

        Args:
            version: version of the configuration.
            routes: its routes.
            services: the services that they lead to.
            client_limits: limits on clients, None if not set.
            workspaces: workspaces that may call, None if calls have no keys.
        """
        self.version = version
        self.client_limits = client_limits
        self.workspaces = workspaces
        self.services = {service.name: service for service in services}
        self.routes = tuple(routes)
        self._by_host: dict[str, list[_calls.Route]] = collections.defaultdict(list)
        for route in self.routes:
            self._by_host[route.host].append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, host: str, path: str) -> _calls.Route:
        """Returns the route with the longest prefix of the path.

        Raises:
            NoRouteError: no route of the host matches the path.
        """
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        raise _errors.NoRouteError(f"{host}{path} has no route")

    def identify(self, route: _calls.Route, key: bytes) -> _workspaces.Workspace | None:
        """Returns the workspace of a call, None if it has none.

        Calls of public routes need no key; one that is known still names the workspace.

        Raises:
            UnknownKeyError: the call needs a key, and no workspace holds this one.
        """
        if self.workspaces is None:
            return None
        try:
            return self.workspaces.find(key)
        except _errors.UnknownKeyError:
            if route.public:
                return None
            raise
