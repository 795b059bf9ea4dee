"""The pauses that targets ask for."""

from tests import fixtures
from turmericward import fleet

check = fixtures.check


def test_a_target_rests_for_as_long_as_it_asked():
    rests = fleet.Rests()
    check.assertTrue(rests.note("t", 3.0, 10.0))
    check.assertEqual(rests.left_s("t", 11.0), 2.0)
    check.assertEqual(rests.left_s("t", 13.0), 0.0)
    check.assertEqual(rests.left_s("other", 11.0), 0.0)


def test_a_shorter_pause_does_not_end_a_longer_one():
    rests = fleet.Rests()
    rests.note("t", 5.0, 10.0)
    rests.note("t", 1.0, 11.0)
    check.assertEqual(rests.left_s("t", 12.0), 3.0)


def test_values_that_are_no_pause_change_nothing():
    rests = fleet.Rests()
    for rest_s in (0.0, -1.0, float("nan"), float("inf"), float("-inf")):
        check.assertFalse(rests.note("t", rest_s, 10.0), rest_s)
        check.assertEqual(rests.left_s("t", 10.0), 0.0)


def test_an_endless_pause_is_cut():
    rests = fleet.Rests()
    rests.note("t", 1e300, 10.0)
    check.assertLess(rests.left_s("t", 10.0), 3600.0)


def test_a_target_that_began_anew_does_not_rest():
    rests = fleet.Rests()
    rests.note("t", 5.0, 10.0)
    rests.forget("t")
    check.assertEqual(rests.left_s("t", 10.0), 0.0)
