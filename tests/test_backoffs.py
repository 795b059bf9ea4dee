"""Backoffs that targets ask for by Retry-After."""

from tests import fixtures
from turmericward import fleet

check = fixtures.check


def test_a_target_is_in_backoff_for_as_long_as_it_asked():
    backoffs = fleet.Backoffs()
    check.assertTrue(backoffs.record("t", 3.0, 10.0))
    check.assertEqual(backoffs.remaining_s("t", 11.0), 2.0)
    check.assertEqual(backoffs.remaining_s("t", 13.0), 0.0)
    check.assertEqual(backoffs.remaining_s("other", 11.0), 0.0)


def test_a_shorter_backoff_does_not_end_a_longer_one():
    backoffs = fleet.Backoffs()
    backoffs.record("t", 5.0, 10.0)
    backoffs.record("t", 1.0, 11.0)
    check.assertEqual(backoffs.remaining_s("t", 12.0), 3.0)


def test_invalid_backoffs_are_ignored():
    backoffs = fleet.Backoffs()
    for backoff_s in (0.0, -1.0, float("nan"), float("inf"), float("-inf")):
        check.assertFalse(backoffs.record("t", backoff_s, 10.0), backoff_s)
        check.assertEqual(backoffs.remaining_s("t", 10.0), 0.0)


def test_a_long_backoff_is_capped():
    backoffs = fleet.Backoffs()
    backoffs.record("t", 1e300, 10.0)
    check.assertLess(backoffs.remaining_s("t", 10.0), 3600.0)


def test_a_restarted_target_is_not_in_backoff():
    backoffs = fleet.Backoffs()
    backoffs.record("t", 5.0, 10.0)
    backoffs.forget("t")
    check.assertEqual(backoffs.remaining_s("t", 10.0), 0.0)
