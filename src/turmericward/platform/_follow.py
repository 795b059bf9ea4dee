"""Decodes topics of the platform's store and forwards changes to the dispatcher."""

import attrs

from turmericward import dispatching, feeds, fleet, telemetry
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
MAX_REMOVED_KEYS = 10_000
# Forwarded in place of an announcement that can't be used: peers keep its target
# too, whatever the length of the original.
UNUSABLE_VALUE = b"null"


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

    def __init__(
        self,
        dispatch: dispatching.DispatchTask,
        rejections: telemetry.Rejections | None = None,
    ) -> None:
        """Creates the sink.

        Args:
            dispatch: gets new configurations.
            rejections: gets those that can't be used.
        """
        self._dispatch = dispatch
        self._rejections = rejections or telemetry.Rejections()
        self._latest_version = -1

    @property
    def is_in_force(self) -> bool:
        """Whether the dispatcher uses the latest one; read by any thread."""
        table = self._dispatch.table
        return table is not None and table.version >= self._latest_version

    def on_listing(
        self, records: tuple[feeds.Record, ...], *, reverted: bool
    ) -> tuple[feeds.Record, ...]:
        """Applies the configuration found in a listing, as `on_changes` does.

        In an older copy of the store that is an older version, which the dispatcher
        ignores.
        """
        return self.on_changes(records)

    def on_changes(self, records: tuple[feeds.Record, ...]) -> tuple[feeds.Record, ...]:
        """Posts each usable configuration; returns their records.

        The one in force stays so if a later one can't be used.
        """
        versions = (r for r in records if r.key == CONFIGURATION_KEY and r.value)
        return tuple(record for record in versions if self._post(record))

    def _post(self, record: feeds.Record) -> bool:
        try:
            table = _records.routing_table(record.value)
        except _records.RecordError as exc:
            key = f"configuration at offset {record.offset}"
            self._rejections.add("configuration", key, str(exc))
            return False
        self._latest_version = max(self._latest_version, table.version)
        self._dispatch.post(dispatching.SetTable(table=table))
        return True

    def on_recovery(self) -> None:
        """Does nothing: the dispatcher ignores older versions."""


class TargetsSink:
    """Forwards the replicas' announcements to the dispatcher."""

    def __init__(
        self,
        dispatch: dispatching.DispatchTask,
        rejections: telemetry.Rejections | None = None,
    ) -> None:
        """Creates the sink.

        Args:
            dispatch: gets changed targets.
            rejections: gets the announcements that can't be used.
        """
        self._dispatch = dispatch
        self._rejections = rejections or telemetry.Rejections()
        # Target last posted for each key; None for keys that were removed.
        self._posted: dict[str, fleet.Target | None] = {}
        # Incarnations of the removed targets, by key.
        self._removed: dict[str, int] = {}

    def on_listing(
        self, records: tuple[feeds.Record, ...], *, reverted: bool
    ) -> tuple[feeds.Record, ...]:
        """Replaces all targets by those of a listing.

        An older copy of the store may lack announcements, which will be written again;
        and it may hold those of targets that were removed since, which won't. Returns
        the records; a target whose announcement can't be used stays as it is.
        """
        decoded = [self._decode(record) for record in records]
        targets = tuple(t for t in decoded if t is not None)
        # A record that can't be decoded doesn't remove its target.
        malformed = {r.key for r in records} - {t.name for t in targets}
        if reverted:
            self._dispatch.post(dispatching.StoreRecovered())
            targets = tuple(t for t in targets if not self._was_removed(t))
        self._posted = {t.name: t for t in targets}
        message = dispatching.ReplaceTargets(
            targets=targets, undecodable=frozenset(malformed)
        )
        self._dispatch.post(message)
        return tuple(
            attrs.evolve(r, value=UNUSABLE_VALUE) if r.key in malformed else r
            for r in records
            if _records.is_name(r.key)
        )

    def on_changes(self, records: tuple[feeds.Record, ...]) -> tuple[feeds.Record, ...]:
        """Posts the changes in order; most records only renew an announcement."""
        return tuple(record for record in records if self._post_change(record))

    def _post_change(self, record: feeds.Record) -> bool:
        target = None
        if record.value is None and not _records.is_name(record.key):
            return False
        if record.value is not None:
            target = self._decode(record)
            if target is None:
                return False
        if record.key in self._posted and self._posted[record.key] == target:
            return False
        self._record_removal(record.key, target)
        self._posted[record.key] = target
        if target is None:
            self._dispatch.post(dispatching.PutTargets(removed=(record.key,)))
        else:
            self._dispatch.post(dispatching.PutTargets(targets=(target,)))
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
            self._rejections.add("targets", record.key, str(exc))
            return None

    def on_recovery(self) -> None:
        """Reports that announcements may have expired during a store outage."""
        self._dispatch.post(dispatching.StoreRecovered())
