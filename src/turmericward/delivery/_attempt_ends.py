"""Ends attempts that gave no answer, by what that says of the target and the call."""

import attrs

from turmericward import requests
from turmericward.adapters import errors
from turmericward.delivery import _open_placement, _parts, _record


@attrs.frozen(kw_only=True)
class _End:
    """How an attempt ended; `target_ended` if its target's process has."""

    outcome: str
    ending: requests.Ending
    target_ended: bool = False


class AttemptEnds:
    """Logs and reports the ends of one call's attempts."""

    def __init__(self, parts: _parts.CallParts) -> None:
        """Creates it on the parts of the call's delivery."""
        self._parts = parts

    def not_executed(self, exc: errors.AdapterError) -> None:
        """Ends an attempt that was refused or couldn't be sent.

        Raises:
            CallAbandonedError: too many targets were unreachable or refused the call.
        """
        progress, target = self._parts.progress, self._target()
        ending = self._end(self._parts.open, exc).ending
        if ending is requests.Ending.REFUSED:
            progress.record_refusal(target)
        elif ending is requests.Ending.SILENT:
            progress.record_silent(target)
        else:
            progress.record_unreachable(target)

    def failed(self, exc: Exception) -> None:
        """Ends an attempt in which the call may have run.

        Raises:
            CallAbandonedError: the call must not run again.
        """
        target, end = self._target(), self._end_failed(exc)
        self._parts.progress.record_failure(target, crashed=end.target_ended)

    def prefill_failed(self, exc: Exception) -> None:
        """Ends an attempt in which the call's prompt may have been prefilled.

        Raises:
            CallAbandonedError: too many targets have ended under the call.
        """
        target, end = self._target(), self._end_failed(exc)
        self._parts.progress.record_prefill_failure(target, crashed=end.target_ended)

    def second(
        self, second: _open_placement.OpenPlacement, exc: errors.AdapterError
    ) -> None:
        """Ends a second attempt that failed while the first one goes on."""
        progress, target = self._parts.progress, second.placement.target.name
        end = self._end(second, exc)
        if end.ending is requests.Ending.SILENT:
            progress.record_silent(target)
            return
        progress.record_second(
            target,
            arrived=not end.ending.unsent,
            ran=end.ending.target_failed and not end.ending.unsent,
            crashed=end.target_ended,
        )

    def _target(self) -> str:
        return self._parts.open.placement.target.name

    def _end_failed(self, exc: Exception) -> _End:
        if self._parts.record.is_late:
            self._parts.record.log_late_attempt(self._parts.open.placement)
        return self._end(self._parts.open, exc)

    def _end(
        self, attempt: _open_placement.OpenPlacement, exc: errors.AdapterError
    ) -> _End:
        end = self._end_of(exc, attempt.placement)
        detail = repr(exc) if end.outcome == _record.FAILED else str(exc)
        self._parts.record.log_failed_attempt(
            attempt.placement,
            end.outcome,
            detail,
            status=exc.status,
            target_ended=end.target_ended,
        )
        attempt.end(
            end.ending, connection_lost=isinstance(exc, errors.ConnectionLostError)
        )
        return end

    def _end_of(self, exc: Exception, placement: requests.Placement) -> _End:
        if isinstance(exc, errors.ConnectTimeoutError):
            return _End(outcome="not_reached", ending=requests.Ending.SILENT)
        if isinstance(exc, errors.NotSentError):
            return _End(outcome="not_reached", ending=requests.Ending.UNREACHED)
        if isinstance(exc, errors.NotExecutedError):
            return _End(outcome="refused", ending=requests.Ending.REFUSED)
        if self._has_target_ended(exc, placement):
            ending = requests.Ending.CRASHED
            return _End(outcome=_record.FAILED, ending=ending, target_ended=True)
        return _End(outcome=_record.FAILED, ending=requests.Ending.FAILED)

    def _has_target_ended(self, exc: Exception, placement: requests.Placement) -> bool:
        """Returns whether the attempt failed since the target's process ended."""
        if not isinstance(exc, errors.ConnectionLostError):
            return False
        return self._parts.ctx.transport.has_ended(placement.target)
