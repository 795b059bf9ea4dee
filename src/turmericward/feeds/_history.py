"""Records of a topic to forward to peers: recent ones, or the newest of each key."""

import collections

import attrs

from turmericward import positions
from turmericward.feeds import _messages

# How long a record is repeated in each batch, as datagrams may be lost.
RESEND_WINDOW_S = 3.0
# Larger records, and older ones beyond this sum, are omitted: peers read them from
# the store.
MAX_BATCH_BYTES = 64_000


class History:
    """Recent records of a topic and the newest one of each key.

    Times are monotonic seconds.
    """

    def __init__(self, topic: _messages.Topic) -> None:
        """Creates the history of a front that has no records of the topic."""
        self._topic = topic
        self._start = positions.Position(0, 0)
        self._end: positions.Position | None = None
        self._as_of = 0.0
        self._newest: dict[str, _messages.Record] = {}
        # Each record with the time at which it was added; oldest first.
        self._records: collections.deque[tuple[float, _messages.Record]]
        self._records = collections.deque()
        # Time at which each range was added, and its end; oldest first.
        self._range_ends: collections.deque[tuple[float, positions.Position]]
        self._range_ends = collections.deque()

    def add(self, topic_range: _messages.TopicRange, now: float) -> bool:
        """Adds a range; returns whether it has records to forward at once."""
        if topic_range.full:
            self._newest = {r.key: r for r in topic_range.records}
            self._restart(topic_range.end)
        elif topic_range.start != self._end:
            self._restart(topic_range.start)
        self._end = topic_range.end
        self._as_of = topic_range.as_of
        self._range_ends.append((now, topic_range.end))
        if topic_range.full:
            return False
        for record in topic_range.records:
            self._records.append((now, record))
            self._update_newest(record)
        self._trim(now)
        return bool(topic_range.records)

    def _update_newest(self, record: _messages.Record) -> None:
        if record.value is None:
            self._newest.pop(record.key, None)
        else:
            self._newest[record.key] = record

    def _restart(self, start: positions.Position) -> None:
        self._start = start
        self._records.clear()
        self._range_ends.clear()

    def _trim(self, now: float) -> None:
        while (
            len(self._range_ends) > 1 and now - self._range_ends[0][0] > RESEND_WINDOW_S
        ):
            self._drop_before(self._range_ends.popleft()[1])
        size = sum(self._size(record) for _, record in self._records)
        while size > MAX_BATCH_BYTES:
            record = self._records[0][1]
            size -= self._size(record)
            self._drop_before(attrs.evolve(self._start, offset=record.offset + 1))

    def _drop_before(self, start: positions.Position) -> None:
        self._start = max(self._start, start)
        while self._records and self._records[0][1].offset < self._start.offset:
            self._records.popleft()

    def _size(self, record: _messages.Record) -> int:
        return len(record.key) + len(record.value or b"")

    def has_data_of(self, era: int) -> bool:
        """Returns whether the data are of this era of the store or a later one."""
        return self._end is not None and self._end.era >= era

    def full_batch(self, now: float) -> _messages.RecordBatch | None:
        """Returns the newest record of every key, of any age; None if empty."""
        if self._end is None:
            return None
        try:
            return _messages.RecordBatch(
                topic=self._topic,
                start=attrs.evolve(self._end, offset=0),
                end=self._end,
                age_s=max(0.0, now - self._as_of),
                records=tuple(sorted(self._newest.values(), key=lambda r: r.offset)),
                full=True,
            )
        except _messages.MalformedBatchError:
            # A listing of several pages may hold records that were appended after
            # its end was read; the next read includes their offsets.
            return None

    def request(self, now: float, fresh_s: float) -> _messages.RecordBatch | None:
        """Returns a batch that asks peers for later records; None if not needed.

        It has no records and is older than any batch that gives some.

        Args:
            now: monotonic seconds.
            fresh_s: maximum age of a range that makes a request needless.
        """
        if self._end is None or now - self._as_of <= fresh_s:
            return None
        return _messages.RecordBatch(
            topic=self._topic,
            start=self._end,
            end=self._end,
            age_s=now - self._as_of,
        )

    def answer(
        self, request: _messages.RecordBatch, now: float, fresh_s: float
    ) -> _messages.RecordBatch | None:
        """Returns what a peer needs that has the records up to `request.end`.

        That is None if the last range is older than `fresh_s`: such a peer has that.
        """
        recent = self.recent_batch(now, fresh_s)
        if recent is None or recent.end < request.end:
            return None
        return recent if recent.start <= request.end else self.full_batch(now)

    def recent_batch(self, now: float, fresh_s: float) -> _messages.RecordBatch | None:
        """Returns the recent records; None if the last range is older than `fresh_s`.

        Args:
            now: monotonic seconds.
            fresh_s: maximum age of the last range.
        """
        if self._end is None or now - self._as_of > fresh_s:
            return None
        return _messages.RecordBatch(
            topic=self._topic,
            start=self._start,
            end=self._end,
            age_s=max(0.0, now - self._as_of),
            records=tuple(record for _, record in self._records),
        )
