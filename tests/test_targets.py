"""The directory of targets: late, outdated and missing announcements."""

import attrs

from tests import fixtures
from turmericward import fleet

check = fixtures.check
TARGET = fleet.Target(
    name="t", service="s", address="10.0.0.1:1", domain="a", slots=4, started_ms=100
)


def _directory() -> fleet.Directory:
    directory = fleet.Directory(grace_s=2.5)
    directory.put(TARGET)
    return directory


def _names(directory) -> list[str]:
    return [target.name for target in directory.usable("s")]


def test_announcements_of_an_earlier_incarnation_are_ignored():
    directory = _directory()
    older = attrs.evolve(TARGET, started_ms=50, address="10.0.0.9:1")
    check.assertFalse(directory.put(older))
    check.assertEqual(directory.get("t").address, "10.0.0.1:1")


def test_a_leaving_target_is_unused_until_it_restarts():
    directory = _directory()
    directory.put(attrs.evolve(TARGET, leaving=True))
    check.assertFalse(directory.put(TARGET))
    check.assertEqual(_names(directory), [])
    check.assertTrue(directory.put(attrs.evolve(TARGET, started_ms=200)))
    check.assertEqual(_names(directory), ["t"])


def test_a_missing_target_is_removed_immediately_without_an_outage():
    directory = _directory()
    directory.remove("t", 10.0)
    check.assertEqual(len(directory), 0)


def test_after_an_outage_a_missing_target_is_kept_for_the_grace_period():
    directory = _directory()
    directory.store_recovered(10.0)
    directory.keep_only(set(), 10.5)
    check.assertEqual(_names(directory), ["t"])
    check.assertEqual(directory.expire(12.0), [])
    check.assertEqual(directory.expire(12.5), ["t"])
    check.assertEqual(_names(directory), [])


def test_a_target_announced_again_within_the_grace_period_is_kept():
    directory = _directory()
    directory.store_recovered(10.0)
    directory.remove("t", 10.5)
    directory.put(TARGET)
    check.assertEqual(directory.expire(20.0), [])


def test_a_leaving_target_gets_no_grace_period():
    directory = _directory()
    directory.store_recovered(10.0)
    directory.put(attrs.evolve(TARGET, leaving=True))
    directory.remove("t", 10.5)
    check.assertEqual(len(directory), 0)


def test_a_leaving_incarnation_is_not_used_again():
    directory = _directory()
    check.assertTrue(directory.leave("t", 100))
    check.assertFalse(directory.leave("t", 100))
    check.assertEqual(_names(directory), [])
    check.assertFalse(directory.put(TARGET))
    directory.remove("t", 10.0)
    check.assertFalse(directory.put(TARGET))
    check.assertEqual(_names(directory), [])
    check.assertTrue(directory.put(attrs.evolve(TARGET, started_ms=200)))
    check.assertEqual(_names(directory), ["t"])


def test_leaving_of_another_incarnation_is_ignored():
    directory = _directory()
    check.assertFalse(directory.leave("t", 50))
    check.assertFalse(directory.leave("other", 100))
    check.assertEqual(_names(directory), ["t"])
