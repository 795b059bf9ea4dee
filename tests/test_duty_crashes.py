"""The table of crash points of a duty's holder, in virtual time."""

from tests import duty_world, fixtures
from turmericward import duties
from turmericward.adapters import errors

check = fixtures.check
POINTS = (
    "before OnDemandAcquire",
    "after OnDemandAcquire",
    "before OnDemandRenew",
    "after OnDemandRenew",
    "before journal",
    "after journal",
    "before send",
    "after send",
)
# Shorter than the remaining term, within it, and longer than a takeover.
FREEZES_S = (0.5, 2.0, 4.0, 9.0, 20.0)
# Later than the first calls, at several phases of windows and renewals.
PHASES_S = (20.0, 21.3, 22.6, 23.9)
DOWN = (duties.Outcome.UNKNOWN, False)
LOST = (duties.Outcome.UNKNOWN, True)
THROTTLED = (duties.Outcome.THROTTLED, False)


def _kill(front) -> None:
    raise duty_world.KilledError


def _lose_answer(front) -> None:
    raise errors.LogUnavailableError("answer lost")


def _play(point: str, action, phase_s: float, *, first: bool = False):
    """Runs a world with an action at a point; returns it."""
    world = duty_world.World()
    if not first:
        world.run(phase_s)
    world.at_point[point] = action(world)
    world.run(60.0)
    return world


def test_a_killed_holder_is_replaced_without_a_second_body_or_a_missed_window():
    # Guards against windows that are lost, or reported twice, in a takeover.
    for point in POINTS:
        for phase_s in PHASES_S:
            first = "Acquire" in point
            world = _play(point, lambda w: _kill, phase_s, first=first)
            case = f"killed {point}, {phase_s}"
            check.assertEqual(world.violations(), [], case)
            check.assertEqual(world.missing(), [], case)
            check.assertEqual(sum(f.dead for f in world.fronts), 1, case)


def test_a_frozen_holder_sends_nothing_after_its_term():
    # Guards against a holder that goes on when it thaws, beside its successor.
    for point in POINTS:
        for freeze_s in FREEZES_S:
            for phase_s in PHASES_S:
                first = "Acquire" in point
                world = _play(
                    point, lambda w, s=freeze_s: w.freeze(s), phase_s, first=first
                )
                case = f"frozen {freeze_s} s {point}, {phase_s}"
                check.assertEqual(world.violations(), [], case)
                check.assertEqual(world.missing(), [], case)


def test_a_call_late_in_a_term_and_the_successors_first_are_a_gap_apart():
    # Guards against a margin that doesn't contain the order gap.
    for freeze_s in (0.5, 1.0, 1.5, 2.0, 2.4):
        for phase_s in PHASES_S:
            world = duty_world.World()
            world.run(phase_s)
            world.at_point["before send"] = world.freeze(freeze_s)
            world.at_point["after send"] = _kill
            world.run(60.0)
            case = f"{freeze_s}, {phase_s}"
            check.assertEqual(world.violations(), [], case)
            check.assertEqual(world.missing(), [], case)


def test_a_lost_answer_of_the_log_loses_neither_lease_nor_report():
    # Guards against a second body after an append of unknown outcome.
    for point in POINTS:
        if "send" in point or "Acquire" in point:
            continue
        for phase_s in PHASES_S:
            world = _play(point, lambda w: _lose_answer, phase_s)
            case = f"lost {point}, {phase_s}"
            check.assertEqual(world.violations(), [], case)
            check.assertEqual(world.missing(), [], case)
            check.assertEqual(len({c.front for c in world.taken}), 1, case)


def test_a_log_from_an_older_copy_costs_windows_but_gives_no_second_body():
    # Guards against a body that is made again since the log has lost the first.
    for point in POINTS:
        for records in (1, 2, 6):
            for kills in (False, True):

                def action(world, records=records, kills=kills):
                    def act(front) -> None:
                        world.return_from_copy(min(records, len(world.rows)))
                        if kills:
                            raise duty_world.KilledError

                    return act

                world = _play(point, action, 21.3, first=False)
                case = f"{records} lost {point}, killed: {kills}"
                check.assertEqual(world.violations(), [], case)
                check.assertLessEqual(len(world.missing()), 2, case)


def test_faults_of_the_platform_delay_reports_only():
    # Guards against another body, or none, after a call that had no answer.
    for fault in (DOWN, LOST, THROTTLED):
        for length_s in (3.0, 6.0):
            world = duty_world.World()
            world.run(21.3)
            world.fault = fault
            world.run(length_s)
            world.fault = None
            world.run(40.0)
            check.assertEqual(world.violations(), [], str(fault))
            check.assertEqual(world.missing(), [], f"{fault} {length_s}")


def test_a_planned_stop_hands_the_lease_over_after_the_gap():
    # Guards against a gap in the reports at each release of the fronts.
    for phase_s in PHASES_S:
        world = duty_world.World()
        world.run(phase_s)
        (holder,) = [f for f in world.fronts if f.lease.authority()]
        holder.stops = True
        world.run(40.0)
        check.assertEqual(world.violations(), [], str(phase_s))
        check.assertEqual(world.missing(), [], str(phase_s))


def test_a_store_that_is_down_stops_the_calls_within_the_term():
    # Guards against calls without a lease; reports go on when the store is back.
    world = duty_world.World()
    world.run(21.3)
    world.store_down = True
    down_at = world.now
    world.run(30.0)
    last = max(call.at for call in world.taken)
    check.assertLess(last, down_at + duty_world.TIMING.term_s)
    world.store_down = False
    world.run(30.0)
    check.assertEqual(world.violations(), [])
    check.assertGreater(max(call.at for call in world.taken), down_at + 30.0)
