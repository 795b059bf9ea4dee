"""Encoding of datagrams between fronts in thrift's compact protocol."""

from thrift import TSerialization
from thrift.protocol import TCompactProtocol

from turmericward import requests
from turmericward.peers import (
    _fields,
    _record_codec,
    _states,
    _usage_codec,
    _work_codec,
)
from turmericward.wire.peers import ttypes

# Bounds on the lengths that a datagram may declare; a longer one is malformed.
MAX_STRING_BYTES = 64_000
MAX_ITEMS = 20_000
# Encodes that a target has no limit.
NO_LIMIT = -1.0
# Bounds on decoded values; larger ones are malformed, as no front sends them. Sums
# and multiples of the first are finite.
MAX_RATE_PER_S = 1e300
MAX_FRONTS = 100_000
_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_STRING_BYTES, container_length_limit=MAX_ITEMS
)


def encode(state: _states.PeerState) -> bytes:
    """Returns the datagram of a state.

    Numbers beyond the range of their field are sent as the nearest one in it.
    """
    loads = [
        ttypes.TargetLoad(
            target=target,
            urgent_tokens=_fields.int32(load.urgent_tokens),
            deferred_tokens=_fields.int32(load.deferred_tokens),
            open_calls=_fields.int32(load.open_calls),
            ended_calls=_fields.int32(load.ended_calls),
            failed_calls=_fields.int32(load.failed_calls),
            prefill_ms=_encode_s(load.prefill_s),
            ordinary_prefill_ms=_encode_s(load.ordinary_prefill_s),
        )
        for target, load in state.loads.items()
    ]
    cache_entries = [
        ttypes.KeptPart(
            target=entry.target,
            part=entry.segment,
            tokens=_fields.int32(entry.tokens),
            own_tokens=_fields.int32(entry.own_tokens),
            ready=entry.ready,
        )
        for entry in state.cache_entries
    ]
    message = ttypes.FrontState(
        front=state.front,
        boot=state.boot,
        sequence=_fields.int32(state.sequence),
        loads=loads,
        kept=cache_entries,
        domain=state.domain,
        fronts=_fields.int32(state.fronts),
        listed=sorted(state.listed),
        leaving=[
            ttypes.LeavingTarget(
                target=leaving.target, started_ms=_fields.int64(leaving.started_ms)
            )
            for leaving in state.leaving
        ],
        limits=[_encode_limit(limit) for limit in state.limits],
        outcomes=_encode_outcomes(state, requests.EvidenceKind.SEGMENT),
        request_outcomes=_encode_outcomes(state, requests.EvidenceKind.REQUEST),
        capacity=_fields.int32(state.capacity),
        news=[_record_codec.encode_batch(batch) for batch in state.record_batches],
        partial=state.partial,
        asks=state.needs_full_batches,
        work=_work_codec.encode(state.work),
        held=[
            ttypes.HeldTarget(target=target, ttl_ms=_fields.milliseconds(ttl_s))
            for target, ttl_s in state.held.items()
        ],
        usage=_usage_codec.encode(state.usage),
    )
    return TSerialization.serialize(message, _FACTORY)


def _encode_s(seconds: float) -> int | None:
    """Returns milliseconds; nothing is sent for a target without such work."""
    return _fields.int64(int(seconds * 1000)) or None


def decode(data: bytes) -> _states.PeerState:
    """Decodes a datagram.

    Raises:
        _fields.MalformedStateError: it is truncated or invalid.
    """
    try:
        message = TSerialization.deserialize(ttypes.FrontState(), data, _FACTORY)
        _check(message)
        return _states.PeerState(
            front=message.front,
            boot=message.boot,
            sequence=message.sequence,
            loads={row.target: _decode_load(row) for row in message.loads},
            cache_entries=tuple(_decode_cache_entry(row) for row in message.kept),
            held={row.target: row.ttl_ms / 1000 for row in message.held},
            listed=frozenset(message.listed),
            leaving=frozenset(
                _states.LeavingTarget(target=row.target, started_ms=row.started_ms)
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
            record_batches=tuple(
                _record_codec.decode_batch(row) for row in message.news or ()
            ),
            partial=bool(message.partial),
            needs_full_batches=bool(message.asks),
            usage=_usage_codec.decode(message.usage),
            work=_work_codec.decode(message.work),
            domain=message.domain,
            fronts=message.fronts,
        )
    # The library raises exceptions of many types for malformed bytes.
    except Exception as exc:
        raise _fields.MalformedStateError(repr(exc)) from exc


def _check(message: ttypes.FrontState) -> None:
    """Raises an error if a field of a state is missing or out of range."""
    _fields.require(message.boot, message.sequence, message.domain)
    _fields.require(message.loads, message.kept, message.held, message.listed)
    for name in (message.front, message.domain):
        if len(name.encode()) > _fields.MAX_NAME_BYTES:
            raise _fields.MalformedStateError(f"a name has {len(name)} characters")
    if not message.front or not 1 <= message.fronts <= MAX_FRONTS:
        raise _fields.MalformedStateError(
            f"{message.front!r} sums {message.fronts} fronts"
        )


def _encode_limit(limit: _states.TargetLimit) -> ttypes.TargetLimit:
    return ttypes.TargetLimit(
        target=limit.target,
        started_ms=_fields.int64(limit.started_ms),
        per_s=NO_LIMIT if limit.per_s is None else limit.per_s,
        age_ms=_fields.milliseconds(limit.age_s),
    )


def _decode_limit(row: ttypes.TargetLimit) -> _states.TargetLimit:
    _fields.require(row.target, row.started_ms, row.age_ms)
    if not -MAX_RATE_PER_S <= row.per_s <= MAX_RATE_PER_S:
        raise _fields.MalformedStateError(
            f"limit of target {row.target} is {row.per_s}"
        )
    return _states.TargetLimit(
        target=row.target,
        started_ms=row.started_ms,
        per_s=None if row.per_s < 0 else row.per_s,
        age_s=max(0, row.age_ms) / 1000,
    )


def _encode_outcomes(
    state: _states.PeerState, kind: requests.EvidenceKind
) -> list[ttypes.SegmentOutcome]:
    return [_encode_outcome(row) for row in state.outcomes if row.kind is kind]


def _encode_outcome(outcome: requests.KeyOutcome) -> ttypes.SegmentOutcome:
    crashed = outcome.crashed
    return ttypes.SegmentOutcome(
        segment=outcome.key,
        answered=crashed is None,
        target=0 if crashed is None else crashed.target,
        started_ms=0 if crashed is None else _fields.int64(crashed.started_ms),
        age_ms=_fields.milliseconds(outcome.age_s),
    )


def _decode_outcomes(
    rows: list[ttypes.SegmentOutcome] | None, kind: requests.EvidenceKind
) -> list[requests.KeyOutcome]:
    return [_decode_outcome(row, kind) for row in rows or ()]


def _decode_outcome(
    row: ttypes.SegmentOutcome, kind: requests.EvidenceKind
) -> requests.KeyOutcome:
    _fields.require(row.segment, row.answered, row.target, row.started_ms)
    crashed = None
    if not row.answered:
        crashed = requests.Incarnation(row.target, row.started_ms)
    return requests.KeyOutcome(
        kind=kind, key=row.segment, crashed=crashed, age_s=max(0, row.age_ms) / 1000
    )


def _decode_load(row: ttypes.TargetLoad) -> requests.TargetLoad:
    _fields.require(row.target, row.urgent_tokens, row.deferred_tokens, row.open_calls)
    return requests.TargetLoad(
        urgent_tokens=max(0, row.urgent_tokens),
        deferred_tokens=max(0, row.deferred_tokens),
        open_calls=max(0, row.open_calls),
        ended_calls=max(0, row.ended_calls or 0),
        failed_calls=max(0, row.failed_calls or 0),
        prefill_s=max(0, row.prefill_ms or 0) / 1000,
        ordinary_prefill_s=max(0, row.ordinary_prefill_ms or 0) / 1000,
    )


def _decode_cache_entry(row: ttypes.KeptPart) -> requests.CacheEntry:
    _fields.require(row.target, row.part, row.ready)
    return requests.CacheEntry(
        target=row.target,
        segment=row.part,
        tokens=max(0, row.tokens),
        own_tokens=max(0, row.own_tokens),
        ready=row.ready,
    )
