"""What a front knows of a topic: own reads, peers' news, losses, gaps."""

import random
import threading

import attrs

from tests import fixtures
from turmericward import delivery, feeds, runtime
from turmericward.adapters import errors

check = fixtures.check
TOPIC = feeds.Topic.TARGETS
FRESH_S = 1.2
SEEDS = range(60)
STEPS = 300


def _record(offset: int, value: bytes | None = b"v") -> feeds.Record:
    return feeds.Record(offset=offset, key=f"k{offset % 5}", value=value)


def _news(start: int, end: int, age_s: float = 0.0, records=()) -> feeds.News:
    return feeds.News(topic=TOPIC, start=start, end=end, age_s=age_s, records=records)


def _followed(start: int, end: int, as_of: float, records=()) -> feeds.Followed:
    return feeds.Followed(
        topic=TOPIC, start=start, end=end, as_of=as_of, records=records
    )


def _listed_feed(end: int = 10, as_of: float = 0.0) -> feeds.Feed:
    feed = feeds.Feed(FRESH_S)
    feed.listed(end, as_of)
    return feed


def test_news_before_the_first_listing_are_left():
    feed = feeds.Feed(FRESH_S)
    check.assertEqual(feed.heard(_news(0, 5, records=(_record(3),)), 0.0), ())
    check.assertFalse(feed.is_fresh(0.0))


def test_news_that_follow_are_taken_once():
    feed = _listed_feed()
    news = _news(8, 13, records=(_record(9), _record(11)))
    check.assertEqual([r.offset for r in feed.heard(news, 1.0)], [11])
    check.assertEqual(feed.heard(news, 1.1), ())
    check.assertEqual(feed.following, 13)


def test_a_gap_has_to_be_read():
    feed = _listed_feed()
    check.assertEqual(feed.heard(_news(11, 14, records=(_record(12),)), 0.1), ())
    check.assertFalse(feed.is_fresh(0.1))
    feed.read(14, 0.2)
    check.assertTrue(feed.is_fresh(0.3))


def test_old_news_change_nothing():
    feed = _listed_feed(end=10, as_of=5.0)
    check.assertEqual(feed.heard(_news(2, 8, records=(_record(7),)), 5.1), ())
    check.assertEqual((feed.following, feed.fresh_until), (10, 5.0 + FRESH_S))


def test_news_are_as_old_as_the_reader_says():
    feed = _listed_feed()
    feed.heard(_news(10, 10, age_s=1.0), 10.0)
    check.assertTrue(feed.is_fresh(10.1))
    check.assertFalse(feed.is_fresh(10.0 - 1.0 + FRESH_S))


def test_a_listing_older_than_what_is_known_is_left():
    feed = _listed_feed()
    feed.heard(_news(10, 15), 1.0)
    check.assertFalse(feed.listed(12, 1.1))
    check.assertTrue(feed.listed(15, 1.1))


def test_news_that_contradict_themselves_are_refused():
    for start, end, age_s, offsets in (
        (5, 4, 0.0, ()),
        (-1, 4, 0.0, ()),
        (1, 4, -0.1, ()),
        (1, 4, 0.0, (0,)),
        (1, 4, 0.0, (4,)),
        (1, 4, 0.0, (2, 2)),
        (1, 4, 0.0, (3, 2)),
    ):
        with check.assertRaises(feeds.MalformedNewsError, msg=f"{start} {offsets}"):
            _news(start, end, age_s, tuple(_record(n) for n in offsets))


def test_a_reader_tells_what_it_lately_read():
    history = feeds.History(TOPIC)
    check.assertIsNone(history.news(0.0, FRESH_S))
    history.take(_followed(10, 10, 0.0), 0.0)
    check.assertTrue(history.take(_followed(10, 14, 0.5, (_record(12),)), 0.5))
    check.assertFalse(history.take(_followed(14, 15, 0.9), 0.9))
    news = history.news(1.0, FRESH_S)
    check.assertEqual((news.start, news.end), (10, 15))
    check.assertEqual([r.offset for r in news.records], [12])
    check.assertAlmostEqual(news.age_s, 0.1)
    check.assertIsNone(history.news(0.9 + FRESH_S + 0.1, FRESH_S))


def test_a_reader_forgets_what_everyone_should_know():
    history = feeds.History(TOPIC)
    for n in range(100):
        now = 0.1 * n
        history.take(_followed(n, n + 1, now, (_record(n),)), now)
    news = history.news(9.9, FRESH_S)
    check.assertEqual(news.end, 100)
    check.assertLess(len(news.records), 35)
    check.assertEqual(news.start, news.records[0].offset)


def test_a_record_too_large_to_tell_leaves_a_gap_to_read():
    history = feeds.History(TOPIC)
    history.take(_followed(10, 10, 0.0), 0.0)
    history.take(
        _followed(10, 12, 0.1, (_record(10), _record(11, b"x" * 900_000))), 0.1
    )
    news = history.news(0.2, FRESH_S)
    check.assertEqual((news.start, news.end, news.records), (12, 12, ()))
    feed = _listed_feed()
    feed.heard(news, 0.3)
    check.assertFalse(feed.is_fresh(0.3))


def test_a_reader_that_lists_anew_does_not_claim_what_it_has_not_read():
    history = feeds.History(TOPIC)
    history.take(_followed(10, 12, 0.0, (_record(11),)), 0.0)
    history.take(_followed(20, 20, 0.5), 0.5)
    news = history.news(0.6, FRESH_S)
    check.assertEqual((news.start, news.end, news.records), (20, 20, ()))


@attrs.define
class _Log:
    """A topic whose every second record only repeats what was said."""

    records: list = attrs.field(factory=list)
    state: dict = attrs.field(factory=dict)

    def append(self, rng: random.Random) -> None:
        key = f"k{rng.randrange(4)}"
        value = rng.choice((None, b"a", b"b", self.state.get(key)))
        offset = len(self.records)
        self.records.append(feeds.Record(offset=offset, key=key, value=value))
        self.state[key] = value

    def changes(self, start: int, known: dict) -> tuple:
        found = []
        for record in self.records[start:]:
            if known.get(record.key) != record.value:
                found.append(record)
            known[record.key] = record.value
        return tuple(found)


class _Member:
    """A front that applies what its feed lets through."""

    def __init__(self) -> None:
        self.feed = feeds.Feed(FRESH_S)
        self.known: dict = {}

    def list(self, log: _Log, now: float) -> None:
        if self.feed.listed(len(log.records), now):
            self.known = dict(log.state)

    def read(self, log: _Log, now: float) -> None:
        start = self.feed.following
        self.apply(log.records[start:])
        self.feed.read(len(log.records), now)

    def hear(self, news: feeds.News, now: float) -> None:
        self.apply(self.feed.heard(news, now))

    def apply(self, records) -> None:
        for record in records:
            self.known[record.key] = record.value


def _equal(known: dict, state: dict) -> bool:
    return {k: v for k, v in known.items() if v} == {
        k: v for k, v in state.items() if v
    }


def _play(seed: int) -> None:
    """Plays one reader and members; news are lost, late, doubled, out of order."""
    rng = random.Random(seed)
    log, history, reader, now = _Log(), feeds.History(TOPIC), _Member(), 0.0
    members = [_Member() for _ in range(3)]
    flying: list[tuple[float, feeds.News]] = []
    states = [({}, 0.0)]
    reader.list(log, now)
    history.take(_followed(0, 0, now), now)
    for member in members:
        member.list(log, now)
    loss = rng.choice((0.0, 0.1, 0.5))
    for _ in range(STEPS):
        now += 0.05
        if rng.random() < 0.4:
            log.append(rng)
        states.append((dict(log.state), now))
        if rng.random() < 0.5:
            start = reader.feed.following
            changes = log.changes(start, reader.known)
            reader.feed.read(len(log.records), now)
            history.take(_followed(start, len(log.records), now, changes), now)
        if rng.random() < 0.02:
            # The reader is another one now, which has just listed the topic.
            end = len(log.records)
            history, reader = feeds.History(TOPIC), _Member()
            reader.list(log, now)
            history.take(_followed(end, end, now), now)
        news = history.news(now, FRESH_S)
        if news is not None:
            flying += [(now, news)] * rng.choice((1, 1, 2))
        for sent_at, told in list(flying):
            if rng.random() < 0.3:
                flying.remove((sent_at, told))
                late = attrs.evolve(told, age_s=told.age_s + now - sent_at)
                for member in members:
                    if rng.random() >= loss:
                        member.hear(late, now)
        for member in members:
            if not member.feed.is_fresh(now):
                member.read(log, now)
            # What a member knows is the whole state as it was at its offset.
            then = _Log()
            for record in log.records[: member.feed.following]:
                then.state[record.key] = record.value
            check.assertTrue(_equal(member.known, then.state), (seed, now))
            lately = [s for s, at in states if at >= now - FRESH_S - 0.06]
            check.assertTrue(any(_equal(member.known, s) for s in lately), (seed, now))


def test_members_know_a_whole_state_of_the_last_moments_whatever_gets_lost():
    for seed in SEEDS:
        _play(seed)


class _Store:
    """A store whose calls are counted and may fail."""

    def __init__(self) -> None:
        self.log = _Log()
        self.calls: list[str] = []
        self.down = False
        self.first = 0

    def newest(self, topic: str) -> feeds.Listing:
        self._called("list")
        records = tuple(
            feeds.Record(offset=n, key=k, value=v)
            for n, (k, v) in enumerate(self.log.state.items())
            if v
        )
        return feeds.Listing(records=records, end=len(self.log.records))

    def read(self, topic: str, start: int, wait_s: float) -> list[feeds.Record]:
        self._called("read")
        if start < self.first:
            raise errors.OffsetExpiredError(self.first)
        return self.log.records[start:]

    def _called(self, name: str) -> None:
        self.calls.append(name)
        if self.down:
            raise errors.LogUnavailableError("down")

    def end(self) -> None:
        """Is called at a stop."""

    def close(self) -> None:
        """Is called at the end."""


class _Sink:
    """Notes what it is given."""

    def __init__(self) -> None:
        self.got: list = []

    def listed(self, records) -> None:
        self.got.append("listed")

    def changed(self, records):
        self.got += [r.offset for r in records]
        return records

    def returned(self) -> None:
        self.got.append("returned")


class _Followed:
    """A loop whose steps are called by the test, and what it told."""

    def __init__(self, *, reads: bool) -> None:
        self.store, self.sink, self.told, self.reads = _Store(), _Sink(), [], reads
        self.loop = feeds.FollowLoop(
            self.store,
            "topic",
            TOPIC,
            feeds.Pacing(wait_s=0.01, batch_s=0.0, fresh_s=0.15),
            self.sink,
            self.told.append,
            lambda: self.reads,
        )


def test_a_reader_reads_again_and_again_and_tells():
    found = _Followed(reads=True)
    found.loop.step()
    found.store.log.append(random.Random(1))
    found.loop.step()
    found.loop.step()
    check.assertEqual(found.store.calls, ["list", "read", "read"])
    check.assertEqual([(t.start, t.end) for t in found.told], [(0, 0), (0, 1), (1, 1)])
    check.assertEqual(found.sink.got, ["listed", 0])


def test_another_front_relies_on_news_and_reads_when_they_stop():
    found = _Followed(reads=False)
    found.loop.step()
    for n in range(5):
        found.loop.hear(_news(n, n + 1, records=(_record(n),)))
        found.loop.step()
    check.assertEqual(found.store.calls, ["list"])
    check.assertEqual(found.sink.got, ["listed", 0, 1, 2, 3, 4])
    started = runtime.now()
    while len(found.store.calls) < 2 and runtime.now() - started < 5:
        found.loop.step()
    check.assertEqual(found.store.calls, ["list", "read"])


def test_a_gap_is_read_at_once():
    found = _Followed(reads=False)
    found.loop.step()
    found.store.log.records += [_record(n) for n in range(4)]
    found.loop.hear(_news(3, 4, records=(_record(3),)))
    found.loop.step()
    found.loop.step()
    check.assertEqual(found.store.calls, ["list", "read"])
    check.assertEqual(found.sink.got, ["listed", 0, 1, 2, 3])


def test_a_store_that_returns_is_noted_also_when_a_peer_tells_of_it():
    for told in (False, True):
        found = _Followed(reads=not told)
        found.loop.step()
        found.store.down = True
        started = runtime.now()
        while len(found.store.calls) < 2 and runtime.now() - started < 5:
            found.loop.step()
        found.store.down = False
        if told:
            found.loop.hear(_news(0, 1, records=(_record(0),)))
        found.loop.step()
        check.assertEqual(found.sink.got[:2], ["listed", "returned"], told)


def test_expired_records_are_listed_anew():
    found = _Followed(reads=True)
    found.loop.step()
    found.store.first = 7
    found.store.log.records += [_record(n) for n in range(9)]
    found.loop.step()
    found.loop.step()
    check.assertEqual(found.store.calls, ["list", "read", "list"])


def test_a_stop_ends_a_wait_for_news():
    found = _Followed(reads=False)
    found.loop.step()
    found.loop.hear(_news(0, 0))
    thread = threading.Thread(target=found.loop.run)
    thread.start()
    found.loop.stop()
    thread.join(5)
    check.assertFalse(thread.is_alive())


def _whole(end: int, age_s: float = 0.0, records=()) -> feeds.News:
    return feeds.News(
        topic=TOPIC, start=0, end=end, age_s=age_s, records=records, whole=True
    )


def test_a_front_that_can_not_list_a_topic_learns_it_from_a_peer():
    found = _Followed(reads=False)
    found.store.down = True
    found.loop.step()
    found.loop.hear(_whole(7, records=(_record(3), _record(6))))
    found.loop.step()
    check.assertEqual(found.sink.got, ["listed"])
    check.assertEqual([(t.end, t.whole) for t in found.told], [(7, True)])
    found.loop.hear(_news(6, 9, records=(_record(6), _record(8))))
    found.loop.step()
    check.assertEqual(found.sink.got[-1], 8)
    # Once the store is back it goes on where the peer's knowledge ended.
    found.store.down = False
    found.store.log.records += [_record(n) for n in range(11)]
    started = runtime.now()
    while found.sink.got[-1] != 10 and runtime.now() - started < 5:
        found.loop.step()
    check.assertEqual(found.sink.got, ["listed", "returned", 8, 9, 10])
    check.assertNotIn("list", found.store.calls[1:])


def test_a_front_that_has_listed_a_topic_ignores_what_peers_know_of_all_of_it():
    found = _Followed(reads=False)
    found.loop.step()
    found.loop.hear(_whole(7, records=(_record(3),)))
    found.loop.step()
    check.assertEqual(found.sink.got, ["listed"])


def test_a_history_knows_the_newest_record_of_every_key():
    history = feeds.History(TOPIC)
    check.assertIsNone(history.whole(0.0))
    listing = attrs.evolve(
        _followed(10, 10, 0.0, (_record(1), _record(2), _record(3))), whole=True
    )
    check.assertFalse(history.take(listing, 0.0))
    history.take(_followed(10, 14, 1.0, (_record(11), _record(12, None))), 1.0)
    whole = history.whole(9.0)
    # Keys go by offsets modulo five: 11 replaces 1, and 12 ends 2.
    check.assertEqual([r.offset for r in whole.records], [3, 11])
    check.assertEqual((whole.start, whole.end, whole.age_s), (0, 14, 8.0))
    check.assertEqual(history.news(1.1, FRESH_S).start, 10)


def test_a_store_that_returns_is_noticed_soon():
    # A front that was cut off keeps missing targets for a while from then on; that
    # and the delay have to fit the time after which it counts as in touch.
    found = _Followed(reads=True)
    found.loop.step()
    found.store.down = True
    for _ in range(6):
        found.loop.step()
    started = runtime.now()
    found.loop.step()
    check.assertLess(runtime.now() - started, 0.5)
    check.assertLessEqual(delivery.DispatchTask.tick_s, 0.1)
