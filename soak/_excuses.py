"""Why calls may end without a whole answer, and how those of planned stops ended."""

import collections

import attrs

from soak import _evidence, _findings, _fleet
from standins import caller

# Of a stop: a replica still at work in its last sixth, on a call sent early, is cut.
LAST_SHARE = 1 / 6
EARLY_CALL_S = 3.0
# Measuring error of the time that a call took.
BUDGET_SLACK_S = 0.05
REFUSALS = frozenset({408, 421, 429, 503})
CROSSED, FINDING = "crossed the close", "finding"
# Excuse by name; the first one that holds is given.
REGISTRY: dict[str, object] = {}


def _excuse(function):
    REGISTRY[function.__name__.replace("_", " ")] = function
    return function


@attrs.frozen
class Case:
    """A call, the replicas that it reached, and whose trouble excuses its end."""

    evidence: _evidence.Evidence
    sent: _evidence.Sent
    replicas: set[str]
    work_ended: dict[str, float]
    subjects: set[str]


@_excuse
def unplanned_trouble(case: Case) -> bool:
    """The front or a replica was in trouble."""
    outcome = case.sent.outcome
    return case.evidence.disrupted(case.subjects, outcome.sent_at, outcome.ended_at)


@_excuse
def time_budget(case: Case) -> bool:
    """The call had used all of its time, or of its route's."""
    return has_used_its_time(case.sent.outcome)


@_excuse
def at_work_to_the_end(case: Case) -> bool:
    """A call sent early in a stop was at work in the last sixth of the grace."""
    stop = _findings.stop_of(case.evidence, case.sent)
    if stop is None or case.sent.outcome.sent_at > stop.began + EARLY_CALL_S:
        return False
    last_from = stop.began + (1 - LAST_SHARE) * case.evidence.grace_s
    # A replica whose caller goes away ends its work at once.
    return case.work_ended.get(case.sent.outcome.call.id, 0.0) >= last_from


def has_used_its_time(outcome: caller.Outcome) -> bool:
    """Returns whether a call ended at its time budget, or its route's timeout."""
    limit_s = min(outcome.call.deadline_s, _fleet.ROUTE_TIMEOUT_MS / 1000)
    return outcome.ended_at - outcome.sent_at >= limit_s - BUDGET_SLACK_S


class Excuses:
    """The excuses of a run's calls."""

    def __init__(self, evidence: _evidence.Evidence) -> None:
        """Reads what the replicas saw."""
        self._evidence = evidence
        self.reached = evidence.arrivals()
        self._work_ended = evidence.work_ended()

    def replicas(self, sent: _evidence.Sent) -> set[str]:
        """Returns the replicas that a call reached."""
        return self.reached.get(sent.outcome.call.id, set())

    def is_lost(self, sent: _evidence.Sent) -> bool:
        """Returns whether a call that was read, or passed on, has no whole answer."""
        broken = sent.outcome.broken and self.replicas(sent)
        return bool(sent.outcome.unanswered or broken)

    def of_lost(self, sent: _evidence.Sent) -> str:
        """Returns the excuse of a lost call, empty if it has none."""
        # If the soak is late, a call that crossed the close seems to have been read.
        return self.of(sent, {sent.front} | (self.replicas(sent) or {_evidence.SOAK}))

    def of(self, sent: _evidence.Sent, subjects: set[str]) -> str:
        """Returns the excuse of a call, empty if it has none.

        Args:
            sent: the call.
            subjects: names of the fronts, replicas and others whose trouble excuses.
        """
        case = Case(
            self._evidence, sent, self.replicas(sent), self._work_ended, subjects
        )
        return next((name for name, holds in REGISTRY.items() if holds(case)), "")


@attrs.frozen(kw_only=True)
class StopCounts:
    """Calls of planned stops; `sent`, `passed_on` and `refused` are after SIGTERM."""

    stops: int
    sent: int
    passed_on: int
    refused: int
    # Cut calls by the reason, also those sent before SIGTERM.
    cut: dict[str, int]


def count(evidence: _evidence.Evidence) -> StopCounts:
    """Counts how the calls of planned stops ended."""
    excuses = Excuses(evidence)
    late, cut = [], collections.Counter()
    for sent in evidence.sent:
        stop = _findings.stop_of(evidence, sent)
        if stop is None or sent.outcome.ended_at < stop.began:
            continue
        if sent.outcome.sent_at > stop.began:
            late.append(sent)
        if sent.outcome.broken:
            lost = excuses.is_lost(sent)
            cut[excuses.of_lost(sent) or FINDING if lost else CROSSED] += 1
    return StopCounts(
        stops=len(evidence.stops),
        sent=len(late),
        passed_on=sum(bool(excuses.replicas(sent)) for sent in late),
        refused=sum(sent.outcome.status in REFUSALS for sent in late),
        cut=dict(cut),
    )
