"""Delivers one call: placement, attempts at targets, and the reply."""

import http

import attrs

from turmericward import requests, routing
from turmericward.adapters import errors
from turmericward.delivery import (
    _answer_errors,
    _attempt_ends,
    _context,
    _early_end,
    _final_replies,
    _late_attempt,
    _open_placement,
    _parts,
    _placements,
    _progress,
    _record,
    _stop,
    _stream,
    _stream_delivery,
    _superseded,
    _timeouts,
)


class Delivery:
    """One call, with attempts bounded by its route and the retry budget."""

    def __init__(self, ctx: _context.Context, call: routing.Call, service: str) -> None:
        """Creates the delivery without sending anything.

        Args:
            ctx: dispatcher, transport and metrics of the process.
            call: the client's call.
            service: name of the service that handles it.
        """
        self._ctx = ctx
        self._service = service
        self._progress = _progress.Progress(route=call.route)
        self._record = _record.CallRecord(ctx.metrics, call, service)
        self._early_end = _early_end.EarlyEnd(
            call.cancelled,
            _stop.CallStop(drain=ctx.drain, times=ctx.times),
            self._progress,
            self._record,
        )
        # Polled while an attempt waits for its target.
        self._call = attrs.evolve(call, cancelled=self._early_end.is_due)
        self._open = _open_placement.OpenPlacement(
            ctx.dispatch,
            self._record,
            call.prompt,
            call.workspace.name if call.workspace else "",
            streamed=call.route.kind is routing.CallKind.STREAM,
        )
        self._parts = _parts.CallParts(
            ctx=ctx,
            call=self._call,
            service=service,
            progress=self._progress,
            record=self._record,
            early_end=self._early_end,
            open=self._open,
        )
        self._replies = _final_replies.FinalReplies(self._parts)
        self._ends = _attempt_ends.AttemptEnds(self._parts)
        self._late = _late_attempt.LateAttempts(self._parts, self._ends)
        self._placements = _placements.Placements(self._parts)
        # What has come of an attempt that replaced one at a silent target.
        self._successor: _superseded.SupersededError | None = None
        # Handle of the prompt's KV cache until a decode target accepts it.
        self._kv_source = ""
        self._prefill_domain = ""

    def run(self) -> routing.Reply:
        """Returns the reply; a streamed body is relayed as it is iterated."""
        self._ctx.open_calls.add(self._record)
        try:
            reply = self._final_reply()
        except BaseException:
            self._ctx.open_calls.discard(self._record)
            raise
        return attrs.evolve(reply, target=self._parts.target)

    def _final_reply(self) -> routing.Reply:
        try:
            return self._deliver()
        except _early_end.ClientDisconnectedError:
            return self._replies.client_gone()
        except _progress.CallAbandonedError:
            return self._replies.abandoned()
        finally:
            # A running stream has taken over its placement and ends it itself.
            self._open.end(requests.Ending.DISCONNECTED)
            self._release_kv_source()

    def _deliver(self) -> routing.Reply:
        while True:
            if not self._kv_source and self._successor is None:
                self._prefill()
            answer = self._attempt()
            reply = None if answer is None else self._reply(answer)
            if reply is not None:
                return reply

    # Placement and attempts.

    def _place(self, *, prefilled: bool) -> None:
        # One may have been granted while the last attempt was open.
        if self._open.placement is None:
            self._placements.begin(
                self._call, prefilled=prefilled, prefill_domain=self._prefill_domain
            )

    def _prefill(self) -> None:
        """Runs a separate prefill if the placement asks for one; stores its handle."""
        if self._call.prompt is None:
            return
        while True:
            self._place(prefilled=False)
            placement = self._open.placement
            if not placement.prefill_only:
                return
            try:
                self._kv_source = self._ctx.transport.prefill(
                    placement.target,
                    self._call,
                    self._new_dispatch(prefill_only=True),
                )
            except errors.CancelledError:
                self._early_end.end_call(_stop.CallPhase.PREFILL)
            except (errors.NotExecutedError, errors.NotSentError) as exc:
                self._ends.not_executed(exc)
            except _superseded.SupersededError as exc:
                self._begin_granted(exc.granted)
            except errors.AdapterError as exc:
                self._ends.prefill_failed(exc)
            else:
                self._prefill_domain = placement.target.domain
                self._progress.prefills += 1
                self._open.record_first_output()
                self._open.end(requests.Ending.SUCCEEDED)
                return

    def _attempt(self) -> routing.Answer | None:
        """Sends the call once; returns None if it has to go to another target."""
        if self._open.placement is None:
            # A plain call, one with a separate prefill, or a stream to resume.
            self._place(prefilled=self._call.prompt is not None)
        try:
            answer = self._send()
        except errors.CancelledError:
            self._early_end.end_call(_stop.CallPhase.RUNNING)
        except errors.NotSentError as exc:
            # The KV cache wasn't fetched, so another target can still use it.
            self._ends.not_executed(exc)
            return None
        except _superseded.SupersededError as exc:
            self._kv_source = ""
            self._begin_granted(exc.granted)
            return None
        except errors.AdapterError as exc:
            self._kv_source = ""
            self._ends.failed(exc)
            return None
        if answer.outcome is routing.Outcome.NOT_RUN:
            answer.close()
            self._release_kv_source()
            self._ends.not_executed(_answer_errors.error_of(answer))
            return None
        self._kv_source = ""
        return answer

    def _send(self) -> routing.Answer:
        """Sends the call, or returns what has come of an attempt sent meanwhile."""
        if self._successor is not None:
            successor, self._successor = self._successor, None
            return successor.outcome()
        try:
            return self._ctx.transport.send(
                self._open.placement.target, self._call, self._new_dispatch()
            )
        except _superseded.SupersededError as exc:
            if exc.granted is not None:
                raise
            return exc.outcome()

    def _take_over(self, successor: _superseded.SupersededError) -> None:
        self._successor = successor

    def _begin_granted(self, placement: requests.Placement) -> None:
        """Begins an attempt that was granted while the last one was open."""
        self._early_end.restart()
        self._open.begin(placement)
        self._open.mark_sent()

    def _release_kv_source(self) -> None:
        source, self._kv_source = self._kv_source, ""
        # At the end of the process's stop the reply comes first; the handle expires.
        if source and not self._early_end.ended_by_stop:
            self._ctx.transport.release(source)

    def _new_dispatch(self, *, prefill_only=False) -> routing.Dispatch:
        placement = self._open.placement
        timeout_s = _timeouts.first_byte_timeout_s(
            self._call,
            placement.expected_s,
            may_repeat=self._early_end.may_repeat(self._call, placement),
        )
        self._record.begin_wait(timeout_s)
        return routing.Dispatch(
            timeout_s=timeout_s,
            priority=self._call.priority + placement.rank,
            resume_after=self._call.resume_after,
            kv_source=self._kv_source,
            fetch_from=placement.fetch_from,
            prefill_only=prefill_only,
            on_late=self._late.on_late,
        )

    # Replies.

    def _reply(self, answer: routing.Answer) -> routing.Reply | None:
        if answer.outcome is routing.Outcome.FOREIGN:
            answer.close()
            self._ends.failed(_answer_errors.error_of(answer))
            return None
        if self._call.route.kind is routing.CallKind.STREAM and answer.status == 200:
            return self._streamed_reply(answer)
        return self._buffered_reply(answer)

    def _buffered_reply(self, answer: routing.Answer) -> routing.Reply | None:
        try:
            body = answer.read()
            cut_off_by = self._parts.cut_off_by(answer, self._open.placement.target)
            if cut_off_by:
                raise errors.ConnectionLostError(f"answer cut off: {cut_off_by}")
        except errors.CancelledError:
            self._early_end.end_call(_stop.CallPhase.RUNNING)
        except errors.AdapterError as exc:
            self._ends.failed(exc)
            return None
        finally:
            answer.close()
        self._open.record_first_output()
        self._late.output_received()
        reply = routing.Reply(status=answer.status, headers=answer.headers, body=body)
        if answer.outcome is routing.Outcome.FAILED:
            self._progress.record_failure_reply(reply)
            self._ends.failed(_answer_errors.error_of(answer))
            return None
        self._early_end.record_answered(self._call)
        answered = answer.status < http.HTTPStatus.BAD_REQUEST
        self._open.end(requests.Ending.SUCCEEDED, answered=answered)
        self._replies.record("answered", answer.status)
        return reply

    def _streamed_reply(self, answer: routing.Answer) -> routing.Reply | None:
        attempt = _stream.StreamAttempt(answer=answer, placement=self._open.placement)
        body = _stream.Stream(self._owner(), attempt, self._call.resume_after)
        try:
            body.await_first()
        except errors.CancelledError:
            answer.close()
            self._early_end.end_call(_stop.CallPhase.RUNNING)
        except _superseded.SupersededError as exc:
            answer.close()
            self._take_over(exc)
            return None
        except errors.AdapterError as exc:
            answer.close()
            self._ends.failed(exc)
            return None
        self._open.record_first_output()
        self._late.output_received()
        self._open.hand_over()
        self._early_end.record_answer_begun()
        return routing.Reply(status=answer.status, headers=answer.headers, body=body)

    def _owner(self) -> _stream_delivery.StreamDelivery:
        attempts = _stream_delivery.Attempts(
            next=self._resumed_attempt,
            take_over=self._take_over,
            record_failure=self._ends.failed,
        )
        return _stream_delivery.StreamDelivery(
            self._parts, self._late, attempts, self._replies.record
        )

    def _resumed_attempt(self, last_id: str) -> routing.Answer | None:
        self._call = attrs.evolve(self._call, resume_after=last_id)
        return self._attempt()
