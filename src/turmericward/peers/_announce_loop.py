"""Loop that announces this front in the store and lists its peers."""

import json
import random
from collections.abc import Callable
from typing import Protocol

import attrs
from absl import logging

from turmericward import feeds, positions, runtime, schema, telemetry
from turmericward.adapters import errors

# Lets fronts that start at the same time announce themselves before the listing.
FIRST_LISTING_DELAY_S = 0.7
# Reconnects fronts after a partition; connected ones learn of each other by datagram.
ANNOUNCE_INTERVAL_S = 60.0
# Jitter of the announce interval as a share of it, so that hundreds of fronts that
# started together don't call the store at the same time.
INTERVAL_JITTER = 0.3
RETRY_DELAY_S = 1.0
# In a new era of the store, announcements may be gone. Fronts look for theirs at
# different times.
ERA_POLL_INTERVAL_S = 1.0
MAX_NEW_ERA_DELAY_S = 3.0
MAX_ANNOUNCEMENT_BYTES = 16 * 1024


@attrs.frozen(kw_only=True)
class Announcement:
    """The value that a front publishes under its name in the store."""

    host: str = attrs.field(validator=schema.validators.ip_literal)
    domain: str = attrs.field(validator=schema.validators.label)
    # Negative for a front that drains.
    capacity: int = attrs.field(
        default=0,
        validator=schema.validators.between(-1, schema.validators.MAX_INT32),
    )


class AnnouncementTable(Protocol):
    """The table of fronts' announcements in the store."""

    def put(self, topic: str, key: str, value: bytes) -> positions.Position | None:
        """Sets a front's announcement; an empty value removes it.

        Raises:
            LogUnavailableError: the store didn't answer or failed.
        """

    def newest(self, topic: str) -> feeds.Listing:
        """Returns all announcements.

        Raises:
            LogUnavailableError: the store didn't answer or failed.
        """

    def close(self) -> None:
        """Closes the connection."""


class AnnounceLoop(runtime.Loop):
    """Announces this front and lists the peers periodically."""

    def __init__(
        self,
        table: AnnouncementTable,
        topic: str,
        front: str,
        announcement: Announcement,
        on_announcement: Callable[[str, Announcement], None],
        on_listed: Callable[[], None],
        eras: positions.Eras,
        rejections: telemetry.Rejections | None = None,
    ) -> None:
        """Creates the loop.

        Args:
            table: owned and closed by the loop.
            topic: name of the table's topic in the store.
            front: name of this front.
            announcement: published for this front.
            on_announcement: called with the name and announcement of each peer.
            on_listed: called when all peers of a listing have been reported.
            eras: the known era of the store.
            rejections: gets the announcements that can't be used.
        """
        super().__init__()
        self._rejections = rejections or telemetry.Rejections()
        self._table = table
        self._topic = topic
        self._front = front
        self._value = json.dumps(attrs.asdict(announcement)).encode()
        self._on_announcement = on_announcement
        self._on_listed = on_listed
        self._eras = eras
        self._random = random.Random(front)
        self._first_run = True

    def run_once(self) -> None:
        """Announces this front unless the store lists it, and lists its peers."""
        try:
            if self._first_run:
                self._table.put(self._topic, self._front, self._value)
                self.pause(FIRST_LISTING_DELAY_S)
            listing = self._table.newest(self._topic)
            if not self._is_announced(listing):
                self._table.put(self._topic, self._front, self._value)
        except errors.LogUnavailableError as exc:
            logging.info("front isn't announced: %s", exc)
            self.pause(RETRY_DELAY_S)
            return
        self._first_run = False
        count = sum(self._report(record) for record in listing.records)
        self._on_listed()
        logging.info("front is announced, %d others are", count)
        factor = self._random.uniform(1 - INTERVAL_JITTER, 1 + INTERVAL_JITTER)
        self._await_next_run(ANNOUNCE_INTERVAL_S * factor, listing.end.era)

    def _is_announced(self, listing: feeds.Listing) -> bool:
        """Returns whether the store has this front's announcement.

        A store that returned from an older copy may have lost it.
        """
        return any(
            record.key == self._front and record.value == self._value
            for record in listing.records
        )

    def _await_next_run(self, interval_s: float, era: int) -> None:
        """Pauses until the interval ends, or for a while after a new era began."""
        deadline = runtime.now() + interval_s
        while not self.stopping and runtime.now() < deadline:
            if self._eras.current > era:
                self.pause(self._random.uniform(0.0, MAX_NEW_ERA_DELAY_S))
                return
            self.pause(min(ERA_POLL_INTERVAL_S, deadline - runtime.now()))

    def _report(self, record: feeds.Record) -> bool:
        """Reports a peer's announcement; returns whether the record holds one."""
        if not record.value or record.key == self._front:
            return False
        try:
            announcement = schema.decode(
                record.value,
                Announcement,
                record.key,
                extra=True,
                max_bytes=MAX_ANNOUNCEMENT_BYTES,
            )
        except schema.SchemaError as exc:
            self._rejections.add("fronts", record.key, str(exc))
            return False
        self._on_announcement(record.key, announcement)
        return True

    def release_resources(self) -> None:
        """Removes the announcement and closes the connection to the store."""
        try:
            self._table.put(self._topic, self._front, b"")
        except errors.LogUnavailableError as exc:
            logging.info("can't remove the announcement of this front: %s", exc)
        self._table.close()
