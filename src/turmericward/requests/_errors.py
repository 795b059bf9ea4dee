"""Errors of the requests aggregate."""


class RequestsError(Exception):
    """Base of this package's errors; never raised itself."""


class InvalidRequestError(RequestsError):
    """Raised when a request body doesn't match the API's schema."""
