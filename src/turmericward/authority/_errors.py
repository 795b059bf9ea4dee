"""Errors of the authority aggregate."""


class AuthorityError(Exception):
    """Base of this package's errors; never raised itself."""


class NoTokenError(AuthorityError):
    """Raised when a position in the log is too high for a fencing token."""


class MalformedRecordError(AuthorityError):
    """Raised when a log record can't be decoded as an authority record."""
