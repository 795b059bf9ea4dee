"""Datagrams between fronts."""

import random

from tests import fixtures
from turmericward import peers, requests

check = fixtures.check
STATE = peers.PeerState(
    front="front-1",
    boot=7,
    sequence=3,
    loads={
        11: requests.TargetLoad(
            urgent_tokens=17_000.0, deferred_tokens=3_000.0, open_calls=4
        )
    },
    kept=(
        requests.KeptNote(
            target=11, part=-(2**62), tokens=13_000, own_tokens=4, ready=True
        ),
    ),
    listed=frozenset((11, 12)),
)


def test_a_state_is_decoded_as_it_was_encoded():
    check.assertEqual(peers.decode(peers.encode(STATE)), STATE)


def test_spoiled_datagrams_are_told_from_sound_ones():
    rng = random.Random(5)
    data = peers.encode(STATE)
    for length in range(len(data)):
        with check.assertRaises(peers.MalformedStateError):
            peers.decode(data[:length])
    for _ in range(300):
        noise = bytes(rng.randrange(256) for _ in range(rng.randrange(60)))
        try:
            peers.decode(noise)
        except peers.MalformedStateError:
            continue


def test_a_state_of_many_targets_fits_a_datagram():
    loads = {n * 40_000_000: STATE.loads[11] for n in range(50)}
    data = peers.encode(
        peers.PeerState(front="front-1", boot=1, sequence=1, loads=loads)
    )
    check.assertLess(len(data), 1_400)
