"""What became of the calls of an emulated load, and what it is worth."""

import collections
import math

import attrs

from benchmarks import _calls, _loads

WINDOW_S = 2
# Worth of a call by its size relative to the mean of its class: a fixed part, and one
# that grows with the size up to a multiple.
FIXED_WORTH = 0.3
MAX_RELATIVE_SIZE = 4.0
UNANSWERED = frozenset({"left", "refused", "failed"})


@attrs.define
class Outcome:
    """Calls by class and result, and the worth earned of the worth possible."""

    counts: collections.Counter = attrs.field(factory=collections.Counter)
    earned: collections.Counter = attrs.field(factory=collections.Counter)
    possible: collections.Counter = attrs.field(factory=collections.Counter)
    calls: int = 0
    unanswered: int = 0
    second_attempts: int = 0

    def record(self, call: _calls.Call, result: str) -> None:
        """Counts a call that ended with a result."""
        kind = call.kind
        self.calls += 1
        self.counts[kind.name, result] += 1
        self.unanswered += result in UNANSWERED
        worth_by_result = {
            "on time": kind.worth,
            "late": kind.late_worth,
            "paused": kind.late_worth,
        }
        relative_size = call.prompt.tokens / (kind.own_tokens + kind.shared_tokens)
        size = FIXED_WORTH + (1 - FIXED_WORTH) * min(MAX_RELATIVE_SIZE, relative_size)
        for key in (
            ("day", ""),
            ("class", kind.name),
            ("domain", call.domain),
            ("window", int(call.requested_at / WINDOW_S)),
        ):
            self.possible[key] += size * kind.worth
            self.earned[key] += size * worth_by_result.get(result, 0.0)

    def min_share(self, group: str) -> float:
        """Returns the smallest share of worth earned among the keys of a group."""
        return min(
            self.earned[key] / possible
            for key, possible in self.possible.items()
            if key[0] == group
        )

    def worth(self, weights: _loads.Weights) -> float:
        """Returns the weighted sum of the shares by group and the nines of success."""
        windows = sorted(
            self.earned[k] / o for k, o in self.possible.items() if k[0] == "window"
        )
        nines = -math.log10(max(0.001, self.unanswered / max(1, self.calls))) / 3
        return (
            weights.day * self.min_share("day")
            + weights.windows * sum(windows[:2]) / max(1, len(windows[:2]))
            + weights.kind * self.min_share("class")
            + weights.domain * self.min_share("domain")
            + weights.nines * nines
        )
