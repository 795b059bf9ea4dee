"""Errors of the entry, with the response sent to the client."""

import enum


class ExecutionState(enum.Enum):
    """Whether the failed call was certainly not executed, or may have been."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RequestError(Exception):
    """Raised to end a request with an error response.

    `retry_after_s` is None if the client should not retry.
    """

    def __init__(
        self,
        status: int,
        code: str,
        detail: str,
        *,
        outcome: ExecutionState = ExecutionState.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        """Creates the error with the fields of its response."""
        super().__init__(detail)
        self.status = status
        self.code = code
        self.detail = detail
        self.outcome = outcome
        self.retry_after_s = retry_after_s
