"""One engine's load as an entry estimates it: local requests and the last report."""

import collections

import attrs

from turmericward import fleet
from turmericward.requests import _demand

# Bounds the ratio of all entries' requests at an engine to the local ones.
MAX_REPORT_SCALE = 8.0
INITIAL_MEAN_TOKENS = 500.0
LEARNING_RATE = 0.05
# How long a request that has ended is compared with reports from before its end.
ENDED_LIFETIME_S = 5.0


@attrs.frozen(kw_only=True)
class OpenRequest:
    """A local request, sent to an engine at `at` (monotonic seconds)."""

    at: float
    priority: int
    prefill_tokens: float


@attrs.frozen(kw_only=True)
class _EndedRequest:
    """A local request that was at the engine from `at` to `ended_at`."""

    at: float
    ended_at: float


class EngineRequests:
    """Local requests at one engine, scaled up by the engine's load report.

    The entries share the traffic, so requests that are only a number in a report
    are assumed to resemble the local ones.
    """

    def __init__(self) -> None:
        """Starts without requests."""
        self._open: dict[int, OpenRequest] = {}
        self._waiting: dict[int, OpenRequest] = {}
        self._ended: collections.deque[_EndedRequest] = collections.deque()
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

    def end(self, number: int, now: float) -> None:
        """Removes a request that ends at `now` (monotonic seconds)."""
        self._waiting.pop(number, None)
        req = self._open.pop(number, None)
        if req is None:
            return
        self._ended.append(_EndedRequest(at=req.at, ended_at=now))
        while now - self._ended[0].ended_at > ENDED_LIFETIME_S:
            self._ended.popleft()

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
        return local * self._scale(report) if local else 0.0

    def _scale(self, report: fleet.LoadView) -> float:
        scale = (report.running + report.queued) / max(1, self._open_at(report.at))
        return min(MAX_REPORT_SCALE, max(1.0, scale))

    def _open_at(self, at: float) -> int:
        """Returns how many local requests the engine had at a time."""
        count = sum(r.at <= at for r in self._open.values())
        for req in reversed(self._ended):
            if req.ended_at <= at:
                break
            count += req.at <= at
        return count


def open_request(demand: _demand.Demand, cached_tokens: int, at: float) -> OpenRequest:
    """Returns the record of a request that is sent at `at` (monotonic seconds)."""
    return OpenRequest(
        at=at,
        priority=demand.priority,
        prefill_tokens=float(max(1, demand.prompt_tokens - cached_tokens)),
    )
