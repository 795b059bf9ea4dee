"""Shares of a limit among fronts that know all or only a part of each other."""

import random

from tests import fixtures
from turmericward import fleet

check = fixtures.check
NAMES = [f"front-{n}" for n in range(195)]
LIMITS = (0.0, 0.5, 1.0, 4.7, 12.0, 300.0)


def _shares(known: dict[str, list[str]], per_s: float, target: str = "t"):
    """Returns the share of each front that knows these fronts, and that all exist."""
    shares = []
    for name, names in known.items():
        members = fleet.Members(name)
        members.set_names(frozenset(names))
        members.set_min_count(len(known))
        shares.append(members.share(target, per_s))
    return shares


def test_the_shares_of_fronts_that_know_each_other_add_up_to_the_limit():
    for count in (1, 2, 6, 40, 195):
        names = NAMES[:count]
        for per_s in LIMITS:
            shares = _shares(dict.fromkeys(names, names), per_s)
            taken = [share for share in shares if share.per_s]
            case = (count, per_s)
            check.assertTrue(taken, case)
            check.assertGreaterEqual(min(share.burst for share in taken), 1.0, case)
            total = sum(share.per_s for share in taken)
            check.assertAlmostEqual(total, max(per_s, 0.2), msg=case)
            # In 4 s at most 1.5 times what the limit allows, and 5 requests.
            in_window = 4 * total + sum(share.burst for share in taken)
            check.assertLessEqual(in_window, 6 * per_s + 5, case)


def test_fronts_that_know_a_part_of_the_others_take_no_more_together():
    rng = random.Random(1)
    for part in (3, 20, 100, 190):
        known = {name: [name, *rng.sample(NAMES, part)] for name in NAMES}
        totals = [
            sum(share.per_s for share in _shares(known, 4.7, f"t{n}"))
            for n in range(40)
        ]
        # The mean over many targets; the chosen fronts differ by chance.
        check.assertLessEqual(sum(totals) / len(totals), 1.1 * 4.7, part)


def test_a_front_that_knows_no_other_takes_no_share_of_a_low_limit():
    members = fleet.Members("front-0")
    for per_s in (4.7, 12.0, 160.0):
        check.assertEqual(members.share("t", per_s).per_s, 0.0, per_s)
    # Hundreds of fronts that start together take no more than the limit.
    check.assertLessEqual(460 * members.share("t", 4_600.0).per_s, 4_600.0)


def test_each_target_is_left_to_other_fronts():
    members = {name: fleet.Members(name) for name in NAMES}
    for known in members.values():
        known.set_names(frozenset(NAMES))
    taking = {
        name
        for name, known in members.items()
        if any(known.share(f"t{n}", 4.7).per_s for n in range(60))
    }
    check.assertGreater(len(taking), 0.9 * len(NAMES))
