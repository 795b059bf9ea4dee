"""What the parts of one call's delivery share."""

import attrs

from turmericward import fleet, routing
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
        """
        if not answer.unframed:
            return ""
        if self.ctx.transport.has_ended(target):
            return "its target has ended"
        # Who listens there now may not be who began the answer.
        if _asking.is_replaced(self.ctx.dispatch, target, CHECK_TIMEOUT_S):
            return "its target was replaced"
        # Asked last: a reset may follow the end.
        return "" if answer.ended_in_order() else "its connection was reset"
