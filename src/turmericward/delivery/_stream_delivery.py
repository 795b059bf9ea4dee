"""Reports of a running stream, and its next attempts."""

from collections.abc import Callable

import attrs

from turmericward import requests, routing
from turmericward.delivery import (
    _answer_errors,
    _early_end,
    _late_attempt,
    _parts,
    _progress,
    _stop,
    _stream,
    _superseded,
    _timeouts,
)


@attrs.frozen(kw_only=True)
class Attempts:
    """Attempts of a call that has begun.

    `next` sends the call, resumed after an event, and returns None if it has to go to
    another target; `take_over` makes it return what has come of the attempt that
    replaced the last one; `record_failure` ends a failed one.
    """

    next: Callable[[str], routing.Answer | None]
    take_over: Callable[[_superseded.SupersededError], None]
    record_failure: Callable[[Exception], None]


class StreamDelivery:
    """Implements `_stream.StreamOwner` for a call."""

    def __init__(
        self,
        parts: _parts.CallParts,
        late: _late_attempt.LateAttempts,
        attempts: Attempts,
        record_reply: Callable[[str, int], None],
    ) -> None:
        """Creates the owner of the call's stream.

        Args:
            parts: the parts of the call's delivery.
            late: second attempts beside a silent target.
            attempts: further attempts.
            record_reply: records the outcome and the status of the call.
        """
        self._parts = parts
        self._late = late
        self._attempts = attempts
        self._record_reply = record_reply

    def next_event_deadline(self, last_id: str) -> float:
        """Returns the time by which the event after `last_id` has to arrive."""
        parts = self._parts
        self._late.begin_stream(last_id)
        timeout_s = _timeouts.next_event_timeout_s(
            parts.call,
            may_repeat=parts.early_end.may_repeat(parts.call, parts.open.current),
        )
        return parts.record.begin_wait(timeout_s)

    def events_received(self, count: int) -> None:
        """Records the arrival of a batch of events."""
        self._parts.open.record_output()
        self._parts.record.record_events(count)
        self._late.output_received()

    def attempt_ended(self, attempt: _stream.StreamAttempt, *, completed: bool) -> None:
        """Ends an attempt; not `completed` if the client left or the process stops."""
        parts = self._parts
        if completed:
            parts.early_end.record_answered(parts.call)
        parts.open.resume(attempt.placement)
        # A client that leaves says nothing of its target, which may be silent.
        ending = (
            requests.Ending.SUCCEEDED if completed else requests.Ending.DISCONNECTED
        )
        parts.open.end(ending, streamed=completed, answered=completed)

    def stream_ended(self, outcome: str) -> None:
        """Records the outcome of the stream."""
        self._record_reply(outcome, 200)

    def cut_off_by(self, attempt: _stream.StreamAttempt) -> str:
        """Returns what cut off an attempt that seems complete, empty if nothing.

        If it was complete, a resumed stream has no further events.
        """
        return self._parts.cut_off_by(attempt.answer, attempt.placement.target)

    def forbid_resuming(self) -> None:
        """Records that no other attempt can go on with the stream."""
        self._parts.progress.forbid_repeats()

    def interrupted(self) -> bool:
        """Returns whether the stream has to end now."""
        return self._parts.early_end.is_due()

    def record_interruption(self) -> bool:
        """Records why a stream ends early; returns whether its client still waits."""
        try:
            self._parts.early_end.end_call(_stop.CallPhase.STREAMING)
        except _early_end.ClientDisconnectedError:
            self.stream_ended("client_gone")
            return False
        except _progress.CallAbandonedError:
            self.stream_ended("broken")
            return True

    def failure(self) -> routing.Failure:
        """Returns the failure to report if no further attempt is made."""
        return self._parts.failure()

    def resume(
        self, attempt: _stream.StreamAttempt, exc: Exception, last_id: str
    ) -> _stream.StreamAttempt | None:
        """Ends a failed attempt and starts the next; None if none may follow."""
        self._late.begin_stream(last_id)
        try:
            if isinstance(exc, _superseded.SupersededError):
                self._attempts.take_over(exc)
            else:
                self._parts.open.resume(attempt.placement)
                self._attempts.record_failure(exc)
            return self._next_attempt(last_id)
        except (_progress.CallAbandonedError, _early_end.ClientDisconnectedError):
            return None
        finally:
            self._parts.open.end(requests.Ending.DISCONNECTED)

    def _next_attempt(self, last_id: str) -> _stream.StreamAttempt | None:
        if not self._parts.call.route.resumable:
            return None
        while True:
            answer = self._attempts.next(last_id)
            if answer is None:
                continue
            if not _stream.continues_stream(answer):
                answer.close()
                self._attempts.record_failure(_answer_errors.error_of(answer))
                continue
            return _stream.StreamAttempt(
                answer=answer, placement=self._parts.open.hand_over()
            )
