"""Datagrams between fronts: thrift's compact protocol."""

import math
import zlib
from collections.abc import Mapping

import attrs
from thrift import TSerialization
from thrift.protocol import TCompactProtocol

from turmericward import feeds, requests
from turmericward.wire.peers import ttypes

# Bounds on what a datagram may claim to hold; a longer claim is malformed.
MAX_STRING_BYTES = 64_000
MAX_ITEMS = 20_000
# Values of records from this length on are compressed, up to the other one.
MIN_COMPRESSED_BYTES = 400
MAX_VALUE_BYTES = 1_000_000
_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_STRING_BYTES, container_length_limit=MAX_ITEMS
)


class MalformedStateError(Exception):
    """Raised when a datagram can't be decoded."""


@attrs.frozen(kw_only=True)
class LeavingTarget:
    """A target's life, by the number of its name and its start, that leaves."""

    target: int
    started_ms: int


@attrs.frozen(kw_only=True)
class PeerState:
    """What a front tells: its loads by target, and prompts that targets keep.

    With `fronts` above 1 it is the sum of so many fronts' loads.
    `held` are targets that should get no new calls for so many seconds; `listed`
    ones have told what they keep, and `kept` has it or had it shortly before.
    `leaving` are lives of targets that said that they leave. `capacity` is what the
    front's instance can carry; `news` are what it read of the store's topics. Of a
    `partial` state the loads of targets that aren't named are as told before. A front
    that `asks` could not read the topics and wants to be told all of them.
    `sequence` orders the states of one `boot`, a number drawn at each start.
    """

    front: str
    boot: int
    sequence: int
    loads: dict[int, requests.TargetLoad]
    kept: tuple[requests.KeptNote, ...] = ()
    held: dict[int, float] = attrs.field(factory=dict)
    listed: frozenset[int] = frozenset()
    leaving: frozenset[LeavingTarget] = frozenset()
    domain: str = ""
    fronts: int = 1
    capacity: int = 0
    news: tuple[feeds.News, ...] = ()
    partial: bool = False
    asks: bool = False

    def without(self, loads: Mapping[int, requests.TargetLoad]) -> "PeerState":
        """Returns a sum without one front's part."""
        rest = {
            target: load.without(loads[target]) if target in loads else load
            for target, load in self.loads.items()
        }
        return attrs.evolve(self, loads=rest)


def encode(state: PeerState) -> bytes:
    """Returns the datagram of a state."""
    loads = [
        ttypes.TargetLoad(
            target=target,
            urgent_tokens=int(load.urgent_tokens),
            deferred_tokens=int(load.deferred_tokens),
            open_calls=load.open_calls,
            ended_calls=load.ended_calls,
            failed_calls=load.failed_calls,
        )
        for target, load in state.loads.items()
    ]
    kept = [
        ttypes.KeptPart(
            target=note.target,
            part=note.part,
            tokens=note.tokens,
            own_tokens=note.own_tokens,
            ready=note.ready,
        )
        for note in state.kept
    ]
    message = ttypes.FrontState(
        front=state.front,
        boot=state.boot,
        sequence=state.sequence,
        loads=loads,
        kept=kept,
        domain=state.domain,
        fronts=state.fronts,
        listed=sorted(state.listed),
        leaving=[
            ttypes.LeavingTarget(target=life.target, started_ms=life.started_ms)
            for life in state.leaving
        ],
        capacity=state.capacity,
        news=[_topic_news(news) for news in state.news],
        partial=state.partial,
        asks=state.asks,
        held=[
            ttypes.HeldTarget(target=target, ttl_ms=int(ttl_s * 1000))
            for target, ttl_s in state.held.items()
        ],
    )
    return TSerialization.serialize(message, _FACTORY)


def decode(data: bytes) -> PeerState:
    """Decodes a datagram.

    Raises:
        MalformedStateError: it is cut or of another form.
    """
    try:
        message = TSerialization.deserialize(ttypes.FrontState(), data, _FACTORY)
        return PeerState(
            front=message.front,
            boot=message.boot,
            sequence=message.sequence,
            loads={row.target: _load(row) for row in message.loads},
            kept=tuple(_note(row) for row in message.kept),
            held={row.target: row.ttl_ms / 1000 for row in message.held},
            listed=frozenset(message.listed),
            leaving=frozenset(
                LeavingTarget(target=row.target, started_ms=row.started_ms)
                for row in message.leaving or ()
            ),
            capacity=message.capacity or 0,
            news=tuple(_news(row) for row in message.news or ()),
            partial=bool(message.partial),
            asks=bool(message.asks),
            domain=message.domain,
            fronts=message.fronts,
        )
    # The library raises many kinds for bytes that aren't a message.
    except Exception as exc:
        raise MalformedStateError(repr(exc)) from exc


def _topic_news(news: feeds.News) -> ttypes.TopicNews:
    records = [_record(record) for record in news.records]
    return ttypes.TopicNews(
        topic=news.topic.value,
        start=news.start,
        end=news.end,
        age_ms=math.ceil(news.age_s * 1000),
        records=records,
        whole=news.whole,
    )


def _record(record: feeds.Record) -> ttypes.Record:
    value = record.value or b""
    compressed = len(value) >= MIN_COMPRESSED_BYTES
    if compressed:
        value = zlib.compress(value)
    return ttypes.Record(
        offset=record.offset, key=record.key, value=value, compressed=compressed
    )


def _value(row: ttypes.Record) -> bytes | None:
    if not row.compressed:
        return row.value or None
    unpacker = zlib.decompressobj()
    value = unpacker.decompress(row.value, MAX_VALUE_BYTES)
    if not unpacker.eof:
        raise MalformedStateError(f"record {row.offset} doesn't end")
    return value or None


def _news(row: ttypes.TopicNews) -> feeds.News:
    records = tuple(
        feeds.Record(offset=r.offset, key=r.key, value=_value(r)) for r in row.records
    )
    return feeds.News(
        topic=feeds.Topic(row.topic),
        start=row.start,
        end=row.end,
        age_s=row.age_ms / 1000,
        records=records,
        whole=bool(row.whole),
    )


def _load(row: ttypes.TargetLoad) -> requests.TargetLoad:
    return requests.TargetLoad(
        urgent_tokens=row.urgent_tokens,
        deferred_tokens=row.deferred_tokens,
        open_calls=row.open_calls,
        ended_calls=row.ended_calls or 0,
        failed_calls=row.failed_calls or 0,
    )


def _note(row: ttypes.KeptPart) -> requests.KeptNote:
    return requests.KeptNote(
        target=row.target,
        part=row.part,
        tokens=row.tokens,
        own_tokens=row.own_tokens,
        ready=row.ready,
    )
