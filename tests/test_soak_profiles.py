"""Profiles of the soak, their shifts, and which front its balancer chooses."""

import random

import attrs

from soak import _balancer, _profiles
from tests import fixtures
from turmericward import settings

check = fixtures.check
LENGTH_S = 60.0


@attrs.frozen
class _Front:
    name: str
    domain: str


@attrs.frozen
class _Fleet:
    fronts: list[_Front]


def _mix(name: str, seed: int = 1) -> _profiles.Mix:
    return _profiles.Mix(_profiles.load(name), random.Random(seed), LENGTH_S)


def test_profiles_with_unknown_routes_or_fields_were_taken():
    text = (_profiles.DIRECTORY / "small.json").read_text()
    for old, new in (('"read"', '"raed"'), ("budget_s", "budgets"), ('": 4', '": -4')):
        with check.assertRaises(settings.SettingsError):
            settings.loads(text.replace(old, new), _profiles.Profile)


def test_the_mix_of_a_seed_was_not_the_same_in_each_run_or_never_shifted():
    for name in _profiles.names():
        times = [0.1 * step for step in range(600)]
        mix, shifts = _mix(name), _profiles.load(name).shifts
        seen = [mix.factors(at) for at in times]
        check.assertEqual(seen, [_mix(name).factors(at) for at in times])
        for kind, first in seen[0].items():
            check.assertEqual(first, _profiles.BASE)
            works = [factors[kind].work for factors in seen]
            check.assertGreater(max(works) / min(works), 1.2)
            check.assertLessEqual(max(works), shifts.work_factor * 1.001)
            check.assertGreaterEqual(min(works) * shifts.work_factor, 0.999)
            later = [factors[kind] for factors in seen[300:]]
            check.assertIn(_profiles.BASE, later)


def test_new_connections_went_to_fronts_that_had_missed_two_questions():
    names = ("a1", "a2", "a3", "b1")
    fronts = [_Front(name, name[0]) for name in names]
    cases = [
        # Fronts that are out, and those that a client of a1 may get.
        ((), {"a1"}),
        (("a2",), {"a1"}),
        (("a1",), {"a2", "a3"}),
        (("a1", "a2"), {"a1"}),
        (("a1", "a2", "a3"), {"b1"}),
        (names, {"a1"}),
    ]
    for out, expected in cases:
        balancer = _balancer.Balancer(_Fleet(fronts))
        balancer._misses.update(dict.fromkeys(names, _balancer.MISSES - 1))
        balancer._misses.update(dict.fromkeys(out, _balancer.MISSES))
        chosen = {balancer.choose(fronts[0], random.Random(n)).name for n in range(50)}
        check.assertEqual(chosen, expected, out)
