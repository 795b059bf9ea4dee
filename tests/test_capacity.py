"""Decisions on capacity: the load of a service and the mix of its replicas."""

import attrs

from tests import fixtures
from tests.capacity_fleet import PRICES, SCALING
from turmericward import capacity

check = fixtures.check
BOOT_S = 4.0


def _pool(domain: str, spot: bool = False) -> capacity.Pool:
    return capacity.Pool(domain=domain, spot=spot)


def _counts(plan) -> dict[str, tuple[int, int]]:
    """Returns the spot and the other replicas of each domain."""
    domains = sorted({s.domain for s in plan})
    return {d: (plan[_pool(d, True)], plan[_pool(d)]) for d in domains}


def _plan(need, scaling=SCALING, limits=None):
    return _counts(capacity.plan(need, scaling, PRICES, limits or {}))


# Mix.


def test_replicas_are_spread_and_one_of_each_domain_cannot_be_reclaimed():
    """Guards against a mix that leaves a domain without own replicas."""
    plan = _plan(capacity.Need(total=36))
    # One more in the cheapest domain than in the most expensive one on either side.
    check.assertEqual(plan, {"a": (12, 1), "b": (10, 1), "c": (11, 1)})


def test_remainders_go_to_the_cheaper_domains():
    """Guards against prices of domains being ignored."""
    plan = _plan(capacity.Need(total=37))
    totals = {d: sum(pair) for d, pair in plan.items()}
    check.assertEqual(totals, {"a": 13, "b": 12, "c": 12})


def test_the_loss_of_a_domain_or_of_its_spot_replicas_leaves_enough():
    """Guards against a reclaim at the peak that leaves too few replicas."""
    for need in (
        capacity.Need(total=30, without_domain=28),
        capacity.Need(total=30, without_spot=28),
    ):
        plan = _plan(need)
        total = sum(map(sum, plan.values()))
        if need.without_domain:
            check.assertGreaterEqual(total - max(map(sum, plan.values())), 28)
        else:
            check.assertGreaterEqual(total - max(p[0] for p in plan.values()), 28)
        check.assertLessEqual(total, 43)


def test_a_load_at_its_peak_is_carried_after_each_single_loss():
    """Guards against a reserve for an average load, or for a loss in one domain."""
    for busy in (3.0, 11.0, 24.0, 37.0):
        plan = _plan(capacity.Need.of_load(busy))
        total = sum(map(sum, plan.values()))
        for spot, steady in plan.values():
            check.assertGreaterEqual((total - spot) * 0.8, busy)
            check.assertGreaterEqual((total - spot - steady) * 0.9, busy)
        check.assertGreaterEqual(total * 0.6, busy)


def test_without_cheaper_spot_replicas_none_are_planned():
    """Guards against spot replicas where there are none, or at no advantage."""
    for price in (None, 1.0):
        scaling = attrs.evolve(SCALING, spot_price=price)
        plan = _plan(capacity.Need(total=12), scaling)
        check.assertEqual(plan, {"a": (0, 4), "b": (0, 4), "c": (0, 4)})


def test_bounds_of_a_domain_hold_for_both_kinds_together():
    """Guards against counts that the platform rejects."""
    plan = _plan(capacity.Need(total=200, without_spot=200))
    check.assertEqual({sum(pair) for pair in plan.values()}, {24})
    scaling = attrs.evolve(SCALING, min_count=3)
    plan = _plan(capacity.Need(total=0), scaling)
    check.assertEqual({sum(pair) for pair in plan.values()}, {3})


def test_what_is_unavailable_is_replaced_elsewhere_or_by_the_other_kind():
    """Guards against waiting for a kind that the platform hasn't got."""
    plan = _plan(capacity.Need(total=36), limits={_pool("b", True): 0})
    check.assertEqual(plan["b"][0], 0)
    check.assertEqual(sum(map(sum, plan.values())), 36)
    check.assertEqual(sum(pair[1] for pair in plan.values()), 3)
    everywhere = {_pool(d, True): 2 for d in PRICES}
    plan = _plan(capacity.Need(total=36), limits=everywhere)
    check.assertEqual(plan, {"a": (2, 11), "b": (2, 9), "c": (2, 10)})


# Load.


def _sample(slots: float, prefill: float, late_s: float = 0.0) -> capacity.Sample:
    return capacity.Sample(slots=slots, prefill=prefill, late_s=late_s)


def _observe(tracker, first_s: int, last_s: int, load) -> None:
    for quarter in range(4 * first_s, 4 * last_s):
        tracker.observe(load(quarter / 4), BOOT_S, quarter / 4)


def test_alternating_bursts_are_held_between_them():
    """Guards against replicas that are given back in each pause between bursts."""

    def load(now: float) -> capacity.Sample:
        short = int(now / 10) % 2 == 0
        return _sample(slots=19, prefill=10) if short else _sample(10, 26)

    tracker = capacity.DemandTracker()
    _observe(tracker, 0, 40, load)
    seen = []
    for quarter in range(160, 480):
        tracker.observe(load(quarter / 4), BOOT_S, quarter / 4)
        seen.append(tracker.busy_replicas)
    check.assertGreaterEqual(min(seen), 26)
    check.assertLessEqual(max(seen), 26 * 1.5)
    check.assertLessEqual(len(set(seen)), 3)


def test_load_falls_only_after_a_whole_window_without_it():
    """Guards against scaling down in a short lull."""
    tracker = capacity.DemandTracker()
    _observe(tracker, 0, 30, lambda now: _sample(20, 5))
    _observe(tracker, 30, 70, lambda now: _sample(2, 1))
    check.assertGreaterEqual(tracker.busy_replicas, 20)
    _observe(tracker, 70, 90, lambda now: _sample(2, 1))
    check.assertLess(tracker.busy_replicas, 4)


def test_rising_load_is_expected_to_rise_on():
    """Guards against replicas that are always a boot time late."""
    tracker = capacity.DemandTracker()
    _observe(tracker, 0, 10, lambda now: _sample(now, 0))
    check.assertGreater(tracker.busy_replicas, 10.5)
    check.assertLessEqual(tracker.busy_replicas, 10 * 1.3 * 1.05)


def test_late_calls_raise_an_estimate_that_is_too_low_within_a_bound():
    """Guards against an estimate that is a third of the truth for good."""
    tracker = capacity.DemandTracker()
    _observe(tracker, 0, 20, lambda now: _sample(10, 0, late_s=0.5))
    check.assertGreater(tracker.busy_replicas, 15)
    _observe(tracker, 20, 200, lambda now: _sample(10, 0, late_s=0.5))
    # The correction, the trend when the load began, and the margin.
    check.assertLessEqual(tracker.busy_replicas, 10 * 3.0 * 1.3 * 1.05)
