"""The next order on the way from the announced replicas to the planned ones.

Replicas are added before others are given back, spot replicas first, so that there
are never fewer than both the present and the planned mix need.
"""

import collections
import math
from collections.abc import Mapping

import attrs

from turmericward import fleet, routing
from turmericward.capacity import _mix, _orders

# Replicas of a domain that one order may add, or as many as it has.
MIN_RISE = 4
# Share of a domain's replicas that one order gives back while there are calls.
MAX_FALL_SHARE = 0.25
# Minimum time between two orders that give replicas of a domain back under load.
FALL_INTERVAL_S = 3.0
# A third of 36 replicas is 12 in spite of rounding errors.
ROUNDING = 1e-6


@attrs.frozen(kw_only=True)
class Step:
    """A change of the ordered count of a pool, and the reason for it."""

    pool: _mix.Pool
    before: int
    count: int
    reason: str


@attrs.frozen(kw_only=True)
class Situation:
    """What is announced, ordered and planned for one service.

    `live` counts the replicas that take new calls; `engines` are these, if they have
    roles, of which `prefill_share` should only prefill. `fell_at` is when each domain's
    replicas were last reduced. Without `gentle`, replicas are given back all at once.
    """

    scaling: routing.Scaling
    live: Mapping[_mix.Pool, int]
    planned: Mapping[_mix.Pool, int]
    states: Mapping[_mix.Pool, _orders.OrderState]
    engines: tuple[fleet.Target, ...] = ()
    prefill_share: float = 0.0
    fell_at: Mapping[str, float] = attrs.field(factory=dict)
    gentle: bool = True
    check_roles: bool = True

    def live_in(self, domain: str) -> int:
        """Returns the replicas of a domain that take new calls."""
        return sum(n for s, n in self.live.items() if s.domain == domain)

    def remaining(self, pool: _mix.Pool, now: float) -> int:
        """Returns the live replicas of a pool that no order gives back."""
        live = self.live[pool]
        return min(live, self.states[pool].expected(live, now))

    def planned_in(self, domain: str) -> int:
        """Returns the planned replicas of a domain."""
        return sum(n for s, n in self.planned.items() if s.domain == domain)


def next_step(situation: Situation, now: float) -> Step | None:
    """Returns the next order, None if none is due at `now`."""
    ready = [s for s in situation.planned if not situation.states[s].is_blocked(now)]
    # Spot replicas first.
    ready.sort(key=lambda s: (not s.spot, s.domain))
    for find in (_repeat, _rise, _fall):
        for pool in ready:
            step = find(situation, pool, now)
            if step is not None:
                return step
    return None


def _repeat(situation: Situation, pool: _mix.Pool, now: float) -> Step | None:
    """Repeats an order whose outcome is unknown, since it may still take effect."""
    count = situation.states[pool].unconfirmed
    if count is None:
        return None
    return Step(
        pool=pool,
        before=situation.live[pool],
        count=count,
        reason="no response",
    )


def _rise(situation: Situation, pool: _mix.Pool, now: float) -> Step | None:
    state = situation.states[pool]
    expected = state.expected(situation.live[pool], now)
    other = attrs.evolve(pool, spot=not pool.spot)
    others = situation.states[other].highest(situation.live[other])
    if situation.planned[pool] <= expected:
        return None
    step = max(MIN_RISE, situation.live_in(pool.domain))
    count = min(situation.planned[pool], expected + step)
    # Fewer than intended would give back replicas that aren't announced at present.
    count = max(count, state.intended)
    count = min(count, situation.scaling.max_count - others)
    if count <= expected or count < state.intended:
        return None
    return Step(pool=pool, before=expected, count=count, reason="too few")


def _fall(situation: Situation, pool: _mix.Pool, now: float) -> Step | None:
    state = situation.states[pool]
    live = situation.live[pool]
    planned = situation.planned[pool]
    # Until the previous order has taken effect it isn't known what is left.
    if live <= planned or state.expected(live, now) != live:
        return None
    domain = pool.domain
    remaining = {s: situation.remaining(s, now) for s in situation.planned}
    of_domain = sum(n for s, n in remaining.items() if s.domain == domain)
    spare = min(
        of_domain - situation.planned_in(domain),
        sum(remaining.values()) - sum(situation.planned.values()),
        of_domain - situation.scaling.min_count,
    )
    count = min(live - planned, spare, _max_fall(situation, domain, now))
    if count <= 0:
        return None
    if situation.check_roles and not _keeps_roles(situation, pool, count, now):
        return None
    return Step(pool=pool, before=live, count=live - count, reason="spare")


def _max_fall(situation: Situation, domain: str, now: float) -> int:
    live = situation.live_in(domain)
    if not situation.gentle:
        return live
    if now - situation.fell_at.get(domain, -math.inf) < FALL_INTERVAL_S:
        return 0
    return max(1, int(live * MAX_FALL_SHARE))


def _keeps_roles(situation: Situation, pool: _mix.Pool, count: int, now: float) -> bool:
    """Returns whether enough prefill engines remain, whichever are given back.

    New replicas start as decode engines; the role planner has to change some of them
    before the prefill engines that they replace may go.
    """
    prefill = collections.Counter(
        _mix.Pool(domain=t.domain, spot=t.spot)
        for t in situation.engines
        if not t.can_decode
    )
    if not prefill[pool]:
        return True
    kept = 0
    for other, engines in prefill.items():
        leaving = situation.live[other] - situation.remaining(other, now)
        if other == pool:
            leaving += count
        kept += max(0, engines - leaving)
    planned = sum(situation.planned.values())
    return kept >= math.floor(situation.prefill_share * planned + ROUNDING)
