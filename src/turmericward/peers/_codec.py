"""Encoding of datagrams between fronts in thrift's compact protocol."""

import math
import zlib
from collections.abc import Mapping

import attrs
from thrift import TSerialization
from thrift.protocol import TCompactProtocol

from turmericward import feeds, positions, requests
from turmericward.wire.peers import ttypes

# Bounds on the lengths that a datagram may declare; a longer one is malformed.
MAX_STRING_BYTES = 64_000
MAX_ITEMS = 20_000
# Record values are compressed from the first length on, and decompressed up to the
# second.
MIN_COMPRESSED_BYTES = 400
MAX_VALUE_BYTES = 1_000_000
# Encodes that a target has no limit.
NO_LIMIT = -1.0
# Bounds on decoded values; larger ones are malformed, as no front sends them. Sums
# and multiples of the first are finite.
MAX_RATE_PER_S = 1e300
MAX_FRONTS = 100_000
MAX_NAME_BYTES = 1024
_MIN_INT32, _MAX_INT32 = -(2**31), 2**31 - 1
_MIN_INT64, _MAX_INT64 = -(2**63), 2**63 - 1
_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_STRING_BYTES, container_length_limit=MAX_ITEMS
)


class MalformedStateError(Exception):
    """Raised when a datagram can't be decoded."""


@attrs.frozen(kw_only=True)
class LeavingTarget:
    """An incarnation of a target that leaves: hash of its name, and its start time."""

    target: int
    started_ms: int


@attrs.frozen(kw_only=True)
class TargetLimit:
    """The rate limit that an incarnation of a target named `age_s` ago.

    `target` is the hash of its name; `per_s` counts requests a second from all fronts
    together, None without a limit.
    """

    target: int
    started_ms: int
    per_s: float | None
    age_s: float


@attrs.frozen(kw_only=True)
class PeerState:
    """State of a front, or the sum of several: loads and cached prefixes by target.

    With `fronts` above 1, `loads` is the sum over that many fronts.
    `held` are targets that should get no new calls for that many seconds; `listed`
    ones have reported their cache, whose entries are in `cache_entries` of this state
    or of a recent one. `leaving` are incarnations of targets that announced that they
    leave, `limits` the rates that others named, `outcomes` what became of calls that
    may crash targets. `capacity` is that of the front's
    instance; `record_batches` holds records of the store's topics. In a `partial`
    state, targets without a row keep the loads sent before; limits that aren't in a
    state are unchanged. A front that `needs_full_batches` could not read the topics.
    `sequence` orders the states of one `boot`, a random number chosen at each start.
    """

    front: str
    boot: int
    sequence: int
    loads: dict[int, requests.TargetLoad]
    cache_entries: tuple[requests.CacheEntry, ...] = ()
    held: dict[int, float] = attrs.field(factory=dict)
    listed: frozenset[int] = frozenset()
    leaving: frozenset[LeavingTarget] = frozenset()
    limits: tuple[TargetLimit, ...] = ()
    outcomes: tuple[requests.KeyOutcome, ...] = ()
    domain: str = ""
    fronts: int = 1
    capacity: int = 0
    record_batches: tuple[feeds.RecordBatch, ...] = ()
    partial: bool = False
    needs_full_batches: bool = False

    def without(self, loads: Mapping[int, requests.TargetLoad]) -> "PeerState":
        """Returns the state with one front's loads subtracted from the sum."""
        remaining = {
            target: load.without(loads[target]) if target in loads else load
            for target, load in self.loads.items()
        }
        return attrs.evolve(self, loads=remaining)


def _int32(value: float) -> int:
    """Returns the nearest whole number that a field of 32 bits holds."""
    return int(max(_MIN_INT32, min(_MAX_INT32, value)))


def _int64(value: int) -> int:
    return max(_MIN_INT64, min(_MAX_INT64, value))


def _milliseconds(seconds: float) -> int:
    return math.ceil(max(0.0, min(_MAX_INT32, seconds * 1000)))


def encode(state: PeerState) -> bytes:
    """Returns the datagram of a state.

    Numbers beyond the range of their field are sent as the nearest one in it.
    """
    loads = [
        ttypes.TargetLoad(
            target=target,
            urgent_tokens=_int32(load.urgent_tokens),
            deferred_tokens=_int32(load.deferred_tokens),
            open_calls=_int32(load.open_calls),
            ended_calls=_int32(load.ended_calls),
            failed_calls=_int32(load.failed_calls),
        )
        for target, load in state.loads.items()
    ]
    cache_entries = [
        ttypes.KeptPart(
            target=entry.target,
            part=entry.segment,
            tokens=_int32(entry.tokens),
            own_tokens=_int32(entry.own_tokens),
            ready=entry.ready,
        )
        for entry in state.cache_entries
    ]
    message = ttypes.FrontState(
        front=state.front,
        boot=state.boot,
        sequence=_int32(state.sequence),
        loads=loads,
        kept=cache_entries,
        domain=state.domain,
        fronts=_int32(state.fronts),
        listed=sorted(state.listed),
        leaving=[
            ttypes.LeavingTarget(
                target=leaving.target, started_ms=_int64(leaving.started_ms)
            )
            for leaving in state.leaving
        ],
        limits=[_encode_limit(limit) for limit in state.limits],
        outcomes=_encode_outcomes(state, requests.EvidenceKind.SEGMENT),
        request_outcomes=_encode_outcomes(state, requests.EvidenceKind.REQUEST),
        capacity=_int32(state.capacity),
        news=[_encode_batch(batch) for batch in state.record_batches],
        partial=state.partial,
        asks=state.needs_full_batches,
        held=[
            ttypes.HeldTarget(target=target, ttl_ms=_milliseconds(ttl_s))
            for target, ttl_s in state.held.items()
        ],
    )
    return TSerialization.serialize(message, _FACTORY)


def decode(data: bytes) -> PeerState:
    """Decodes a datagram.

    Raises:
        MalformedStateError: it is truncated or invalid.
    """
    try:
        message = TSerialization.deserialize(ttypes.FrontState(), data, _FACTORY)
        _check(message)
        return PeerState(
            front=message.front,
            boot=message.boot,
            sequence=message.sequence,
            loads={row.target: _decode_load(row) for row in message.loads},
            cache_entries=tuple(_decode_cache_entry(row) for row in message.kept),
            held={row.target: row.ttl_ms / 1000 for row in message.held},
            listed=frozenset(message.listed),
            leaving=frozenset(
                LeavingTarget(target=row.target, started_ms=row.started_ms)
                for row in message.leaving or ()
            ),
            limits=tuple(_decode_limit(row) for row in message.limits or ()),
            outcomes=(
                *_decode_outcomes(message.outcomes, requests.EvidenceKind.SEGMENT),
                *_decode_outcomes(
                    message.request_outcomes, requests.EvidenceKind.REQUEST
                ),
            ),
            capacity=message.capacity or 0,
            record_batches=tuple(_decode_batch(row) for row in message.news or ()),
            partial=bool(message.partial),
            needs_full_batches=bool(message.asks),
            domain=message.domain,
            fronts=message.fronts,
        )
    # The library raises exceptions of many types for malformed bytes.
    except Exception as exc:
        raise MalformedStateError(repr(exc)) from exc


def _require(*values: object) -> None:
    """Raises an error if a field is missing; the library checks the types."""
    if None in values:
        raise MalformedStateError("a field is missing")


def _check(message: ttypes.FrontState) -> None:
    """Raises an error if a field of a state is missing or out of range."""
    _require(message.boot, message.sequence, message.domain)
    _require(message.loads, message.kept, message.held, message.listed)
    for name in (message.front, message.domain):
        if len(name.encode()) > MAX_NAME_BYTES:
            raise MalformedStateError(f"a name has {len(name)} characters")
    if not message.front or not 1 <= message.fronts <= MAX_FRONTS:
        raise MalformedStateError(f"{message.front!r} sums {message.fronts} fronts")


def _encode_limit(limit: TargetLimit) -> ttypes.TargetLimit:
    return ttypes.TargetLimit(
        target=limit.target,
        started_ms=_int64(limit.started_ms),
        per_s=NO_LIMIT if limit.per_s is None else limit.per_s,
        age_ms=_milliseconds(limit.age_s),
    )


def _decode_limit(row: ttypes.TargetLimit) -> TargetLimit:
    _require(row.target, row.started_ms, row.age_ms)
    if not -MAX_RATE_PER_S <= row.per_s <= MAX_RATE_PER_S:
        raise MalformedStateError(f"limit of target {row.target} is {row.per_s}")
    return TargetLimit(
        target=row.target,
        started_ms=row.started_ms,
        per_s=None if row.per_s < 0 else row.per_s,
        age_s=max(0, row.age_ms) / 1000,
    )


def _encode_outcomes(
    state: PeerState, kind: requests.EvidenceKind
) -> list[ttypes.SegmentOutcome]:
    return [_encode_outcome(row) for row in state.outcomes if row.kind is kind]


def _encode_outcome(outcome: requests.KeyOutcome) -> ttypes.SegmentOutcome:
    crashed = outcome.crashed
    return ttypes.SegmentOutcome(
        segment=outcome.key,
        answered=crashed is None,
        target=0 if crashed is None else crashed.target,
        started_ms=0 if crashed is None else _int64(crashed.started_ms),
        age_ms=_milliseconds(outcome.age_s),
    )


def _decode_outcomes(
    rows: list[ttypes.SegmentOutcome] | None, kind: requests.EvidenceKind
) -> list[requests.KeyOutcome]:
    return [_decode_outcome(row, kind) for row in rows or ()]


def _decode_outcome(
    row: ttypes.SegmentOutcome, kind: requests.EvidenceKind
) -> requests.KeyOutcome:
    _require(row.segment, row.answered, row.target, row.started_ms)
    crashed = None
    if not row.answered:
        crashed = requests.Incarnation(row.target, row.started_ms)
    return requests.KeyOutcome(
        kind=kind, key=row.segment, crashed=crashed, age_s=max(0, row.age_ms) / 1000
    )


def _encode_batch(batch: feeds.RecordBatch) -> ttypes.TopicNews:
    records = [_encode_record(record) for record in batch.records]
    return ttypes.TopicNews(
        topic=batch.topic.value,
        start=batch.start.offset,
        end=batch.end.offset,
        era=batch.end.era,
        age_ms=_milliseconds(batch.age_s),
        records=records,
        whole=batch.full,
    )


def _encode_record(record: feeds.Record) -> ttypes.Record:
    value = record.value or b""
    compressed = len(value) >= MIN_COMPRESSED_BYTES
    if compressed:
        value = zlib.compress(value)
    return ttypes.Record(
        offset=record.offset, key=record.key, value=value, compressed=compressed
    )


def _decode_value(row: ttypes.Record) -> bytes | None:
    if not row.compressed:
        return row.value or None
    if row.value is None:
        raise MalformedStateError(f"record {row.offset} has no value")
    unpacker = zlib.decompressobj()
    value = unpacker.decompress(row.value, MAX_VALUE_BYTES)
    if not unpacker.eof:
        raise MalformedStateError(
            f"compressed value of record {row.offset} is truncated or too long"
        )
    return value or None


def _decode_batch(row: ttypes.TopicNews) -> feeds.RecordBatch:
    records = tuple(_decode_record(r) for r in row.records)
    # Builds that don't know eras send none: their batches are of the oldest.
    era = row.era or 0
    if era > positions.MAX_ERA:
        raise MalformedStateError(f"batch is of era {era}")
    return feeds.RecordBatch(
        topic=feeds.Topic(row.topic),
        start=positions.Position(era, row.start),
        end=positions.Position(era, row.end),
        age_s=row.age_ms / 1000,
        records=records,
        full=bool(row.whole),
    )


def _decode_record(row: ttypes.Record) -> feeds.Record:
    _require(row.offset, row.key)
    if len(row.key.encode()) > MAX_NAME_BYTES:
        raise MalformedStateError(f"key of record {row.offset} is too long")
    return feeds.Record(offset=row.offset, key=row.key, value=_decode_value(row))


def _decode_load(row: ttypes.TargetLoad) -> requests.TargetLoad:
    _require(row.target, row.urgent_tokens, row.deferred_tokens, row.open_calls)
    return requests.TargetLoad(
        urgent_tokens=max(0, row.urgent_tokens),
        deferred_tokens=max(0, row.deferred_tokens),
        open_calls=max(0, row.open_calls),
        ended_calls=max(0, row.ended_calls or 0),
        failed_calls=max(0, row.failed_calls or 0),
    )


def _decode_cache_entry(row: ttypes.KeptPart) -> requests.CacheEntry:
    _require(row.target, row.part, row.ready)
    return requests.CacheEntry(
        target=row.target,
        segment=row.part,
        tokens=max(0, row.tokens),
        own_tokens=max(0, row.own_tokens),
        ready=row.ready,
    )
