"""Encoding of datagrams between fronts."""

import random

import attrs
from thrift import TSerialization

from tests import fixtures
from turmericward import feeds, peers, positions, requests
from turmericward.peers import _codec
from turmericward.wire.peers import ttypes

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
    cache_entries=(
        requests.CacheEntry(
            target=11, segment=-(2**62), tokens=13_000, own_tokens=4, ready=True
        ),
    ),
    listed=frozenset((11, 12)),
)


def test_a_state_survives_encoding():
    check.assertEqual(peers.decode(peers.encode(STATE)), STATE)


def _outcome(kind: requests.EvidenceKind, key: int) -> requests.KeyOutcome:
    crashed = requests.Incarnation(11, 1_700_000_000_000)
    return requests.KeyOutcome(kind=kind, key=key, crashed=crashed, age_s=0.25)


def test_builds_that_know_no_requests_get_outcomes_of_segments_alone():
    kinds = requests.EvidenceKind
    rows = (_outcome(kinds.SEGMENT, 5), _outcome(kinds.REQUEST, -(2**63)))
    rows += (attrs.evolve(rows[1], crashed=None),)
    state = attrs.evolve(STATE, outcomes=rows)
    check.assertEqual(peers.decode(peers.encode(state)), state)
    message = TSerialization.deserialize(
        ttypes.FrontState(), peers.encode(state), _codec._FACTORY
    )
    check.assertEqual([row.segment for row in message.outcomes], [5])
    message.request_outcomes = None
    data = TSerialization.serialize(message, _codec._FACTORY)
    check.assertEqual(peers.decode(data).outcomes, rows[:1])


def test_malformed_datagrams_are_rejected():
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


def _with_batch(value: bytes | None) -> peers.PeerState:
    record = feeds.Record(offset=4, key="config", value=value)
    batch = feeds.RecordBatch(
        topic=feeds.Topic.CONFIGURATION,
        start=positions.Position(4, 3),
        end=positions.Position(4, 6),
        age_s=0.25,
        records=(record,),
    )
    return attrs.evolve(STATE, record_batches=(batch,), partial=True, capacity=-1)


def test_record_batches_survive_encoding():
    for value in (None, b"x", b"{}" * 20_000, bytes(range(256)) * 4):
        state = _with_batch(value)
        check.assertEqual(peers.decode(peers.encode(state)), state)


def test_a_configuration_is_compressed():
    route = b'{"name": "r", "host": "h.example", "path_prefix": "/r/", "kind": "once"},'
    check.assertLess(len(peers.encode(_with_batch(route * 400))), 2_000)


def test_a_value_too_long_when_decompressed_is_rejected():
    data = peers.encode(_with_batch(b"x" * 20_000_000))
    with check.assertRaises(peers.MalformedStateError):
        peers.decode(data)


def test_a_state_of_an_earlier_version_is_decoded():
    # Its last field is the list of targets that reported their cache contents.
    message = ttypes.FrontState(
        front="front-1", boot=7, sequence=3, loads=[], kept=[], held=[], listed=[]
    )
    message.domain, message.fronts = "a", 1
    state = peers.decode(TSerialization.serialize(message, _codec._FACTORY))
    check.assertEqual(
        (state.front, state.record_batches, state.partial), ("front-1", (), False)
    )
