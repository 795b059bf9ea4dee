"""Records of a domain's authority stream and their JSON form on the log."""

import attrs

from turmericward import positions, schema
from turmericward.authority import _errors

# A longer term would keep the lease from all others.
MAX_TERM_S = 600.0
_TERM_S = schema.validators.between(0, MAX_TERM_S)

KINDS = schema.RecordRegistry(_errors.MalformedRecordError)


@KINDS.register("lease.acquire")
@attrs.frozen(kw_only=True)
class Acquire:
    """Acquires the lease if the last accepted lease record is `expected`.

    `expected` is that record's offset plus one, 0 when there is none. Records
    below the offset `floor` have expired from the log, long after any term.
    Its fencing token is the number of the position behind it, in the era that the
    stream names up to there.
    """

    id: str
    holder: str
    expected: int
    term_s: float = attrs.field(validator=_TERM_S)
    floor: int = 0


@KINDS.register("lease.era")
@attrs.frozen(kw_only=True)
class Era:
    """Names the era of the log; what is after it was appended in that era or a later.

    Readers can't tell otherwise: a copy contains records of all eras before.
    """

    id: str
    era: int = attrs.field(validator=schema.validators.between(0, positions.MAX_ERA))


@KINDS.register("lease.renew")
@attrs.frozen(kw_only=True)
class Renew:
    """Restarts the term of the lease with this token.

    Here and in a release it is without its era, as builds without eras compare it. The
    holder is unique, so that no other lease is meant.
    """

    id: str
    holder: str
    token: int


@KINDS.register("lease.release")
@attrs.frozen(kw_only=True)
class Release:
    """Releases the lease with this token before its term ends."""

    id: str
    holder: str
    token: int


@KINDS.register("lease.on_demand.acquire")
@attrs.frozen(kw_only=True)
class OnDemandAcquire:
    """Acquires an on-demand lease, in an era of the log."""

    id: str
    holder: str
    era: int
    term_s: float = attrs.field(validator=_TERM_S)


@KINDS.register("lease.on_demand.renew")
@attrs.frozen(kw_only=True)
class OnDemandRenew:
    """Restarts the term of the on-demand lease with this token."""

    id: str
    holder: str
    era: int
    term_s: float = attrs.field(validator=_TERM_S)
    token: int


@KINDS.register("lease.on_demand.release")
@attrs.frozen(kw_only=True)
class OnDemandRelease:
    """Releases the on-demand lease with this token before its term ends."""

    id: str
    holder: str
    era: int
    token: int


@KINDS.register("order.intent")
@attrs.frozen(kw_only=True)
class Intent:
    """Records that the holder is about to order `engine` into a state."""

    id: str
    token: int
    engine: str
    role: str
    loads: list[str]


@KINDS.register("order.outcome")
@attrs.frozen(kw_only=True)
class OrderOutcome:
    """Records the outcome of the order `id`: `done` or `void`."""

    id: str
    token: int
    engine: str
    outcome: str


@attrs.frozen(kw_only=True)
class LeaseState:
    """The lease in a snapshot; the fields are those of `Lease`."""

    holder: str
    token: int
    term_s: float
    last: int


@KINDS.register("authority.snapshot")
@attrs.frozen(kw_only=True)
class Snapshot:
    """Lease and outstanding orders after folding every offset below `covers`."""

    id: str
    covers: int
    lease: LeaseState
    orders: list[Intent]


Record = (
    Acquire
    | Era
    | Renew
    | Release
    | OnDemandAcquire
    | OnDemandRenew
    | OnDemandRelease
    | Intent
    | OrderOutcome
    | Snapshot
)


encode = KINDS.encode
decode = KINDS.decode
