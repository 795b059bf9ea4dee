"""An immutable picture of the configuration and of targets, for routing."""

import collections

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
    """An engine that may get work, with its latest load report, if any."""

    name: str
    domain: str
    address: str
    role: str
    priority: int
    load: LoadView | None = None


@attrs.frozen(kw_only=True)
class View:
    """What an entry routes by. Built anew from each change, never altered."""

    engines_by_model: dict[str, tuple[EngineView, ...]]
    adapters: dict[str, str]
    services: dict[str, configuration.Service]
    tenants_by_key: dict[str, str]
    tenants: dict[str, configuration.Tenant]
    leaving: frozenset[str]

    def models(self) -> list[str]:
        """Returns the names that callers may ask for."""
        return sorted({*self.engines_by_model, *self.adapters})


def _parsed(resources, kind: str) -> dict[str, object]:
    return {
        res.name: configuration.parse(kind, res.value)
        for res in resources
        if res.kind == kind
    }


def _engine_view(name: str, engine, load: LoadView | None) -> EngineView:
    return EngineView(
        name=name,
        domain=engine.domain,
        address=engine.address,
        role=load.role if load else engine.role,
        priority=engine.priority,
        load=load,
    )


def build_view(
    resources: list[configuration.Resource],
    leaving: frozenset[str],
    loads: dict[str, LoadView],
) -> View:
    """Builds the picture from resources, the instance list and load reports.

    Args:
        resources: all resources that exist.
        leaving: names of targets that the instance list shows as leaving.
        loads: latest report by engine name.

    .. versionadded:: 0.1.0
    """
    by_model = collections.defaultdict(list)
    declared = _parsed(resources, "model")
    for name, engine in _parsed(resources, "engine").items():
        if engine.drain or name in leaving:
            continue
        for model in engine.models:
            by_model[model].append(_engine_view(name, engine, loads.get(name)))
    tenants = _parsed(resources, "tenant")
    by_key = {key: n for n, t in tenants.items() for key in t.key_sha256}
    return View(
        engines_by_model={m: tuple(by_model[m]) for m in declared},
        adapters={n: a.model for n, a in _parsed(resources, "adapter").items()},
        services=_parsed(resources, "service"),
        tenants_by_key=by_key,
        tenants=tenants,
        leaving=leaving,
    )
