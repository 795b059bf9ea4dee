"""Carries one call through placement, attempts and relay to its reply."""

from collections.abc import Iterator
from typing import Protocol

import attrs

from turmericward import fleet, requests, runtime, telemetry
from turmericward.adapters import errors
from turmericward.delivery import _calls, _dispatch_task, _errors, _events

ASK_S = 5.0
# Refusals by targets after which a call is refused for its client too.
MAX_REFUSALS = 4
# A target that owes the first byte for this many objectives is given up.
PATIENCE_OBJECTIVES = 2.0
# The same in times of the wait that was expected.
PATIENCE_EXPECTED = 2.5
MIN_PATIENCE_S = 0.3
# Pauses between events after which a stream is resumed elsewhere.
PATIENCE_GAPS = 4.0
MIN_EVENT_PATIENCE_S = 1.0
RETRY_AFTER_S = 0.5
CLIENT_GONE = 499
# Added to a route's priority for calls that are late already.
DEFERRED_PRIORITY = 5


class Transport(Protocol):
    """Sends calls to targets; the implementation knows their protocol."""

    def send(
        self, target: fleet.Target, call: _calls.Call, dispatch: _calls.Dispatch
    ) -> _calls.Answer:
        """Sends a call and returns the head of the answer.

        Raises:
            AdapterError: there is none.
        """

    def prefill(
        self, target: fleet.Target, call: _calls.Call, dispatch: _calls.Dispatch
    ) -> str:
        """Has the prompt read and returns the name of its KV cache.

        Raises:
            NotExecutedError: the target refused.
            AdapterError: there is no good answer.
        """

    def release(self, source: str) -> None:
        """Frees KV cache that nobody will take."""


@attrs.frozen(kw_only=True)
class Context:
    """What all deliveries of a process share."""

    dispatch: _dispatch_task.DispatchTask
    transport: Transport
    metrics: telemetry.Metrics


@attrs.define(kw_only=True)
class _Progress:
    """What is known of a call's attempts so far.

    `arrived` counts the attempts that reached a target, `ran` those that may
    have run there.
    """

    excluded: frozenset[str] = frozenset()
    arrived: int = 0
    ran: int = 0
    refusals: int = 0
    reason: str = ""
    retry_after_s: float = RETRY_AFTER_S
    fallback: _calls.Reply | None = None


class _GivenUpError(Exception):
    """Raised when no further attempt is made; the reply follows from progress."""


class _ClientGoneError(Exception):
    """Raised when the client closed its connection."""


class Delivery:
    """One call, over as many targets as its route and the budget allow."""

    def __init__(self, ctx: Context, call: _calls.Call, service: str) -> None:
        """Creates the delivery; nothing is sent yet."""
        self._ctx = ctx
        self._call = call
        self._service = service
        self._progress = _Progress()
        self._placement: requests.Placement | None = None
        self._sent_at = 0.0
        self._first_s: float | None = None

    def run(self) -> _calls.Reply:
        """Returns the reply; a stream's body goes on while it is read."""
        try:
            return self._deliver()
        except _ClientGoneError:
            self._log("client_gone", CLIENT_GONE)
            return _calls.Reply(status=CLIENT_GONE)
        except _GivenUpError:
            return self._given_up()
        finally:
            # A stream that runs on has taken its placement over.
            self._end(requests.Ending.SOUND)

    def _deliver(self) -> _calls.Reply:
        source = ""
        while True:
            try:
                source = source or self._prefill()
                answer = self._attempt(source)
                source = ""
            except errors.CancelledError as exc:
                self._ctx.transport.release(source)
                raise _ClientGoneError from exc
            if answer is None:
                continue
            reply = self._reply(answer)
            if reply is not None:
                return reply

    # Attempts.

    def _place(self, *, read: bool) -> requests.Placement:
        progress = self._progress
        if self._call.left_s() <= 0:
            progress.reason = "deadline"
            raise _GivenUpError
        message = _dispatch_task.Place(
            call=self._call,
            service=self._service,
            excluded=progress.excluded,
            retry=progress.arrived > 0,
            read=read,
        )
        chosen = self._ctx.dispatch.ask(message).result(ASK_S)
        if chosen.is_err():
            refusal = chosen.unwrap_err()
            progress.reason = progress.reason or refusal.reason
            progress.retry_after_s = refusal.retry_after_s
            raise _GivenUpError
        return chosen.unwrap()

    def _prefill(self) -> str:
        """Has the prompt read elsewhere if that is better; returns its source."""
        if self._call.prompt is None:
            return ""
        while True:
            placement = self._place(read=False)
            self._take(placement)
            if not placement.prefill_only:
                return ""
            dispatch = self._dispatch(prefill_only=True)
            try:
                source = self._ctx.transport.prefill(
                    placement.target, self._call, dispatch
                )
            except errors.NotExecutedError as exc:
                self._refused(str(exc))
                continue
            except errors.CancelledError:
                raise
            except errors.AdapterError as exc:
                self._failed(exc, may_have_run=False)
                continue
            self._began()
            self._end(requests.Ending.SOUND)
            return source

    def _take(self, placement: requests.Placement) -> None:
        self._placement = placement
        self._sent_at = runtime.now()
        prompt = self._call.prompt
        telemetry.log_event(
            "placed",
            request_id=self._call.id,
            target=placement.target.name,
            role=str(placement.target.role and placement.target.role.value),
            prefill_only=placement.prefill_only,
            fetch_from=placement.fetch_from,
            prompt_tokens=prompt.tokens if prompt else 0,
            work_tokens=round(placement.work_tokens),
            ahead_tokens=round(placement.ahead_tokens),
            deferred=placement.deferred,
            deadline_s=self._call.deadline_s,
            expected_s=round(placement.expected_s, 3),
            after_s=round(self._sent_at - self._call.received, 3),
        )

    def _dispatch(self, source: str = "", *, prefill_only=False) -> _calls.Dispatch:
        return _calls.Dispatch(
            timeout_s=self._patience_s(),
            priority=self._priority(),
            resume_after=self._call.resume_after,
            source=source,
            fetch_from=self._placement.fetch_from,
            prefill_only=prefill_only,
        )

    def _priority(self) -> int:
        priority = self._call.route.priority
        return priority + DEFERRED_PRIORITY * self._placement.deferred

    def _patience_s(self) -> float:
        """Returns how long a target may take to begin its answer."""
        left_s = self._call.left_s()
        route = self._call.route
        may_go_on = route.repeatable and self._progress.ran + 1 < route.max_attempts
        if not may_go_on:
            return left_s
        patience_s = max(
            MIN_PATIENCE_S,
            PATIENCE_OBJECTIVES * route.objective_s,
            left_s / 2,
            # Work that waits its turn would be lost with its place.
            MIN_PATIENCE_S + PATIENCE_EXPECTED * self._placement.expected_s,
        )
        return min(left_s, patience_s)

    def _attempt(self, source: str) -> _calls.Answer | None:
        """Sends the call once; returns None if it is to be sent elsewhere."""
        if self._placement is None:
            # A prompt was read elsewhere, or a stream goes on after a break.
            self._take(self._place(read=True))
        try:
            answer = self._ctx.transport.send(
                self._placement.target, self._call, self._dispatch(source)
            )
        except errors.NotSentError as exc:
            self._ctx.transport.release(source)
            self._exclude(exc)
            return None
        except errors.CancelledError:
            raise
        except errors.AdapterError as exc:
            self._failed(exc, may_have_run=True)
            return None
        if answer.not_run:
            answer.close()
            self._refused(f"status {answer.status}")
            return None
        return answer

    def _exclude(self, exc: Exception) -> None:
        """Notes a target that the call didn't reach."""
        self._log_attempt("not_reached", str(exc))
        self._progress.excluded |= {self._placement.target.name}
        self._progress.refusals += 1
        self._end(requests.Ending.UNREACHED)
        self._check_refusals()

    def _refused(self, detail: str) -> None:
        self._log_attempt("refused", detail)
        self._progress.excluded |= {self._placement.target.name}
        self._progress.arrived += 1
        self._progress.refusals += 1
        self._progress.reason = "targets_refused"
        self._end(requests.Ending.REFUSED)
        self._check_refusals()

    def _check_refusals(self) -> None:
        if self._progress.refusals >= MAX_REFUSALS:
            raise _GivenUpError

    def _failed(self, exc: Exception, *, may_have_run: bool) -> None:
        self._log_attempt("failed", repr(exc))
        self._progress.excluded |= {self._placement.target.name}
        self._progress.arrived += 1
        self._progress.reason = "answer_lost"
        self._end(requests.Ending.FAILED)
        if may_have_run:
            self._ran()

    def _ran(self) -> None:
        """Notes that the call may have run; raises if it may not run again."""
        self._progress.ran += 1
        route = self._call.route
        if not route.repeatable or self._progress.ran >= route.max_attempts:
            raise _GivenUpError

    # Replies.

    def _reply(self, answer: _calls.Answer) -> _calls.Reply | None:
        if not answer.genuine:
            answer.close()
            self._failed(
                errors.ForeignAnswerError(f"status {answer.status} isn't the target's"),
                may_have_run=True,
            )
            return None
        if self._call.route.kind is _calls.CallKind.STREAM and answer.status == 200:
            return self._stream(answer)
        return self._whole(answer)

    def _whole(self, answer: _calls.Answer) -> _calls.Reply | None:
        try:
            body = b"".join(answer.chunks)
        except errors.CancelledError as exc:
            raise _ClientGoneError from exc
        except errors.AdapterError as exc:
            self._failed(exc, may_have_run=True)
            return None
        finally:
            answer.close()
        self._began()
        reply = _calls.Reply(status=answer.status, headers=answer.headers, body=body)
        failed = answer.status >= 500
        if not failed:
            self._log("answered", answer.status)
            self._end(requests.Ending.SOUND)
            return reply
        self._progress.fallback = reply
        self._failed(
            errors.AnswerLostError(f"status {answer.status}"), may_have_run=True
        )
        return None

    def _stream(self, answer: _calls.Answer) -> _calls.Reply | None:
        stream = _Stream(self, answer)
        try:
            first = stream.first()
        except errors.CancelledError as exc:
            answer.close()
            raise _ClientGoneError from exc
        except errors.AdapterError as exc:
            answer.close()
            self._failed(exc, may_have_run=True)
            return None
        self._began()
        body = stream.rest_after(first)
        self._placement_moves_to(stream)
        return _calls.Reply(status=answer.status, headers=answer.headers, body=body)

    def _placement_moves_to(self, stream: "_Stream") -> None:
        stream.placement = self._placement
        self._placement = None

    def _given_up(self) -> _calls.Reply:
        progress = self._progress
        if progress.fallback is not None:
            self._log("answered", progress.fallback.status)
            return progress.fallback
        if progress.ran:
            status = 504 if self._call.left_s() <= 0 else 502
            self._log("outcome_unknown", status)
            return _calls.Reply(status=status)
        self._log("refused", 503)
        retry_after = ("Retry-After", f"{progress.retry_after_s:.2f}")
        return _calls.Reply(status=503, headers=(retry_after,))

    # Bookkeeping.

    def _began(self) -> None:
        now = runtime.now()
        if not self._placement.prefill_only:
            self._first_s = self._first_s or now - self._call.received
        telemetry.log_event(
            "began",
            request_id=self._call.id,
            target=self._placement.target.name,
            took_s=round(now - self._sent_at, 3),
        )
        message = _dispatch_task.Began(
            placement=self._placement,
            prompt=self._call.prompt,
            took_s=now - self._sent_at,
        )
        self._ctx.dispatch.post(message)

    def _end(self, ending: requests.Ending) -> None:
        if self._placement is None:
            return
        self.end_placement(self._placement, ending)
        self._placement = None

    def end_placement(
        self, placement: requests.Placement, ending: requests.Ending
    ) -> None:
        """Tells the dispatcher that a placement has ended."""
        message = _dispatch_task.Ended(
            placement=placement, prompt=self._call.prompt, ending=ending
        )
        self._ctx.dispatch.post(message)

    def _log_attempt(self, outcome: str, detail: str) -> None:
        telemetry.log_event(
            "attempt",
            request_id=self._call.id,
            target=self._placement.target.name,
            outcome=outcome,
            detail=detail,
            after_s=round(runtime.now() - self._call.received, 3),
            left_s=round(self._call.left_s(), 3),
        )

    def _log(self, outcome: str, status: int) -> None:
        took_s = runtime.now() - self._call.received
        self._ctx.metrics.count(f"delivery.{outcome}")
        self._ctx.metrics.record(
            telemetry.RequestTimes(
                traffic_class=f"{self._service}.{self._call.route.kind.value}",
                tenant="",
                first_token_ms=None if self._first_s is None else self._first_s * 1000,
                between_tokens_ms=[],
                total_ms=took_s * 1000,
            )
        )
        telemetry.log_event(
            "reply",
            request_id=self._call.id,
            route=self._call.route.name,
            outcome=outcome,
            status=status,
            reason=self._progress.reason,
            attempts=self._progress.arrived,
            took_s=round(took_s, 3),
        )

    # What a running stream needs.

    def resume(self, last_id: str) -> _calls.Answer | None:
        """Continues a broken stream elsewhere; returns None if it can't be."""
        self._call = attrs.evolve(self._call, resume_after=last_id)
        while True:
            try:
                answer = self._attempt("")
            except (_GivenUpError, errors.CancelledError):
                return None
            if answer is None:
                continue
            if answer.genuine and answer.status == 200:
                return answer
            answer.close()
            return None

    def next_event_by(self) -> float:
        """Returns when a running stream counts as broken without a further event."""
        route = self._call.route
        if not route.resumable or self._progress.ran + 1 >= route.max_attempts:
            return self._call.until
        patience_s = max(MIN_EVENT_PATIENCE_S, PATIENCE_GAPS * route.gap_s)
        return min(self._call.until, runtime.now() + patience_s)

    def broken(self, exc: Exception, placement: requests.Placement) -> bool:
        """Notes that a stream broke off; tells whether it may be resumed."""
        self._placement = placement
        try:
            self._failed(exc, may_have_run=True)
        except _GivenUpError:
            return False
        return self._call.route.resumable

    def take_placement(self) -> requests.Placement | None:
        """Hands over the placement of the latest attempt."""
        placement = self._placement
        self._placement = None
        return placement

    def stream_ended(self, outcome: str) -> None:
        """Logs the end of a stream."""
        self._log(outcome, 200)


class _Stream:
    """Relays a stream event by event; resumes it after the last event sent."""

    def __init__(self, delivery: Delivery, answer: _calls.Answer) -> None:
        self._delivery = delivery
        self._answer = answer
        self._cutter = _events.EventCutter()
        self._last_id = ""
        self.placement: requests.Placement | None = None

    def first(self) -> bytes:
        """Waits for the first whole event; returns what came with it."""
        for chunk in self._answer.chunks:
            data = self._whole_events(chunk)
            if data:
                return data
        raise errors.AnswerLostError("stream ended before its first event")

    def _whole_events(self, chunk: bytes) -> bytes:
        events = self._cutter.feed(chunk)
        for event in events:
            self._last_id = event.id or self._last_id
        return b"".join(event.raw for event in events)

    def rest_after(self, first: bytes) -> Iterator[bytes]:
        """Returns the reply's body, whose end releases the target."""
        return _StreamBody(self, first)

    def rest(self, first: bytes) -> Iterator[bytes]:
        yield first
        while True:
            try:
                yield from self._events()
                self._finish()
                self._delivery.stream_ended("streamed")
                return
            except errors.CancelledError:
                self._finish()
                self._delivery.stream_ended("client_gone")
                return
            except errors.AdapterError as exc:
                self._answer.close()
                if not self._resume(exc):
                    self._delivery.stream_ended("broken")
                    raise _errors.StreamBrokenError(str(exc)) from exc

    def _events(self) -> Iterator[bytes]:
        self._answer.wait_until(self._delivery.next_event_by())
        for chunk in self._answer.chunks:
            data = self._whole_events(chunk)
            if data:
                yield data
                self._answer.wait_until(self._delivery.next_event_by())
        if self._cutter.rest:
            raise errors.AnswerLostError("stream ended within an event")

    def _resume(self, exc: Exception) -> bool:
        placement, self.placement = self.placement, None
        if not self._delivery.broken(exc, placement):
            return False
        answer = self._delivery.resume(self._last_id)
        if answer is None:
            return False
        self._answer = answer
        self._cutter = _events.EventCutter()
        self.placement = self._delivery.take_placement()
        return True

    def _finish(self) -> None:
        self._answer.close()
        if self.placement is not None:
            self._delivery.end_placement(self.placement, requests.Ending.SOUND)
            self.placement = None

    def close(self) -> None:
        """Cancels the work at the target if the stream hasn't ended."""
        if self.placement is not None:
            self._delivery.stream_ended("client_gone")
        self._finish()


class _StreamBody:
    """An iterator whose `close` also takes effect before the first event."""

    def __init__(self, stream: _Stream, first: bytes) -> None:
        self._stream = stream
        self._parts = stream.rest(first)

    def __iter__(self) -> Iterator[bytes]:
        return self._parts

    def close(self) -> None:
        self._stream.close()
