"""One engine's load as an entry estimates it: local requests and the last report."""

import attrs

from turmericward import fleet
from turmericward.requests import _demand

# Bounds the ratio of all entries' requests at an engine to the local ones.
MAX_REPORT_SCALE = 8.0
INITIAL_MEAN_TOKENS = 500.0
LEARNING_RATE = 0.05


@attrs.frozen(kw_only=True)
class OpenRequest:
    """A local request, sent to an engine at `at` (monotonic seconds)."""

    at: float
    priority: int
    prefill_tokens: float


class EngineRequests:
    """Local requests at one engine, scaled up by the engine's load report.

    The entries share the traffic, so requests that are only a number in a report
    are assumed to resemble the local ones.
    """

    def __init__(self) -> None:
        """Starts without requests."""
        self._open: dict[int, OpenRequest] = {}
        self._waiting: dict[int, OpenRequest] = {}
        self._mean_tokens = INITIAL_MEAN_TOKENS

    def add(self, number: int, req: OpenRequest) -> None:
        """Adds a request that is sent to the engine."""
        self._open[number] = req
        self._waiting[number] = req
        change = req.prefill_tokens - self._mean_tokens
        self._mean_tokens += LEARNING_RATE * change

    def prefilled(self, number: int) -> None:
        """Records a request's first token: its prefill is done."""
        self._waiting.pop(number, None)

    def end(self, number: int) -> None:
        """Removes a request that has ended."""
        self._open.pop(number, None)
        self._waiting.pop(number, None)

    def open_requests(self, report: fleet.LoadView | None) -> float:
        """Returns how many requests of all entries the engine has."""
        if report is None:
            return float(len(self._open))
        since = sum(r.at > report.at for r in self._open.values())
        reported = report.running + report.queued
        return float(max(len(self._open), reported + since))

    def queued_tokens(self, priority: int, report: fleet.LoadView | None) -> float:
        """Returns the tokens prefilled before a new request of this priority."""
        waiting = self._waiting.values()
        local = sum(r.prefill_tokens for r in waiting if r.priority <= priority)
        if report is None:
            return local
        if not self._open:
            return report.queued * self._mean_tokens
        return local * self._scale(report)

    def _scale(self, report: fleet.LoadView) -> float:
        before = sum(r.at <= report.at for r in self._open.values())
        scale = (report.running + report.queued) / max(1, before)
        return min(MAX_REPORT_SCALE, max(1.0, scale))


def open_request(demand: _demand.Demand, cached_tokens: int, at: float) -> OpenRequest:
    """Returns the record of a request that is sent at `at` (monotonic seconds)."""
    return OpenRequest(
        at=at,
        priority=demand.priority,
        prefill_tokens=float(max(1, demand.prompt_tokens - cached_tokens)),
    )
