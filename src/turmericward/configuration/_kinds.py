"""Resource kinds and their schemas, registered by the decorator `kind`."""

import fnmatch

import attrs

from turmericward import schema
from turmericward.configuration import _errors
from turmericward.schema import validators

ROLES = ("mixed", "prefill", "decode")
TRAFFIC_CLASSES = ("urgent", "standard", "patient")
MAX_PRIORITY = 100

_KINDS: dict[str, type] = {}


def kind(name: str):
    """Returns a decorator that registers an attrs class as the kind `name`."""

    def register(cls: type) -> type:
        _KINDS[name] = cls
        return cls

    return register


@kind("model")
@attrs.frozen(kw_only=True)
class Model:
    """A model by the name that callers use; `version` is the one in service."""

    version: str = ""
    description: str = ""


@kind("version")
@attrs.frozen(kw_only=True)
class Version:
    """A version of a model: where its weights are in the weight store."""

    model: str = attrs.field(validator=validators.name)
    weights: str
    context_tokens: int = attrs.field(
        default=32768, validator=validators.between(1, 1 << 24)
    )


@kind("adapter")
@attrs.frozen(kw_only=True)
class Adapter:
    """An adapter of a model; callers request it by name like a model."""

    model: str = attrs.field(validator=validators.name)
    weights: str


@kind("engine")
@attrs.frozen(kw_only=True)
class Engine:
    """A model engine: its address, the models it serves and its role."""

    domain: str = attrs.field(validator=validators.name)
    address: str = attrs.field(validator=validators.ip_port)
    models: list[str]
    role: str = attrs.field(default="mixed", validator=validators.one_of(*ROLES))
    priority: int = attrs.field(
        default=0, validator=validators.between(0, MAX_PRIORITY)
    )
    drain: bool = False
    checks_fencing: bool = False


@attrs.frozen(kw_only=True)
class ServiceTarget:
    """One replica of a plain service."""

    name: str = attrs.field(validator=validators.name)
    domain: str = attrs.field(validator=validators.name)
    address: str = attrs.field(validator=validators.ip_port)


@kind("service")
@attrs.frozen(kw_only=True)
class Service:
    """A plain service; calls matching no `idempotent` pattern run at most once.

    A pattern is a method, a space and a path with shell wildcards.
    """

    targets: list[ServiceTarget]
    idempotent: list[str] = attrs.field(factory=list)
    timeout_s: float = attrs.field(
        default=10.0, validator=validators.between(0.01, 3600)
    )

    def is_idempotent(self, method: str, path: str) -> bool:
        """Returns whether a call with this method and path may be repeated."""
        call = f"{method} {path}"
        return any(fnmatch.fnmatchcase(call, p) for p in self.idempotent)


@kind("tenant")
@attrs.frozen(kw_only=True)
class Tenant:
    """A tenant, the SHA-256 digests of its keys and its default class."""

    key_sha256: list[str] = attrs.field(
        repr=False,
        validator=attrs.validators.deep_iterable(validators.sha256_hex),
    )
    default_class: str = attrs.field(
        default="standard", validator=validators.one_of(*TRAFFIC_CLASSES)
    )
    max_in_flight: int = attrs.field(
        default=1000, validator=validators.between(1, 1000000)
    )


def kinds() -> tuple[str, ...]:
    """Returns the names of all kinds in the order of registration."""
    return tuple(_KINDS)


def parse(kind_name: str, value: object):
    """Parses a resource's value by the schema of its kind.

    Args:
        kind_name: name of a registered kind.
        value: the decoded JSON value.

    Returns:
        An instance of the attrs class that is registered for the kind.

    Raises:
        InvalidResourceError: the kind is unknown or the value violates its schema.

    .. versionadded:: 0.1.0
    """
    cls = _KINDS.get(kind_name)
    if cls is None:
        raise _errors.InvalidResourceError(f"kind {kind_name!r} does not exist")
    try:
        return schema.structure(value, cls, kind_name)
    except schema.SchemaError as exc:
        raise _errors.InvalidResourceError(str(exc)) from exc
