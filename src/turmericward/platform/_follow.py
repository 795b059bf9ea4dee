"""Decodes topics of the platform's store and forwards changes to the dispatcher."""

from absl import logging

from turmericward import delivery, feeds, fleet
from turmericward.platform import _records

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
TARGETS_TOPIC = "keyed.servers"
FRONTS_TOPIC = "keyed.fronts"
# Fractions of the time within which a change has to be in force on all fronts: the
# age of relayed records at which a front reads the store itself, the longest wait of
# a read for records, and the delay between reads.
FRESH_SHARE = 0.6
WAIT_SHARE = 0.3
TARGETS_BATCH_SHARE = 0.2
CONFIGURATION_BATCH_S = 0.05
MAX_LOGGED_KEYS = 1000
MAX_REMOVED_KEYS = 10_000


def targets_pacing(bound_s: float, wait_s: float) -> feeds.Pacing:
    """Returns the read intervals of the targets topic.

    Args:
        bound_s: time within which all fronts have to stop using a leaving target.
        wait_s: upper limit of the time for which a read waits for records.
    """
    # Each replica writes about once a second, so most reads return records; the
    # delay between reads limits their rate.
    return feeds.Pacing(
        wait_s=min(wait_s, WAIT_SHARE * bound_s),
        batch_s=TARGETS_BATCH_SHARE * bound_s,
        fresh_s=FRESH_SHARE * bound_s,
    )


def configuration_pacing(bound_s: float, wait_s: float) -> feeds.Pacing:
    """Returns read intervals that bring a configuration into force within `bound_s`."""
    return feeds.Pacing(
        wait_s=min(wait_s, WAIT_SHARE * bound_s),
        batch_s=CONFIGURATION_BATCH_S,
        fresh_s=FRESH_SHARE * bound_s,
    )


class ConfigurationSink:
    """Forwards the operators' configuration to the dispatcher."""

    def __init__(self, dispatch: delivery.DispatchTask) -> None:
        """Creates the sink; new configurations are posted to `dispatch`."""
        self._dispatch = dispatch

    def on_listing(self, records: tuple[feeds.Record, ...], *, reverted: bool) -> None:
        """Applies the configuration found in a listing.

        In an older copy of the store that is an older version, which the dispatcher
        ignores.
        """
        self.on_changes(records)

    def on_changes(self, records: tuple[feeds.Record, ...]) -> tuple[feeds.Record, ...]:
        """Posts each valid configuration; returns all records of configurations."""
        versions = tuple(r for r in records if r.key == CONFIGURATION_KEY and r.value)
        for record in versions:
            self._post(record)
        return versions

    def _post(self, record: feeds.Record) -> None:
        try:
            table = _records.routing_table(record.value)
        except _records.RecordError as exc:
            logging.error("configuration at offset %d: %s", record.offset, exc)
            return
        self._dispatch.post(delivery.SetTable(table=table))

    def on_recovery(self) -> None:
        """Does nothing: the dispatcher ignores older versions."""


class TargetsSink:
    """Forwards the replicas' announcements to the dispatcher."""

    def __init__(self, dispatch: delivery.DispatchTask) -> None:
        """Creates the sink; changed targets are posted to `dispatch`."""
        self._dispatch = dispatch
        # Keys whose malformed record has been logged.
        self._logged: set[str] = set()
        # Target last posted for each key; None for keys that were removed.
        self._posted: dict[str, fleet.Target | None] = {}
        # Incarnations of the removed targets, by key.
        self._removed: dict[str, int] = {}

    def on_listing(self, records: tuple[feeds.Record, ...], *, reverted: bool) -> None:
        """Replaces all targets by those of a listing.

        An older copy of the store may lack announcements, which will be written again;
        and it may hold those of targets that were removed since, which won't.
        """
        decoded = [self._decode(record) for record in records]
        targets = tuple(t for t in decoded if t is not None)
        # A record that can't be decoded doesn't remove its target.
        malformed = {r.key for r in records} - {t.name for t in targets}
        if reverted:
            self._dispatch.post(delivery.StoreRecovered())
            targets = tuple(t for t in targets if not self._was_removed(t))
        self._posted = {t.name: t for t in targets}
        message = delivery.ReplaceTargets(
            targets=targets, undecodable=frozenset(malformed)
        )
        self._dispatch.post(message)

    def on_changes(self, records: tuple[feeds.Record, ...]) -> tuple[feeds.Record, ...]:
        """Posts the changes in order; most records only renew an announcement."""
        return tuple(record for record in records if self._post_change(record))

    def _post_change(self, record: feeds.Record) -> bool:
        target = None
        if record.value is not None:
            target = self._decode(record)
            if target is None:
                return False
        if record.key in self._posted and self._posted[record.key] == target:
            return False
        self._record_removal(record.key, target)
        self._posted[record.key] = target
        if target is None:
            self._dispatch.post(delivery.PutTargets(removed=(record.key,)))
        else:
            self._dispatch.post(delivery.PutTargets(targets=(target,)))
        return True

    def _record_removal(self, key: str, target: fleet.Target | None) -> None:
        previous = self._posted.get(key)
        if target is not None:
            self._removed.pop(key, None)
        elif previous is not None:
            self._removed[key] = previous.started_ms
        while len(self._removed) > MAX_REMOVED_KEYS:
            self._removed.pop(next(iter(self._removed)))

    def _was_removed(self, target: fleet.Target) -> bool:
        started_ms = self._removed.get(target.name)
        return started_ms is not None and target.started_ms <= started_ms

    def _decode(self, record: feeds.Record) -> fleet.Target | None:
        try:
            return _records.target(record.key, record.value)
        except _records.RecordError as exc:
            if record.key not in self._logged and len(self._logged) < MAX_LOGGED_KEYS:
                self._logged.add(record.key)
                logging.warning("malformed announcement of %s: %s", record.key, exc)
            return None

    def on_recovery(self) -> None:
        """Reports that announcements may have expired during a store outage."""
        self._dispatch.post(delivery.StoreRecovered())
