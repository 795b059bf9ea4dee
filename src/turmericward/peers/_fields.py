"""Fields of datagrams: their ranges, and the error for those that are missing."""

import math

# Longer names and keys are malformed.
MAX_NAME_BYTES = 1024
_MIN_INT32, _MAX_INT32 = -(2**31), 2**31 - 1
_MIN_INT64, _MAX_INT64 = -(2**63), 2**63 - 1


class MalformedStateError(Exception):
    """Raised when a datagram can't be decoded."""


def require(*values: object) -> None:
    """Does nothing if no field is missing; the library checks the types.

    Raises:
        MalformedStateError: one is.
    """
    if None in values:
        raise MalformedStateError("a field is missing")


def int32(value: float) -> int:
    """Returns the nearest whole number that a field of 32 bits holds."""
    return int(max(_MIN_INT32, min(_MAX_INT32, value)))


def int64(value: int) -> int:
    """Returns the nearest number that a field of 64 bits holds."""
    return max(_MIN_INT64, min(_MAX_INT64, value))


def milliseconds(seconds: float) -> int:
    """Returns a duration, rounded up, as a field of 32 bits holds it."""
    return math.ceil(max(0.0, min(_MAX_INT32, seconds * 1000)))
