"""Records of a domain's authority stream and their JSON form on the log."""

import attrs

from turmericward import schema
from turmericward.authority import _errors

_TYPES: dict[str, type] = {}


def _record(tag: str):
    def register(cls: type) -> type:
        _TYPES[tag] = cls
        cls.TAG = tag
        return cls

    return register


@_record("lease.acquire")
@attrs.frozen(kw_only=True, slots=False)
class Acquire:
    """Takes the lease if the last accepted lease record is `expected`.

    `expected` is that record's offset plus one, 0 when there is none. Records
    below the offset `floor` have expired from the log, long after any term.
    The offset of an accepted acquire plus one is the fencing token.
    """

    id: str
    holder: str
    expected: int
    term_s: float
    floor: int = 0


@_record("lease.renew")
@attrs.frozen(kw_only=True, slots=False)
class Renew:
    """Starts the term of the lease with this token anew."""

    id: str
    holder: str
    token: int


@_record("lease.release")
@attrs.frozen(kw_only=True, slots=False)
class Release:
    """Gives the lease with this token up before its term ends."""

    id: str
    holder: str
    token: int


@_record("order.intent")
@attrs.frozen(kw_only=True, slots=False)
class Intent:
    """States that the holder is about to order `engine` into a state."""

    id: str
    token: int
    engine: str
    role: str
    loads: list[str]


@_record("order.outcome")
@attrs.frozen(kw_only=True, slots=False)
class OrderOutcome:
    """States how the order `id` ended: `done` or `void`."""

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


@_record("authority.snapshot")
@attrs.frozen(kw_only=True, slots=False)
class Snapshot:
    """Lease and outstanding orders after folding every offset below `covers`."""

    id: str
    covers: int
    lease: LeaseState
    orders: list[Intent]


Record = Acquire | Renew | Release | Intent | OrderOutcome | Snapshot


def encode(record: Record) -> dict:
    """Returns the record as a JSON object."""
    return {"type": record.TAG} | attrs.asdict(record)


def decode(raw: object) -> Record:
    """Decodes a JSON object from an authority stream.

    Raises:
        MalformedRecordError: the object has another form.
    """
    cls = _TYPES.get(raw.get("type")) if isinstance(raw, dict) else None
    if cls is None:
        raise _errors.MalformedRecordError("record has no known type")
    fields = {k: v for k, v in raw.items() if k != "type"}
    try:
        return schema.structure(fields, cls, "record")
    except schema.SchemaError as exc:
        raise _errors.MalformedRecordError(str(exc)) from exc
