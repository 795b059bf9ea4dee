"""Delta encoding of loads and the queue of events for peers."""

import random

from tests import fixtures
from turmericward import peers, requests
from turmericward.peers import _deltas, _outbox

check = fixtures.check


def _load(calls: int) -> requests.TargetLoad:
    return requests.TargetLoad(open_calls=calls)


def test_only_changed_rows_are_sent_between_two_full_updates():
    encoder = _deltas.DeltaEncoder()
    first = encoder.next_update({1: _load(1), 2: _load(2)}, 0.0)
    check.assertFalse(first.partial)
    second = encoder.next_update({1: _load(1), 2: _load(9), 3: _load(7)}, 0.1)
    check.assertEqual(second.rows, {2: _load(9), 3: _load(7)})
    check.assertTrue(second.partial)
    check.assertEqual(encoder.next_update({1: _load(1)}, 0.2).rows.keys(), {2, 3})
    check.assertFalse(
        encoder.next_update({1: _load(1)}, _deltas.FULL_UPDATE_INTERVAL_S).partial
    )


def test_small_changes_wait_for_a_full_update_or_a_significant_sum():
    encoder = _deltas.DeltaEncoder()
    encoder.next_update({1: _load(1)}, 0.0)
    check.assertEqual(encoder.next_update({1: _load(2)}, 0.1).rows, {})
    check.assertEqual(encoder.next_update({1: _load(3)}, 0.2).rows, {1: _load(3)})
    check.assertEqual(encoder.next_update({1: _load(4)}, 0.3).rows, {})
    check.assertEqual(encoder.next_update({1: _load(4)}, 1.1).rows, {1: _load(4)})
    tokens = requests.TargetLoad(urgent_tokens=9_000.0, open_calls=4)
    check.assertEqual(encoder.next_update({1: tokens}, 1.2).rows, {1: tokens})


def test_an_exact_encoder_sends_every_change():
    encoder = _deltas.DeltaEncoder(exact=True)
    encoder.next_update({1: _load(1), 2: _load(1)}, 0.0)
    check.assertEqual(
        encoder.next_update({1: _load(2), 2: _load(1)}, 0.1).rows, {1: _load(2)}
    )
    check.assertEqual(encoder.next_update({1: _load(2), 2: _load(1)}, 0.2).rows, {})


def test_a_new_recipient_gets_a_full_update():
    encoder = _deltas.DeltaEncoder()
    encoder.next_update({1: _load(1)}, 0.0)
    encoder.reset()
    check.assertEqual(encoder.next_update({1: _load(1)}, 0.1).rows, {1: _load(1)})


def test_a_recipient_recovers_a_second_after_datagram_loss_ends():
    for seed in range(50):
        rng = random.Random(seed)
        encoder, received, loads = _deltas.DeltaEncoder(), {}, {}
        for step in range(60):
            if rng.random() < 0.5:
                loads[rng.randrange(5)] = _load(rng.randrange(1, 4))
            if loads and rng.random() < 0.3:
                del loads[rng.choice(list(loads))]
            update = encoder.next_update(loads, 0.1 * step)
            if rng.random() < 0.7 or step >= 49:
                base = received if update.partial else {}
                received = _deltas.merge(base, update.rows)
        # After one more second without changes.
        update = encoder.next_update(loads, 0.1 * 59 + _deltas.FULL_UPDATE_INTERVAL_S)
        base = received if update.partial else {}
        check.assertEqual(_deltas.merge(base, update.rows), loads, seed)


def test_cache_entries_are_spread_over_several_datagrams():
    outbox = _outbox.Outbox()
    entries = tuple(
        requests.CacheEntry(target=1, segment=n, tokens=5_000, own_tokens=0, ready=True)
        for n in range(500)
    )
    outbox.add(peers.LocalState(loads={}, cache_entries=entries), 0.0)
    sent = []
    while len(sent) < len(entries):
        found = outbox.pop_due(0.0).cache_entries
        check.assertLessEqual(len(found), _outbox.MAX_ENTRIES_PER_DATAGRAM)
        sent += found
    check.assertEqual(tuple(sent), entries)
    check.assertEqual(outbox.pop_due(0.0).cache_entries, ())


def test_two_relays_stop_repeating_a_leaving_target():
    one, other = _outbox.Outbox(), _outbox.Outbox()
    leaving = peers.LeavingTarget(target=1, started_ms=5)
    one.add(peers.LocalState(loads={}, leaving=frozenset((leaving,))), 0.0)
    check.assertEqual(one.pop_due(1.0).leaving, {leaving})
    last_sent = 0.0
    for step in range(100):
        now = 0.1 * step
        for sender, receiver in ((one, other), (other, one)):
            sent = sender.pop_due(now).leaving
            if sent:
                last_sent = now
            receiver.add(peers.LocalState(loads={}, leaving=sent), now)
    check.assertLess(last_sent, 3 * _outbox.LEAVING_REPEAT_S)
