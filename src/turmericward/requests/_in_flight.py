"""Placements of calls at targets, and the local calls in flight by target."""

import enum

import attrs

from turmericward import fleet
from turmericward.requests import _loads

# Effective tokens to prefill above which a call ranks behind shorter ones: the longest
# prompts occupy an engine for as long as a dozen others.
RANK_THRESHOLDS_TOKENS = (4_000.0, 16_000.0)
# Ranks by which calls that are already late go behind the others.
DEFERRED_RANKS = 5
# Without first output after this many times the expected time, plus the grace, a
# call counts as lost by its target.
OVERDUE_FACTOR = 3.0
OVERDUE_GRACE_S = 0.5


class Ending(enum.Enum):
    """How a placement ended, as far as the target is concerned."""

    SUCCEEDED = "sound"
    # The client disconnected; whether the target would have succeeded is unknown.
    DISCONNECTED = "left"
    FAILED = "failed"
    # The target was silent and the call was answered elsewhere.
    LATE = "late"
    # The target neither accepted nor refused a connection.
    SILENT = "silent"
    # The target's process has ended.
    CRASHED = "crashed"
    REFUSED = "refused"
    UNREACHED = "unreached"

    @property
    def target_failed(self) -> bool:
        """Whether the target lost the call or couldn't be reached."""
        return self in (Ending.FAILED, Ending.CRASHED, Ending.UNREACHED)

    @property
    def unsent(self) -> bool:
        """Whether nothing was sent to the target."""
        return self in (Ending.UNREACHED, Ending.SILENT)

    @property
    def target_ended(self) -> bool:
        """Whether nothing seems to listen at the target's address any more."""
        return self in (Ending.CRASHED, Ending.UNREACHED)


@attrs.frozen(kw_only=True)
class Deadlines:
    """Deadlines of a call's first token, in seconds from now.

    The first one is the latency objective; at the second one the client
    disconnects. A call that runs at most once isn't retried if its target fails.
    """

    soft_deadline_s: float
    hard_deadline_s: float
    at_most_once: bool = False


@attrs.frozen(kw_only=True)
class Placement:
    """A call at a target.

    `fetch_from` is the address to fetch KV cache from, or empty. `uncached_tokens` must
    be prefilled before the first token, after `queued_tokens` of queued calls (both
    in effective tokens). The first token is expected after `expected_s`;
    `adjusted_s` adds the delay imposed on other calls, and `cost_s` also the
    expected cost of failures of the target. The call was sent at `placed_at`
    (monotonic seconds), or is to be sent `start_after_s` later since the target limits
    its rate. `queue_s` is the part of `expected_s` that other calls cause;
    `share_ranks` are those by which it goes behind calls of workspaces within their
    share. `deferred` calls queue behind those that can still meet their soft deadline.
    With `prefill_only` another target decodes.
    """

    id: int
    target: fleet.Target
    fetch_from: str = ""
    uncached_tokens: float = 0.0
    queued_tokens: float = 0.0
    expected_s: float = 0.0
    adjusted_s: float = 0.0
    cost_s: float = 0.0
    placed_at: float = 0.0
    start_after_s: float = 0.0
    queue_s: float = 0.0
    share_ranks: int = 0
    deferred: bool = False
    prefill_only: bool = False

    def is_overdue(self, now: float) -> bool:
        """Returns whether its first output is so late that the call counts as lost."""
        limit_s = OVERDUE_FACTOR * self.expected_s + OVERDUE_GRACE_S
        return not self.deferred and now - self.placed_at > limit_s

    @property
    def rank(self) -> int:
        """Ranks by which the call queues behind the most urgent of its kind."""
        longer = sum(self.uncached_tokens > limit for limit in RANK_THRESHOLDS_TOKENS)
        return longer + self.share_ranks + DEFERRED_RANKS * self.deferred


@attrs.define
class LocalCalls:
    """This front's calls at one target.

    `open` holds placements by id, `waiting` those without first output, and
    `overdue` the ids of those that already count as failed.
    """

    open: dict[int, Placement] = attrs.field(factory=dict)
    waiting: dict[int, Placement] = attrs.field(factory=dict)
    overdue: set[int] = attrs.field(factory=set)
    ended_calls: int = 0
    failed_calls: int = 0
    prefill_s: float = 0.0
    ordinary_prefill_s: float = 0.0

    def load(self) -> _loads.TargetLoad:
        """Returns the load that these calls put on the target."""
        urgent = deferred = 0.0
        for placement in self.waiting.values():
            if placement.deferred:
                deferred += placement.uncached_tokens
            else:
                urgent += placement.uncached_tokens
        return _loads.TargetLoad(
            urgent_tokens=urgent,
            deferred_tokens=deferred,
            open_calls=len(self.open),
            ended_calls=self.ended_calls,
            failed_calls=self.failed_calls,
            prefill_s=self.prefill_s,
            ordinary_prefill_s=self.ordinary_prefill_s,
        )
