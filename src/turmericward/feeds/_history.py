"""What a front knows of a topic that others may need: its last stretch, or all."""

import collections

from turmericward.feeds import _messages

# How long a record is told again and again: datagrams get lost.
TOLD_S = 3.0
# Larger records, and older ones beyond this sum, are left for others to read.
MAX_TOLD_BYTES = 64_000


class History:
    """The last stretch of a topic and its newest records; times are steady seconds."""

    def __init__(self, topic: _messages.Topic) -> None:
        """Creates the history of a front that has read nothing."""
        self._topic = topic
        self._start = 0
        self._end: int | None = None
        self._as_of = 0.0
        self._newest: dict[str, _messages.Record] = {}
        # Time at which each record was read, and the record; oldest first.
        self._records: collections.deque[tuple[float, _messages.Record]]
        self._records = collections.deque()
        # Time of each read, and where it ended; oldest first.
        self._reads: collections.deque[tuple[float, int]] = collections.deque()

    def take(self, followed: _messages.Followed, now: float) -> bool:
        """Adds a stretch; tells whether it holds records to tell of at once."""
        if followed.whole:
            self._newest = {r.key: r for r in followed.records}
            self._begin(followed.end)
        elif followed.start != self._end:
            self._begin(followed.start)
        self._end = followed.end
        self._as_of = followed.as_of
        self._reads.append((now, followed.end))
        if followed.whole:
            return False
        for record in followed.records:
            self._records.append((now, record))
            self._keep(record)
        self._shorten(now)
        return bool(followed.records)

    def _keep(self, record: _messages.Record) -> None:
        if record.value is None:
            self._newest.pop(record.key, None)
        else:
            self._newest[record.key] = record

    def _begin(self, start: int) -> None:
        self._start = start
        self._records.clear()
        self._reads.clear()

    def _shorten(self, now: float) -> None:
        while len(self._reads) > 1 and now - self._reads[0][0] > TOLD_S:
            self._cut(self._reads.popleft()[1])
        size = sum(self._size(record) for _, record in self._records)
        while size > MAX_TOLD_BYTES:
            record = self._records[0][1]
            size -= self._size(record)
            self._cut(record.offset + 1)

    def _cut(self, start: int) -> None:
        self._start = max(self._start, start)
        while self._records and self._records[0][1].offset < self._start:
            self._records.popleft()

    def _size(self, record: _messages.Record) -> int:
        return len(record.key) + len(record.value or b"")

    @property
    def known(self) -> bool:
        """Whether anything is known of the topic."""
        return self._end is not None

    def whole(self, now: float) -> _messages.News | None:
        """Returns all that is known, however old; None if that is nothing."""
        if self._end is None:
            return None
        return _messages.News(
            topic=self._topic,
            start=0,
            end=self._end,
            age_s=max(0.0, now - self._as_of),
            records=tuple(sorted(self._newest.values(), key=lambda r: r.offset)),
            whole=True,
        )

    def news(self, now: float, fresh_s: float) -> _messages.News | None:
        """Returns what to tell; None if the last read is too long ago."""
        if self._end is None or now - self._as_of > fresh_s:
            return None
        return _messages.News(
            topic=self._topic,
            start=self._start,
            end=self._end,
            age_s=max(0.0, now - self._as_of),
            records=tuple(record for _, record in self._records),
        )
