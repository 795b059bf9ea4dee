"""An immutable snapshot of the configuration and the fleet, for routing."""

import hashlib
import heapq
import operator
from collections.abc import Mapping

import attrs

from turmericward import configuration


@attrs.frozen(kw_only=True)
class LoadView:
    """An engine's load by its latest report, received at `at` (monotonic)."""

    running: int
    queued: int
    role: str
    at: float


@attrs.frozen(kw_only=True)
class EngineView:
    """An engine that may get requests."""

    name: str
    domain: str
    address: str
    role: str
    priority: int


@attrs.frozen(kw_only=True)
class View:
    """What an entry routes by; updates copy it and replace the changed fields."""

    engines_by_model: Mapping[str, tuple[EngineView, ...]]
    adapters: Mapping[str, str]
    services: Mapping[str, configuration.Service]
    tenants_by_key: Mapping[str, str]
    tenants: Mapping[str, configuration.Tenant]
    leaving: frozenset[str]
    loads: Mapping[str, LoadView]

    def models(self) -> list[str]:
        """Returns the model and adapter names that callers may request."""
        return sorted({*self.engines_by_model, *self.adapters})


@attrs.frozen(kw_only=True)
class EngineSpec:
    """The configured state of an engine: its role, and what it loads.

    `loads` contains `model@version` for each model, and the names of adapters.
    """

    address: str
    role: str
    loads: tuple[str, ...]


class Subset:
    """The engines of one model that a node uses, local ones preferred.

    Rendezvous hashing spreads the nodes over the engines, and a change of one
    engine changes at most one member of a node's subset.
    """

    def __init__(self, node: str, domain: str, size: int) -> None:
        """Starts with an empty subset.

        Args:
            node: name of the node.
            domain: the node's failure domain.
            size: largest number of engines that the node uses.
        """
        self._node = node
        self._domain = domain
        self._size = size
        self._ranked: dict[str, tuple[tuple[bool, bytes], EngineView]] = {}

    def put(self, engine: EngineView) -> None:
        """Adds an engine, or replaces the one with its name."""
        text = f"{self._node}/{engine.name}".encode()
        distance = hashlib.blake2b(text, digest_size=8).digest()
        rank = (engine.domain != self._domain, distance)
        self._ranked[engine.name] = (rank, engine)

    def discard(self, name: str) -> None:
        """Removes an engine, if present."""
        self._ranked.pop(name, None)

    def chosen(self) -> tuple[EngineView, ...]:
        """Returns the engines in use, nearest first."""
        ranked = self._ranked.values()
        nearest = heapq.nsmallest(self._size, ranked, key=operator.itemgetter(0))
        return tuple(engine for _, engine in nearest)


class ViewBuilder:
    """Caches parsed resources and rebuilds only the fields that a change affects."""

    def __init__(self, node: str, domain: str, engines_per_model: int) -> None:
        """Starts with an empty view.

        Args:
            node: name of the instance, which decides its subset of engines.
            domain: the instance's failure domain.
            engines_per_model: largest size of the subset.
        """
        self._node = node
        self._domain = domain
        self._size = engines_per_model
        self._parsed: dict[str, dict[str, object]] = {}
        self._subsets: dict[str, Subset] = {}
        self._reset()

    def _reset(self) -> None:
        self._parsed = {kind: {} for kind in configuration.kinds()}
        self._subsets = {}
        self._view = View(
            engines_by_model={},
            adapters={},
            services={},
            tenants_by_key={},
            tenants={},
            leaving=frozenset(),
            loads={},
        )

    def update(
        self, resources: list[configuration.Resource], *, replace_all: bool
    ) -> None:
        """Applies changes in order or, if `replace_all`, replaces all resources."""
        if replace_all:
            self._reset()
        changed_kinds = set()
        for res in resources:
            self._apply(res)
            changed_kinds.add(res.kind)
        for kind in changed_kinds:
            _REBUILD.get(kind, _rebuild_nothing)(self)

    def _apply(self, res: configuration.Resource) -> None:
        value = None
        if res.value is not None:
            value = configuration.parse(res.kind, res.value)
        if res.kind == "engine":
            self._replace_engine(res.name, value)
        if value is None:
            self._parsed[res.kind].pop(res.name, None)
        else:
            self._parsed[res.kind][res.name] = value

    def _replace_engine(self, name: str, engine: configuration.Engine | None) -> None:
        old = self._parsed["engine"].get(name)
        for model in old.models if old is not None else ():
            self._subset(model).discard(name)
        if engine is None or engine.drain:
            return
        view = EngineView(
            name=name,
            domain=engine.domain,
            address=engine.address,
            role=engine.role,
            priority=engine.priority,
        )
        for model in engine.models:
            self._subset(model).put(view)

    def _subset(self, model: str) -> Subset:
        if model not in self._subsets:
            self._subsets[model] = Subset(self._node, self._domain, self._size)
        return self._subsets[model]

    def view(self, leaving: frozenset[str], loads: Mapping[str, LoadView]) -> View:
        """Returns the view, updated with the given state of the fleet."""
        self._view = attrs.evolve(self._view, leaving=leaving, loads=loads)
        return self._view

    def specs(self) -> dict[str, EngineSpec]:
        """Returns the configured state of each engine of this domain, by name."""
        engines = self._parsed["engine"].items()
        return {n: self._spec(e) for n, e in engines if e.domain == self._domain}

    def _spec(self, engine: configuration.Engine) -> EngineSpec:
        models = self._parsed["model"]
        adapters = self._parsed["adapter"].items()
        loads = [f"{m}@{models[m].version}" for m in engine.models if m in models]
        loads += [name for name, a in adapters if a.model in engine.models]
        return EngineSpec(
            address=engine.address, role=engine.role, loads=tuple(sorted(loads))
        )

    def _rebuild_engines(self) -> None:
        chosen = {m: self._subset(m).chosen() for m in self._parsed["model"]}
        self._view = attrs.evolve(self._view, engines_by_model=chosen)

    def _rebuild_adapters(self) -> None:
        adapters = {n: a.model for n, a in self._parsed["adapter"].items()}
        self._view = attrs.evolve(self._view, adapters=adapters)

    def _rebuild_services(self) -> None:
        services = dict(self._parsed["service"])
        self._view = attrs.evolve(self._view, services=services)

    def _rebuild_tenants(self) -> None:
        tenants = dict(self._parsed["tenant"])
        by_key = {key: n for n, t in tenants.items() for key in t.key_sha256}
        self._view = attrs.evolve(self._view, tenants=tenants, tenants_by_key=by_key)


def _rebuild_nothing(builder: ViewBuilder) -> None:
    """Leaves the view as it is: the kind doesn't affect routing."""


_REBUILD = {
    "model": ViewBuilder._rebuild_engines,
    "engine": ViewBuilder._rebuild_engines,
    "adapter": ViewBuilder._rebuild_adapters,
    "service": ViewBuilder._rebuild_services,
    "tenant": ViewBuilder._rebuild_tenants,
}
