"""Time bounds of a planned stop, under a virtual clock."""

import math

from tests import fixtures
from turmericward import runtime

check = fixtures.check
START = 100.0


class _Clock:
    def __init__(self) -> None:
        self.now = START

    def __call__(self) -> float:
        return self.now


def test_bounds_are_infinite_before_the_stop_begins():
    drain = runtime.Drain(8.0, _Clock())
    check.assertFalse(drain.began)
    check.assertEqual((drain.deadline, drain.end), (math.inf, math.inf))
    check.assertEqual(drain.elapsed_s, 0.0)


def test_answers_end_before_the_process_and_that_before_the_kill():
    for length_s in (1.0, 8.0, 600.0):
        drain = runtime.Drain(length_s, _Clock())
        drain.begin()
        check.assertLessEqual(START + length_s * 5 / 6, drain.deadline + 1e-9)
        check.assertLess(drain.deadline, drain.end)
        check.assertLess(drain.end, START + length_s)


def test_second_signal_does_not_extend_the_stop():
    clock = _Clock()
    drain = runtime.Drain(8.0, clock)
    drain.begin()
    end = drain.end
    clock.now += 5.0
    drain.begin()
    check.assertEqual(drain.end, end)
    check.assertEqual(drain.elapsed_s, 5.0)
    check.assertEqual(drain.until_end_s, end - clock.now)
    clock.now += 60.0
    check.assertEqual(drain.until_end_s, 0.0)


def test_changed_length_applies_to_a_stop_that_has_begun():
    drain = runtime.Drain(8.0, _Clock())
    drain.begin()
    drain.set_length(2.0)
    check.assertLess(drain.end, START + 2.0)


# A busy machine gave the process no processor: the kill came before its clock's end.
def test_the_clock_of_a_stop_began_when_the_process_got_a_processor_again():
    cases = [
        # Since when no signal is known to have come, the same as the stop's beginning.
        (None, 0.0),
        (0.0, 0.0),
        (0.2, 0.0),
        (0.5, 0.5),
        (0.75, 0.75),
        (20.0, 20.0),
    ]
    for clear_s, elapsed_s in cases:
        clock = _Clock()
        drain = runtime.Drain(8.0, clock, lag_s=3.0)
        drain.begin(None if clear_s is None else clock.now - clear_s)
        check.assertAlmostEqual(drain.elapsed_s, elapsed_s, msg=clear_s)
        # Callers that sent 3 s after the signal know of the stop.
        check.assertFalse(drain.is_before_notice(3.0 - (clear_s or 0.0) + elapsed_s))
