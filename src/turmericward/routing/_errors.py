"""Errors of routing."""


class RoutingError(Exception):
    """Base class of this package's errors; never raised directly."""


class NoRouteError(RoutingError):
    """Raised when the configuration in force has no route for a call."""


class NotConfiguredError(RoutingError):
    """Raised when no configuration has been loaded yet."""


class UnknownKeyError(RoutingError):
    """Raised when a call needs a key and no workspace holds the one that it has."""


class StaleConfigurationError(RoutingError):
    """Raised when a key is unknown and the configuration in force may be old."""
