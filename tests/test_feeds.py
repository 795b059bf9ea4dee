"""Following a topic: reads, batches from peers, losses and gaps."""

import random
import threading

import attrs

from tests import fixtures
from turmericward import dispatching, feeds, positions, runtime
from turmericward.adapters import errors

check = fixtures.check
TOPIC = feeds.Topic.TARGETS
FRESH_S = 1.2
SEEDS = range(60)
STEPS = 300


def _record(offset: int, value: bytes | None = b"v") -> feeds.Record:
    return feeds.Record(offset=offset, key=f"k{offset % 5}", value=value)


def _at(offset: int, era: int = 0) -> positions.Position:
    return positions.Position(era, offset)


def _batch(
    start: int, end: int, age_s: float = 0.0, records=(), era: int = 0
) -> feeds.RecordBatch:
    return feeds.RecordBatch(
        topic=TOPIC,
        start=_at(start, era),
        end=_at(end, era),
        age_s=age_s,
        records=records,
    )


def _range(
    start: int, end: int, as_of: float, records=(), era: int = 0
) -> feeds.TopicRange:
    return feeds.TopicRange(
        topic=TOPIC,
        start=_at(start, era),
        end=_at(end, era),
        as_of=as_of,
        records=records,
    )


def _listed_cursor(end: int = 10, as_of: float = 0.0) -> feeds.Cursor:
    cursor = feeds.Cursor(FRESH_S)
    cursor.apply_listing(_at(end), as_of)
    return cursor


def test_batches_before_the_first_listing_are_ignored():
    cursor = feeds.Cursor(FRESH_S)
    check.assertEqual(cursor.apply_batch(_batch(0, 5, records=(_record(3),)), 0.0), ())
    check.assertFalse(cursor.is_fresh(0.0))


def test_records_of_overlapping_batches_are_applied_once():
    cursor = _listed_cursor()
    batch = _batch(8, 13, records=(_record(9), _record(11)))
    check.assertEqual([r.offset for r in cursor.apply_batch(batch, 1.0)], [11])
    check.assertEqual(cursor.apply_batch(batch, 1.1), ())
    check.assertEqual(cursor.next, _at(13))


def test_a_gap_before_a_batch_requires_a_read():
    cursor = _listed_cursor()
    check.assertEqual(
        cursor.apply_batch(_batch(11, 14, records=(_record(12),)), 0.1), ()
    )
    check.assertFalse(cursor.is_fresh(0.1))
    cursor.apply_read(_at(14), 0.2)
    check.assertTrue(cursor.is_fresh(0.3))


def test_outdated_batches_are_ignored():
    cursor = _listed_cursor(end=10, as_of=5.0)
    check.assertEqual(cursor.apply_batch(_batch(2, 8, records=(_record(7),)), 5.1), ())
    check.assertEqual((cursor.next, cursor.fresh_until), (_at(10), 5.0 + FRESH_S))


def test_freshness_accounts_for_the_age_of_a_batch():
    cursor = _listed_cursor()
    cursor.apply_batch(_batch(10, 10, age_s=1.0), 10.0)
    check.assertTrue(cursor.is_fresh(10.1))
    check.assertFalse(cursor.is_fresh(10.0 - 1.0 + FRESH_S))


def test_an_outdated_listing_is_ignored():
    cursor = _listed_cursor()
    cursor.apply_batch(_batch(10, 15), 1.0)
    check.assertFalse(cursor.apply_listing(_at(12), 1.1))
    check.assertTrue(cursor.apply_listing(_at(15), 1.1))


def test_inconsistent_batches_are_rejected():
    for start, end, age_s, offsets in (
        (5, 4, 0.0, ()),
        (-1, 4, 0.0, ()),
        (1, 4, -0.1, ()),
        (1, 4, 0.0, (0,)),
        (1, 4, 0.0, (4,)),
        (1, 4, 0.0, (2, 2)),
        (1, 4, 0.0, (3, 2)),
    ):
        with check.assertRaises(feeds.MalformedBatchError, msg=f"{start} {offsets}"):
            _batch(start, end, age_s, tuple(_record(n) for n in offsets))


def test_a_batch_holds_the_records_read_recently():
    history = feeds.History(TOPIC)
    check.assertIsNone(history.recent_batch(0.0, FRESH_S))
    history.add(_range(10, 10, 0.0), 0.0)
    check.assertTrue(history.add(_range(10, 14, 0.5, (_record(12),)), 0.5))
    check.assertFalse(history.add(_range(14, 15, 0.9), 0.9))
    batch = history.recent_batch(1.0, FRESH_S)
    check.assertEqual((batch.start, batch.end), (_at(10), _at(15)))
    check.assertEqual([r.offset for r in batch.records], [12])
    check.assertAlmostEqual(batch.age_s, 0.1)
    check.assertIsNone(history.recent_batch(0.9 + FRESH_S + 0.1, FRESH_S))


def test_a_batch_drops_records_after_the_resend_window():
    history = feeds.History(TOPIC)
    for n in range(100):
        now = 0.1 * n
        history.add(_range(n, n + 1, now, (_record(n),)), now)
    batch = history.recent_batch(9.9, FRESH_S)
    check.assertEqual(batch.end, _at(100))
    check.assertLess(len(batch.records), 35)
    check.assertEqual(batch.start.offset, batch.records[0].offset)


def test_a_record_too_large_for_a_batch_leaves_a_gap():
    history = feeds.History(TOPIC)
    history.add(_range(10, 10, 0.0), 0.0)
    history.add(_range(10, 12, 0.1, (_record(10), _record(11, b"x" * 900_000))), 0.1)
    batch = history.recent_batch(0.2, FRESH_S)
    check.assertEqual((batch.start, batch.end, batch.records), (_at(12), _at(12), ()))
    cursor = _listed_cursor()
    cursor.apply_batch(batch, 0.3)
    check.assertFalse(cursor.is_fresh(0.3))


def test_a_batch_after_a_new_listing_starts_at_its_end():
    history = feeds.History(TOPIC)
    history.add(_range(10, 12, 0.0, (_record(11),)), 0.0)
    history.add(_range(20, 20, 0.5), 0.5)
    batch = history.recent_batch(0.6, FRESH_S)
    check.assertEqual((batch.start, batch.end, batch.records), (_at(20), _at(20), ()))


@attrs.define
class _Log:
    """A topic in which many records repeat the current value of their key."""

    records: list = attrs.field(factory=list)
    state: dict = attrs.field(factory=dict)

    def append(self, rng: random.Random) -> None:
        key = f"k{rng.randrange(4)}"
        value = rng.choice((None, b"a", b"b", self.state.get(key)))
        offset = len(self.records)
        self.records.append(feeds.Record(offset=offset, key=key, value=value))
        self.state[key] = value

    def changes(self, start: int, applied: dict) -> tuple:
        found = []
        for record in self.records[start:]:
            if applied.get(record.key) != record.value:
                found.append(record)
            applied[record.key] = record.value
        return tuple(found)


class _Member:
    """A front that applies the records that its cursor accepts."""

    def __init__(self) -> None:
        self.cursor = feeds.Cursor(FRESH_S)
        self.applied: dict = {}

    def apply_listing(self, log: _Log, now: float) -> None:
        if self.cursor.apply_listing(_at(len(log.records)), now):
            self.applied = dict(log.state)

    def apply_read(self, log: _Log, now: float) -> None:
        start = self.cursor.next.offset
        self.apply(log.records[start:])
        self.cursor.apply_read(_at(len(log.records)), now)

    def apply_batch(self, batch: feeds.RecordBatch, now: float) -> None:
        self.apply(self.cursor.apply_batch(batch, now))

    def apply(self, records) -> None:
        for record in records:
            self.applied[record.key] = record.value


def _equal(applied: dict, state: dict) -> bool:
    return {k: v for k, v in applied.items() if v} == {
        k: v for k, v in state.items() if v
    }


def _simulate(seed: int) -> None:
    """Simulates a reader and members; batches are lost, late, doubled or reordered."""
    rng = random.Random(seed)
    log, history, reader, now = _Log(), feeds.History(TOPIC), _Member(), 0.0
    members = [_Member() for _ in range(3)]
    in_transit: list[tuple[float, feeds.RecordBatch]] = []
    states = [({}, 0.0)]
    reader.apply_listing(log, now)
    history.add(_range(0, 0, now), now)
    for member in members:
        member.apply_listing(log, now)
    loss = rng.choice((0.0, 0.1, 0.5))
    for _ in range(STEPS):
        now += 0.05
        if rng.random() < 0.4:
            log.append(rng)
        states.append((dict(log.state), now))
        if rng.random() < 0.5:
            start = reader.cursor.next.offset
            changes = log.changes(start, reader.applied)
            reader.cursor.apply_read(_at(len(log.records)), now)
            history.add(_range(start, len(log.records), now, changes), now)
        if rng.random() < 0.02:
            # Another front, which has just listed the topic, becomes the reader.
            end = len(log.records)
            history, reader = feeds.History(TOPIC), _Member()
            reader.apply_listing(log, now)
            history.add(_range(end, end, now), now)
        batch = history.recent_batch(now, FRESH_S)
        if batch is not None:
            in_transit += [(now, batch)] * rng.choice((1, 1, 2))
        for sent_at, sent in list(in_transit):
            if rng.random() < 0.3:
                in_transit.remove((sent_at, sent))
                late = attrs.evolve(sent, age_s=sent.age_s + now - sent_at)
                for member in members:
                    if rng.random() >= loss:
                        member.apply_batch(late, now)
        for member in members:
            if not member.cursor.is_fresh(now):
                member.apply_read(log, now)
            # The state of a member is the one of the topic at its offset.
            expected = _Log()
            for record in log.records[: member.cursor.next.offset]:
                expected.state[record.key] = record.value
            check.assertTrue(_equal(member.applied, expected.state), (seed, now))
            recent = [s for s, at in states if at >= now - FRESH_S - 0.06]
            check.assertTrue(
                any(_equal(member.applied, s) for s in recent), (seed, now)
            )


def test_members_have_a_recent_consistent_state_despite_lost_batches():
    for seed in SEEDS:
        _simulate(seed)


class _Store:
    """A store that records its calls and may fail."""

    def __init__(self, eras: positions.Eras) -> None:
        self.eras = eras
        self.log = _Log()
        self.calls: list[str] = []
        self.down = False
        self.first = 0
        self.era = 0

    def newest(self, topic: str) -> feeds.Listing:
        self._record_call("list")
        records = tuple(
            feeds.Record(offset=n, key=k, value=v)
            for n, (k, v) in enumerate(self.log.state.items())
            if v
        )
        return feeds.Listing(records=records, end=_at(len(self.log.records), self.era))

    def read(
        self, topic: str, start: positions.Position, wait_s: float
    ) -> list[feeds.Record]:
        self._record_call("read")
        if start.era < self.era:
            raise errors.EraEndedError("a later era has begun")
        if start.offset < self.first:
            raise errors.OffsetExpiredError(self.first)
        return self.log.records[start.offset :]

    def _record_call(self, name: str) -> None:
        self.calls.append(name)
        if self.down:
            raise errors.LogUnavailableError("down")
        self.eras.observe(self.era, "the store")

    def abort(self) -> None:
        """Does nothing: no call waits."""

    def close(self) -> None:
        """Does nothing: there is no connection."""


class _Sink:
    """Records what it receives."""

    def __init__(self) -> None:
        self.events: list = []

    def on_listing(self, records, *, reverted: bool):
        self.events.append("reverted" if reverted else "listed")
        return records

    def on_changes(self, records):
        self.events += [r.offset for r in records]
        return records

    def on_recovery(self) -> None:
        self.events.append("returned")


class _LoopCase:
    """A loop whose steps the test calls, with the ranges it published."""

    def __init__(self, *, reads: bool) -> None:
        self.eras = positions.Eras()
        self.store, self.sink = _Store(self.eras), _Sink()
        self.published, self.reads = [], reads
        self.loop = feeds.FollowLoop(
            self.store,
            "topic",
            TOPIC,
            feeds.Pacing(wait_s=0.01, batch_s=0.0, fresh_s=0.15),
            self.sink,
            self.published.append,
            lambda: self.reads,
            self.eras,
        )


def test_a_reader_reads_repeatedly_and_publishes():
    case = _LoopCase(reads=True)
    case.loop.run_once()
    case.store.log.append(random.Random(1))
    case.loop.run_once()
    case.loop.run_once()
    check.assertEqual(case.store.calls, ["list", "read", "read"])
    check.assertEqual(
        [(t.start.offset, t.end.offset) for t in case.published],
        [(0, 0), (0, 1), (1, 1)],
    )
    check.assertEqual(case.sink.events, ["listed", 0])


def test_a_member_reads_only_when_batches_stop():
    case = _LoopCase(reads=False)
    case.loop.run_once()
    for n in range(5):
        case.loop.put_batch(_batch(n, n + 1, records=(_record(n),)))
        case.loop.run_once()
    check.assertEqual(case.store.calls, ["list"])
    check.assertEqual(case.sink.events, ["listed", 0, 1, 2, 3, 4])
    started = runtime.now()
    while len(case.store.calls) < 2 and runtime.now() - started < 5:
        case.loop.run_once()
    check.assertEqual(case.store.calls, ["list", "read"])


def test_a_gap_is_read_at_once():
    case = _LoopCase(reads=False)
    case.loop.run_once()
    case.store.log.records += [_record(n) for n in range(4)]
    case.loop.put_batch(_batch(3, 4, records=(_record(3),)))
    case.loop.run_once()
    case.loop.run_once()
    check.assertEqual(case.store.calls, ["list", "read"])
    check.assertEqual(case.sink.events, ["listed", 0, 1, 2, 3])


def test_recovery_of_the_store_is_reported_by_a_read_or_a_batch():
    for by_batch in (False, True):
        case = _LoopCase(reads=not by_batch)
        case.loop.run_once()
        case.store.down = True
        started = runtime.now()
        while len(case.store.calls) < 2 and runtime.now() - started < 5:
            case.loop.run_once()
        case.store.down = False
        if by_batch:
            case.loop.put_batch(_batch(0, 1, records=(_record(0),)))
        case.loop.run_once()
        check.assertEqual(case.sink.events[:2], ["listed", "returned"], by_batch)


def test_expired_records_cause_a_new_listing():
    case = _LoopCase(reads=True)
    case.loop.run_once()
    case.store.first = 7
    case.store.log.records += [_record(n) for n in range(9)]
    case.loop.run_once()
    case.loop.run_once()
    check.assertEqual(case.store.calls, ["list", "read", "list"])


def test_stop_interrupts_a_wait_for_a_batch():
    case = _LoopCase(reads=False)
    case.loop.run_once()
    case.loop.put_batch(_batch(0, 0))
    thread = threading.Thread(target=case.loop.run)
    thread.start()
    case.loop.stop()
    thread.join(5)
    check.assertFalse(thread.is_alive())


def _full_batch(end: int, records=(), era: int = 0) -> feeds.RecordBatch:
    return attrs.evolve(_batch(0, end, records=records, era=era), full=True)


def test_a_full_batch_replaces_a_listing_that_fails():
    case = _LoopCase(reads=False)
    case.store.down = True
    case.loop.run_once()
    case.loop.put_batch(_full_batch(7, records=(_record(3), _record(6))))
    case.loop.run_once()
    check.assertEqual(case.sink.events, ["listed"])
    check.assertEqual([(t.end.offset, t.full) for t in case.published], [(7, True)])
    case.loop.put_batch(_batch(6, 9, records=(_record(6), _record(8))))
    case.loop.run_once()
    check.assertEqual(case.sink.events[-1], 8)
    # Once the store answers, reads continue where the batches ended.
    case.store.down = False
    case.store.log.records += [_record(n) for n in range(11)]
    started = runtime.now()
    while case.sink.events[-1] != 10 and runtime.now() - started < 5:
        case.loop.run_once()
    check.assertEqual(case.sink.events, ["listed", "returned", 8, 9, 10])
    check.assertNotIn("list", case.store.calls[1:])


def test_full_batches_are_ignored_after_a_listing():
    case = _LoopCase(reads=False)
    case.loop.run_once()
    case.loop.put_batch(_full_batch(7, records=(_record(3),)))
    case.loop.run_once()
    check.assertEqual(case.sink.events, ["listed"])


def test_a_full_batch_holds_the_newest_record_of_every_key():
    history = feeds.History(TOPIC)
    check.assertIsNone(history.full_batch(0.0))
    listing = attrs.evolve(
        _range(10, 10, 0.0, (_record(1), _record(2), _record(3))), full=True
    )
    check.assertFalse(history.add(listing, 0.0))
    history.add(_range(10, 14, 1.0, (_record(11), _record(12, None))), 1.0)
    full = history.full_batch(9.0)
    # Keys are the offsets modulo five: 11 replaces 1, and 12 deletes the key of 2.
    check.assertEqual([r.offset for r in full.records], [3, 11])
    check.assertEqual((full.start, full.end, full.age_s), (_at(0), _at(14), 8.0))
    check.assertEqual(history.recent_batch(1.1, FRESH_S).start, _at(10))


def test_recovery_of_the_store_is_detected_quickly():
    # A front that was cut off retains missing targets for a while after the recovery;
    # that time plus the delay must not exceed the time after which the front counts
    # as connected.
    case = _LoopCase(reads=True)
    case.loop.run_once()
    case.store.down = True
    for _ in range(6):
        case.loop.run_once()
    started = runtime.now()
    case.loop.run_once()
    check.assertLess(runtime.now() - started, 0.5)
    check.assertLessEqual(dispatching.DispatchTask.period_s, 0.1)


def test_a_full_batch_waits_while_a_listing_is_ahead_of_its_end():
    history = feeds.History(feeds.Topic.TARGETS)
    record = feeds.Record(offset=9, key="m1", value=b"{}")
    topic_range = feeds.TopicRange(
        topic=feeds.Topic.TARGETS,
        start=positions.Position(0, 9),
        end=positions.Position(0, 9),
        as_of=1.0,
        records=(record,),
        full=True,
    )
    history.add(topic_range, 1.0)
    check.assertIsNone(history.full_batch(1.0))
    later = attrs.evolve(topic_range, end=positions.Position(0, 10), full=False)
    history.add(later, 2.0)
    check.assertEqual(history.full_batch(2.0).records, (record,))
