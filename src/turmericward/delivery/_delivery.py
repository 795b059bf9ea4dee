"""Carries one call through placement, attempts and relay to its reply."""

import attrs

from turmericward import requests, runtime
from turmericward.adapters import errors
from turmericward.delivery import (
    _calls,
    _context,
    _messages,
    _progress,
    _record,
    _stream,
)

ASK_S = 5.0
# A target that owes the first byte for this many objectives is given up.
PATIENCE_OBJECTIVES = 2.0
# The same in times of the wait that was expected.
PATIENCE_EXPECTED = 2.5
MIN_PATIENCE_S = 0.3
# Pauses between events after which a stream is resumed elsewhere.
PATIENCE_GAPS = 4.0
MIN_EVENT_PATIENCE_S = 1.0
CLIENT_CLOSED_REQUEST = 499


class _ClientGoneError(Exception):
    """Raised when the client closed its connection."""


class Delivery:
    """One call, over as many targets as its route and the budget allow."""

    def __init__(self, ctx: _context.Context, call: _calls.Call, service: str) -> None:
        """Creates the delivery; nothing is sent yet."""
        self._ctx = ctx
        self._call = call
        self._service = service
        self._progress = _progress.Progress(route=call.route)
        self._record = _record.CallRecord(ctx.metrics, call, service)
        self._placement: requests.Placement | None = None
        # Name of the target that was placed last.
        self._target = ""
        self._sent_at = 0.0
        # Names KV cache of the prompt that no target has taken yet.
        self._source = ""
        self._read_in = ""

    def run(self) -> _calls.Reply:
        """Returns the reply; a stream's body goes on while it is read."""
        return attrs.evolve(self._replied(), target=self._target)

    def _replied(self) -> _calls.Reply:
        try:
            return self._deliver()
        except _ClientGoneError:
            return self._client_gone()
        except _progress.GivenUpError:
            return self._given_up()
        finally:
            # A stream that runs on has taken its placement over.
            self._end(requests.Ending.LEFT)
            self._release()

    def _deliver(self) -> _calls.Reply:
        while True:
            if not self._source:
                self._prefill()
            answer = self._attempt()
            reply = None if answer is None else self._reply(answer)
            if reply is not None:
                return reply

    # Attempts.

    def _place(self, *, read: bool) -> None:
        if self._call.disconnected():
            raise _ClientGoneError
        if self._call.left_s() <= 0:
            self._progress.given_up("deadline")
        message = _messages.Place(
            call=self._call,
            service=self._service,
            excluded=self._progress.excluded,
            retry=self._progress.is_retry(read=read),
            read=read,
            read_in=self._read_in,
        )
        chosen = self._ctx.dispatch.ask(message).result(ASK_S)
        if chosen.is_err():
            refusal = chosen.unwrap_err()
            self._progress.given_up(refusal.reason, refusal.retry_after_s)
        self._placement = chosen.unwrap()
        self._target = self._placement.target.name
        self._sent_at = runtime.now()
        self._record.placed(self._placement)

    def _prefill(self) -> None:
        """Has the prompt read elsewhere if that is better, and keeps its source."""
        if self._call.prompt is None:
            return
        while True:
            self._place(read=False)
            if not self._placement.prefill_only:
                return
            try:
                self._source = self._ctx.transport.prefill(
                    self._placement.target,
                    self._call,
                    self._dispatch(prefill_only=True),
                )
            except errors.CancelledError as exc:
                raise _ClientGoneError from exc
            except (errors.NotExecutedError, errors.NotSentError) as exc:
                self._not_taken(exc)
            except errors.AdapterError as exc:
                self._end_failed(exc)
                self._progress.prefill_failed(self._target)
            else:
                self._read_in = self._placement.target.domain
                self._progress.prefills += 1
                self._began()
                self._end(requests.Ending.SOUND)
                return

    def _attempt(self) -> _calls.Answer | None:
        """Sends the call once; returns None if it is to be sent elsewhere."""
        if self._placement is None:
            # A plain call, or one whose prompt was read elsewhere or goes on after
            # a break.
            self._place(read=self._call.prompt is not None)
        try:
            answer = self._ctx.transport.send(
                self._placement.target, self._call, self._dispatch()
            )
        except errors.CancelledError as exc:
            raise _ClientGoneError from exc
        except errors.NotSentError as exc:
            # The source wasn't taken, so another target can still take it.
            self._not_taken(exc)
            return None
        except errors.AdapterError as exc:
            self._source = ""
            self._failed(exc)
            return None
        if answer.not_run:
            answer.close()
            self._release()
            self._not_taken(errors.NotExecutedError(f"status {answer.status}"))
            return None
        self._source = ""
        return answer

    def _release(self) -> None:
        source, self._source = self._source, ""
        if source:
            self._ctx.transport.release(source)

    def _dispatch(self, *, prefill_only=False) -> _calls.Dispatch:
        placement = self._placement
        return _calls.Dispatch(
            timeout_s=self._patience_s(),
            priority=self._call.route.priority + placement.rank,
            resume_after=self._call.resume_after,
            source=self._source,
            fetch_from=placement.fetch_from,
            prefill_only=prefill_only,
        )

    def _patience_s(self) -> float:
        """Returns how long a target may take to begin its answer."""
        left_s = self._call.left_s()
        if not self._progress.may_repeat():
            return left_s
        patience_s = max(
            MIN_PATIENCE_S,
            PATIENCE_OBJECTIVES * self._call.route.objective_s,
            left_s / 2,
            # Work that waits its turn would be lost with its place.
            MIN_PATIENCE_S + PATIENCE_EXPECTED * self._placement.expected_s,
        )
        return min(left_s, patience_s)

    def _not_taken(self, exc: errors.AdapterError) -> None:
        """Notes a target that the call didn't reach, or that refused it."""
        if isinstance(exc, errors.NotExecutedError):
            self._record.attempt(self._placement, "refused", str(exc))
            self._end(requests.Ending.REFUSED)
            self._progress.refused(self._target)
        else:
            self._record.attempt(self._placement, "not_reached", str(exc))
            self._end(requests.Ending.UNREACHED)
            self._progress.not_reached(self._target)

    def _failed(self, exc: Exception) -> None:
        """Notes a target where the call may have run, without a good answer."""
        self._end_failed(exc)
        self._progress.failed(self._target)

    def _end_failed(self, exc: Exception) -> None:
        self._record.attempt(self._placement, "failed", repr(exc))
        self._end(requests.Ending.FAILED)

    # Replies.

    def _reply(self, answer: _calls.Answer) -> _calls.Reply | None:
        if not answer.genuine:
            answer.close()
            self._failed(
                errors.ForeignAnswerError(f"status {answer.status} isn't the target's")
            )
            return None
        if self._call.route.kind is _calls.CallKind.STREAM and answer.status == 200:
            return self._streamed(answer)
        return self._whole(answer)

    def _whole(self, answer: _calls.Answer) -> _calls.Reply | None:
        try:
            body = answer.read()
        except errors.CancelledError as exc:
            raise _ClientGoneError from exc
        except errors.AdapterError as exc:
            self._failed(exc)
            return None
        finally:
            answer.close()
        self._began()
        reply = _calls.Reply(status=answer.status, headers=answer.headers, body=body)
        if answer.status >= 500:
            self._progress.fallback = reply
            self._failed(errors.AnswerLostError(f"status {answer.status}"))
            return None
        self._end(requests.Ending.SOUND)
        self._ended("answered", answer.status)
        return reply

    def _streamed(self, answer: _calls.Answer) -> _calls.Reply | None:
        leg = _stream.Leg(answer=answer, placement=self._placement)
        body = _stream.Stream(self, leg, self._call.resume_after)
        try:
            body.await_first()
        except errors.CancelledError as exc:
            answer.close()
            raise _ClientGoneError from exc
        except errors.AdapterError as exc:
            answer.close()
            self._failed(exc)
            return None
        self._began()
        self._placement = None
        return _calls.Reply(status=answer.status, headers=answer.headers, body=body)

    def _client_gone(self) -> _calls.Reply:
        self._ended("client_gone", CLIENT_CLOSED_REQUEST)
        failure = _calls.Failure(
            status=CLIENT_CLOSED_REQUEST, reason="cancelled", may_have_run=True
        )
        return _calls.Reply(status=failure.status, failure=failure)

    def _given_up(self) -> _calls.Reply:
        fallback = self._progress.fallback
        if fallback is not None:
            self._ended("answered", fallback.status)
            return fallback
        failure = self.failure()
        outcome = "outcome_unknown" if failure.may_have_run else "refused"
        self._ended(outcome, failure.status)
        return _calls.Reply(status=failure.status, failure=failure)

    # Bookkeeping.

    def _began(self) -> None:
        took_s = runtime.now() - self._sent_at
        self._record.began(self._placement, took_s)
        self._ctx.dispatch.post(
            _messages.Began(
                placement=self._placement, prompt=self._call.prompt, took_s=took_s
            )
        )

    def _end(self, ending: requests.Ending) -> None:
        placement, self._placement = self._placement, None
        if placement is not None:
            self._post_ended(placement, ending)

    def _post_ended(
        self, placement, ending: requests.Ending, *, streamed: bool = False
    ) -> None:
        self._ctx.dispatch.post(
            _messages.Ended(
                placement=placement,
                prompt=self._call.prompt,
                ending=ending,
                streamed=streamed,
            )
        )

    def _ended(self, outcome: str, status: int) -> None:
        progress = self._progress
        self._record.ended(
            outcome, status, progress.reason, progress.stopped, progress.arrived
        )

    # What a running stream asks of its delivery; see `_stream.Source`.

    def next_event_by(self) -> float:
        """Returns when the stream counts as broken without a further event."""
        if not self._progress.may_repeat():
            return self._call.until
        patience_s = max(MIN_EVENT_PATIENCE_S, PATIENCE_GAPS * self._call.route.gap_s)
        return min(self._call.until, runtime.now() + patience_s)

    def events_sent(self, count: int) -> None:
        """Notes events that came together."""
        self._record.events(count)

    def leg_ended(self, leg: _stream.Leg, *, whole: bool) -> None:
        """Ends a leg that did what it should; `whole` unless the client left."""
        self._post_ended(leg.placement, requests.Ending.SOUND, streamed=whole)

    def stream_ended(self, outcome: str) -> None:
        """Notes how the whole stream ended."""
        self._ended(outcome, 200)

    def failure(self) -> _calls.Failure:
        """Returns what the client is told when the call can't go on."""
        return self._progress.failure(late=self._call.left_s() <= 0)

    def resume(
        self, leg: _stream.Leg, exc: Exception, last_id: str
    ) -> _stream.Leg | None:
        """Ends a broken leg and opens the next one; None if there can be none."""
        self._placement = leg.placement
        self._call = attrs.evolve(self._call, resume_after=last_id)
        try:
            self._failed(exc)
            return self._next_leg()
        except (_progress.GivenUpError, _ClientGoneError):
            return None
        finally:
            self._end(requests.Ending.SOUND)

    def _next_leg(self) -> _stream.Leg | None:
        if not self._call.route.resumable:
            return None
        while True:
            answer = self._attempt()
            if answer is None:
                continue
            if not answer.genuine or answer.status != 200:
                answer.close()
                return None
            placement, self._placement = self._placement, None
            return _stream.Leg(answer=answer, placement=placement)
