"""Second attempts of emulated fronts at calls whose engines are silent.

As in the product, an attempt is ended when another one is granted, and not before; the
time in which both are open is left out.
"""

from benchmarks import _calls, _engines, _loads
from turmericward import requests
from turmericward.delivery import _late_attempt, _timeouts

# Retries of a call, and beyond that of all fronts together.
RETRY_SHARE = 0.14
RETRY_SLACK = 40.0


class LateAttempts:
    """Second attempts of all calls."""

    # Whether a call ends, as before, if it is allowed no second attempt.
    end_refused = False

    def __init__(self, load: _loads.Load, simulation) -> None:
        """Creates a retry budget for each front."""
        self._simulation = simulation
        self._budgets = [
            requests.RetryBudget(RETRY_SHARE, RETRY_SLACK / load.fronts)
            for _ in range(load.fronts)
        ]
        self._open: list[list[_calls.Call]] = [[] for _ in range(load.fronts)]

    def add(self, front: int, call: _calls.Call) -> None:
        """Adds a call that a front was sent."""
        self._budgets[front].earn()
        self._open[front].append(call)

    def check(self, front: int, now: float) -> None:
        """Looks for second attempts of the front's calls at silent engines."""
        calls = [call for call in self._open[front] if call.state == "open"]
        self._open[front] = calls
        for call in calls:
            late = call.placement is not None and now >= _late_at(call)
            if late and now >= call.ask_at:
                call.ask_at = now + _late_attempt.ASK_AGAIN_S
                self._ask(call, self._budgets[front], now)

    def _ask(self, call: _calls.Call, budget, now: float) -> None:
        if call.kind.once:
            return
        placer, name = call.front.placer, call.placement.target.name
        placer.silent(name, now - call.waiting_since, now)
        spare = budget.saved >= 1.0 if self.end_refused else budget.has_spare
        chosen = self._choose(call, name, now) if spare else None
        if chosen is not None:
            budget.spend()
            self._move(call, chosen, now)
        elif self.end_refused:
            self._simulation.fail(call)

    def _choose(
        self, call: _calls.Call, silent: str, now: float
    ) -> requests.Placement | None:
        simulation, placer = self._simulation, call.front.placer
        deadlines = simulation.deadlines(call)
        candidates = simulation.candidates(
            call, deadlines.hard_deadline_s, urgent=True, excluded=frozenset({silent})
        )
        return placer.choose_decode_engine(
            call.prompt,
            "",
            placer.accepting(candidates.targets, now),
            deadlines,
            now,
            candidates.waits_s,
        )

    def _move(
        self, call: _calls.Call, placement: requests.Placement, now: float
    ) -> None:
        call.front.placer.ended(call.placement, requests.Ending.LATE, now)
        simulation = self._simulation
        simulation.outcome.second_attempts += 1
        job = _engines.Job(
            call=call,
            placement=placement,
            remaining_tokens=float(call.prompt.tokens),
            context_tokens=0.0,
            prefill_only=False,
            generated=call.generated,
        )
        simulation.start(job)


def _late_at(call: _calls.Call) -> float:
    kind = call.kind
    if call.first_token_at is not None:
        gap_s = _timeouts.EVENT_TIMEOUT_PER_GAP * kind.pause_s
        return call.waiting_since + max(_timeouts.MIN_EVENT_TIMEOUT_S, gap_s)
    expected_s = _timeouts.FIRST_BYTE_TIMEOUT_PER_EXPECTED * call.placement.expected_s
    return call.waiting_since + max(
        _timeouts.FIRST_BYTE_TIMEOUT_PER_OBJECTIVE * kind.objective_s,
        (call.requested_at + kind.deadline_s - call.waiting_since) / 2,
        _timeouts.MIN_FIRST_BYTE_TIMEOUT_S + expected_s,
    )
