"""Rates that targets name: which answer counts."""

import attrs

from tests import fixtures
from turmericward import fleet

check = fixtures.check
TARGET = fleet.Target(
    name="t", service="s", address="10.0.0.1:1", domain="a", slots=8, started_ms=5
)


def _limit(per_s: float | None, at: float) -> fleet.RateLimit:
    return fleet.RateLimit(per_s=per_s, observed_at=at)


def test_the_latest_answer_sets_or_lifts_the_limit():
    limits = fleet.RateLimits("front")
    check.assertTrue(limits.record(TARGET, _limit(4.5, 1.0), 9.0))
    check.assertFalse(limits.record(TARGET, _limit(4.5, 2.0), 9.0))
    check.assertTrue(limits.record(TARGET, _limit(2.0, 3.0), 9.0))
    check.assertEqual(limits.limited(), {"t"})
    check.assertTrue(limits.record(TARGET, _limit(None, 4.0), 9.0))
    check.assertEqual(limits.limited(), frozenset())


def test_answers_that_are_reported_late_change_nothing():
    limits = fleet.RateLimits("front")
    limits.record(TARGET, _limit(None, 4.0), 9.0)
    check.assertFalse(limits.record(TARGET, _limit(4.5, 3.0), 9.0))
    check.assertIsNone(limits.per_s("t"))


def test_a_restarted_target_begins_without_limit():
    limits = fleet.RateLimits("front")
    limits.record(TARGET, _limit(4.5, 4.0), 9.0)
    limits.forget("t")
    check.assertIsNone(limits.per_s("t"))
    restarted = attrs.evolve(TARGET, started_ms=6)
    limits.record(restarted, _limit(1.0, 3.0), 9.0)
    check.assertEqual(limits.per_s("t"), 1.0)
    check.assertFalse(limits.record(TARGET, _limit(4.5, 9.0), 9.0))
