"""Loads told by what changed, and whole now and then."""

import random

from tests import fixtures
from turmericward import peers, requests
from turmericward.peers import _deltas, _outbox

check = fixtures.check


def _load(calls: int) -> requests.TargetLoad:
    return requests.TargetLoad(open_calls=calls)


def test_only_what_changed_is_told_between_two_whole_loads():
    deltas = _deltas.Deltas()
    first = deltas.next({1: _load(1), 2: _load(2)}, 0.0)
    check.assertFalse(first.partial)
    second = deltas.next({1: _load(1), 2: _load(9), 3: _load(7)}, 0.1)
    check.assertEqual(second.rows, {2: _load(9), 3: _load(7)})
    check.assertTrue(second.partial)
    check.assertEqual(deltas.next({1: _load(1)}, 0.2).rows.keys(), {2, 3})
    check.assertFalse(deltas.next({1: _load(1)}, _deltas.FULL_S).partial)


def test_little_changes_wait_for_the_next_whole_load_however_they_add_up():
    deltas = _deltas.Deltas()
    deltas.next({1: _load(1)}, 0.0)
    check.assertEqual(deltas.next({1: _load(2)}, 0.1).rows, {})
    check.assertEqual(deltas.next({1: _load(3)}, 0.2).rows, {1: _load(3)})
    check.assertEqual(deltas.next({1: _load(4)}, 0.3).rows, {})
    check.assertEqual(deltas.next({1: _load(4)}, 1.1).rows, {1: _load(4)})
    tokens = requests.TargetLoad(urgent_tokens=9_000.0, open_calls=4)
    check.assertEqual(deltas.next({1: tokens}, 1.2).rows, {1: tokens})


def test_one_fronts_own_load_is_told_to_its_relay_with_every_change():
    deltas = _deltas.Deltas(exact=True)
    deltas.next({1: _load(1), 2: _load(1)}, 0.0)
    check.assertEqual(deltas.next({1: _load(2), 2: _load(1)}, 0.1).rows, {1: _load(2)})
    check.assertEqual(deltas.next({1: _load(2), 2: _load(1)}, 0.2).rows, {})


def test_a_new_recipient_is_told_all():
    deltas = _deltas.Deltas()
    deltas.next({1: _load(1)}, 0.0)
    deltas.reset()
    check.assertEqual(deltas.next({1: _load(1)}, 0.1).rows, {1: _load(1)})


def test_a_hearer_knows_the_load_a_second_after_datagrams_arrive_again():
    for seed in range(50):
        rng = random.Random(seed)
        deltas, known, loads = _deltas.Deltas(), {}, {}
        for step in range(60):
            if rng.random() < 0.5:
                loads[rng.randrange(5)] = _load(rng.randrange(1, 4))
            if loads and rng.random() < 0.3:
                del loads[rng.choice(list(loads))]
            update = deltas.next(loads, 0.1 * step)
            if rng.random() < 0.7 or step >= 49:
                base = known if update.partial else {}
                known = _deltas.merged(base, update.rows)
        # A second without change later.
        update = deltas.next(loads, 0.1 * 59 + _deltas.FULL_S)
        base = known if update.partial else {}
        check.assertEqual(_deltas.merged(base, update.rows), loads, seed)


def test_more_notes_than_a_datagram_holds_are_told_one_after_the_other():
    outbox = _outbox.Outbox()
    notes = tuple(
        requests.KeptNote(target=1, part=n, tokens=5_000, own_tokens=0, ready=True)
        for n in range(500)
    )
    outbox.add(peers.Tell(loads={}, kept=notes), 0.0)
    told = []
    while len(told) < len(notes):
        found = outbox.take(0.0).kept
        check.assertLessEqual(len(found), _outbox.MAX_TOLD_NOTES)
        told += found
    check.assertEqual(tuple(told), notes)
    check.assertEqual(outbox.take(0.0).kept, ())


def test_a_leaving_target_is_told_for_a_while_and_not_for_ever_between_two_relays():
    one, other = _outbox.Outbox(), _outbox.Outbox()
    life = peers.LeavingTarget(target=1, started_ms=5)
    one.add(peers.Tell(loads={}, leaving=frozenset((life,))), 0.0)
    check.assertEqual(one.take(1.0).leaving, {life})
    last_told = 0.0
    for step in range(100):
        now = 0.1 * step
        for teller, hearer in ((one, other), (other, one)):
            told = teller.take(now).leaving
            if told:
                last_told = now
            hearer.add(peers.Tell(loads={}, leaving=told), now)
    check.assertLess(last_told, 3 * _outbox.LEAVING_TOLD_S)
