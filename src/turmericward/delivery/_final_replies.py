"""Replies to calls that got no answer, and the record of each call's end."""

from turmericward import routing
from turmericward.delivery import _parts

CLIENT_CLOSED_REQUEST = 499


class FinalReplies:
    """Logs, counts and builds the final reply of one call."""

    def __init__(self, parts: _parts.CallParts) -> None:
        """Creates it on the parts of the call's delivery."""
        self._parts = parts

    def record(self, outcome: str, status: int) -> None:
        """Records the end of the call."""
        progress = self._parts.progress
        self._parts.ctx.open_calls.discard(self._parts.record)
        self._parts.record.record_reply(
            outcome,
            status,
            progress.reason,
            progress.stop_reason,
            progress.arrivals,
            self._parts.target,
        )

    def client_gone(self) -> routing.Reply:
        """Returns the reply to a client that has left."""
        self.record("client_gone", CLIENT_CLOSED_REQUEST)
        failure = routing.Failure(
            status=CLIENT_CLOSED_REQUEST, reason="cancelled", may_have_run=True
        )
        return routing.Reply(status=failure.status, failure=failure)

    def abandoned(self) -> routing.Reply:
        """Returns a target's failure, or else why no further attempt is made."""
        fallback = self._parts.progress.fallback
        if fallback is not None:
            self.record("answered", fallback.status)
            return fallback
        failure = self._parts.failure()
        outcome = "outcome_unknown" if failure.may_have_run else "refused"
        self.record(outcome, failure.status)
        return routing.Reply(status=failure.status, failure=failure)
