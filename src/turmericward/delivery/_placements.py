"""Gets a call a target, and waits until it may be sent there.

Load pattern handled: targets with a rate limit, and targets that accept no connection
for a moment, one or all of them.
"""

import time

import attrs
import result

from turmericward import dispatching, fleet, requests, routing, runtime
from turmericward.delivery import _asking, _parts, _stop

DISPATCH_TIMEOUT_S = 5.0
CHECK_TIMEOUT_S = 0.2
# How often a call that waits for its turn at a target checks for its client.
DISCONNECT_POLL_S = 0.1
# If no target accepts or refuses a connection, all are tried again after this time, as
# long as this share of the call's time is left if it can still be refused, but not for
# longer than targets are silent that are sound: a call that waits occupies a thread.
CONNECT_AGAIN_S = 0.1
CONNECT_SHARE = 0.5
MAX_CONNECT_S = 2.0
NO_TARGET_REASONS = frozenset({fleet.NO_TARGET, "no_engine"})


class Placements:
    """Placements of one call, one after the other."""

    def __init__(self, parts: _parts.CallParts) -> None:
        """Creates it on the parts of the call's delivery."""
        self._parts = parts
        # Until when targets are tried again that accept no connection, since the
        # latest attempt that reached one.
        self._try_until: float | None = None
        self._arrivals = 0

    def begin(
        self, call: routing.Call, *, prefilled: bool, prefill_domain: str
    ) -> None:
        """Begins a placement; returns when the call may be sent to its target.

        Args:
            call: the call as it is to be sent.
            prefilled: whether the prompt's KV cache is available at another target.
            prefill_domain: failure domain of that target, if known.

        Raises:
            ClientDisconnectedError: the client has left.
            CallAbandonedError: no target takes the call.
        """
        parts = self._parts
        message = dispatching.Place(
            call=call,
            service=parts.service,
            excluded=frozenset(),
            retry=parts.progress.is_retry(prefilled=prefilled),
            prefilled=prefilled,
            prefill_domain=prefill_domain,
            fingerprint=parts.record.fingerprint,
        )
        while True:
            placement = self._ask_until_granted(message)
            parts.open.begin(placement)
            if message.retry:
                parts.record.log_second_attempt("granted", "", placement.target.name)
            start = runtime.now() + placement.start_after_s
            if not self._await_start(start) or self._is_usable(placement):
                parts.open.mark_sent()
                return
            detail = "the target left before the call's turn"
            parts.record.log_failed_attempt(placement, "not_reached", detail)
            parts.open.end(requests.Ending.UNREACHED)

    def _is_usable(self, placement: requests.Placement) -> bool:
        dispatch = self._parts.ctx.dispatch
        return _asking.is_usable(dispatch, placement.target, CHECK_TIMEOUT_S)

    def _ask_until_granted(self, message: dispatching.Place) -> requests.Placement:
        while True:
            self._parts.early_end.check_attempt(message.call, retry=message.retry)
            chosen = self._ask(message)
            if chosen.is_ok():
                return chosen.unwrap()
            refusal = chosen.unwrap_err()
            if not self._allows_superseded(refusal):
                self._try_silent_again(message, refusal)

    def _ask(
        self, message: dispatching.Place
    ) -> result.Result[requests.Placement, requests.Refusal]:
        progress = self._parts.progress
        message = attrs.evolve(
            message,
            excluded=progress.avoided(),
            only=progress.bound_to(frozenset()),
            first=not progress.placements,
        )
        progress.placements += 1
        timeout_s = min(DISPATCH_TIMEOUT_S, message.call.remaining_s())
        return _asking.place(
            self._parts.ctx.dispatch,
            message,
            timeout_s,
            self._parts.early_end.is_due,
        )

    def _allows_superseded(self, refusal: requests.Refusal) -> bool:
        """Returns whether targets may be used now that were silent before."""
        progress = self._parts.progress
        if refusal.reason not in NO_TARGET_REASONS or not progress.superseded:
            return False
        progress.superseded = frozenset()
        return True

    def _try_silent_again(
        self, message: dispatching.Place, refusal: requests.Refusal
    ) -> None:
        """Waits until targets may be tried again that accepted no connection.

        Raises:
            CallAbandonedError: there are none, or little of the call's time is left.
        """
        progress = self._parts.progress
        if (
            refusal.reason not in NO_TARGET_REASONS
            or not progress.silent
            or runtime.now() >= self._connect_until()
        ):
            if message.retry:
                self._parts.record.log_second_attempt("refused", refusal.reason)
            progress.abandon(refusal.reason, refusal.retry_after_s)
        progress.silent = frozenset()
        self._wait(runtime.now() + CONNECT_AGAIN_S)

    def _connect_until(self) -> float:
        arrivals = self._parts.progress.arrivals
        if self._try_until is None or arrivals > self._arrivals:
            self._arrivals = arrivals
            self._try_until = min(self._latest_try(), runtime.now() + MAX_CONNECT_S)
        return self._try_until

    def _latest_try(self) -> float:
        call = self._parts.call
        if self._parts.progress.may_have_run:
            return call.deadline
        return call.deadline - CONNECT_SHARE * (call.deadline - call.received)

    def _await_start(self, start: float) -> bool:
        """Waits until the target's rate limit allows the call; returns if it had to."""
        began_at = runtime.now()
        if start <= began_at:
            return False
        self._wait(start)
        early_end = self._parts.early_end
        early_end.exclude_wait(runtime.now() - began_at)
        early_end.check_attempt(self._parts.call, retry=False)
        return True

    def _wait(self, until: float) -> None:
        early_end = self._parts.early_end
        while (remaining_s := until - runtime.now()) > 0:
            if early_end.is_due():
                early_end.end_call(_stop.CallPhase.WAITING)
            time.sleep(min(remaining_s, DISCONNECT_POLL_S))
