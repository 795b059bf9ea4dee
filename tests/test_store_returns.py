"""The store returns from an older copy: positions, batches and the front's picture."""

import json
import random
import time

from standins import launch, platform_store
from tests import fixtures, platform_fixtures, test_adapters, test_feeds
from turmericward import authority, dispatching, feeds, fleet, peers, positions
from turmericward.adapters import errors
from turmericward.platform import _follow, _orders, _store

check = fixtures.check
CATCH_UP_S = 3.0
SEEDS = range(60)


def test_positions_are_ordered_by_era_and_offset():
    later = positions.Position(2, 5)
    check.assertGreater(later, positions.Position(1, 900))
    check.assertGreater(later, positions.Position(2, 4))
    check.assertEqual(later.plus(3), positions.Position(2, 8))


def test_a_listing_of_a_later_era_is_taken_though_it_ends_before():
    cursor = test_feeds._listed_cursor(end=100)
    check.assertFalse(cursor.apply_listing(test_feeds._at(90), 1.0))
    check.assertTrue(cursor.apply_listing(test_feeds._at(90, era=1), 1.0))
    check.assertEqual(cursor.next, test_feeds._at(90, era=1))
    check.assertFalse(cursor.apply_listing(test_feeds._at(200), 2.0))


def test_batches_of_another_era_are_not_applied():
    cursor = test_feeds._listed_cursor(end=10)
    record = test_feeds._record(10)
    later = test_feeds._batch(10, 11, records=(record,), era=1)
    check.assertEqual(cursor.apply_batch(later, 0.1), ())
    check.assertFalse(cursor.is_fresh(0.1))
    cursor.apply_listing(test_feeds._at(8, era=1), 0.2)
    earlier = test_feeds._batch(8, 11, records=(record,))
    check.assertEqual(cursor.apply_batch(earlier, 0.3), ())
    check.assertEqual(cursor.next, test_feeds._at(8, era=1))


def test_batches_of_two_eras_are_malformed():
    with check.assertRaises(feeds.MalformedBatchError):
        feeds.RecordBatch(
            topic=test_feeds.TOPIC,
            start=test_feeds._at(1),
            end=test_feeds._at(2, era=1),
            age_s=0.0,
        )


def test_a_batch_without_era_is_of_the_oldest_one():
    batch = test_feeds._batch(3, 4)
    state = peers.PeerState(
        front="f", boot=1, sequence=1, loads={}, record_batches=(batch,)
    )
    (decoded,) = peers.decode(peers.encode(state)).record_batches
    check.assertEqual(decoded.end, positions.Position(0, 4))


def test_a_loop_lists_the_topic_again_in_a_new_era():
    for grown in (0, 5, 30):
        case = test_feeds._LoopCase(reads=True)
        case.store.log.records += [test_feeds._record(n) for n in range(20)]
        case.loop.run_once()
        case.loop.run_once()
        case.store.era = 1
        del case.store.log.records[15:]
        case.store.log.records += [test_feeds._record(15 + n) for n in range(grown)]
        for _ in range(3):
            case.loop.run_once()
        check.assertEqual(case.sink.events, ["listed", "reverted"], grown)
        last = case.published[-1].end
        check.assertEqual(last, positions.Position(1, 15 + grown), grown)


def test_a_member_learns_of_a_new_era_from_a_peer():
    case = test_feeds._LoopCase(reads=False)
    case.store.log.records += [test_feeds._record(n) for n in range(20)]
    case.loop.run_once()
    case.store.era = 1
    del case.store.log.records[15:]
    case.loop.put_batch(test_feeds._batch(14, 15, era=1))
    case.loop.run_once()
    case.loop.run_once()
    check.assertEqual(case.sink.events, ["listed", "reverted"])


def test_a_member_cut_off_from_the_store_takes_a_full_batch_of_a_new_era():
    case = test_feeds._LoopCase(reads=False)
    case.loop.run_once()
    case.store.down = True
    case.loop.put_batch(test_feeds._full_batch(7, (test_feeds._record(3),), era=2))
    case.loop.run_once()
    check.assertEqual(case.sink.events, ["listed", "reverted"])
    # One of an era that has ended changes nothing.
    case.loop.put_batch(test_feeds._full_batch(90, era=1))
    case.loop.run_once()
    check.assertEqual(case.published[-1].end, positions.Position(2, 7))


def test_eras_only_rise_and_jump_no_further_than_plausible():
    counted = []
    eras = positions.Eras(lambda: counted.append(1), clock=lambda: 5.0)
    eras.observe(7, "the store")
    eras.observe(3, "a peer")
    check.assertEqual((eras.current, eras.since, counted), (7, 5.0, []))
    eras.observe(8, "a peer")
    check.assertEqual((eras.current, counted), (8, [1]))
    first = positions.Eras(lambda: counted.append(2), clock=lambda: 5.0)
    first.observe(0, "the store")
    check.assertEqual(first.since, float("-inf"))
    first.observe(1, "the store")
    check.assertEqual(counted, [1, 2])
    for era in (8 + 101, 5_000):
        with check.assertRaises(positions.InvalidEraError):
            eras.observe(era, "a peer")
    check.assertEqual(eras.current, 8)


def _read(store: platform_store.Store, client: _store.StoreClient, start):
    try:
        return len(client.read("t", start, 0.0))
    except errors.AdapterError as exc:
        return type(exc).__name__


def test_the_client_tells_a_position_of_an_ended_era_from_a_failure():
    store = platform_store.Store()
    with test_adapters.serve_app(store) as address:
        client = _store.StoreClient(address, 1.0, positions.Eras())
        for n in range(3):
            client.put("t", f"k{n}", b"v")
        end = client.newest("t").end
        check.assertEqual(end, positions.Position(1, 3))
        check.assertEqual(_read(store, client, end), 0)
        store.return_from_copy(60.0)
        check.assertEqual(_read(store, client, end), "EraEndedError")
        check.assertEqual(client.put("t", "k", b"v"), positions.Position(2, 0))
        for text in (None, "", "x", "-1", "1", "99999", "\u0662", "2.0"):
            store.era = text
            name = _read(store, client, positions.Position(2, 1))
            check.assertEqual(name, "LogUnavailableError", text)
        store.era = 2
        check.assertEqual(_read(store, client, positions.Position(2, 1)), 0)
        client.close()


def test_a_store_without_eras_stays_in_the_first_one():
    store = platform_store.Store()
    store.era = None
    with test_adapters.serve_app(store) as address:
        client = _store.StoreClient(address, 1.0, positions.Eras())
        check.assertEqual(client.put("t", "k", b"v"), positions.Position(0, 0))
        check.assertEqual(client.newest("t").end, positions.Position(0, 1))
        client.close()


def _announcement(name: str, started_ms: int, state: str = "in_service") -> bytes:
    value = {
        "service": "plain",
        "address": "10.0.0.1:1",
        "domain": "a",
        "slots": 8,
        "state": state,
        "born": started_ms,
    }
    return json.dumps(value).encode()


class _Dispatcher:
    """Applies the messages of a sink to a directory, as the dispatcher does."""

    def __init__(self) -> None:
        self.directory = fleet.Directory(2.5)
        self.now = 0.0

    def post(self, message) -> None:
        if isinstance(message, dispatching.StoreRecovered):
            self.directory.store_recovered(self.now)
            return
        for target in message.targets:
            self.directory.put(target)
        if isinstance(message, dispatching.PutTargets):
            for name in message.removed:
                self.directory.remove(name, self.now)
            return
        names = {t.name for t in message.targets} | message.undecodable
        self.directory.keep_only(names, self.now)

    def usable(self) -> set[str]:
        self.directory.expire(self.now)
        return {target.name for target in self.directory.usable("plain")}


def _put(sink, offset: int, name: str, value: bytes | None) -> None:
    sink.on_changes((feeds.Record(offset=offset, key=name, value=value),))


def test_missing_targets_are_kept_for_a_while_and_removed_ones_stay_away():
    dispatcher = _Dispatcher()
    sink = _follow.TargetsSink(dispatcher)
    sink.on_listing((), reverted=False)
    for offset, name in enumerate(("kept", "new", "gone", "leaving", "restarted")):
        _put(sink, offset, name, _announcement(name, 1))
    _put(sink, 5, "gone", None)
    _put(sink, 6, "leaving", _announcement("leaving", 1, "draining"))
    _put(sink, 7, "restarted", None)
    check.assertEqual(dispatcher.usable(), {"kept", "new"})
    copied = ("kept", "gone", "leaving", "restarted")
    older = tuple(
        feeds.Record(offset=n, key=name, value=_announcement(name, 1))
        for n, name in enumerate(copied)
    )
    dispatcher.now = 10.0
    sink.on_listing(older, reverted=True)
    check.assertEqual(dispatcher.usable(), {"kept", "new"})
    # It has started anew, which its writer repeats.
    _put(sink, 4, "restarted", _announcement("restarted", 2))
    check.assertEqual(dispatcher.usable(), {"kept", "new", "restarted"})
    dispatcher.now = 13.0
    check.assertEqual(dispatcher.usable(), {"kept", "restarted"})


def _has_route(platform, path: str) -> bool:
    return platform.call("GET", path, "probe")[0] == 200


def _logged(platform, event: str) -> bool:
    return f'"message": "{event}"' in platform.read_log()


def test_a_front_follows_a_store_that_returned_from_an_older_copy():
    with platform_fixtures.platform(("p1", "p2")) as platform:
        time.sleep(0.5)
        added = platform_fixtures.route("new", "idempotent", "plain")
        for version in range(4, 9):
            platform.configure(platform_fixtures.manifest(version, added))
        launch.wait_until(lambda: _has_route(platform, "/new/x"), what="version 8")
        for _ in range(2):
            lost = platform.store.return_from_copy(0.4)
            # The configuration in force stays until it is written again.
            for _ in range(20):
                check.assertTrue(_has_route(platform, "/new/x"))
                check.assertTrue(_has_route(platform, "/read/x"))
                time.sleep(0.02)
            platform.store.write_again("keyed.op", lost["keyed.op"][-1:])
        more = platform_fixtures.route("more", "idempotent", "plain")
        platform.configure(platform_fixtures.manifest(9, added, more))
        started = time.monotonic()
        launch.wait_until(lambda: _has_route(platform, "/more/x"), what="version 9")
        check.assertLess(time.monotonic() - started, CATCH_UP_S)
        check.assertTrue(_logged(platform, "store_era"))
        check.assertTrue(_logged(platform, "topic_reverted"))
        page = launch.request(platform.metrics, "GET", "/metrics")[2]
        check.assertIn(b"store.new_eras 2", page)


class _Picture:
    """A sink that keeps the newest value of each key."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}

    def on_listing(self, records, *, reverted: bool):
        self.values = {r.key: r.value for r in records}
        return records

    def on_changes(self, records):
        changed = []
        for record in records:
            if self.values.get(record.key) != record.value:
                changed.append(record)
            if record.value is None:
                self.values.pop(record.key, None)
            else:
                self.values[record.key] = record.value
        return tuple(changed)

    def on_recovery(self) -> None:
        """Keeps the values."""


class _ReturningStore(test_feeds._Store):
    """A store of a shared log that may be cut off from its front."""

    def __init__(self, eras: positions.Eras, shared: "_SharedLog") -> None:
        super().__init__(eras)
        self._shared = shared

    @property
    def era(self) -> int:
        return self._shared.era

    @era.setter
    def era(self, value: int) -> None:
        """Ignored: the era is that of the shared log."""

    def newest(self, topic: str) -> feeds.Listing:
        self._record_call("list")
        records = tuple(self._shared.newest().values())
        end = positions.Position(self.era, len(self._shared.records))
        return feeds.Listing(records=records, end=end)

    def read(self, topic: str, start: positions.Position, wait_s: float):
        self._record_call("read")
        if start.era < self.era:
            raise errors.EraEndedError("a later era has begun")
        return self._shared.records[start.offset :]


class _SharedLog:
    """A log that returns from older copies, with its records."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.era = 1
        self.records: list[feeds.Record] = []

    def append(self) -> None:
        value = self._rng.choice((None, b"a", b"b", b"c"))
        self.records.append(
            feeds.Record(
                offset=len(self.records), key=f"k{self._rng.randrange(6)}", value=value
            )
        )

    def newest(self) -> dict[str, feeds.Record]:
        records = {record.key: record for record in self.records}
        return {key: r for key, r in records.items() if r.value is not None}

    def return_from_copy(self) -> None:
        self.era += 1
        del self.records[len(self.records) - self._rng.randrange(8) :]

    def settle(self) -> None:
        """Ends what is under way; nothing here."""


class _Member:
    """A front's loop over the shared log, and the history that it forwards."""

    sink = _Picture

    def __init__(self, shared: _SharedLog, *, reads: bool) -> None:
        self.reads = reads
        self.eras = positions.Eras()
        self.store = _ReturningStore(self.eras, shared)
        self.picture = self.sink()
        self.history = feeds.History(test_feeds.TOPIC)
        self.loop = feeds.FollowLoop(
            self.store,
            "topic",
            test_feeds.TOPIC,
            feeds.Pacing(wait_s=0.0, batch_s=0.0, fresh_s=0.002),
            self.picture,
            lambda topic_range: self.history.add(topic_range, time.monotonic()),
            lambda: self.reads,
            self.eras,
        )
        # The test doesn't wait for fronts to take turns.
        self.loop.pause = lambda seconds: None


def _run_returns(seed: int) -> None:
    """Plays random returns, cuts and restarts, then checks every picture."""
    rng = random.Random(seed)
    shared = _SharedLog(rng)
    for member in _members_after_returns(rng, shared, _Member):
        expected = {key: r.value for key, r in shared.newest().items()}
        check.assertEqual(member.picture.values, expected, seed)


def _members_after_returns(
    rng: random.Random, shared: _SharedLog, member_class: type[_Member]
) -> list[_Member]:
    """Returns members that have caught up after random returns, cuts and restarts."""
    members = [member_class(shared, reads=n == 0) for n in range(3)]
    for _ in range(120):
        if rng.random() < 0.5:
            shared.append()
        if rng.random() < 0.05:
            shared.return_from_copy()
        if rng.random() < 0.05:
            rng.choice(members).store.down = rng.random() < 0.5
        if rng.random() < 0.03:
            number = rng.randrange(len(members))
            members[number] = member_class(shared, reads=members[number].reads)
        sender, receiver = rng.sample(members, 2)
        now = time.monotonic()
        for batch in (
            sender.history.recent_batch(now, 5.0),
            sender.history.full_batch(now) if rng.random() < 0.2 else None,
        ):
            if batch is not None and rng.random() < 0.7:
                receiver.loop.put_batch(batch)
        member = rng.choice(members)
        if not member.store.down:
            member.loop.run_once()
    shared.settle()
    for member in members:
        member.store.down = False
        member.reads = True
        for _ in range(4):
            member.loop.run_once()
    return members


def test_every_picture_is_that_of_the_log_after_random_returns():
    for seed in SEEDS:
        _run_returns(seed)


TIMING = authority.Timing(term_s=0.4, renew_s=0.4, margin_s=0.2, settle_s=0.1)


class _Candidate:
    """A front's lease protocol over the store."""

    def __init__(self, address: str, name: str) -> None:
        self.eras = positions.Eras()
        self.log = _orders.StoreLease(_store.StoreClient(address, 1.0, self.eras))
        self.lease = authority.OnDemandLease(name, TIMING, lambda: "id")

    def acquire(self) -> int | None:
        """Tries once; returns the token if the lease is held then."""
        end, record = self.log.read()
        self.lease.record_log_end(time.monotonic(), end, record, self.eras.since)
        sent_at = time.monotonic()
        claim = self.lease.acquire(sent_at)
        if claim is None:
            return None
        self.lease.acquired(claim, sent_at, self.log.append(claim), time.monotonic())
        return self.token()

    def token(self) -> int | None:
        held = self.lease.authority(time.monotonic(), self.eras.current)
        return None if held is None else held.token

    def await_lease(self) -> int:
        return launch.wait_until(self.acquire, what="lease")


def test_a_lease_that_the_store_lost_ends_and_its_token_is_not_given_again():
    store = platform_store.Store()
    with test_adapters.serve_app(store) as address:
        first, second = (_Candidate(address, name) for name in ("f1", "f2"))
        token = first.await_lease()
        check.assertIsNone(second.acquire())
        returned_at = time.monotonic()
        store.return_from_copy(60.0)
        next_token = second.await_lease()
        # The first holder could believe in its lease until the end of its term.
        check.assertGreaterEqual(time.monotonic() - returned_at, TIMING.term_s)
        check.assertGreater(next_token, token)
        store.return_from_copy(60.0)
        check.assertIsNone(first.acquire())
        check.assertIsNotNone(second.token())
        check.assertIsNone(second.acquire())
        check.assertIsNone(second.token())


def test_a_claim_that_crosses_a_return_grants_no_lease():
    store = platform_store.Store()
    with test_adapters.serve_app(store) as address:
        candidate = _Candidate(address, "f1")
        candidate.await_lease()
        time.sleep(TIMING.term_s + TIMING.margin_s)
        end, record = candidate.log.read()
        candidate.lease.record_log_end(
            time.monotonic(), end, record, candidate.eras.since
        )
        claim = candidate.lease.acquire(time.monotonic())
        lost = store.return_from_copy(60.0)
        # The copy has grown to the same end meanwhile.
        store.write_again("keyed.leases", lost["keyed.leases"])
        position = candidate.log.append(claim)
        now = time.monotonic()
        candidate.lease.acquired(claim, now, position, now)
        check.assertEqual(position.era, 2)
        check.assertIsNone(candidate.lease.authority(now, candidate.eras.current))


class _Table:
    """The fronts' announcements; counts the writes of each front."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self.writes: list[str] = []

    def put(self, topic: str, key: str, value: bytes) -> positions.Position:
        self.writes.append(key)
        self.values[key] = value
        return positions.Position(0, len(self.writes))

    def newest(self, topic: str) -> feeds.Listing:
        records = tuple(
            feeds.Record(offset=n, key=key, value=value)
            for n, (key, value) in enumerate(self.values.items())
        )
        return feeds.Listing(records=records, end=positions.Position(0, len(records)))

    def close(self) -> None:
        """Does nothing: there is no connection."""


def test_only_fronts_whose_announcement_is_gone_write_it_again():
    table = _Table()
    loops = [
        peers.AnnounceLoop(
            table,
            "fronts",
            name,
            peers.Announcement(host="10.0.0.1", domain="a"),
            lambda front, announcement: None,
            lambda: None,
            positions.Eras(),
        )
        for name in ("f1", "f2", "f3")
    ]
    for loop in loops:
        loop.pause = lambda seconds: None
        loop._await_next_run = lambda interval_s, era: None
        loop.run_once()
    check.assertEqual(table.writes, ["f1", "f2", "f3"])
    del table.values["f2"]
    table.writes.clear()
    for loop in loops:
        loop.run_once()
        loop.run_once()
    check.assertEqual(table.writes, ["f2"])


def test_fronts_look_for_their_announcement_soon_after_a_new_era():
    eras = positions.Eras()
    loop = peers.AnnounceLoop(
        _Table(),
        "fronts",
        "f1",
        peers.Announcement(host="10.0.0.1", domain="a"),
        lambda front, announcement: None,
        lambda: None,
        eras,
    )
    waited = []
    loop.pause = waited.append
    eras.observe(2, "the store")
    loop._await_next_run(60.0, era=1)
    check.assertLessEqual(sum(waited), CATCH_UP_S)


def test_a_removed_target_in_an_older_copy_is_not_taken_for_a_malformed_one():
    posted = []
    dispatcher = _Dispatcher()
    dispatcher.post = posted.append
    sink = _follow.TargetsSink(dispatcher)
    sink.on_listing((), reverted=False)
    _put(sink, 0, "gone", _announcement("gone", 1))
    _put(sink, 1, "gone", None)
    older = (
        feeds.Record(offset=0, key="gone", value=_announcement("gone", 1)),
        feeds.Record(offset=1, key="malformed", value=b"{"),
    )
    sink.on_listing(older, reverted=True)
    check.assertEqual(posted[-1].targets, ())
    check.assertEqual(posted[-1].undecodable, {"malformed"})
