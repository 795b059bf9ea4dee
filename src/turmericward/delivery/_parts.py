"""What the parts of one call's delivery share."""

import time

import attrs

from turmericward import fleet, routing, runtime
from turmericward.adapters import errors
from turmericward.delivery import (
    _asking,
    _context,
    _early_end,
    _open_placement,
    _progress,
    _record,
)

# How long the dispatcher may take to answer.
CHECK_TIMEOUT_S = 0.3
# Within this time of a target's start its announcement has reached all fronts: an
# interval between announcements, the lag of their list, and the time to read it.
ANNOUNCED_WITHIN_S = 2.5
ANNOUNCEMENT_POLL_S = 0.1


@attrs.frozen(kw_only=True)
class CallParts:
    """A call at a service, with its attempts so far and what ends it early."""

    ctx: _context.Context
    call: routing.Call
    service: str
    progress: _progress.Progress
    record: _record.CallRecord
    early_end: _early_end.EarlyEnd
    open: _open_placement.OpenPlacement

    @property
    def target(self) -> str:
        """Name of the target of the latest attempt, empty before the first."""
        return "" if self.open.current is None else self.open.current.target.name

    def failure(self) -> routing.Failure:
        """Returns the failure to report if no further attempt is made."""
        return self.progress.failure(deadline_passed=self.call.remaining_s() <= 0)

    def cut_off_by(self, answer: routing.Answer, target: fleet.Target) -> str:
        """Returns what cut off an answer that seems complete, empty if nothing did.

        The end of an unframed one looks the same.

        Raises:
            CancelledError: the call had to end before that was known.
        """
        if not answer.unframed:
            return ""
        if self.ctx.transport.has_ended(target):
            return "its target has ended"
        # Who listens there now may not be who began the answer.
        if self._is_replaced(target):
            return "its target was replaced"
        if not answer.ended_promptly():
            replaced = self._await_replacement(target)
            if replaced:
                return replaced
        # Asked last: a reset may follow the end.
        return "" if answer.ended_in_order() else "its connection was reset"

    def _is_replaced(self, target: fleet.Target) -> bool:
        return _asking.is_replaced(self.ctx.dispatch, target, CHECK_TIMEOUT_S)

    def _await_replacement(self, target: fleet.Target) -> str:
        """Waits for the announcement of a target that may have started meanwhile.

        Returns what is known to have cut off the answer, or that it can't be known in
        the call's time; empty if the target wasn't replaced.
        """
        began_at = runtime.now()
        known_at = began_at + ANNOUNCED_WITHIN_S
        self.record.log_doubtful_end(target, known_at - began_at)
        while runtime.now() < min(known_at, self.call.deadline):
            if self.early_end.is_due():
                raise errors.CancelledError("call has to end")
            time.sleep(ANNOUNCEMENT_POLL_S)
            if self._is_replaced(target):
                return "its target was replaced"
        if runtime.now() < known_at:
            return "its target may have been replaced before the deadline"
        return ""
