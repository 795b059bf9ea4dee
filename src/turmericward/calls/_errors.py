"""Errors of keyed calls and their log records."""


class CallsError(Exception):
    """Base class of this package's errors; never raised itself."""


class MalformedRecordError(CallsError):
    """Raised when a log record can't be decoded as a claim or its settlement."""
