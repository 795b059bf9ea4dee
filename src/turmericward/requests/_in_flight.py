"""A call at a target: what is decided, and what is in flight."""

import enum

import attrs

from turmericward import fleet
from turmericward.requests import _loads

# Effective tokens beyond which work goes behind shorter work: the longest prompts
# hold an engine for as long as a dozen others.
WORK_STEPS = (4_000.0, 16_000.0)
# Steps by which calls that are late already go behind the others.
DEFERRED_STEPS = 5
# A target that takes this many times as long as expected, and the grace, is taken
# to have lost the call.
OVERDUE_FACTOR = 3.0
OVERDUE_GRACE_S = 0.5


class Ending(enum.Enum):
    """How a placement ended, as far as the target is concerned."""

    SOUND = "sound"
    # The client left; whether the target would have answered isn't known.
    LEFT = "left"
    FAILED = "failed"
    REFUSED = "refused"
    UNREACHED = "unreached"


@attrs.frozen(kw_only=True)
class Patience:
    """What a call's client still waits for, in seconds from now.

    A first token by `on_time_s` earns all; by `given_up_s` the client leaves. A
    call that runs `once` is lost with its target's answer.
    """

    on_time_s: float
    given_up_s: float
    once: bool = False


@attrs.frozen(kw_only=True)
class Placement:
    """A call at a target; `fetch_from` is the address of KV cache or empty.

    `work_tokens` has to be read before the first token, after `ahead_tokens` of
    other calls (both effective). The first token is expected after `expected_s`;
    `bound_s` adds what the call costs others, `cost_s` also what it costs
    that the target loses calls. Sent at `placed_at` steady seconds.
    `deferred` calls go behind those that can still be on time; `prefill_only` tells
    that another target answers.
    """

    id: int
    target: fleet.Target
    fetch_from: str = ""
    work_tokens: float = 0.0
    ahead_tokens: float = 0.0
    expected_s: float = 0.0
    bound_s: float = 0.0
    cost_s: float = 0.0
    placed_at: float = 0.0
    deferred: bool = False
    prefill_only: bool = False

    def is_overdue(self, now: float) -> bool:
        """Tells whether its target should have begun long ago."""
        most_s = OVERDUE_FACTOR * self.expected_s + OVERDUE_GRACE_S
        return not self.deferred and now - self.placed_at > most_s

    @property
    def rank(self) -> int:
        """Steps by which the call goes behind the most urgent of its kind."""
        longer = sum(self.work_tokens > step for step in WORK_STEPS)
        return longer + DEFERRED_STEPS * self.deferred


@attrs.define
class OwnCalls:
    """Own calls at one target: placements by id, and which have no token yet.

    `overdue` ones count as failed already.
    """

    open: dict[int, Placement] = attrs.field(factory=dict)
    waiting: dict[int, Placement] = attrs.field(factory=dict)
    overdue: set[int] = attrs.field(factory=set)
    ended_calls: int = 0
    failed_calls: int = 0

    def load(self) -> _loads.TargetLoad:
        """Returns the work that these calls are."""
        urgent = deferred = 0.0
        for placement in self.waiting.values():
            if placement.deferred:
                deferred += placement.work_tokens
            else:
                urgent += placement.work_tokens
        return _loads.TargetLoad(
            urgent_tokens=urgent,
            deferred_tokens=deferred,
            open_calls=len(self.open),
            ended_calls=self.ended_calls,
            failed_calls=self.failed_calls,
        )
