"""Decisions on capacity: load, mix of replicas, next order."""

import attrs

from tests import fixtures
from tests.capacity_fleet import PRICES, SCALING
from turmericward import capacity, duties, fleet

check = fixtures.check
ACCEPTED, UNKNOWN = duties.Outcome.ACCEPTED, duties.Outcome.UNKNOWN
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


# Orders and steps.


def _target(name: str, domain: str, spot: bool, role=None) -> fleet.Target:
    return fleet.Target(
        name=name,
        service="chat",
        address="10.0.0.1:1",
        domain=domain,
        slots=12,
        role=role,
        spot=spot,
    )


def _situation(live, planned, states=None, **fields) -> capacity.Situation:
    """Returns a situation of domain `a`: spot replicas and others."""
    keys = _pool("a", True), _pool("a")
    known = {s: capacity.OrderState() for s in keys}
    for pool, count in zip(keys, live, strict=True):
        known[pool].check(count, count, 0.0)
    return capacity.Situation(
        scaling=SCALING,
        live=dict(zip(keys, live, strict=True)),
        planned=dict(zip(keys, planned, strict=True)),
        states={**known, **(states or {})},
        **fields,
    )


def _ordered(count: int, outcome=ACCEPTED, at: float = 0.0) -> capacity.OrderState:
    state = capacity.OrderState()
    state.record(count, outcome, BOOT_S, at)
    return state


def test_table_of_steps():
    """Guards against dips: fewer replicas than the plan while others are starting."""
    spot, steady = _pool("a", True), _pool("a")
    cases = {
        "spot first": (_situation((0, 12), (11, 1)), 1.0, (spot, 11)),
        "nothing back before they serve": (
            _situation((0, 12), (11, 1), {spot: _ordered(11)}),
            3.0,
            None,
        ),
        "back when they serve": (
            _situation((11, 12), (11, 1), {spot: _ordered(11)}, gentle=False),
            5.0,
            (steady, 1),
        ),
        "a few at a time under load": (
            _situation((11, 12), (11, 1), {spot: _ordered(11)}),
            5.0,
            (steady, 7),
        ),
        "not again at once": (
            _situation((11, 7), (11, 1), fell_at={"a": 4.0}),
            5.0,
            None,
        ),
        "as many as some serve": (
            _situation((4, 12), (11, 1), {spot: _ordered(11)}, gentle=False),
            5.0,
            (steady, 8),
        ),
        "what was ordered counts for the bound": (
            _situation((0, 12), (20, 6), {steady: _ordered(18)}),
            1.0,
            (spot, 6),
        ),
        "an order without response is repeated": (
            _situation((0, 12), (15, 1), {spot: _ordered(11, UNKNOWN)}),
            1.0,
            (spot, 11),
        ),
        "but not at once": (
            _situation((0, 12), (15, 1), {spot: _ordered(11, UNKNOWN)}),
            0.4,
            None,
        ),
        "a refused kind is left alone": (
            _situation(
                (0, 12), (11, 1), {spot: _ordered(11, duties.Outcome.UNAVAILABLE)}
            ),
            1.0,
            None,
        ),
    }
    for name, (situation, now, expected) in cases.items():
        step = capacity.next_step(situation, now)
        found = None if step is None else (step.pool, step.count)
        with check.subTest(name):
            check.assertEqual(found, expected)


def test_replicas_that_are_not_announced_at_present_are_not_given_back():
    """Guards against an order below the ordered count, taken for a rise."""
    spot = _pool("a", True)
    state = _ordered(12)
    state.check(12, 12, 8.0)
    check.assertEqual(state.check(12, 0, 9.0), "lost")
    situation = _situation((0, 1), (8, 1), {spot: state})
    check.assertIsNone(capacity.next_step(situation, 10.0))
    step = capacity.next_step(situation, 30.0)
    check.assertEqual((step.pool, step.count), (spot, 12))


def test_ordered_replicas_that_do_not_appear_count_as_unavailable():
    """Guards against waiting for a domain that takes orders and starts nothing."""
    state = _ordered(5)
    check.assertEqual(state.check(0, 0, 6.9), "")
    check.assertEqual(state.check(0, 0, 7.1), "missing")
    check.assertTrue(state.is_limited(8.0))
    check.assertFalse(state.is_limited(30.0))


def test_prefill_engines_go_back_only_when_others_have_their_role():
    """Guards against a swap that leaves the service without prefill engines."""
    prefill, decode = fleet.EngineRole.PREFILL, fleet.EngineRole.DECODE

    def engines(spot_prefill: int) -> tuple[fleet.Target, ...]:
        steady = [
            _target(f"o{i}", "a", False, prefill if i < 4 else decode)
            for i in range(12)
        ]
        spot = [
            _target(f"s{i}", "a", True, prefill if i < spot_prefill else decode)
            for i in range(11)
        ]
        return (*steady, *spot)

    for spot_prefill, expected in ((0, None), (3, None), (4, 1)):
        situation = _situation(
            (11, 12),
            (11, 1),
            gentle=False,
            engines=engines(spot_prefill),
            prefill_share=1 / 3,
        )
        step = capacity.next_step(situation, 1.0)
        check.assertEqual(step and step.count, expected)


def test_the_role_planner_replaces_prefill_engines_while_the_number_changes():
    """Guards against a planner that waits for a number of engines which changes."""
    prefill, decode = fleet.EngineRole.PREFILL, fleet.EngineRole.DECODE
    planner = fleet.RolePlanner(scaled=True)
    engines = [
        _target(f"o{i}", "abc"[i % 3], False, prefill if i < 12 else decode)
        for i in range(36)
    ]
    for half_second in range(12):
        planner.observe(engines, half_second / 2)
    changed = []
    for half_second in range(12, 30):
        now = half_second / 2
        new = _target(f"s{half_second}", "abc"[half_second % 3], True, decode)
        engines.append(new)
        planner.observe(engines, now)
        change = planner.plan(engines, {}, now)
        if change is not None:
            planner.ordered(change, now)
            changed.append(change)
    check.assertGreaterEqual(len(changed), 2)
    check.assertTrue(all(c.target.spot and c.role is prefill for c in changed))
