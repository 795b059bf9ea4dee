"""Encoding of the store's records between fronts; long values are compressed."""

import zlib

from turmericward import feeds, positions
from turmericward.peers import _fields
from turmericward.wire.peers import ttypes

# Record values are compressed from the first length on, and decompressed up to the
# second.
MIN_COMPRESSED_BYTES = 400
MAX_VALUE_BYTES = 1_000_000


def encode_batch(batch: feeds.RecordBatch) -> ttypes.TopicNews:
    """Returns the field of a datagram for a batch of records."""
    records = [_encode_record(record) for record in batch.records]
    return ttypes.TopicNews(
        topic=batch.topic.value,
        start=batch.start.offset,
        end=batch.end.offset,
        era=batch.end.era,
        age_ms=_fields.milliseconds(batch.age_s),
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
        raise _fields.MalformedStateError(f"record {row.offset} has no value")
    unpacker = zlib.decompressobj()
    value = unpacker.decompress(row.value, MAX_VALUE_BYTES)
    if not unpacker.eof:
        raise _fields.MalformedStateError(
            f"compressed value of record {row.offset} is truncated or too long"
        )
    return value or None


def decode_batch(row: ttypes.TopicNews) -> feeds.RecordBatch:
    """Returns the batch of records.

    Raises:
        MalformedStateError: it is invalid.
    """
    records = tuple(_decode_record(r) for r in row.records)
    # Builds that don't know eras send none: their batches are of the oldest.
    era = row.era or 0
    if era > positions.MAX_ERA:
        raise _fields.MalformedStateError(f"batch is of era {era}")
    return feeds.RecordBatch(
        topic=feeds.Topic(row.topic),
        start=positions.Position(era, row.start),
        end=positions.Position(era, row.end),
        age_s=row.age_ms / 1000,
        records=records,
        full=bool(row.whole),
    )


def _decode_record(row: ttypes.Record) -> feeds.Record:
    _fields.require(row.offset, row.key)
    if len(row.key.encode()) > _fields.MAX_NAME_BYTES:
        raise _fields.MalformedStateError(f"key of record {row.offset} is too long")
    return feeds.Record(offset=row.offset, key=row.key, value=_decode_value(row))
