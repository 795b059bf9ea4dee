"""Looks for a second attempt when a target is silent, before the first one is ended.

Load pattern handled: targets that say nothing for a second or so and go on, one or many
of them at once, beside some that never go on. Ending an attempt for its target's
silence loses the call if no other target can take it.
"""

import functools

import attrs

from turmericward import dispatching, requests, routing, runtime
from turmericward.adapters import _pending, errors
from turmericward.delivery import (
    _answer_errors,
    _asking,
    _attempt_ends,
    _open_placement,
    _parts,
    _stream,
    _superseded,
    _timeouts,
)

# How long the answer on a second attempt may take, in which the first isn't read.
DISPATCH_TIMEOUT_S = 0.3
# After this time, a call that was allowed no second attempt asks again.
ASK_AGAIN_S = 0.5
# How long two targets may work on a prompt or a stream at the same time.
MAX_OVERLAP_S = 0.3


class _NotAwaitedError(errors.AdapterError):
    """Raised when a second attempt is ended though the first one is silent."""


class LateAttempts:
    """Second attempts of one call; `on_late` is called while the first one waits.

    At most two are open at a time. The first is ended as soon as the second has the
    head of a usable answer, of a plain call the whole; that of a stream or a prompt
    also when the second has worked for `MAX_OVERLAP_S`. Of a plain call the first
    answer counts; if neither comes, the first attempt is ended when a third one is
    allowed. While the process stops, a stream that its client has in part is kept at
    the first unless the second answers within `MAX_OVERLAP_S`. As long as the first
    attempt is open, a failure of the second is none of the call.
    """

    def __init__(
        self, parts: _parts.CallParts, ends: _attempt_ends.AttemptEnds
    ) -> None:
        """Creates the second attempts of a call.

        Args:
            parts: the parts of the call's delivery.
            ends: ends those that failed.
        """
        self._parts = parts
        self._ends = ends
        # Id of the last event of a stream that its client has.
        self.last_id = parts.call.resume_after
        # Whether the client has the beginning of a stream.
        self.began = False
        # Name of the target that is silent, and why no second attempt was allowed.
        self._silent = ""
        self._last_refusal = ""

    def begin_stream(self, last_id: str) -> None:
        """Records that the client has the events of a stream up to `last_id`."""
        self.began = True
        self.last_id = last_id

    def output_received(self) -> None:
        """Records that the call's target has output."""
        if self._silent:
            self._parts.ctx.dispatch.post(dispatching.TargetWentOn(name=self._silent))
        self._silent = ""

    def on_late(self, pending: _pending.PendingConnection) -> float:
        """Returns until when the silent target is waited for further.

        Raises:
            TimeoutError: the call's deadline has passed.
            SupersededError: the attempt was ended in favour of another one.
            CancelledError: the call has to end.
        """
        parts = self._parts
        first = parts.open.current
        parts.record.log_late_attempt(first)
        self._silent = first.target.name
        if parts.call.remaining_s() <= 0:
            raise TimeoutError("no bytes before the deadline")
        if not parts.early_end.may_repeat(parts.call, first):
            self._log_refusal("not_allowed")
            return parts.call.deadline
        second = self._ask(first)
        if second is None:
            return self._ask_again_at()
        return self._go_on_with(pending, second)

    def _go_on_with(
        self, pending: _pending.PendingConnection, second: requests.Placement
    ) -> float:
        if self._parts.open.current.prefill_only or second.prefill_only:
            # A second prefill beside the first would hold KV cache at two targets.
            self._end_first(pending)
            raise _superseded.SupersededError(granted=second)
        return self._race(pending, second)

    def _ask_again_at(self) -> float:
        return min(self._parts.call.deadline, runtime.now() + ASK_AGAIN_S)

    def _ask(self, waiting: requests.Placement) -> requests.Placement | None:
        parts = self._parts
        name = waiting.target.name
        running = frozenset((name, parts.open.current.target.name))
        message = dispatching.Place(
            call=self._call(),
            service=parts.service,
            excluded=parts.progress.avoided(running) | running,
            only=parts.progress.bound_to(running),
            retry=True,
            prefilled=self.began,
            first=False,
            fingerprint=parts.record.fingerprint,
            silent=dispatching.SilentTarget(name=name, silent_s=parts.record.silent_s),
        )
        chosen = _asking.place(parts.ctx.dispatch, message, DISPATCH_TIMEOUT_S)
        if chosen.is_err():
            self._log_refusal(chosen.unwrap_err().reason)
            return None
        placement = chosen.unwrap()
        parts.record.log_second_attempt("granted", "", placement.target.name)
        return placement

    def _log_refusal(self, reason: str) -> None:
        if reason != self._last_refusal:
            self._parts.record.log_second_attempt("refused", reason)
        self._last_refusal = reason

    def _call(self) -> routing.Call:
        return attrs.evolve(self._parts.call, resume_after=self.last_id)

    def _race(
        self, pending: _pending.PendingConnection, placement: requests.Placement
    ) -> float:
        """Sends the second attempt; returns if the first one goes on."""
        parts = self._parts
        second = _open_placement.OpenPlacement(
            parts.ctx.dispatch, parts.record, parts.call.prompt
        )
        second.begin(placement)
        second.mark_sent()
        try:
            answer = self._send(pending, second)
        except errors.RivalAnsweredError:
            self._end_second(second, "not_needed")
            self.output_received()
        except _NotAwaitedError:
            self._end_second(second, "not_awaited")
            return parts.call.deadline
        except errors.CancelledError:
            self._end_either(second)
            raise
        except errors.AdapterError as exc:
            if pending.closed:
                raise _superseded.superseded_by(exc) from exc
            self._ends.second(second, exc)
        except BaseException:
            self._end_either(second)
            raise
        else:
            self._take_over_if_usable(pending, second, answer)
        return self._ask_again_at()

    def _end_second(self, second: _open_placement.OpenPlacement, outcome: str) -> None:
        name = second.placement.target.name
        second.end(requests.Ending.DISCONNECTED)
        self._parts.progress.record_not_needed(name)
        self._parts.record.log_second_attempt(outcome, "", name)

    def _end_either(self, second: _open_placement.OpenPlacement) -> None:
        """Ends the second attempt, whether or not it has replaced the first."""
        if second.placement is None:
            self._parts.open.end(requests.Ending.DISCONNECTED)
        else:
            second.end(requests.Ending.DISCONNECTED)

    def _send(
        self,
        pending: _pending.PendingConnection,
        second: _open_placement.OpenPlacement,
    ) -> routing.Answer:
        parts = self._parts
        call = self._call()
        placement = second.placement
        dispatch = routing.Dispatch(
            timeout_s=min(call.remaining_s(), self._overlap_s(placement)),
            priority=call.priority + placement.rank,
            resume_after=self.last_id,
            fetch_from=placement.fetch_from,
            on_late=functools.partial(self._on_late_second, pending, second),
            rival=pending,
        )
        answer = parts.ctx.transport.send(placement.target, call, dispatch)
        if pending.closed or not call.first_answer_counts:
            return answer
        return answer.whole() if self._is_usable(answer) else answer

    def _overlap_s(self, second: requests.Placement) -> float:
        """Returns how long the second attempt is waited for beside the first."""
        parts = self._parts
        if self._keeps_first or not self._keeps_both:
            return MAX_OVERLAP_S
        return _timeouts.first_byte_timeout_s(
            parts.call,
            second.expected_s,
            may_repeat=self._may_have_third(second),
        )

    def _may_have_third(self, second: requests.Placement) -> bool:
        parts = self._parts
        return parts.early_end.may_repeat(parts.call, parts.open.current, second)

    @property
    def _keeps_first(self) -> bool:
        # A stream whose other attempt fails may get no further one before the end.
        return self.began and self._parts.early_end.stops

    @property
    def _keeps_both(self) -> bool:
        """Whether the first goes on until the second answers."""
        return self._parts.call.first_answer_counts

    def _on_late_second(
        self,
        pending: _pending.PendingConnection,
        second: _open_placement.OpenPlacement,
        pending_second: _pending.PendingConnection,
    ) -> float:
        if pending.closed:
            return self.on_late(pending_second)
        if self._parts.call.remaining_s() <= 0:
            raise TimeoutError("no bytes before the deadline")
        if self._keeps_first:
            raise _NotAwaitedError("the process stops")
        if self._keeps_both:
            return self._on_late_both(pending, second, pending_second)
        self._replace_first(pending, second)
        return self._first_byte_until(second)

    def _on_late_both(
        self,
        pending: _pending.PendingConnection,
        second: _open_placement.OpenPlacement,
        pending_second: _pending.PendingConnection,
    ) -> float:
        """Looks for a third attempt; the first is ended only if there is one."""
        parts = self._parts
        if not self._may_have_third(second.placement):
            return parts.call.deadline
        third = self._ask(second.placement)
        if third is None:
            return self._ask_again_at()
        self._replace_first(pending, second)
        self._silent = parts.open.current.target.name
        return self._go_on_with(pending_second, third)

    def _first_byte_until(self, second: _open_placement.OpenPlacement) -> float:
        parts = self._parts
        timeout_s = _timeouts.first_byte_timeout_s(
            parts.call,
            parts.open.current.expected_s,
            may_repeat=parts.early_end.may_repeat(parts.call, parts.open.current),
        )
        return parts.record.begin_wait(timeout_s)

    def _take_over_if_usable(
        self,
        pending: _pending.PendingConnection,
        second: _open_placement.OpenPlacement,
        answer: routing.Answer,
    ) -> None:
        if not pending.closed:
            if not self._is_usable(answer):
                answer.close()
                self._ends.second(second, _answer_errors.error_of(answer))
                return
            self._replace_first(pending, second)
        raise _superseded.SupersededError(answer=answer)

    def _is_usable(self, answer: routing.Answer) -> bool:
        if self.began:
            return _stream.continues_stream(answer)
        return answer.outcome is routing.Outcome.SERVED

    def _replace_first(
        self,
        pending: _pending.PendingConnection,
        second: _open_placement.OpenPlacement,
    ) -> None:
        self._end_first(pending)
        self._parts.open.take_over(second)
        self._parts.early_end.restart()
        self._parts.record.log_second_attempt(
            "took_over", "", self._parts.open.current.target.name
        )

    def _end_first(self, pending: _pending.PendingConnection) -> None:
        parts = self._parts
        pending.close()
        first = parts.open.current
        parts.record.log_failed_attempt(first, "superseded", "no bytes in time")
        parts.open.resume(first)
        parts.open.end(requests.Ending.LATE, connection_lost=pending.lost)
        parts.progress.record_superseded(first.target.name, ran=not first.prefill_only)
        self._silent = self._last_refusal = ""
