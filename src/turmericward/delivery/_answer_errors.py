"""Errors for answers that can't be the reply to their call."""

from turmericward import routing
from turmericward.adapters import errors


def error_of(answer: routing.Answer) -> errors.AdapterError:
    """Returns the error that an attempt with this answer ends with."""
    if answer.outcome is routing.Outcome.NOT_RUN:
        return errors.NotExecutedError(f"status {answer.status}", status=answer.status)
    if answer.outcome is routing.Outcome.FOREIGN:
        return errors.ForeignAnswerError(
            f"status {answer.status} was not sent by the target", status=answer.status
        )
    return errors.TargetFailedError(f"status {answer.status}", status=answer.status)
