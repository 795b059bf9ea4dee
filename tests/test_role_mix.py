"""The role mix of engines follows the load."""

import attrs

from benchmarks import _emulator, _loads, prompt_model
from tests import fixtures
from turmericward import fleet

check = fixtures.check
PREFILL, DECODE = fleet.EngineRole.PREFILL, fleet.EngineRole.DECODE
STARTED_MS = 7


def _engines(prefill: int, decode: int) -> list[fleet.Target]:
    """Returns engines of 64 slots in three domains."""
    return [
        attrs.evolve(t, started_ms=STARTED_MS)
        for t in prompt_model.targets(prefill, decode)
    ]


def _loads_of(targets, queued: float, calls: int) -> dict[str, fleet.EngineLoad]:
    """Returns queued tokens at prefill engines, and open calls at decode engines."""
    return {
        t.name: fleet.EngineLoad(queued_tokens=queued)
        if t.role is PREFILL
        else fleet.EngineLoad(open_calls=calls)
        for t in targets
    }


def _replay(planner, targets, seconds: range, queued: float, calls: int, others=()):
    """Carries out each change 3 s later; returns the engines and the orders."""
    ordered, running = [], []
    for half_second in range(2 * seconds.start, 2 * seconds.stop):
        now = half_second / 2
        for at, change in [r for r in running if r[0] <= now]:
            running.remove((at, change))
            targets = [
                attrs.evolve(t, role=change.role) if t == change.target else t
                for t in targets
            ]
        loads = _loads_of(targets, queued, calls)
        for other in others:
            other.observe(targets, now, loads)
        planner.observe(targets, now, loads)
        change = planner.plan(targets, {}, now)
        if change is not None:
            planner.ordered(change, now)
            ordered.append((now, change))
            running.append((now + 3.0, change))
    return targets, ordered


def _prefill_count(targets) -> int:
    return sum(t.role is PREFILL for t in targets)


def test_decode_engines_with_free_slots_become_prefill_when_prompts_queue():
    planner = fleet.RolePlanner()
    targets, ordered = _replay(planner, _engines(3, 6), range(60), 20_000.0, 10)
    check.assertEqual(_prefill_count(targets), 6)
    check.assertEqual({change.role for _, change in ordered}, {PREFILL})
    for domain in "abc":
        roles = [t.role for t in targets if t.domain == domain]
        check.assertIn(DECODE, roles)
    times = [at for at, _ in ordered]
    intervals = [b - a for a, b in zip(times, times[1:], strict=False)]
    check.assertGreaterEqual(min(intervals), 4.0)


def test_busy_decode_engines_keep_their_role():
    planner = fleet.RolePlanner()
    _, ordered = _replay(planner, _engines(3, 6), range(60), 20_000.0, 40)
    check.assertEqual(ordered, [])


def test_a_short_burst_changes_no_role():
    planner = fleet.RolePlanner()
    targets = _engines(3, 6)
    targets, before = _replay(planner, targets, range(20), 500.0, 10)
    targets, during = _replay(planner, targets, range(20, 21), 20_000.0, 10)
    _, after = _replay(planner, targets, range(21, 60), 500.0, 10)
    check.assertEqual(before + during + after, [])


def test_prefill_engines_become_decode_when_all_slots_are_occupied():
    planner = fleet.RolePlanner()
    targets, ordered = _replay(planner, _engines(5, 4), range(60), 200.0, 60)
    check.assertGreater(len(ordered), 0)
    check.assertEqual({change.role for _, change in ordered}, {DECODE})
    check.assertGreater(_prefill_count(targets), 0)


def test_other_fronts_adopt_a_changed_role_mix():
    planner, other = fleet.RolePlanner(), fleet.RolePlanner()
    targets, ordered = _replay(
        planner, _engines(3, 6), range(60), 20_000.0, 10, others=[other]
    )
    check.assertEqual(len(ordered), 3)
    _, by_other = _replay(other, targets, range(60, 120), 3_000.0, 10)
    check.assertEqual(by_other, [])


def test_a_restarted_engine_does_not_change_the_wanted_role_mix():
    planner = fleet.RolePlanner()
    targets = [attrs.evolve(t, domain="a") for t in _engines(3, 6)]
    targets, _ = _replay(planner, targets, range(10), 3_000.0, 10)
    restarted = attrs.evolve(targets[0], role=DECODE, started_ms=STARTED_MS + 1)
    targets, ordered = _replay(
        planner, [restarted, *targets[1:]], range(10, 30), 3_000.0, 10
    )
    check.assertEqual([change.role for _, change in ordered], [PREFILL])
    check.assertEqual(_prefill_count(targets), 3)


def test_the_number_of_concurrent_changes_is_bounded():
    planner = fleet.RolePlanner()
    targets, ordered = _replay(planner, _engines(16, 29), range(40), 20_000.0, 9)
    check.assertGreater(_prefill_count(targets), 20)
    for at, _ in ordered:
        outstanding = sum(0 <= at - other < 3.0 for other, _ in ordered)
        check.assertLessEqual(outstanding, 3)


def test_one_more_prefill_engine_serves_more_when_prompts_queue():
    load = attrs.evolve(_loads.load("lending"), length_s=12.0)
    changed = attrs.evolve(load, prefill=load.prefill + 1, decode=load.decode - 1)
    worth = [
        sum(
            _emulator.Simulation(found, seed).run().worth(found.weights)
            for seed in range(2)
        )
        for found in (load, changed)
    ]
    check.assertGreater(worth[1], worth[0])
