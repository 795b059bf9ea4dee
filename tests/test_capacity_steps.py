"""Orders of replicas: the next step, what is known of orders, and engine roles."""

from tests import fixtures
from tests.capacity_fleet import SCALING
from turmericward import capacity, duties, fleet

check = fixtures.check
ACCEPTED, UNKNOWN = duties.Outcome.ACCEPTED, duties.Outcome.UNKNOWN
BOOT_S = 4.0


def _pool(domain: str, spot: bool = False) -> capacity.Pool:
    return capacity.Pool(domain=domain, spot=spot)


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
