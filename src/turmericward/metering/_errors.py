"""Errors of metering."""


class MeteringError(Exception):
    """Base of this package's errors; never raised itself."""


class MalformedJournalError(MeteringError):
    """Raised when the journal of usage reports can't be decoded."""
