"""What the topics of the platform's store hold, handed to the dispatcher."""

from absl import logging

from turmericward import delivery, feeds, fleet
from turmericward.platform import _records

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
TARGETS_TOPIC = "keyed.servers"
FRONTS_TOPIC = "keyed.fronts"
# Shares of the time within which a change has to be in force everywhere: after this
# a front reads for itself; a reader's read waits and rests for these.
FRESH_SHARE = 0.6
WAIT_SHARE = 0.3
TARGETS_BATCH_SHARE = 0.2
CONFIGURATION_BATCH_S = 0.05
MAX_BAD_RECORDS_LOGGED = 1000


def targets_pacing(bound_s: float, wait_s: float) -> feeds.Pacing:
    """Returns how often targets are read that get no new work after `bound_s`.

    Args:
        bound_s: within it all fronts have to know that a target leaves.
        wait_s: how long a read may wait at most.
    """
    # Each replica writes about once a second, so most reads come with records.
    return feeds.Pacing(
        wait_s=min(wait_s, WAIT_SHARE * bound_s),
        batch_s=TARGETS_BATCH_SHARE * bound_s,
        fresh_s=FRESH_SHARE * bound_s,
    )


def configuration_pacing(bound_s: float, wait_s: float) -> feeds.Pacing:
    """Returns how often the configuration is read that is in force in `bound_s`."""
    return feeds.Pacing(
        wait_s=min(wait_s, WAIT_SHARE * bound_s),
        batch_s=CONFIGURATION_BATCH_S,
        fresh_s=FRESH_SHARE * bound_s,
    )


class ConfigurationSink:
    """Passes on the operators' configuration."""

    def __init__(self, dispatch: delivery.DispatchTask) -> None:
        """Creates the sink of a dispatcher."""
        self._dispatch = dispatch

    def listed(self, records: tuple[feeds.Record, ...]) -> None:
        """Takes the configuration out of a listing."""
        self.changed(records)

    def changed(self, records: tuple[feeds.Record, ...]) -> tuple[feeds.Record, ...]:
        """Takes the newest configuration that can be decoded."""
        found = tuple(r for r in records if r.key == CONFIGURATION_KEY and r.value)
        for record in found:
            self._take(record)
        return found

    def _take(self, record: feeds.Record) -> None:
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
        # What was passed on last, by key; None for keys that ended.
        self._passed_on: dict[str, fleet.Target | None] = {}

    def listed(self, records: tuple[feeds.Record, ...]) -> None:
        """Takes the whole list."""
        targets = [self._decode(record) for record in records]
        found = tuple(t for t in targets if t is not None)
        self._passed_on = {t.name: t for t in found}
        # A record that can't be decoded doesn't end the target it names.
        unclear = {r.key for r in records} - {t.name for t in found}
        message = delivery.ReplaceTargets(targets=found, kept=frozenset(unclear))
        self._dispatch.post(message)

    def changed(self, records: tuple[feeds.Record, ...]) -> tuple[feeds.Record, ...]:
        """Takes changes in order; most records only repeat what was announced."""
        return tuple(record for record in records if self._changes(record))

    def _changes(self, record: feeds.Record) -> bool:
        target = None
        if record.value is not None:
            target = self._decode(record)
            if target is None:
                return False
        if record.key in self._passed_on and self._passed_on[record.key] == target:
            return False
        self._passed_on[record.key] = target
        if target is None:
            self._dispatch.post(delivery.PutTargets(gone=(record.key,)))
        else:
            self._dispatch.post(delivery.PutTargets(targets=(target,)))
        return True

    def _decode(self, record: feeds.Record) -> fleet.Target | None:
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
