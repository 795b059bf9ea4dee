"""Errors of the configuration aggregate."""


class ConfigurationError(Exception):
    """Base of this package's errors; never raised itself."""


class InvalidResourceError(ConfigurationError):
    """Raised when a resource's kind is unknown or its value violates the schema."""


class MalformedRecordError(ConfigurationError):
    """Raised when a log record can't be decoded as a configuration record."""
