"""Settings of a front, in the layout of `deploy/settings.json`."""

import attrs

from turmericward import schema

PATH_VARIABLE = "TURMERICWARD_NODE_FILE"


@attrs.frozen(kw_only=True)
class InstanceSettings:
    """Identity of the instance that the process runs on."""

    name: str = attrs.field(
        validator=[schema.validators.not_empty, schema.validators.label]
    )
    domain: str = attrs.field(validator=schema.validators.label)
    address: str = attrs.field(validator=schema.validators.ip_literal)


@attrs.frozen(kw_only=True)
class ListenSettings:
    """Listening addresses of calls and readiness checks, ports of peers and metrics."""

    front: str = attrs.field(validator=schema.validators.ip_port)
    ready: str = attrs.field(validator=schema.validators.ip_port)
    peers: int = attrs.field(validator=schema.validators.between(1, 65535))
    metrics: int = attrs.field(validator=schema.validators.between(1, 65535))


@attrs.frozen(kw_only=True)
class StoreSettings:
    """The platform's store.

    A read waits `wait_s` for new records; `timeout_s` bounds each response beyond that.
    """

    address: str = attrs.field(validator=schema.validators.ip_port)
    wait_s: float = attrs.field(validator=schema.validators.between(0.1, 30.0))
    timeout_s: float = attrs.field(validator=schema.validators.between(0.1, 30.0))


@attrs.frozen(kw_only=True)
class LimitSettings:
    """Resources available to the process."""

    file_descriptors: int = attrs.field(
        validator=schema.validators.between(512, 10_000_000)
    )
    memory_mb: int = attrs.field(validator=schema.validators.between(32, 1_000_000))
    link_mbps: float = attrs.field(
        default=0.0, validator=schema.validators.between(0, 10_000_000)
    )
    cores: float = attrs.field(
        default=1.0, validator=schema.validators.between(0, 10_000)
    )
    core_share: float = attrs.field(
        default=1.0, validator=schema.validators.between(0, 10_000)
    )


@attrs.frozen(kw_only=True)
class BoundSettings:
    """Bounds that hold for all instances together.

    `drain_s` is the time between SIGTERM and the kill of a process.
    `order_gap_ms` is the minimum time between orders of two lease holders. After
    `leaving_ms` no front sends new calls to a leaving target, and after
    `configuration_ms` a new configuration is in force on all fronts.
    """

    drain_s: float = attrs.field(validator=schema.validators.between(0.5, 86_400))
    retry_share: float = attrs.field(validator=schema.validators.between(0, 1000))
    retry_slack: float = attrs.field(validator=schema.validators.between(0, 1e9))
    retry_window_s: float = attrs.field(validator=schema.validators.between(0, 86_400))
    order_gap_ms: float = attrs.field(
        validator=schema.validators.between(0, 86_400_000)
    )
    leaving_ms: float = attrs.field(
        default=2000.0, validator=schema.validators.between(100, 600_000)
    )
    configuration_ms: float = attrs.field(
        default=2000.0, validator=schema.validators.between(100, 600_000)
    )


@attrs.frozen(kw_only=True)
class DutySettings:
    """Calls to the platform's API that one front at a time makes.

    `kinds` names the duties, `calls_per_s` bounds the calls of all fronts together.
    Usage is reported for each window of `usage_window_s` of Unix time, at the latest
    `usage_due_s` after its end.
    """

    address: str = attrs.field(validator=schema.validators.ip_port)
    kinds: list[str] = attrs.field(factory=list)
    calls_per_s: float = attrs.field(
        default=1.0, validator=schema.validators.between(0, 1e6)
    )
    usage_window_s: float = attrs.field(
        default=5.0, validator=schema.validators.between(0.1, 86_400)
    )
    usage_due_s: float = attrs.field(
        default=10.0, validator=schema.validators.between(0, 86_400)
    )


@attrs.frozen(kw_only=True)
class TransferSettings:
    """What it costs a call to leave its failure domain.

    `delay_ms` is the delay of the link one way. The price of traffic is the extra wait
    that is tolerated to avoid it, for each call and for each MB.
    """

    delay_ms: float = attrs.field(
        default=1.4, validator=schema.validators.between(0, 10_000)
    )
    price_ms: float = attrs.field(
        default=5.0, validator=schema.validators.between(0, 60_000)
    )
    price_ms_per_mb: float = attrs.field(
        default=100.0, validator=schema.validators.between(0, 1e6)
    )


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of a front.

    It has no duties if `duties` is None; calls stay in their domain unless leaving
    pays only if there is `transfer`.
    """

    instance: InstanceSettings
    listen: ListenSettings
    store: StoreSettings
    limits: LimitSettings
    bounds: BoundSettings
    duties: DutySettings | None = None
    transfer: TransferSettings | None = None
