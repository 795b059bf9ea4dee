"""Relays a stream of events and resumes it after the last relayed event."""

import http
from collections.abc import Iterator
from typing import Protocol

import attrs

from turmericward import eventstream, requests, routing
from turmericward.adapters import _body_memory, errors
from turmericward.delivery import _errors

EVENT_STREAM = "text/event-stream"
Batch = list[eventstream.Event]
# Comments and empty lines that are kept until the first event.
MAX_BYTES_BEFORE_FIRST = 64 * 1024


def continues_stream(answer: routing.Answer) -> bool:
    """Returns whether an answer can go on with a stream that another target began."""
    types = [value for name, value in answer.headers if name.lower() == "content-type"]
    return (
        answer.outcome is routing.Outcome.SERVED
        and answer.status == http.HTTPStatus.OK
        and all(value.startswith(EVENT_STREAM) for value in types)
    )


def _event_count(batch: Batch) -> int:
    return sum(event.has_data for event in batch)


@attrs.define(kw_only=True)
class StreamAttempt:
    """An attempt of a stream: one target's answer and its placement."""

    answer: routing.Answer
    placement: requests.Placement


class StreamOwner(Protocol):
    """Delivery that a stream reports to and that resumes it."""

    def next_event_deadline(self, last_id: str) -> float:
        """Returns the time by which the event after `last_id` has to arrive."""

    def resume(
        self, attempt: StreamAttempt, exc: Exception, last_id: str
    ) -> StreamAttempt | None:
        """Ends a failed attempt and starts the next; None if none may follow."""

    def attempt_ended(self, attempt: StreamAttempt, *, completed: bool) -> None:
        """Ends an attempt; not `completed` if the client left or the process stops."""

    def stream_ended(self, outcome: str) -> None:
        """Records the outcome of the stream."""

    def events_received(self, count: int) -> None:
        """Records the arrival of a batch of events."""

    def cut_off_by(self, attempt: StreamAttempt) -> str:
        """Returns what cut off an attempt that seems complete, empty if nothing."""

    def forbid_resuming(self) -> None:
        """Records that no other attempt can go on with the stream."""

    def interrupted(self) -> bool:
        """Returns whether the stream has to end now."""

    def record_interruption(self) -> bool:
        """Records why a stream ends early; returns whether its client still waits."""

    def failure(self) -> routing.Failure:
        """Returns the failure to report if the stream can't be resumed."""


class Stream:
    """The body of a streamed reply: events, batched as they arrive.

    An event out of sequence fails the attempt, after the events before it were
    delivered. Comments and empty lines are delivered, but are no progress.
    """

    def __init__(
        self, owner: StreamOwner, attempt: StreamAttempt, last_id: str = ""
    ) -> None:
        """Creates the stream with its first attempt."""
        self._owner = owner
        self._attempt: StreamAttempt | None = attempt
        self._parser = eventstream.EventParser()
        self._sequence = eventstream.EventSequence(last_id)
        self._first_batch: Batch = []
        self._batches = self._new_batches()

    def await_first(self) -> None:
        """Waits for the first event.

        Raises:
            AdapterError: the stream failed or ended before it.
        """
        for batch in self._batches:
            self._first_batch += batch
            if _event_count(batch):
                return
            if sum(len(e.raw) for e in self._first_batch) > MAX_BYTES_BEFORE_FIRST:
                raise errors.AnswerLostError("no event among the first bytes")
        raise errors.ConnectionLostError("stream ended before its first event")

    def __iter__(self) -> Iterator[Batch]:
        """Yields batches until the stream is complete.

        Raises:
            StreamBrokenError: it failed and can't be resumed.
        """
        return self._relay()

    def _relay(self) -> Iterator[Batch]:
        yield self._first_batch
        while True:
            try:
                yield from self._remaining_batches()
                self._end_attempt(completed=True)
                self._owner.stream_ended("streamed")
                return
            except errors.CancelledError as exc:
                self._end_attempt()
                if self._owner.record_interruption():
                    raise _errors.StreamBrokenError(self._owner.failure()) from exc
                return
            except errors.AdapterError as exc:
                self._resume(exc)

    def _remaining_batches(self) -> Iterator[Batch]:
        self._await_next()
        for batch in self._batches:
            count = _event_count(batch)
            if count:
                self._owner.events_received(count)
            yield batch
            if self._owner.interrupted():
                raise errors.CancelledError("stream has to end")
            if count:
                self._await_next()
        if self._parser.incomplete:
            raise errors.ConnectionLostError("stream ended in the middle of an event")
        cut_off_by = self._owner.cut_off_by(self._attempt)
        if cut_off_by:
            raise errors.ConnectionLostError(f"stream cut off: {cut_off_by}")
        self._end_run()

    def _await_next(self) -> None:
        until = self._owner.next_event_deadline(self._sequence.last_id)
        self._attempt.answer.wait_until(until)

    def _end_run(self) -> None:
        try:
            self._sequence.end_run()
        finally:
            self._report_resumable()

    def _new_batches(self) -> Iterator[Batch]:
        """Yields the events of the current attempt that the client doesn't have."""
        self._sequence.begin_run(consecutive=self._attempt.answer.numbered)
        # An incomplete event may be long.
        with _body_memory.shared.reservation() as reservation:
            for chunk in self._attempt.answer.chunks:
                batch, fault = self._accept(self._parser.feed(chunk))
                reservation.grow_to(self._parser.size)
                self._report_resumable()
                if batch:
                    yield batch
                if fault is not None:
                    raise fault

    def _accept(
        self, events: Batch
    ) -> tuple[Batch, eventstream.EventOrderError | None]:
        """Returns the events to deliver, and what is wrong after them."""
        accepted = []
        for event in events:
            try:
                if self._sequence.accept(event):
                    accepted.append(event)
            except eventstream.EventOrderError as exc:
                return accepted, exc
        return accepted, None

    def _report_resumable(self) -> None:
        if not self._sequence.resumable:
            self._owner.forbid_resuming()

    def _resume(self, exc: Exception) -> None:
        attempt, self._attempt = self._attempt, None
        attempt.answer.close()
        self._attempt = self._owner.resume(attempt, exc, self._sequence.last_id)
        if self._attempt is None:
            self._owner.stream_ended("broken")
            raise _errors.StreamBrokenError(self._owner.failure()) from exc
        self._parser = eventstream.EventParser()
        self._batches = self._new_batches()

    def _end_attempt(self, *, completed: bool = False) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.answer.close()
            self._owner.attempt_ended(attempt, completed=completed)

    def close(self) -> None:
        """Cancels the running attempt, if the stream hasn't ended."""
        if self._attempt is not None:
            self._owner.stream_ended("client_gone")
            self._end_attempt()
