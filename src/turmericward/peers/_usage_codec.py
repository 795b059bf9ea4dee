"""Encoding of usage in datagrams."""

from turmericward import metering
from turmericward.peers import _fields
from turmericward.wire.peers import ttypes

# Later times, and windows and counts beyond them, are malformed.
MAX_UNIX_MS = 2**43
MAX_WINDOW = 2**43
MAX_COUNT = 2**30


def encode(usage: metering.Usage | None) -> ttypes.Usage | None:
    """Returns the field of a datagram."""
    if usage is None:
        return None
    windows = [
        ttypes.WindowUsage(
            window=row.window,
            counts={name: _fields.int32(n) for name, n in row.counts.items()},
            domain=row.domain,
            total=_fields.int32(row.total),
        )
        for row in usage.windows
    ]
    return ttypes.Usage(unix_ms=int(usage.unix_s * 1000), windows=windows)


def decode(field: ttypes.Usage | None) -> metering.Usage | None:
    """Decodes the field of a datagram.

    Raises:
        MalformedStateError: a number is missing or out of range.
    """
    if field is None:
        return None
    _fields.require(field.unix_ms, field.windows)
    _check(field.unix_ms, MAX_UNIX_MS)
    windows = tuple(_decode_window(row) for row in field.windows)
    return metering.Usage(unix_s=field.unix_ms / 1000, windows=windows)


def _check(value: int, limit: int) -> None:
    if not 0 <= value <= limit:
        raise _fields.MalformedStateError(f"usage has {value}")


def _decode_window(row: ttypes.WindowUsage) -> metering.WindowUsage:
    _fields.require(row.window, row.counts)
    _check(row.window, MAX_WINDOW)
    _check(row.total or 0, MAX_COUNT)
    for name, count in row.counts.items():
        _check(count, MAX_COUNT)
        _check(len(name.encode()), _fields.MAX_NAME_BYTES)
    return metering.WindowUsage(
        window=row.window,
        counts=row.counts,
        domain=bool(row.domain),
        total=row.total or 0,
    )
