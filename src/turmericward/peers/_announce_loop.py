"""Loop that announces this front in the store, and learns of the others."""

import json
import random
from collections.abc import Callable
from typing import Protocol

import attrs
from absl import logging

from turmericward import feeds, runtime, schema
from turmericward.adapters import errors

# For fronts that start at the same time to announce themselves before the listing.
FIRST_LISTING_S = 0.7
# Fronts that are in touch hear each other; this is for those that were apart.
ANNOUNCE_S = 60.0
# Share by which the time between two announcements varies, so that hundreds of
# fronts that started together don't call the store together.
SPREAD = 0.3
RETRY_S = 1.0


@attrs.frozen(kw_only=True)
class Announcement:
    """What a front says of itself in the store."""

    host: str = attrs.field(validator=schema.validators.ip_number)
    domain: str
    capacity: int = 0


class Table(Protocol):
    """Where fronts announce themselves."""

    def put(self, topic: str, key: str, value: bytes) -> int | None:
        """Sets a front's announcement; an empty value ends it.

        Raises:
            LogUnavailableError: no good answer came.
        """

    def newest(self, topic: str) -> feeds.Listing:
        """Returns all announcements.

        Raises:
            LogUnavailableError: no good answer came.
        """

    def close(self) -> None:
        """Closes the connection."""


class AnnounceLoop(runtime.Loop):
    """Announces this front and lists the others, again and again."""

    def __init__(
        self,
        table: Table,
        topic: str,
        front: str,
        own: Announcement,
        announced: Callable[[str, Announcement], None],
    ) -> None:
        """Creates the loop.

        Args:
            table: its own from now on.
            topic: what the store calls the table.
            front: name of this front.
            own: what it announces.
            announced: takes the other fronts' announcements.
        """
        super().__init__()
        self._table = table
        self._topic = topic
        self._front = front
        self._value = json.dumps(attrs.asdict(own)).encode()
        self._announced = announced
        self._random = random.Random(front)
        self._first = True

    def step(self) -> None:
        """Announces the front once and lists the others."""
        try:
            self._table.put(self._topic, self._front, self._value)
            if self._first:
                self.pause(FIRST_LISTING_S)
            listing = self._table.newest(self._topic)
        except errors.LogUnavailableError as exc:
            logging.info("front isn't announced: %s", exc)
            self.pause(RETRY_S)
            return
        self._first = False
        found = sum(self._take(record) for record in listing.records)
        logging.info("front is announced, %d others are", found)
        spread = self._random.uniform(1 - SPREAD, 1 + SPREAD)
        self.pause(ANNOUNCE_S * spread)

    def _take(self, record: feeds.Record) -> bool:
        """Passes on an announcement; tells whether it is another front's."""
        if not record.value or record.key == self._front:
            return False
        try:
            found = schema.structure(
                json.loads(record.value), Announcement, record.key, extra=True
            )
        except ValueError as exc:
            logging.warning("front %s isn't known: %s", record.key, exc)
            return False
        self._announced(record.key, found)
        return True

    def closed(self) -> None:
        """Ends the announcement and closes the connection to the store."""
        try:
            self._table.put(self._topic, self._front, b"")
        except errors.LogUnavailableError as exc:
            logging.info("announcement of this front is left: %s", exc)
        self._table.close()
