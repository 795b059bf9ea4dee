"""Errors of the calls aggregate."""


class CallsError(Exception):
    """Base of this package's errors; never raised itself."""


class MalformedRecordError(CallsError):
    """Raised when a log record can't be decoded as a claim or its settlement."""
