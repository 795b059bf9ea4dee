"""Errors of the delivery engine."""


class DeliveryError(Exception):
    """Base of this package's errors; never raised itself."""


class NoRouteError(DeliveryError):
    """Raised when the configuration in force has no route for a call."""


class NotConfiguredError(DeliveryError):
    """Raised when no configuration is known yet."""


class StreamBrokenError(DeliveryError):
    """Raised in the middle of a reply that can't be completed."""

    def __init__(self, failure) -> None:
        """Creates the error with the `Failure` that the client may be told."""
        super().__init__(f"{failure.status} {failure.reason}")
        self.failure = failure
