"""Errors of call delivery."""


class DeliveryError(Exception):
    """Base class of this package's errors; never raised directly."""


class StreamBrokenError(DeliveryError):
    """Raised while a reply is streamed that can't be completed."""

    def __init__(self, failure) -> None:
        """Creates the error with the `Failure` to report to the client."""
        super().__init__(f"{failure.status} {failure.reason}")
        self.failure = failure
