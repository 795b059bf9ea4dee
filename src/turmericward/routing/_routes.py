"""Routing configuration of a front."""

import collections
from collections.abc import Iterable

import attrs

from turmericward import httpd
from turmericward.routing import _calls, _errors


@attrs.frozen(kw_only=True)
class ServiceTraits:
    """Configured properties of one service.

    `kv_capacity_tokens` is the KV cache capacity of one of its engines, 0 for plain
    services.
    """

    name: str
    kv_capacity_tokens: float = 0.0


class RoutingTable:
    """Routes of one configuration version, by host and longest path prefix."""

    def __init__(
        self,
        version: int,
        routes: Iterable[_calls.Route],
        services: Iterable[ServiceTraits] = (),
        client_limits: httpd.ClientLimits | None = None,
    ) -> None:
        """Creates the table of one version; `client_limits` is None if not set."""
        self.version = version
        self.client_limits = client_limits
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
