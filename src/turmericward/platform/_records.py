"""Decodes records of the platform's store into the product's types."""

import functools
import re
from collections.abc import Callable

import attrs

from turmericward import fleet, httpd, routing, schema

# Clients abandon a stream after the longest of these without an event: a minimum, a
# multiple of the latency objective, a multiple of the bound between events.
MIN_ABANDON_S = 2.0
ABANDON_OBJECTIVE_FACTOR = 4
ABANDON_GAP_FACTOR = 8
# Clients reuse a connection until shortly before the idle limit, and follow the
# previous limit for a while after a change.
IDLE_TIMEOUT_FACTOR = 2.0
_KIND_BY_NAME = {
    "idempotent": routing.CallKind.IDEMPOTENT,
    "non_idempotent": routing.CallKind.NON_IDEMPOTENT,
    "streaming": routing.CallKind.STREAM,
}
_LEAVING_BY_STATE = {"in_service": False, "draining": True}
_ROLE_BY_STAGE = {
    "": None,
    "prefill": fleet.EngineRole.PREFILL,
    "decode": fleet.EngineRole.DECODE,
}
# Longest accepted records. Those of replicas are forwarded to peers in datagrams.
MAX_MANIFEST_BYTES = 4 * 1024 * 1024
MAX_REPLICA_BYTES = 16 * 1024
# Far beyond any real value, and still within the range of timers and binary formats.
MAX_DURATION_MS = 1e11
MAX_WEIGHT = 1e9
MAX_KV_TOKENS = 1e12
# Later versions or incarnations than this would be the last ones.
MAX_VERSION = 2**53
MAX_STARTED_MS = 10**14
MAX_REPLICAS = 1_000_000
MAX_PRICE = 1e9
MAX_BOOT_S = 86_400.0
_NAME_TEXT = re.compile(r"[!-~]{1,255}", re.ASCII)
_DURATION_MS = schema.validators.between(0, MAX_DURATION_MS)
_BOOT_S = schema.validators.between(0, MAX_BOOT_S)
_INT32 = schema.validators.between(
    -schema.validators.MAX_INT32, schema.validators.MAX_INT32
)
_BEYOND_LIMITS = (
    "configuration: is too long or too deep, has a number beyond 64 bits, a repeated"
    " name or text that can't be encoded"
)
ENGINE_STAGES = tuple(stage for stage in _ROLE_BY_STAGE if stage)


class RecordError(ValueError):
    """Raised when a record can't be decoded."""


@attrs.frozen(kw_only=True)
class _Split:
    service: str = attrs.field(validator=schema.validators.label)
    weight: float = attrs.field(validator=schema.validators.between(0, MAX_WEIGHT))


@attrs.frozen(kw_only=True)
class _Route:
    name: str = attrs.field(validator=schema.validators.label)
    host: str = attrs.field(validator=schema.validators.label)
    path_prefix: str
    kind: str = attrs.field(validator=schema.validators.one_of(*_KIND_BY_NAME))
    timeout_ms: float = attrs.field(validator=_DURATION_MS)
    objective_ms: float = attrs.field(default=0.0, validator=_DURATION_MS)
    gap_ms: float = attrs.field(default=0.0, validator=_DURATION_MS)
    priority: int = attrs.field(default=0, validator=_INT32)
    max_attempts: int = attrs.field(default=1, validator=_INT32)
    resumable: bool = False
    public: bool = False
    service: str = attrs.field(default="", validator=schema.validators.label)
    split: list[_Split] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class _Engine:
    kv_capacity_tokens: float = attrs.field(
        default=0.0, validator=schema.validators.between(0, MAX_KV_TOKENS)
    )


@attrs.frozen(kw_only=True)
class _Scaling:
    min: int = attrs.field(validator=schema.validators.between(0, MAX_REPLICAS))
    max: int = attrs.field(validator=schema.validators.between(0, MAX_REPLICAS))
    boot_s: float = attrs.field(default=0.0, validator=_BOOT_S)
    spot_price: float | None = attrs.field(
        default=None,
        validator=attrs.validators.optional(schema.validators.between(0, MAX_PRICE)),
    )
    domain_prices: dict[str, float] = attrs.field(
        factory=dict,
        validator=attrs.validators.deep_mapping(
            schema.validators.label, schema.validators.between(0, MAX_PRICE)
        ),
    )


@attrs.frozen(kw_only=True)
class _Service:
    name: str = attrs.field(validator=schema.validators.label)
    engine: _Engine = attrs.field(factory=_Engine)
    scaling: _Scaling | None = None


@attrs.frozen(kw_only=True)
class _Workspace:
    name: str = attrs.field(validator=schema.validators.label)
    api_keys: list[str] = attrs.field(factory=list)
    priority: int | None = attrs.field(
        default=None, validator=attrs.validators.optional(_INT32)
    )


@attrs.frozen(kw_only=True)
class _ClientLimits:
    max_header_bytes: int = attrs.field(validator=schema.validators.between(1, 2**31))
    max_body_bytes: int = attrs.field(validator=schema.validators.between(1, 2**31))
    header_timeout_ms: float = attrs.field(validator=_DURATION_MS)
    idle_timeout_ms: float = attrs.field(validator=_DURATION_MS)


@attrs.frozen(kw_only=True)
class _Manifest:
    version: int = attrs.field(validator=schema.validators.between(0, MAX_VERSION))
    routes: list[_Route]
    services: list[_Service]
    limits: _ClientLimits | None = None
    # Calls need no keys if the manifest has no such field.
    workspaces: list[_Workspace] | None = None


@attrs.frozen(kw_only=True)
class _ReplicaRecord:
    # Unix time in milliseconds at which the replica started.
    born: int = attrs.field(validator=schema.validators.between(0, MAX_STARTED_MS))
    service: str = attrs.field(validator=schema.validators.label)
    address: str = attrs.field(validator=schema.validators.ip_port)
    domain: str = attrs.field(validator=schema.validators.label)
    slots: int = attrs.field(validator=schema.validators.between(1, 1_000_000))
    state: str = attrs.field(validator=schema.validators.one_of(*_LEAVING_BY_STATE))
    # Empty for replicas that aren't engines.
    stage: str = attrs.field(
        default="", validator=schema.validators.one_of(*_ROLE_BY_STAGE)
    )
    spot: bool = False


def _decode(raw: bytes, cls: type, root: str, max_bytes: int, convert: Callable):
    try:
        return schema.decode(
            raw, cls, root, extra=True, max_bytes=max_bytes, convert=convert
        )
    except schema.SchemaError as exc:
        raise RecordError(str(exc)) from exc


def _destinations(route: _Route) -> tuple[routing.Destination, ...]:
    if route.split:
        if not any(s.weight for s in route.split):
            raise RecordError(f"route {route.name!r} has no weight above 0")
        return tuple(
            routing.Destination(service=s.service, weight=s.weight) for s in route.split
        )
    if not route.service:
        raise RecordError(f"route {route.name!r} names no service")
    return (routing.Destination(service=route.service),)


def _route(route: _Route) -> routing.Route:
    timeout_s = route.timeout_ms / 1000
    objective_s = route.objective_ms / 1000 or timeout_s
    gap_s = route.gap_ms / 1000
    return routing.Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        kind=_KIND_BY_NAME[route.kind],
        timeout_s=timeout_s,
        objective_s=objective_s,
        gap_s=gap_s,
        abandon_s=max(
            MIN_ABANDON_S,
            ABANDON_OBJECTIVE_FACTOR * objective_s,
            ABANDON_GAP_FACTOR * gap_s,
        ),
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        resumable=route.resumable,
        public=route.public,
        destinations=_destinations(route),
    )


def _client_limits(limits: _ClientLimits) -> httpd.ClientLimits:
    return httpd.ClientLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout_ms / 1000,
        idle_timeout_s=IDLE_TIMEOUT_FACTOR * limits.idle_timeout_ms / 1000,
    )


def routing_table(raw: bytes) -> routing.RoutingTable:
    """Decodes the operators' configuration into a routing table.

    Raises:
        RecordError: the record can't be used; names the field and the reason.
    """
    try:
        return _decode(raw, _Manifest, "configuration", MAX_MANIFEST_BYTES, _table)
    except RecordError as exc:
        if isinstance(exc.__cause__, schema.LimitError):
            # Its text quotes the value, which may be a key of a workspace.
            raise RecordError(_BEYOND_LIMITS) from None
        raise


def _table(manifest: _Manifest) -> routing.RoutingTable:
    services = [
        routing.ServiceTraits(
            name=s.name,
            kv_capacity_tokens=s.engine.kv_capacity_tokens,
            scaling=s.scaling and _scaling(s.scaling),
        )
        for s in manifest.services
    ]
    routes = [_route(route) for route in manifest.routes]
    limits = manifest.limits and _client_limits(manifest.limits)
    return routing.RoutingTable(
        manifest.version, routes, services, limits, _workspaces(manifest)
    )


def _scaling(scaling: _Scaling) -> routing.Scaling:
    return routing.Scaling(
        min_count=scaling.min,
        max_count=max(scaling.min, scaling.max),
        boot_s=scaling.boot_s,
        spot_price=scaling.spot_price,
        domain_prices=scaling.domain_prices,
    )


def _workspaces(manifest: _Manifest) -> routing.Workspaces | None:
    if manifest.workspaces is None:
        return None
    return routing.Workspaces.of_keys(
        (key, routing.Workspace(name=w.name, priority=w.priority))
        for w in manifest.workspaces
        for key in w.api_keys
    )


def is_name(key: str) -> bool:
    """Returns whether a key can name a replica, which it is sent to in a header."""
    return _NAME_TEXT.fullmatch(key) is not None


def target(name: str, raw: bytes) -> fleet.Target:
    """Decodes a replica's announcement into a target.

    Raises:
        RecordError: the record can't be used; names the field and the reason.
    """
    if not is_name(name):
        raise RecordError(schema.printable(f"{name[:40]!r} is no name of a replica"))
    convert = functools.partial(_target, name)
    return _decode(raw, _ReplicaRecord, name, MAX_REPLICA_BYTES, convert)


def _target(name: str, record: _ReplicaRecord) -> fleet.Target:
    return fleet.Target(
        name=name,
        service=record.service,
        address=record.address,
        domain=record.domain,
        slots=record.slots,
        role=_ROLE_BY_STAGE[record.stage],
        leaving=_LEAVING_BY_STATE[record.state],
        started_ms=record.born,
        spot=record.spot,
    )
