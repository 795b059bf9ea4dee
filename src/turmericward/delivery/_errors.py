"""Errors of call delivery."""

from turmericward.adapters import errors


class DeliveryError(Exception):
    """Base class of this package's errors; never raised directly."""


class NoRouteError(DeliveryError):
    """Raised when the configuration in force has no route for a call."""


class NotConfiguredError(DeliveryError):
    """Raised when no configuration has been loaded yet."""


class EventOrderError(DeliveryError, errors.AnswerLostError):
    """Raised when the events of an answer aren't in sequence."""


class StreamBrokenError(DeliveryError):
    """Raised while a reply is streamed that can't be completed."""

    def __init__(self, failure) -> None:
        """Creates the error with the `Failure` to report to the client."""
        super().__init__(f"{failure.status} {failure.reason}")
        self.failure = failure
