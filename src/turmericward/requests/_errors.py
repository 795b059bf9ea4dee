"""Errors of the requests package."""


class RequestsError(Exception):
    """Base of this package's errors; never raised directly."""


class InvalidRequestError(RequestsError):
    """Raised when a request body doesn't match the API's schema."""
