"""What an entry knows of one engine's work: its own requests and the last report."""

import attrs

from turmericward import fleet
from turmericward.requests import _demand

MAX_OTHERS_FACTOR = 8.0
FIRST_MEAN_TOKENS = 500.0
LEARNING_RATE = 0.05


@attrs.frozen(kw_only=True)
class Entrant:
    """A request at an engine, as the entry that sent it counts it."""

    at: float
    priority: int
    prefill_tokens: float


class EngineBook:
    """Own requests at one engine, and what a report says of the others'.

    The entries share the load, so that work seen only as a number in a report
    is taken to be like the entry's own.
    """

    def __init__(self) -> None:
        """Creates the book of an engine without requests."""
        self._open: dict[int, Entrant] = {}
        self._waiting: dict[int, Entrant] = {}
        self._mean_tokens = FIRST_MEAN_TOKENS

    def add(self, number: int, entrant: Entrant) -> None:
        """Notes a request that is sent to the engine."""
        self._open[number] = entrant
        self._waiting[number] = entrant
        change = entrant.prefill_tokens - self._mean_tokens
        self._mean_tokens += LEARNING_RATE * change

    def began(self, number: int) -> None:
        """Notes a request's first token: its prefill is done."""
        self._waiting.pop(number, None)

    def end(self, number: int) -> None:
        """Notes the end of a request."""
        self._open.pop(number, None)
        self._waiting.pop(number, None)

    def open_requests(self, report: fleet.LoadView | None) -> float:
        """Returns how many requests the engine has, of all entries."""
        if report is None:
            return float(len(self._open))
        since = sum(e.at > report.at for e in self._open.values())
        reported = report.running + report.queued
        return float(max(len(self._open), reported + since))

    def tokens_ahead(self, priority: int, report: fleet.LoadView | None) -> float:
        """Returns the prefill that goes before a new request of this priority."""
        entrants = self._waiting.values()
        own = sum(e.prefill_tokens for e in entrants if e.priority <= priority)
        if report is None:
            return own
        if not self._open:
            return report.queued * self._mean_tokens
        return own * self._others_factor(report)

    def _others_factor(self, report: fleet.LoadView) -> float:
        before = sum(e.at <= report.at for e in self._open.values())
        factor = (report.running + report.queued) / max(1, before)
        return min(MAX_OTHERS_FACTOR, max(1.0, factor))


def entrant_of(demand: _demand.Demand, cached_tokens: int, at: float) -> Entrant:
    """Returns how a request counts that is sent at `at` (monotonic seconds)."""
    return Entrant(
        at=at,
        priority=demand.priority,
        prefill_tokens=float(max(1, demand.prompt_tokens - cached_tokens)),
    )
