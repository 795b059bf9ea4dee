"""Relays a stream event by event, and resumes it after the last event sent."""

from collections.abc import Iterator
from typing import Protocol

import attrs

from turmericward import requests
from turmericward.adapters import errors
from turmericward.delivery import _calls, _errors, _events

Batch = list[_events.Event]


@attrs.define(kw_only=True)
class Leg:
    """One target's part of a stream."""

    answer: _calls.Answer
    placement: requests.Placement


class Source(Protocol):
    """The delivery that a stream belongs to."""

    def next_event_by(self) -> float:
        """Returns when the stream counts as broken without a further event."""

    def resume(self, leg: Leg, exc: Exception, last_id: str) -> Leg | None:
        """Ends a broken leg and opens the next one; None if there can be none."""

    def leg_ended(self, leg: Leg, *, whole: bool) -> None:
        """Ends a leg that did what it should; `whole` unless the client left."""

    def stream_ended(self, outcome: str) -> None:
        """Notes how the whole stream ended."""

    def events_sent(self, count: int) -> None:
        """Notes events that came together."""

    def failure(self) -> _calls.Failure:
        """Returns what the client is told of a stream that can't go on."""


class Stream:
    """The body of a streamed reply: batches of events that came together.

    Events that the client has are dropped. Where events are numbered without
    gaps, a missing one breaks the leg after those before it were delivered.
    """

    def __init__(self, source: Source, leg: Leg, last_id: str = "") -> None:
        """Creates the stream from its first leg."""
        self._source = source
        self._leg: Leg | None = leg
        self._cutter = _events.EventCutter()
        self._last_id = last_id
        self._first: Batch = []
        self._fresh = self._fresh_batches()

    def await_first(self) -> None:
        """Waits for the first event.

        Raises:
            AdapterError: the stream broke off or ended before it.
        """
        try:
            self._first = next(self._fresh)
        except StopIteration:
            msg = "stream ended before its first event"
            raise errors.AnswerLostError(msg) from None

    def __iter__(self) -> Iterator[Batch]:
        """Yields batches until the stream is whole.

        Raises:
            StreamBrokenError: it broke off and can't be resumed.
        """
        return self._relay()

    def _relay(self) -> Iterator[Batch]:
        yield self._first
        while True:
            try:
                yield from self._rest()
                self._end_leg(whole=True)
                self._source.stream_ended("streamed")
                return
            except errors.CancelledError:
                self._end_leg()
                self._source.stream_ended("client_gone")
                return
            except errors.AdapterError as exc:
                self._go_on(exc)

    def _rest(self) -> Iterator[Batch]:
        answer = self._leg.answer
        answer.wait_until(self._source.next_event_by())
        for batch in self._fresh:
            self._source.events_sent(len(batch))
            yield batch
            answer.wait_until(self._source.next_event_by())
        if self._cutter.rest:
            raise errors.AnswerLostError("stream ended within an event")

    def _fresh_batches(self) -> Iterator[Batch]:
        """Yields what the present leg adds to the stream."""
        for chunk in self._leg.answer.chunks:
            batch, gap = self._in_order(self._cutter.feed(chunk))
            if batch:
                yield batch
            if gap:
                raise errors.AnswerLostError(f"event {gap} follows {self._last_id}")

    def _in_order(self, events: Batch) -> tuple[Batch, str]:
        """Returns the events to deliver, and the id before which some lack."""
        fresh = []
        for event in events:
            if event.number is None:
                fresh.append(event)
                continue
            last = _events.Event(id=self._last_id, raw=b"").number or 0
            if event.number <= last:
                continue
            if self._leg.answer.numbered and event.number > last + 1:
                return fresh, event.id
            self._last_id = event.id
            fresh.append(event)
        return fresh, ""

    def _go_on(self, exc: Exception) -> None:
        leg, self._leg = self._leg, None
        leg.answer.close()
        self._leg = self._source.resume(leg, exc, self._last_id)
        if self._leg is None:
            self._source.stream_ended("broken")
            raise _errors.StreamBrokenError(self._source.failure()) from exc
        self._cutter = _events.EventCutter()
        self._fresh = self._fresh_batches()

    def _end_leg(self, *, whole: bool = False) -> None:
        leg, self._leg = self._leg, None
        if leg is not None:
            leg.answer.close()
            self._source.leg_ended(leg, whole=whole)

    def close(self) -> None:
        """Cancels the work at the target if the stream hasn't ended."""
        if self._leg is not None:
            self._source.stream_ended("client_gone")
            self._end_leg()
