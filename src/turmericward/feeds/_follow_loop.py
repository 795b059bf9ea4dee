"""Loop that follows a topic, by reads of the store or by batches from peers."""

import queue
import random
from collections.abc import Callable
from typing import Protocol

import attrs
from absl import logging

from turmericward import positions, runtime, telemetry
from turmericward.adapters import errors
from turmericward.feeds import _cursor, _messages

RETRY_DELAY_S = 0.2
# Fronts that aren't readers list a topic up to this much later in a new era, so that
# hundreds of them don't call the store at the same time.
MAX_NEW_ERA_DELAY_S = 0.5


@attrs.frozen(kw_only=True)
class Listing:
    """The newest record of each key, and the topic's end when it was read."""

    records: tuple[_messages.Record, ...]
    end: positions.Position


class Store(Protocol):
    """Reads keyed topics."""

    def newest(self, topic: str) -> Listing:
        """Returns the newest record of each key.

        Raises:
            LogUnavailableError: the store didn't answer or failed.
        """

    def read(
        self, topic: str, start: positions.Position, wait_s: float
    ) -> list[_messages.Record]:
        """Returns the records from `start` on, waiting for the first.

        Raises:
            OffsetExpiredError: the store doesn't hold `start`.
            EraEndedError: the store is in a later era than that of `start`.
            LogUnavailableError: the store didn't answer or failed.
        """

    def abort(self) -> None:
        """Makes a waiting call fail at once; called by any thread."""

    def close(self) -> None:
        """Closes the connection."""


class Sink(Protocol):
    """Consumes the records of a topic."""

    def on_listing(
        self, records: tuple[_messages.Record, ...], *, reverted: bool
    ) -> tuple[_messages.Record, ...]:
        """Replaces all previous records by the newest record of every key.

        Args:
            records: the records.
            reverted: whether they are those of an older copy of the store, which may
                lack later records.

        Returns:
            The records to forward to peers.
        """

    def on_changes(
        self, records: tuple[_messages.Record, ...]
    ) -> tuple[_messages.Record, ...]:
        """Applies later records in order; returns those that changed a value."""

    def on_recovery(self) -> None:
        """Called when the store answers again after it was unavailable."""


@attrs.frozen(kw_only=True)
class Pacing:
    """How often a topic is read; all in seconds.

    A reader's read waits up to `wait_s` for a record; after a read that returned any,
    the next one starts `batch_s` later, so that it returns many. Other fronts rely on
    batches that are no older than `fresh_s`.
    """

    wait_s: float
    batch_s: float
    fresh_s: float


class FollowLoop(runtime.Loop):
    """Follows one keyed topic: a listing, then reads or peers' batches."""

    def __init__(
        self,
        store: Store,
        name: str,
        topic: _messages.Topic,
        pacing: Pacing,
        sink: Sink,
        publish: Callable[[_messages.TopicRange], None],
        is_reader: Callable[[], bool],
        eras: positions.Eras,
    ) -> None:
        """Creates the loop.

        Args:
            store: owned and closed by the loop.
            name: name of the topic in the store.
            topic: its identifier in record batches between fronts.
            pacing: how often it is read.
            sink: gets the listing and later records.
            publish: called with each range of records, for the peers.
            is_reader: returns whether peers rely on this front's reads.
            eras: the known era of the store, which peers' batches also tell.
        """
        super().__init__()
        self._store = store
        self._name = name
        self._topic = topic
        self._pacing = pacing
        self._sink = sink
        self._publish = publish
        self._is_reader = is_reader
        self._eras = eras
        self._random = random.Random()
        self._cursor = _cursor.Cursor(pacing.fresh_s)
        self._batches: queue.SimpleQueue[_messages.RecordBatch | None] = (
            queue.SimpleQueue()
        )
        self._listing_due = True
        self._unavailable = False
        # Era of the records that the sink has, and until when they count as fresh.
        self._applied: tuple[int, float] = (-1, float("-inf"))

    @property
    def fresh_until(self) -> float:
        """Until when the sink has all records but those of the last `fresh_s`.

        It is in the past if records may be missing. Read by any thread.
        """
        era, until = self._applied
        return until if era >= self._eras.current else float("-inf")

    def _mark_applied(self) -> None:
        """Makes the cursor's freshness known, once the sink has the records."""
        if self._cursor.next is not None:
            self._applied = (self._cursor.next.era, self._cursor.fresh_until)

    def put_batch(self, batch: _messages.RecordBatch) -> None:
        """Queues a peer's batch; called by any thread."""
        self._batches.put(batch)

    def stop(self) -> None:
        """Ends the loop and interrupts a read that waits for records."""
        super().stop()
        self._batches.put(None)
        self._store.abort()

    def run_once(self) -> None:
        """Waits for a batch while the cursor is fresh, else reads once."""
        self._apply_queued_batches()
        now = runtime.now()
        if not self._read_due(now):
            self._await_batch(self._cursor.fresh_until - now)
            return
        try:
            self._read_once()
        except errors.OffsetExpiredError as exc:
            logging.info("topic %s: %s; listing it again", self._name, exc)
            self._cursor.mark_expired()
            self._mark_applied()
            self._listing_due = True
        except errors.EraEndedError as exc:
            # The next iteration lists the topic.
            logging.info("topic %s: %s", self._name, exc)
        except errors.LogUnavailableError as exc:
            self._mark_unavailable(exc)
            self._await_batch(RETRY_DELAY_S)

    def _read_due(self, now: float) -> bool:
        if self._listing_due or self._is_reader() or not self._cursor.is_fresh(now):
            return True
        return self._cursor.is_before(self._eras.current)

    def _read_once(self) -> None:
        if self._cursor.next is not None and self._cursor.is_before(self._eras.current):
            self._list_new_era()
        elif self._listing_due:
            self._list()
        else:
            self._read()

    def _list_new_era(self) -> None:
        if not self._is_reader():
            self.pause(self._random.uniform(0.0, MAX_NEW_ERA_DELAY_S))
        self._list()

    # Batches from peers.

    def _apply_queued_batches(self) -> None:
        while not self._batches.empty():
            self._apply_batch(self._batches.get())

    def _await_batch(self, wait_s: float) -> None:
        try:
            self._apply_batch(self._batches.get(timeout=max(0.0, wait_s)))
        except queue.Empty:
            return

    def _apply_batch(self, batch: _messages.RecordBatch | None) -> None:
        if batch is None or not self._observe_era(batch):
            return
        if batch.full and not self._follows(batch):
            self._apply_full_batch(batch)
            return
        start, fresh_until = self._cursor.next, self._cursor.fresh_until
        now = runtime.now()
        records = self._cursor.apply_batch(batch, now)
        if self._unavailable and self._cursor.is_fresh(now):
            self._mark_available("told by a peer")
        if records:
            self._sink.on_changes(records)
        self._mark_applied()
        if start is not None and (
            self._cursor.next > start or self._cursor.fresh_until > fresh_until
        ):
            as_of = now - batch.age_s
            self._publish_range(start, self._cursor.next, as_of, records)

    def _follows(self, batch: _messages.RecordBatch) -> bool:
        """Returns whether a full batch can be applied like changes.

        It lacks deletions, which don't occur in the configuration.
        """
        return (
            self._topic is _messages.Topic.CONFIGURATION
            and not self._cursor.is_before(batch.end.era)
        )

    def _observe_era(self, batch: _messages.RecordBatch) -> bool:
        """Learns the era of a batch; returns whether the batch is of the latest."""
        era = batch.end.era
        try:
            self._eras.observe(era, "a peer")
        except positions.InvalidEraError as exc:
            logging.warning("batch of topic %s is ignored: %s", self._name, exc)
            return False
        return era == self._eras.current

    def _apply_full_batch(self, batch: _messages.RecordBatch) -> None:
        """Uses a peer's full batch instead of a listing, if one is needed."""
        previous = self._cursor.next
        if not self._cursor.is_before(batch.end.era):
            return
        as_of = runtime.now() - batch.age_s
        self._cursor.apply_listing(batch.end, as_of)
        self._listing_due = False
        logging.info(
            "topic %s is known from a peer, %.1f s old", self._name, batch.age_s
        )
        records = self._apply_records(batch.records, previous, batch.end)
        self._mark_applied()
        self._publish_range(batch.end, batch.end, as_of, records, full=True)

    # Reads of the store.

    def _list(self) -> None:
        sent_at = runtime.now()
        listing = self._store.newest(self._name)
        previous = self._cursor.next
        if not self._cursor.apply_listing(listing.end, sent_at):
            raise errors.LogUnavailableError(
                f"listing ends at {listing.end}, before the next, {previous}"
            )
        self._listing_due = False
        self._mark_available("read")
        records = self._apply_records(listing.records, previous, listing.end)
        self._mark_applied()
        self._publish_range(listing.end, listing.end, sent_at, records, full=True)

    def _apply_records(
        self,
        records: tuple[_messages.Record, ...],
        previous: positions.Position | None,
        end: positions.Position,
    ) -> tuple[_messages.Record, ...]:
        """Passes the newest record of every key to the sink; returns its result."""
        reverted = previous is not None and previous.era < end.era
        if reverted:
            self._log_revert(previous, end)
        return self._sink.on_listing(records, reverted=reverted)

    def _log_revert(
        self, previous: positions.Position, end: positions.Position
    ) -> None:
        telemetry.log_event(
            "topic_reverted",
            topic=self._name,
            era=end.era,
            previous_era=previous.era,
            offset=end.offset,
            previous_offset=previous.offset,
            records_gone=max(0, previous.offset - end.offset),
        )

    def _read(self) -> None:
        start = self._cursor.next
        wait_s = self._pacing.wait_s if self._is_reader() else 0.0
        sent_at = runtime.now()
        records = tuple(self._store.read(self._name, start, wait_s))
        self._mark_available("read")
        # An empty answer is sent after the wait: no record was appended until then.
        as_of = sent_at if records else min(runtime.now(), sent_at + wait_s)
        end = start.plus(len(records))
        self._cursor.apply_read(end, as_of)
        changes = self._sink.on_changes(records) if records else ()
        self._mark_applied()
        self._publish_range(start, end, as_of, changes)
        if records and self._is_reader():
            self.pause(self._pacing.batch_s)

    def _publish_range(
        self,
        start: positions.Position,
        end: positions.Position,
        as_of: float,
        records: tuple[_messages.Record, ...],
        *,
        full: bool = False,
    ) -> None:
        topic_range = _messages.TopicRange(
            topic=self._topic,
            start=start,
            end=end,
            as_of=as_of,
            records=records,
            full=full,
        )
        self._publish(topic_range)

    def _mark_unavailable(self, exc: Exception) -> None:
        if not self._unavailable and not self.stopping:
            logging.warning("topic %s is lost: %s", self._name, exc)
        self._unavailable = True

    def _mark_available(self, source: str) -> None:
        if self._unavailable:
            logging.info("topic %s is known again: %s", self._name, source)
            self._sink.on_recovery()
        self._unavailable = False

    def release_resources(self) -> None:
        """Closes the connection to the store."""
        self._store.close()
