"""Loop that keeps a topic known, by own reads or by what peers tell."""

import queue
from collections.abc import Callable
from typing import Protocol

import attrs
from absl import logging

from turmericward import runtime
from turmericward.adapters import errors
from turmericward.feeds import _feed, _messages

RETRY_S = 0.2


@attrs.frozen(kw_only=True)
class Listing:
    """The newest record of each key, and the topic's end when it was read."""

    records: tuple[_messages.Record, ...]
    end: int


class Store(Protocol):
    """Reads keyed topics."""

    def newest(self, topic: str) -> Listing:
        """Returns the newest record of each key.

        Raises:
            LogUnavailableError: no good answer came.
        """

    def read(self, topic: str, start: int, wait_s: float) -> list[_messages.Record]:
        """Returns the records from offset `start` on, waiting for the first.

        Raises:
            OffsetExpiredError: the store no longer holds `start`.
            LogUnavailableError: no good answer came.
        """

    def end(self) -> None:
        """Has a call that waits fail at once; called by any thread."""

    def close(self) -> None:
        """Closes the connection."""


class Sink(Protocol):
    """Takes what a topic holds and how it changes."""

    def listed(self, records: tuple[_messages.Record, ...]) -> None:
        """Takes the newest record of every key."""

    def changed(
        self, records: tuple[_messages.Record, ...]
    ) -> tuple[_messages.Record, ...]:
        """Takes later records in order; returns those that changed something."""

    def returned(self) -> None:
        """Notes that the store answers again after it was lost."""


@attrs.frozen(kw_only=True)
class Pacing:
    """How often a topic is read; all in seconds.

    A reader's read waits `wait_s` for a record and `batch_s` after one, so that
    many come in one read. Other fronts rely on news of the last `fresh_s`.
    """

    wait_s: float
    batch_s: float
    fresh_s: float


class FollowLoop(runtime.Loop):
    """Follows one keyed topic: a listing, then reads or peers' news."""

    def __init__(
        self,
        store: Store,
        name: str,
        topic: _messages.Topic,
        pacing: Pacing,
        sink: Sink,
        tell: Callable[[_messages.Followed], None],
        is_reader: Callable[[], bool],
    ) -> None:
        """Creates the loop.

        Args:
            store: its own from now on.
            name: what the store calls the topic.
            topic: what fronts call it.
            pacing: how often it is read.
            sink: takes what the topic gains.
            tell: takes what was read, for other fronts.
            is_reader: tells whether others rely on this front's reads.
        """
        super().__init__()
        self._store = store
        self._name = name
        self._topic = topic
        self._pacing = pacing
        self._sink = sink
        self._tell = tell
        self._is_reader = is_reader
        self._feed = _feed.Feed(pacing.fresh_s)
        self._news: queue.SimpleQueue[_messages.News | None] = queue.SimpleQueue()
        self._list_due = True
        self._lost = False

    def hear(self, news: _messages.News) -> None:
        """Takes what a peer tells; called by any thread."""
        self._news.put(news)

    def stop(self) -> None:
        """Ends the loop, also in the middle of a read that waits for records."""
        super().stop()
        self._news.put(None)
        self._store.end()

    def step(self) -> None:
        """Waits for news while they are fresh, else reads once."""
        self._take_waiting_news()
        now = runtime.now()
        if not self._read_due(now):
            self._await_news(self._feed.fresh_until - now)
            return
        try:
            self._read_once()
        except errors.OffsetExpiredError as exc:
            logging.info("topic %s: %s, listing it anew", self._name, exc)
            self._feed.lost()
            self._list_due = True
        except errors.LogUnavailableError as exc:
            self._note_loss(exc)
            self._await_news(RETRY_S)

    def _read_due(self, now: float) -> bool:
        return self._list_due or self._is_reader() or not self._feed.is_fresh(now)

    def _read_once(self) -> None:
        if self._list_due:
            self._list()
        else:
            self._read()

    # News of peers.

    def _take_waiting_news(self) -> None:
        while not self._news.empty():
            self._take_news(self._news.get())

    def _await_news(self, wait_s: float) -> None:
        try:
            self._take_news(self._news.get(timeout=max(0.0, wait_s)))
        except queue.Empty:
            return

    def _take_news(self, news: _messages.News | None) -> None:
        if news is None:
            return
        if news.whole:
            self._take_whole(news)
            return
        start = self._feed.following
        now = runtime.now()
        records = self._feed.heard(news, now)
        if self._lost and self._feed.is_fresh(now):
            self._note_answer("told by a peer")
        if records:
            self._sink.changed(records)
        if start is not None and self._feed.following > start:
            as_of = now - news.age_s
            self._tell_of(start, self._feed.following, as_of, records)

    def _take_whole(self, news: _messages.News) -> None:
        """Takes a peer's knowledge in place of a listing that the store refuses."""
        if self._feed.following is not None:
            return
        as_of = runtime.now() - news.age_s
        self._feed.listed(news.end, as_of)
        self._list_due = False
        logging.info(
            "topic %s is known from a peer, %.1f s old", self._name, news.age_s
        )
        self._sink.listed(news.records)
        self._tell_of(news.end, news.end, as_of, news.records, whole=True)

    # Own reads.

    def _list(self) -> None:
        asked_at = runtime.now()
        listing = self._store.newest(self._name)
        if not self._feed.listed(listing.end, asked_at):
            raise errors.LogUnavailableError(
                f"listing ends at {listing.end}, {self._feed.following} was known"
            )
        self._list_due = False
        self._note_answer("read")
        self._sink.listed(listing.records)
        self._tell_of(listing.end, listing.end, asked_at, listing.records, whole=True)

    def _read(self) -> None:
        start = self._feed.following
        wait_s = self._pacing.wait_s if self._is_reader() else 0.0
        asked_at = runtime.now()
        records = tuple(self._store.read(self._name, start, wait_s))
        self._note_answer("read")
        # Without a record the store has waited before it answered.
        as_of = asked_at if records else min(runtime.now(), asked_at + wait_s)
        end = start + len(records)
        self._feed.read(end, as_of)
        changes = self._sink.changed(records) if records else ()
        self._tell_of(start, end, as_of, changes)
        if records and self._is_reader():
            self.pause(self._pacing.batch_s)

    def _tell_of(
        self,
        start: int,
        end: int,
        as_of: float,
        records: tuple[_messages.Record, ...],
        *,
        whole: bool = False,
    ) -> None:
        followed = _messages.Followed(
            topic=self._topic,
            start=start,
            end=end,
            as_of=as_of,
            records=records,
            whole=whole,
        )
        self._tell(followed)

    def _note_loss(self, exc: Exception) -> None:
        if not self._lost and not self.stopping:
            logging.warning("topic %s is lost: %s", self._name, exc)
        self._lost = True

    def _note_answer(self, how: str) -> None:
        if self._lost:
            logging.info("topic %s is known again: %s", self._name, how)
            self._sink.returned()
        self._lost = False

    def closed(self) -> None:
        """Closes the connection to the store."""
        self._store.close()
