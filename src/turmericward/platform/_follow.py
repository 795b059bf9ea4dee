"""Loops that follow the platform's store and pass on what changes."""

from typing import Protocol

from absl import logging

from turmericward import delivery, peers, runtime
from turmericward.adapters import errors
from turmericward.platform import _records, _store

RETRY_PAUSE_S = 0.2
CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
TARGETS_TOPIC = "keyed.servers"
# Each replica writes about once a second; a leaving one may get work for 2 s.
TARGETS_BATCH_S = 0.4
FRONTS_TOPIC = "keyed.fronts"
FRONTS_WAIT_S = 10.0
ANNOUNCE_S = 10.0
MAX_BAD_RECORDS_LOGGED = 1000


class Sink(Protocol):
    """Takes what a topic holds and how it changes."""

    def listed(self, records: tuple[_store.KeyedRecord, ...]) -> None:
        """Takes the newest record of every key."""

    def changed(self, records: list[_store.KeyedRecord]) -> None:
        """Takes later records in order."""

    def returned(self) -> None:
        """Notes that the store answers again after it was lost."""


class FollowLoop(runtime.Loop):
    """Follows one keyed topic: a listing, then long polls from its end."""

    def __init__(
        self,
        client: _store.StoreClient,
        topic: str,
        wait_s: float,
        sink: Sink,
        batch_s: float = 0.0,
    ) -> None:
        """Creates the loop.

        Args:
            client: its own from now on.
            topic: what to follow.
            wait_s: how long a read waits for a record.
            sink: takes what is read.
            batch_s: pause after records came, so that many come in one read.
        """
        super().__init__()
        self._batch_s = batch_s
        self._client = client
        self._topic = topic
        self._wait_s = wait_s
        self._sink = sink
        self._following: int | None = None
        self._highest = 0
        self._lost = False

    def stop(self) -> None:
        """Ends the loop, also in the middle of a read that waits for records."""
        super().stop()
        self._client.end()

    def step(self) -> None:
        """Reads once."""
        try:
            if self._following is None:
                self._list()
            else:
                self._read()
        except errors.OffsetExpiredError as exc:
            logging.info("topic %s: %s, listing it anew", self._topic, exc)
            self._following = None
        except errors.LogUnavailableError as exc:
            if not self.stopping:
                self._note_loss(exc)
            self.pause(RETRY_PAUSE_S)

    def _note_loss(self, exc: Exception) -> None:
        if not self._lost:
            logging.warning("topic %s is lost: %s", self._topic, exc)
        self._lost = True

    def _note_answer(self) -> None:
        if self._lost:
            logging.info("topic %s is read again", self._topic)
            self._sink.returned()
        self._lost = False

    def _list(self) -> None:
        listing = self._client.newest(self._topic)
        if listing.end < self._highest:
            raise errors.LogUnavailableError(
                f"listing ends at {listing.end}, {self._highest} was read before"
            )
        self._note_answer()
        self._sink.listed(listing.records)
        self._advance(listing.end)

    def _read(self) -> None:
        records = self._client.read(self._topic, self._following, self._wait_s)
        self._note_answer()
        if records:
            self._sink.changed(records)
            self._advance(self._following + len(records))
            self.pause(self._batch_s)

    def _advance(self, following: int) -> None:
        self._following = following
        self._highest = following

    def closed(self) -> None:
        """Closes the connection to the store."""
        self._client.close()


class ConfigurationSink:
    """Passes on the operators' configuration."""

    def __init__(self, dispatch: delivery.DispatchTask) -> None:
        """Creates the sink of a dispatcher."""
        self._dispatch = dispatch

    def listed(self, records: tuple[_store.KeyedRecord, ...]) -> None:
        """Takes the configuration out of a listing."""
        self.changed(list(records))

    def changed(self, records: list[_store.KeyedRecord]) -> None:
        """Takes the newest configuration that can be decoded."""
        for record in records:
            if record.key == CONFIGURATION_KEY and record.value is not None:
                self._take(record)

    def _take(self, record: _store.KeyedRecord) -> None:
        try:
            table = _records.routing_table(record.value)
        except _records.RecordError as exc:
            logging.error("configuration at offset %d: %s", record.offset, exc)
            return
        self._dispatch.post(delivery.SetTable(table=table))

    def returned(self) -> None:
        """Needs no action: a version never goes back."""


class TargetsSink:
    """Passes on the replicas' announcements."""

    def __init__(self, dispatch: delivery.DispatchTask) -> None:
        """Creates the sink of a dispatcher."""
        self._dispatch = dispatch
        self._bad: set[str] = set()

    def listed(self, records: tuple[_store.KeyedRecord, ...]) -> None:
        """Takes the whole list."""
        targets = [self._decode(record) for record in records]
        found = tuple(t for t in targets if t is not None)
        # A record that can't be decoded doesn't end the target it names.
        unclear = {r.key for r in records} - {t.name for t in found}
        message = delivery.ReplaceTargets(targets=found, kept=frozenset(unclear))
        self._dispatch.post(message)

    def changed(self, records: list[_store.KeyedRecord]) -> None:
        """Takes changes in order."""
        for record in records:
            if record.value is None:
                self._dispatch.post(delivery.PutTargets(gone=(record.key,)))
                continue
            target = self._decode(record)
            if target is not None:
                self._dispatch.post(delivery.PutTargets(targets=(target,)))

    def _decode(self, record: _store.KeyedRecord):
        try:
            return _records.target(record.key, record.value)
        except _records.RecordError as exc:
            if record.key not in self._bad and len(self._bad) < MAX_BAD_RECORDS_LOGGED:
                self._bad.add(record.key)
                logging.warning("announcement %s is ignored: %s", record.key, exc)
            return None

    def returned(self) -> None:
        """Tells the dispatcher that announcements may have expired meanwhile."""
        self._dispatch.post(delivery.SourceReturned())


class FrontsSink:
    """Passes on the fronts that announced themselves."""

    def __init__(self, tell: peers.PeerTask) -> None:
        """Creates the sink of the task that tells peers."""
        self._tell = tell

    def listed(self, records: tuple[_store.KeyedRecord, ...]) -> None:
        """Takes a listing."""
        self.changed(list(records))

    def changed(self, records: list[_store.KeyedRecord]) -> None:
        """Takes announcements: a front's name, its IP number and domain."""
        for record in records:
            if record.value is not None:
                host, _, domain = record.value.decode("utf-8", "replace").partition(" ")
                message = peers.Announced(front=record.key, host=host, domain=domain)
                self._tell.post(message)

    def returned(self) -> None:
        """Needs no action."""


class AnnounceLoop(runtime.Loop):
    """Announces this front in the store, again and again."""

    def __init__(
        self, client: _store.StoreClient, front: str, host: str, domain: str
    ) -> None:
        """Creates the loop; the client is its own from now on."""
        super().__init__()
        self._client = client
        self._front = front
        self._value = f"{host} {domain}".encode()

    def step(self) -> None:
        """Announces the front once."""
        pause_s = ANNOUNCE_S
        try:
            self._client.put(FRONTS_TOPIC, self._front, self._value)
        except errors.LogUnavailableError as exc:
            logging.info("front isn't announced: %s", exc)
            pause_s = 1.0
        self.pause(pause_s)

    def closed(self) -> None:
        """Closes the connection to the store."""
        self._client.close()
