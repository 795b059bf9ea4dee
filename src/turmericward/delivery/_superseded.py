"""Replacement of an attempt at a silent target by another one."""

from turmericward import requests, routing
from turmericward.adapters import errors


class SupersededError(errors.AdapterError):
    """Raised in the wait of an attempt that was ended in favour of the next one.

    The next one's placement is open then. It has either an `answer`, or a `failure`, or
    a `granted` placement to which nothing has been sent.
    """

    def __init__(
        self,
        *,
        answer: routing.Answer | None = None,
        failure: errors.AdapterError | None = None,
        granted: requests.Placement | None = None,
    ) -> None:
        """Creates the error with what came of the next attempt."""
        super().__init__("target was silent; another attempt has replaced it")
        self.answer = answer
        self.failure = failure
        self.granted = granted

    def outcome(self) -> routing.Answer:
        """Returns the answer of the next attempt.

        Raises:
            AdapterError: it failed.
        """
        if self.answer is None:
            raise self.failure
        return self.answer


def superseded_by(exc: errors.AdapterError) -> errors.AdapterError:
    """Returns the error for the first attempt when the second has replaced it."""
    return exc if isinstance(exc, SupersededError) else SupersededError(failure=exc)
