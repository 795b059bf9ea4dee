"""Errors raised by the adapters in place of socket and library errors."""


class AdapterError(Exception):
    """Base class of the errors of this package; not raised directly.

    `status` is the HTTP status that the target answered with, None without one.
    """

    def __init__(self, *args: object, status: int | None = None) -> None:
        """Creates the error with its message."""
        super().__init__(*args)
        self.status = status


class LogUnavailableError(AdapterError):
    """Raised if the log returned no usable response; an append may have succeeded."""


class UndecodableLogError(LogUnavailableError):
    """Raised if a whole response of the log is beyond the limits of the decoder."""


class OffsetExpiredError(AdapterError):
    """Raised if the log no longer holds the offset; `first` is the oldest it holds."""

    def __init__(self, first: int) -> None:
        """Creates the error with the oldest readable offset."""
        super().__init__(f"the oldest offset in the log is {first}")
        self.first = first


class EraEndedError(AdapterError):
    """Raised if the log has returned from an older copy since a position was read."""


class InstanceListUnavailableError(AdapterError):
    """Raised if the instance list service returned no usable response."""


class StewardUnavailableError(AdapterError):
    """Raised if a steward is unreachable or did not respond."""


class StewardNoResponseError(StewardUnavailableError):
    """Raised if a steward may have received the request but did not respond."""


class NotSentError(AdapterError):
    """Raised if the request cannot have reached the target."""


class ConnectTimeoutError(NotSentError):
    """Raised if the target neither accepted nor refused a connection in time."""


class NotExecutedError(AdapterError):
    """Raised if the target states that it has not and will not run the request."""


class TargetFailedError(AdapterError):
    """Raised if the target answered with a failure; it may have run the request."""


class AnswerLostError(AdapterError):
    """Raised if the request was sent, but no complete response was received."""


class ConnectionLostError(AnswerLostError):
    """Raised if the target closed the connection before its response was complete."""


class ForeignAnswerError(AdapterError):
    """Raised if a response belongs to another request."""


class AuthorityLapsedError(AdapterError):
    """Raised if the term of the authority ended before the order was sent."""


class CancelledError(AdapterError):
    """Raised if the client disconnected before the response was received."""


class RivalAnsweredError(AdapterError):
    """Raised if another attempt at the same call has got bytes before this one."""
