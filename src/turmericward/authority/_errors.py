"""Errors of the authority aggregate."""


class AuthorityError(Exception):
    """Base of this package's errors; never raised itself."""


class MalformedRecordError(AuthorityError):
    """Raised when a log record can't be decoded as an authority record."""
