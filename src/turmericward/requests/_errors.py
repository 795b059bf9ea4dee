"""Errors of the requests aggregate."""


class RequestsError(Exception):
    """Base of this package's errors; never raised itself."""


class InvalidRequestError(RequestsError):
    """Raised when a caller's request breaks the interface's schema."""
