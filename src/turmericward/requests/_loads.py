"""Loads of targets, and those that the peers report."""

import collections
from collections.abc import Collection, Iterable, Mapping

import attrs

from turmericward.requests import _engine_speeds, _outcomes

# A peer without a report for this long is assumed to have no load.
PEER_TIMEOUT_S = 1.5
# Upper bound on the remainder of a running deferred prefill, which isn't preempted.
RUNNING_PREFILL_TOKENS = 15_000.0


@attrs.frozen(kw_only=True)
class TargetLoad:
    """Load that one or several fronts put on one target.

    Urgent tokens belong to calls that can still meet their soft deadline, deferred
    ones to calls that can't and queue behind them. Ended calls, and failed ones among
    them, are counted since the start of the front. So are the seconds until first
    outputs, and those that the same prefills take at an engine of ordinary speed.
    """

    urgent_tokens: float = 0.0
    deferred_tokens: float = 0.0
    open_calls: int = 0
    ended_calls: int = 0
    failed_calls: int = 0
    prefill_s: float = 0.0
    ordinary_prefill_s: float = 0.0

    def __add__(self, other: "TargetLoad") -> "TargetLoad":
        """Returns the sum of both loads."""
        return TargetLoad(
            urgent_tokens=self.urgent_tokens + other.urgent_tokens,
            deferred_tokens=self.deferred_tokens + other.deferred_tokens,
            open_calls=self.open_calls + other.open_calls,
            ended_calls=self.ended_calls + other.ended_calls,
            failed_calls=self.failed_calls + other.failed_calls,
            prefill_s=self.prefill_s + other.prefill_s,
            ordinary_prefill_s=self.ordinary_prefill_s + other.ordinary_prefill_s,
        )

    @classmethod
    def total(cls, loads: Collection["TargetLoad"]) -> "TargetLoad":
        """Returns the sum of several loads."""
        return cls(
            urgent_tokens=sum([load.urgent_tokens for load in loads]),
            deferred_tokens=sum([load.deferred_tokens for load in loads]),
            open_calls=sum([load.open_calls for load in loads]),
            ended_calls=sum([load.ended_calls for load in loads]),
            failed_calls=sum([load.failed_calls for load in loads]),
            prefill_s=sum([load.prefill_s for load in loads]),
            ordinary_prefill_s=sum([load.ordinary_prefill_s for load in loads]),
        )

    def without(self, other: "TargetLoad") -> "TargetLoad":
        """Returns the difference of both loads, with no field below 0."""
        return TargetLoad(
            urgent_tokens=max(0.0, self.urgent_tokens - other.urgent_tokens),
            deferred_tokens=max(0.0, self.deferred_tokens - other.deferred_tokens),
            open_calls=max(0, self.open_calls - other.open_calls),
            ended_calls=max(0, self.ended_calls - other.ended_calls),
            failed_calls=max(0, self.failed_calls - other.failed_calls),
            prefill_s=max(0.0, self.prefill_s - other.prefill_s),
            ordinary_prefill_s=max(
                0.0, self.ordinary_prefill_s - other.ordinary_prefill_s
            ),
        )

    def queued_tokens(self, *, deferred: bool) -> float:
        """Returns the tokens that are prefilled before those of a new call."""
        if deferred:
            return self.urgent_tokens + self.deferred_tokens
        return self.urgent_tokens + min(self.deferred_tokens, RUNNING_PREFILL_TOKENS)


NO_LOAD = TargetLoad()


def sum_loads(states: Iterable[Mapping[int, TargetLoad]]) -> dict[int, TargetLoad]:
    """Returns the load of several fronts by target."""
    by_target: dict[int, list[TargetLoad]] = collections.defaultdict(list)
    for loads in states:
        for target, load in loads.items():
            by_target[target].append(load)
    return {
        target: loads[0] if len(loads) == 1 else TargetLoad.total(loads)
        for target, loads in by_target.items()
    }


@attrs.frozen(kw_only=True)
class _Report:
    """Loads that a peer reported at `at`, summed over `fronts` fronts."""

    at: float
    loads: Mapping[int, TargetLoad]
    fronts: int


class PeerLoads:
    """Latest load report of each peer; times are monotonic seconds."""

    def __init__(
        self, outcomes: _outcomes.Outcomes, speeds: _engine_speeds.EngineSpeeds
    ) -> None:
        """Starts without reports.

        Args:
            outcomes: receives the outcomes of the peers' calls.
            speeds: receives the times of their prefills.
        """
        self._outcomes = outcomes
        self._speeds = speeds
        self._reports: dict[str, _Report] = {}
        self._sums: dict[int, TargetLoad] | None = None

    def replace(
        self, peer: str, loads: dict[int, TargetLoad], now: float, fronts: int = 1
    ) -> None:
        """Replaces the report of one peer, which may sum up several fronts."""
        previous = self._reports.get(peer)
        if previous is not None:
            self._record_outcomes(previous.loads, loads, now)
        self._reports[peer] = _Report(at=now, loads=loads, fronts=fronts)
        self._sums = None

    def _record_outcomes(self, before, loads, now: float) -> None:
        for target, load in loads.items():
            previous = before.get(target, NO_LOAD)
            # The counts of a restarted front start at 0 again.
            ended = load.ended_calls - previous.ended_calls
            failed = load.failed_calls - previous.failed_calls
            if ended > 0 or (ended == 0 and failed < 0):
                self._outcomes.ended(target, ended, min(ended, failed), now)
            self._speeds.add(
                target,
                load.prefill_s - previous.prefill_s,
                load.ordinary_prefill_s - previous.ordinary_prefill_s,
                now,
            )

    def expire(self, now: float) -> list[str]:
        """Drops unresponsive peers; returns their names."""
        expired = [p for p, r in self._reports.items() if r.at + PEER_TIMEOUT_S < now]
        for peer in expired:
            del self._reports[peer]
            self._sums = None
        return expired

    def live(self) -> int:
        """Returns the number of other fronts whose load is included."""
        # The sum that a relay reports includes this front.
        return sum(r.fronts - (r.fronts > 1) for r in self._reports.values())

    def names(self) -> list[str]:
        """Returns the names of the live peers."""
        return list(self._reports)

    def ages(self, now: float) -> dict[str, float]:
        """Returns the age of each peer's latest report in seconds."""
        return {peer: now - report.at for peer, report in self._reports.items()}

    def load_at(self, target: int) -> TargetLoad:
        """Returns the load of all peers at a target."""
        if self._sums is None:
            self._sums = sum_loads(report.loads for report in self._reports.values())
        return self._sums.get(target, NO_LOAD)
