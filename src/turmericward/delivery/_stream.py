"""Relays a stream of events and resumes it after the last relayed event."""

import http
from collections.abc import Iterator
from typing import Protocol

import attrs

from turmericward import requests
from turmericward.adapters import errors
from turmericward.delivery import _calls, _errors, _events

EVENT_STREAM = "text/event-stream"
Batch = list[_events.Event]


def continues_stream(answer: _calls.Answer) -> bool:
    """Returns whether an answer can go on with a stream that another target began."""
    types = [value for name, value in answer.headers if name.lower() == "content-type"]
    return (
        answer.genuine
        and answer.status == http.HTTPStatus.OK
        and all(value.startswith(EVENT_STREAM) for value in types)
    )


@attrs.define(kw_only=True)
class StreamAttempt:
    """An attempt of a stream: one target's answer and its placement."""

    answer: _calls.Answer
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

    def is_cut_off(self, attempt: StreamAttempt) -> bool:
        """Returns whether an attempt that seems complete ended with its target."""

    def interrupted(self) -> bool:
        """Returns whether the stream has to end now."""

    def record_interruption(self) -> bool:
        """Records why a stream ends early; returns whether its client still waits."""

    def failure(self) -> _calls.Failure:
        """Returns the failure to report if the stream can't be resumed."""


class Stream:
    """The body of a streamed reply: events, batched as they arrive.

    Events that the client already has are dropped. If a target numbers its events
    consecutively, a missing event fails the attempt, after the events before it
    were delivered.
    """

    def __init__(
        self, owner: StreamOwner, attempt: StreamAttempt, last_id: str = ""
    ) -> None:
        """Creates the stream with its first attempt."""
        self._owner = owner
        self._attempt: StreamAttempt | None = attempt
        self._parser = _events.EventParser()
        self._last_id = last_id
        self._first_batch: Batch = []
        self._batches = self._new_batches()

    def await_first(self) -> None:
        """Waits for the first event.

        Raises:
            AdapterError: the stream failed or ended before it.
        """
        try:
            self._first_batch = next(self._batches)
        except StopIteration:
            msg = "stream ended before its first event"
            raise errors.ConnectionLostError(msg) from None

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
        answer = self._attempt.answer
        answer.wait_until(self._owner.next_event_deadline(self._last_id))
        for batch in self._batches:
            self._owner.events_received(len(batch))
            yield batch
            if self._owner.interrupted():
                raise errors.CancelledError("stream has to end")
            answer.wait_until(self._owner.next_event_deadline(self._last_id))
        if self._parser.incomplete:
            raise errors.ConnectionLostError("stream ended in the middle of an event")
        if self._owner.is_cut_off(self._attempt):
            raise errors.ConnectionLostError("stream ended with its target")

    def _new_batches(self) -> Iterator[Batch]:
        """Yields the events of the current attempt that the client doesn't have."""
        resumed = bool(self._last_id)
        for chunk in self._attempt.answer.chunks:
            batch, fault = self._check_sequence(self._parser.feed(chunk), resumed)
            if batch:
                yield batch
            if fault:
                raise errors.AnswerLostError(f"{fault}, last is {self._last_id}")

    def _check_sequence(self, events: Batch, resumed: bool) -> tuple[Batch, str]:
        """Returns the events to deliver, and what is wrong after them, or ""."""
        new_events = []
        for event in events:
            if event.number is None:
                if resumed:
                    # A stream is resumed by the ids of its events: all have one.
                    return new_events, "event without id in a resumed stream"
                new_events.append(event)
                continue
            last_number = _events.Event(id=self._last_id, raw=b"").number or 0
            if event.number <= last_number:
                continue
            if self._attempt.answer.numbered and event.number > last_number + 1:
                return new_events, f"missing events before {event.id}"
            self._last_id = event.id
            new_events.append(event)
        return new_events, ""

    def _resume(self, exc: Exception) -> None:
        attempt, self._attempt = self._attempt, None
        attempt.answer.close()
        self._attempt = self._owner.resume(attempt, exc, self._last_id)
        if self._attempt is None:
            self._owner.stream_ended("broken")
            raise _errors.StreamBrokenError(self._owner.failure()) from exc
        self._parser = _events.EventParser()
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
