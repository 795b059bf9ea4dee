"""Errors of event streams."""

from turmericward.adapters import errors


class EventOrderError(errors.AnswerLostError):
    """Raised when the events of an answer aren't in sequence."""
