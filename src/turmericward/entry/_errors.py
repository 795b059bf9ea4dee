"""Errors of the entry, each with the answer that a caller gets."""

import enum


class RanState(enum.Enum):
    """What a refusal says about the call: surely not run, or unknown."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RequestFaultError(Exception):
    """Raised when a request ends with an error answer.

    `retry_after_s` is None where a retry makes no sense.
    """

    def __init__(
        self,
        status: int,
        code: str,
        detail: str,
        *,
        outcome: RanState = RanState.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        """Creates the error with the parts of its answer."""
        super().__init__(detail)
        self.status = status
        self.code = code
        self.detail = detail
        self.outcome = outcome
        self.retry_after_s = retry_after_s
