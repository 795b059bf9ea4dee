"""Ends a call without its answer: its client has left, or the process stops."""

from collections.abc import Callable
from typing import NoReturn

from turmericward import requests, routing, runtime
from turmericward.delivery import _progress, _record, _stop


class ClientDisconnectedError(Exception):
    """Raised when the client has closed its connection."""


class EarlyEnd:
    """Decides whether a call goes on, before each attempt and while one waits."""

    def __init__(
        self,
        client_disconnected: Callable[[], bool],
        stop: _stop.CallStop,
        progress: _progress.Progress,
        record: _record.CallRecord,
    ) -> None:
        """Creates the decisions for one call.

        Args:
            client_disconnected: returns whether the call's client has left.
            stop: the process's stop.
            progress: the attempts of the call.
            record: log lines of the call.
        """
        self._client_disconnected = client_disconnected
        self._stop = stop
        self._progress = progress
        self._record = record
        # When the first attempt that reached a target, or one after a failure, began.
        self._began_at = runtime.now()
        self._answer_begun = False
        self.ended_by_stop = False

    def is_due(self) -> bool:
        """Returns whether the call has to end now; once the stop ends it, always."""
        if self._client_disconnected():
            return True
        self.ended_by_stop = self.ended_by_stop or self._stop.must_end()
        return self.ended_by_stop

    def end_call(self, phase: _stop.CallPhase) -> NoReturn:
        """Ends the call, whose `is_due` has interrupted an attempt.

        Raises:
            ClientDisconnectedError: the client has left.
            CallAbandonedError: the process stops.
        """
        if self._client_disconnected() or not self.ended_by_stop:
            raise ClientDisconnectedError
        self._record.log_ended_by_stop(phase, self._stop)
        if phase.may_run:
            self._progress.record_interrupted_run()
        self._progress.abandon(_stop.REASON, _stop.RETRY_AFTER_S)

    def check_attempt(self, call: routing.Call, *, retry: bool) -> None:
        """Ends the call if a further attempt can't be of use to its client.

        Raises:
            ClientDisconnectedError: the client has left.
            CallAbandonedError: no answer is likely before the call's deadline or the
                end of the process.
        """
        if self.is_due():
            self.end_call(_stop.CallPhase.WAITING)
        if call.remaining_s() <= 0:
            self._progress.abandon("deadline")
        if retry or not (self._progress.arrivals or self._progress.prefills):
            self._began_at = runtime.now()
        admission = self._stop.admission(call, runtime.now() - self._began_at)
        if admission is None:
            return
        granted = self._answer_begun or admission.granted
        self._record.log_admission(admission, self._stop, granted=granted, retry=retry)
        if not granted:
            self._progress.abandon(_stop.REASON, _stop.RETRY_AFTER_S)

    def _admits(self, call: routing.Call) -> bool:
        # A stream that the client has in part can't be refused any more.
        admission = self._stop.admission(call, 0.0)
        return self._answer_begun or admission is None or admission.granted

    def exclude_wait(self, waited_s: float) -> None:
        """Records that the attempt had to wait before it was sent."""
        self._began_at += waited_s

    def restart(self) -> None:
        """Records that another attempt, which begins now, has replaced the last."""
        self._began_at = runtime.now()

    def record_answer_begun(self) -> None:
        """Records that the client gets the first events of a stream."""
        self._answer_begun = True

    def may_repeat(self, call: routing.Call, *running: requests.Placement) -> bool:
        """Returns whether another attempt may follow the running ones.

        If not, they aren't given up before the call's deadline.
        """
        names = frozenset(placement.target.name for placement in running)
        return self._progress.may_repeat(names) and self._admits(call)

    @property
    def stops(self) -> bool:
        """Whether the process stops."""
        return self._stop.drain.began

    def record_answered(self, call: routing.Call) -> None:
        """Records how long the call took to the end of its answer."""
        self._stop.times.record(call.route.name, runtime.now() - self._began_at)
