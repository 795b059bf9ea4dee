"""Records drawn by machine, carried through two fronts in one process."""

import itertools
import json
import types

import hypothesis
from hypothesis import strategies

from tests import fixtures, odd_values, test_dispatch, test_platform_records
from turmericward import feeds, peers, positions, runtime
from turmericward.adapters import errors
from turmericward.platform import _follow

check = fixtures.check
GOOD = ("g1", "g2", "g3")
PACING = feeds.Pacing(wait_s=0.0, batch_s=0.0, fresh_s=60.0)
ENTRY = test_platform_records.REPLICA_RECORD
ODD_ENTRIES = sorted(odd_values.records(ENTRY).values())
# Keys as the store's client decodes them.
KEYS = strategies.text(strategies.characters(exclude_categories=["Cs"]), max_size=20)


class _Store:
    """Serves a listing, then reads; None is unavailable."""

    def __init__(self, records: list[feeds.Record] | None) -> None:
        self._records = records

    def newest(self, topic: str) -> feeds.Listing:
        if self._records is None:
            raise errors.LogUnavailableError("injected")
        # The odd offsets are appended after the listing.
        newest = {r.key: r for r in self._records[::2]}
        listed = tuple(r for r in newest.values() if r.value is not None)
        return feeds.Listing(records=listed, end=positions.Position(0, 1_000))

    def read(self, topic: str, start, wait_s: float) -> list[feeds.Record]:
        if self._records is None:
            raise errors.LogUnavailableError("injected")
        if start.offset > 1_000:
            return []
        later = enumerate(self._records[1::2], start.offset)
        return [feeds.Record(offset=n, key=r.key, value=r.value) for n, r in later]

    def abort(self) -> None:
        """Does nothing: no call waits."""


class _Front:
    """The tasks of a front without threads; its datagrams are collected."""

    def __init__(self, name: str, host: str, records, *, reads: bool) -> None:
        self.host, self.name = host, name
        self.sent: list[bytes] = []
        self._later_s = 0.0
        sock = types.SimpleNamespace(sendto=lambda data, _: self.sent.append(data))
        self.dispatch = test_dispatch._task(name=name, grace_s=0.0)
        self.dispatch.on_rejected = _fail
        self.peers = peers.PeerTask(
            name,
            "a",
            9,
            sock,
            self.dispatch.handle,
            capacity=int(reads),
            fresh_s={feeds.Topic.TARGETS: 600.0},
            clock=lambda: runtime.now() + self._later_s,
        )
        posts = types.SimpleNamespace(post=self.dispatch.handle)
        self.loop = feeds.FollowLoop(
            _Store(records),
            "keyed.servers",
            feeds.Topic.TARGETS,
            PACING,
            _follow.TargetsSink(posts),
            self.peers.handle,
            lambda: reads,
            positions.Eras(),
        )
        self.loop._await_batch = lambda wait_s: None
        self.peers.subscribe(feeds.Topic.TARGETS, self.loop.put_batch)

    def step(self) -> list[bytes]:
        """Runs each task once, a second later; returns the datagrams."""
        self._later_s += 1.0
        self.loop.run_once()
        self.dispatch.run_periodic()
        self.peers.run_periodic()
        sent, self.sent = self.sent, []
        return sent

    def receive(self, other: "_Front", datagrams: list[bytes]) -> None:
        for data in datagrams:
            state = peers.decode(data)
            self.peers.handle(peers.StateReceived(state=state, host=other.host))

    def targets(self) -> dict[str, object]:
        return {t.name: t for t in self.dispatch._directory.all()}


def _fail(message: object, exc: Exception) -> None:
    raise AssertionError(f"handler failed on {message!r:.200}") from exc


def _exchange(first: _Front, second: _Front) -> None:
    for one, other in ((first, second), (second, first)):
        announced = peers.Announced(front=other.name, host=other.host, domain="a")
        one.peers.handle(announced)
    for _ in range(4):
        for one, other in ((first, second), (second, first)):
            other.receive(one, one.step())


def _records(odd: list[tuple[str, bytes]]) -> list[feeds.Record]:
    """Returns odd records, with each good one twice, at even and odd places."""
    good = json.dumps(ENTRY).encode()
    rows = [(key, value) for key, value in odd if key not in GOOD]
    offsets = itertools.count(0)
    mixed = []
    for key, value in [*rows, *((name, good) for name in GOOD for _ in range(2))]:
        mixed.append(feeds.Record(offset=next(offsets), key=key, value=value or None))
    return mixed


@hypothesis.settings(odd_values.PROPERTY, max_examples=60)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["o1", "o2", "", "\ufffd", "a b"]) | KEYS,
            odd_values.any_bytes(ENTRY) | strategies.sampled_from(ODD_ENTRIES),
        ),
        max_size=8,
    )
)
def _carry_through_two_fronts(odd: list[tuple[str, bytes]]) -> None:
    reader = _Front("f1", "127.0.0.1", _records(odd), reads=True)
    member = _Front("f2", "127.0.0.2", None, reads=False)
    _exchange(reader, member)
    for front in (reader, member):
        check.assertTrue(set(GOOD) <= front.targets().keys(), front.name)
    check.assertEqual(reader.targets(), member.targets())


def test_good_records_among_drawn_ones_reach_two_fronts():
    _carry_through_two_fronts()
