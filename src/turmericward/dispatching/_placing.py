"""Grants a call a target, within the retry budget and what the targets take.

Load pattern handled: first attempts, retries of calls that have lost their target, and
second attempts beside silent ones, which are worth less: their call may still be
answered.
"""

import attrs
import result

from turmericward import fleet, requests, runtime
from turmericward.dispatching import (
    _crash_guard,
    _deadlines,
    _fair_sharing,
    _messages,
    _retry_budgets,
    _waits,
)

RETRY_BUDGET_RETRY_S = 0.5


class Placing:
    """Places calls; used by the dispatcher's thread only."""

    def __init__(
        self,
        admission: fleet.Admission,
        placer: requests.Placer,
        crashes: _crash_guard.CrashGuard,
        budgets: _retry_budgets.RetryBudgets,
        shares: _fair_sharing.FairSharing,
    ) -> None:
        """Creates it on the dispatcher's state.

        Args:
            admission: which targets may get calls.
            placer: chooses one of them.
            crashes: refuses calls that crash targets.
            budgets: the retry budgets.
            shares: the workspaces' shares of saturated services.
        """
        self._admission = admission
        self._placer = placer
        self._crashes = crashes
        self._budgets = budgets
        self._shares = shares
        self._deadlines = _deadlines.DeadlineEstimates()
        # Services of the open placements that are retries.
        self._retries: dict[int, str] = {}

    def place(
        self, message: _messages.Place
    ) -> result.Result[requests.Placement, requests.Refusal]:
        """Returns the placement, or why there is none."""
        now = runtime.now()
        if message.silent is not None:
            self._placer.silent(message.silent.name, message.silent.silent_s, now)
        refusal = self._crashes.refusal(message)
        if refusal is not None:
            return result.Err(refusal)
        turn = self._shares.offer(message, now)
        if turn is not None and turn.verdict.refusal is not None:
            return result.Err(turn.verdict.refusal)
        budget = self._budgets.for_service(message.service)
        if message.is_optional and not budget.has_spare(message.retries_kept):
            return _refusal("retry_reserve", RETRY_BUDGET_RETRY_S)
        if message.retry and not budget.spend():
            return _refusal("retry_budget", RETRY_BUDGET_RETRY_S)
        if message.first and not message.retry and not message.prefilled:
            budget.earn()
        chosen = self._choose(message, now)
        if turn is not None:
            chosen = self._shares.placed(turn, message, chosen, now)
        if message.retry and chosen.is_err():
            budget.refund()
        if not message.retry or chosen.is_err():
            return chosen
        self._retries[chosen.unwrap().id] = message.service
        return chosen

    def ended(self, placement: requests.Placement, ending: requests.Ending) -> None:
        """Gives back the retry of a placement whose target wasn't reached."""
        self._shares.ended(placement, ending, runtime.now())
        service = self._retries.pop(placement.id, None)
        if service is not None and ending.unsent:
            self._budgets.for_service(service).refund()

    def _choose(
        self, message: _messages.Place, now: float
    ) -> result.Result[requests.Placement, requests.Refusal]:
        deadlines = self._deadlines.deadlines(message.call, now)
        candidates = self._admission.candidates(
            message.service,
            message.excluded,
            now,
            urgent=_waits.is_urgent(message),
            max_wait_s=_waits.max_wait_s(message, deadlines),
        )
        if message.only is not None:
            allowed = [t for t in candidates.targets if message.may_go_to(t.name)]
            candidates = attrs.evolve(candidates, targets=allowed)
        if message.silent is not None:
            accepting = self._placer.accepting(candidates.targets, now)
            candidates = attrs.evolve(candidates, targets=accepting)
        chosen = self._choose_target(message, candidates, deadlines, now)
        if chosen is None:
            retry_after_s = self._admission.return_after_s(candidates, now)
            return _refusal(candidates.reason, retry_after_s)
        if chosen.is_ok():
            self._admission.sent(chosen.unwrap().target.name, now)
            self._crashes.placed(message, chosen.unwrap().id)
        return chosen

    def _choose_target(
        self,
        message: _messages.Place,
        candidates: fleet.Candidates,
        deadlines: requests.Deadlines,
        now: float,
    ):
        prompt = message.call.prompt
        targets, waits_s = candidates.targets, candidates.waits_s
        tried = message.retry or bool(message.excluded) or message.only is not None
        if prompt is None:
            return _as_result(
                self._placer.choose_replica(targets, now, waits_s, tried=tried)
            )
        if message.prefilled:
            domain = message.prefill_domain
            return _as_result(
                self._placer.choose_decode_engine(
                    prompt, domain, targets, deadlines, now, waits_s
                )
            )
        return self._placer.choose_engine(
            prompt, targets, deadlines, now, waits_s, tried=tried
        )


def _as_result(placement: requests.Placement | None):
    return None if placement is None else result.Ok(placement)


def _refusal(reason: str, retry_after_s: float):
    return result.Err(requests.Refusal(reason=reason, retry_after_s=retry_after_s))
