"""What fronts tell each other fits its datagram, and is checked when it is read."""

import contextlib
import math
import queue
import random
import socket

import attrs
from hypothesis import strategies

from tests import fixtures, odd_values, test_dispatch
from turmericward import feeds, fleet, peers, positions, requests
from turmericward.peers import _codec

check = fixtures.check


def _peer_task(sock, name: str = "f1", **options) -> peers.PeerTask:
    port = sock.getsockname()[1] or 9
    return peers.PeerTask(name, "a", port, sock, lambda state: None, **options)


def test_datagrams_to_hosts_that_are_no_address_are_dropped():
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    with contextlib.closing(sock):
        for host in ("::1%" + "a" * 300, "\ud800", "", "a" * 300, "\x00"):
            _peer_task(sock)._send_to(host, b"x")


def _state(**changes) -> peers.PeerState:
    return attrs.evolve(
        peers.PeerState(front="f", boot=1, sequence=1, loads={}), **changes
    )


def test_numbers_beyond_the_range_of_a_datagram_are_sent_as_the_nearest():
    huge = requests.TargetLoad(
        urgent_tokens=1e300,
        deferred_tokens=math.inf,
        open_calls=2**40,
        ended_calls=2**64,
        failed_calls=2**31,
    )
    entry = requests.CacheEntry(
        target=1, segment=-(2**63), tokens=2**40, own_tokens=2**31, ready=True
    )
    limit = peers.TargetLimit(target=1, started_ms=2**63, per_s=None, age_s=1e9)
    state = _state(
        loads={1: huge},
        cache_entries=(entry,),
        held={1: 1e12},
        limits=(limit,),
        capacity=10**15,
    )
    decoded = peers.decode(peers.encode(state))
    check.assertEqual(decoded.loads[1].urgent_tokens, 2**31 - 1)
    check.assertEqual(decoded.cache_entries[0].tokens, 2**31 - 1)
    check.assertEqual(decoded.capacity, 2**31 - 1)


def test_a_datagram_that_is_too_long_is_sent_without_its_records():
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    receiver.bind(("127.0.0.1", 0))
    receiver.settimeout(2.0)
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    value = random.Random(5).randbytes(61_000)
    with contextlib.closing(receiver), contextlib.closing(sender):
        task = peers.PeerTask(
            "f1",
            "a",
            receiver.getsockname()[1],
            sender,
            lambda state: None,
            fresh_s={feeds.Topic.CONFIGURATION: 9.0},
        )
        task.handle(peers.Announced(front="f2", host="127.0.0.1", domain="a"))
        task.handle(
            feeds.TopicRange(
                topic=feeds.Topic.CONFIGURATION,
                start=positions.Position(0, 0),
                end=positions.Position(0, 1),
                as_of=task._clock(),
                records=(feeds.Record(offset=0, key="config", value=value),),
            )
        )
        state = peers.decode(receiver.recv(65_536))
    check.assertEqual((state.front, state.record_batches), ("f1", ()))


def _rate_limits_share(per_s: float) -> None:
    members = fleet.RateLimits("f1").members
    members.share("m1", per_s)


def test_decoded_limits_can_be_divided():
    for per_s in (1e300, 1.7e308, math.inf, math.nan, -math.inf):
        limit = peers.TargetLimit(target=1, started_ms=1, per_s=per_s, age_s=0.0)
        try:
            decoded = peers.decode(peers.encode(_state(limits=(limit,))))
        except peers.MalformedStateError:
            continue
        check.assertEqual(decoded.limits[0].per_s, 1e300)
        _rate_limits_share(decoded.limits[0].per_s)


def test_datagrams_with_missing_or_odd_fields_are_rejected():
    lists = {"loads": [], "kept": [], "held": [], "listed": []}
    fields = {"front": "f", "boot": 1, "sequence": 1, "domain": "a", "fronts": 1}
    fields |= lists
    serialize = _codec.TSerialization.serialize
    message = _codec.ttypes.FrontState(**fields)
    peers.decode(serialize(message, _codec._FACTORY))
    for name, value in (
        ("front", None),
        ("front", ""),
        ("front", "x" * 5_000),
        ("boot", None),
        ("sequence", None),
        ("loads", None),
        ("domain", None),
        ("fronts", None),
        ("fronts", 0),
        ("fronts", -5),
        ("fronts", 2**31 - 1),
    ):
        message = _codec.ttypes.FrontState(**(fields | {name: value}))
        with check.assertRaises(peers.MalformedStateError, msg=f"{name}={value!r}"):
            peers.decode(serialize(message, _codec._FACTORY))


def test_any_bytes_are_a_state_of_a_peer_or_malformed():
    data = peers.encode(
        _state(
            loads={1: requests.TargetLoad(open_calls=1)},
            limits=(peers.TargetLimit(target=1, started_ms=1, per_s=5.0, age_s=0.1),),
            held={1: 0.5},
        )
    )
    inbox: queue.SimpleQueue = queue.SimpleQueue()
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    task = peers.PeerTask("f1", "a", 9, sock, inbox.put)
    dispatch = test_dispatch._task()

    def read(raw: bytes) -> None:
        state = peers.decode(raw)
        check.assertEqual(peers.decode(peers.encode(state)).front, state.front)
        task.handle(peers.StateReceived(state=state, host="127.0.0.1"))
        while not inbox.empty():
            dispatch.handle(inbox.get())
        dispatch.run_periodic()

    with contextlib.closing(sock):
        odd_values.assert_property(
            odd_values.damaged(data) | strategies.binary(max_size=60),
            read,
            peers.MalformedStateError,
        )
