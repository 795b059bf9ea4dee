"""Schema of the settings file as attrs classes."""

import attrs

from turmericward.schema import validators

_SECONDS = validators.between(0.01, 86400)
_COUNT = validators.between(1, 100000)
MIN_UNRESERVED_THREADS = 4
_PORT = validators.between(1, validators.MAX_PORT)


@attrs.frozen(kw_only=True)
class Instance:
    """Identity of this instance, as in the platform's instance list."""

    name: str = attrs.field(validator=validators.name)
    domain: str = attrs.field(validator=validators.name)
    address: str = attrs.field(validator=validators.ip_literal)


@attrs.frozen(kw_only=True)
class Log:
    """The platform's append-only log service."""

    address: str = attrs.field(validator=validators.ip_port)
    timeout_s: float = attrs.field(default=2.0, validator=_SECONDS)
    poll_wait_s: float = attrs.field(default=1.0, validator=_SECONDS)
    append_interval_s: float = attrs.field(
        default=0.02, validator=validators.between(0, 10)
    )
    snapshot_every: int = attrs.field(default=2000, validator=_COUNT)


@attrs.frozen(kw_only=True)
class InstanceList:
    """The platform's list of live and leaving instances."""

    address: str = attrs.field(validator=validators.ip_port)
    poll_s: float = attrs.field(default=0.5, validator=_SECONDS)
    timeout_s: float = attrs.field(default=1.0, validator=_SECONDS)


@attrs.frozen(kw_only=True)
class ClassBounds:
    """Time bounds of one traffic class in seconds.

    `deadline_s` bounds the whole response, `idle_s` the time between two tokens.
    """

    first_token_s: float = attrs.field(validator=_SECONDS)
    deadline_s: float = attrs.field(validator=_SECONDS)
    idle_s: float = attrs.field(default=10.0, validator=_SECONDS)


def _default_classes() -> dict[str, ClassBounds]:
    return {
        "urgent": ClassBounds(first_token_s=0.77, deadline_s=30.0),
        "standard": ClassBounds(first_token_s=3.0, deadline_s=120.0),
        "patient": ClassBounds(first_token_s=60.0, deadline_s=900.0),
    }


@attrs.frozen(kw_only=True)
class Entry:
    """The entry processes of this instance; process N listens on `ports[N]`.

    `drain_s` is the time between SIGTERM and the kill of a process.
    """

    ports: list[int] = attrs.field(
        validator=[
            validators.not_empty,
            attrs.validators.deep_iterable(_PORT),
        ]
    )
    threads: int = attrs.field(default=64, validator=validators.between(5, 2000))
    urgent_reserve: int = attrs.field(default=8, validator=validators.between(1, 1000))
    balancer_lag_s: float = attrs.field(
        default=2.0, validator=validators.between(0, 300)
    )
    drain_s: float = attrs.field(
        default=930.0, validator=validators.between(0.5, 86400)
    )
    max_body_bytes: int = attrs.field(
        default=8 * 1024 * 1024, validator=validators.between(1024, 1 << 30)
    )
    engines_per_model: int = attrs.field(
        default=32, validator=validators.between(1, 1024)
    )
    classes: dict[str, ClassBounds] = attrs.field(factory=_default_classes)

    def __attrs_post_init__(self) -> None:
        """Validates combinations of settings.

        Raises:
            ValueError: the reserve leaves too few threads for other classes.
        """
        if self.urgent_reserve + MIN_UNRESERVED_THREADS > self.threads:
            msg = f"urgent_reserve leaves fewer than {MIN_UNRESERVED_THREADS} threads"
            raise ValueError(msg)


@attrs.frozen(kw_only=True)
class Steward:
    """The steward of this instance and the timing of its lease."""

    port: int = attrs.field(validator=_PORT)
    term_s: float = attrs.field(default=5.0, validator=validators.between(0.2, 600))
    margin_s: float = attrs.field(default=1.0, validator=validators.between(0.05, 60))
    renew_s: float = attrs.field(default=1.5, validator=_SECONDS)
    order_timeout_s: float = attrs.field(default=2.0, validator=_SECONDS)
    hold_ttl_s: float = attrs.field(default=6.0, validator=validators.between(0.5, 600))
    load_poll_s: float = attrs.field(default=0.5, validator=_SECONDS)
    claim_timeout_s: float = attrs.field(default=2.0, validator=_SECONDS)
    seeds: list[str] = attrs.field(
        factory=list, validator=attrs.validators.deep_iterable(validators.ip_port)
    )

    def __attrs_post_init__(self) -> None:
        """Validates combinations of settings.

        Raises:
            ValueError: a renewal might come after the lease has expired.
        """
        if self.renew_s * 2 > self.term_s:
            raise ValueError("renew_s is more than half of term_s")


@attrs.frozen(kw_only=True)
class Operator:
    """An operator and the SHA-256 digest of its key."""

    name: str = attrs.field(validator=validators.name)
    key_sha256: str = attrs.field(validator=validators.sha256_hex, repr=False)


@attrs.frozen(kw_only=True)
class Statsd:
    """UDP destination of statsd metrics."""

    address: str = attrs.field(validator=validators.ip_port)
    prefix: str = "turmericward"


@attrs.frozen(kw_only=True)
class Settings:
    """The settings file of one instance, read by all of its programs."""

    instance: Instance
    log: Log
    instance_list: InstanceList
    entry: Entry
    steward: Steward
    operators: list[Operator]
    statsd: Statsd | None = None
    log_level: str = attrs.field(
        default="info",
        validator=validators.one_of("debug", "info", "warning", "error"),
    )

    def entry_names(self) -> frozenset[str]:
        """Returns the names of the entry processes of this instance."""
        count = len(self.entry.ports)
        return frozenset(f"{self.instance.name}-{n}" for n in range(count))
