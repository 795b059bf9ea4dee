"""Task that folds the configuration stream, for entries and for operators."""

import functools
import json
import math
import random
import time
import zlib

from absl import logging

from turmericward import authority, configuration, fleet, runtime
from turmericward.adapters import log
from turmericward.steward import _entry_polls, _messages
from turmericward.wire import constants, ttypes

CONFIG_STREAM = "config"
PROPOSE_TIMEOUT_S = 5.0
SNAPSHOT_APPEND_TIMEOUT_S = 30.0


class ConfigurationTask(runtime.Task):
    """Owns the resources, the cached fleet state and the holds of an instance."""

    period_s = 0.25

    def __init__(self, cfg, appender, authority_task, fleet_loop) -> None:
        """Creates the task with empty state; polls wait until it has caught up.

        Args:
            cfg: settings of the instance.
            appender: takes Append messages.
            authority_task: takes SetDesired messages.
            fleet_loop: its `watch` gets the engines to poll.
        """
        super().__init__()
        self._cfg = cfg
        self._appender = appender
        self._authority = authority_task
        self._fleet = fleet_loop
        self._replay = configuration.Replay(0)
        self._views = fleet.ViewBuilder(
            cfg.instance.name, cfg.instance.domain, cfg.entry.engines_per_model
        )
        self._view_offset = -1
        self._proposals = runtime.Waiters()
        self._polls = _entry_polls.EntryPolls(cfg)
        self._confirmations = runtime.Waiters()
        self._log_reachable = False
        self._log_read_failed = False
        self._caught_up = False
        self._era = 0
        # The state of a new era, until it takes effect.
        self._rebuild: configuration.Rebuild | None = None
        self._confirmer: configuration.Confirmer | None = None
        self._random = random.Random(cfg.instance.name)
        self._records_since_snapshot = 0
        self._snapshot_interval = self._choose_snapshot_interval()

    @property
    def _ledger(self) -> configuration.Ledger | None:
        return self._replay.ledger

    def _choose_snapshot_interval(self) -> int:
        # Jitter by instance name: most instances see a peer's snapshot before their
        # own is due and don't write one.
        name = self._cfg.instance.name.encode()
        jitter = zlib.crc32(name) % self._cfg.log.snapshot_every
        return self._cfg.log.snapshot_every + jitter

    @functools.singledispatchmethod
    def handle(self, message: object) -> object:
        """Acts on one message."""
        return super().handle(message)

    @handle.register
    def _(self, message: _messages.LogRead) -> None:
        self._log_reachable = True
        self._log_read_failed = False
        for record in message.records:
            self._fold(record.offset, record.value)
        at_end = len(message.records) < log.MAX_RECORDS_PER_READ
        if self._rebuild is not None:
            self._rebuild.caught_up |= at_end
            self._finish_rebuild()
            return
        if at_end:
            self._caught_up = True
        if message.records:
            self._publish_state()
            self._snapshot_if_due()

    @handle.register
    def _(self, message: _messages.LogEra) -> None:
        self._era = message.era
        # What was appended in an earlier era may be lost.
        self._proposals.expire(math.inf)
        # One that starts has nothing to show until then.
        jitter = self._random.random() if self._ready() else 0.0
        self._rebuild = configuration.Rebuild(message.era, time.monotonic(), jitter)
        self._confirmer = None

    def _finish_rebuild(self) -> None:
        """Lets the state of a new era take effect, or writes what it lacks."""
        now = time.monotonic()
        if self._rebuild.is_complete(self._ledger):
            if self._ledger is not None:
                self._polls.enter_era(self._ledger.applied, now)
                self._confirmer = configuration.Confirmer(
                    self._era, self._ledger.applied, now, self._random.random()
                )
            self._replay = self._rebuild.replay
            self._rebuild = None
            self._caught_up = True
            self._view_offset = -1
            self._publish_state()
            return
        records = self._rebuild.due_records(
            self._ledger, now, self._cfg.instance.name, runtime.new_id
        )
        if records:
            logging.warning(
                "configuration: a new era of the log, %d records are written",
                len(records),
            )
        self._append_all(records)

    def _append_all(self, records: list) -> None:
        for record in records:
            self._append(configuration.encode(record), PROPOSE_TIMEOUT_S)

    def _publish_state(self) -> None:
        if self._ready():
            self._update_views()
            specs = self._views.specs()
            engines = {
                name: _messages.DesiredEngine(
                    name=name,
                    address=spec.address,
                    spec=authority.Spec(role=spec.role, loads=spec.loads),
                )
                for name, spec in specs.items()
            }
            self._authority.post(_messages.SetDesired(engines=engines))
            self._fleet.watch(self._polled_engines())
        self._polls.answer_updated(self._ready_ledger(), time.monotonic())

    @handle.register
    def _(self, message: _messages.LogReadFailed) -> None:
        self._log_reachable = False
        self._log_read_failed = True

    @handle.register
    def _(self, message: _messages.LogExpired) -> None:
        if self._rebuild is not None:
            self._rebuild.restart(message.first)
            return
        if self._ledger is not None and self._ledger.end.offset >= message.first:
            return
        logging.warning(
            "configuration: offset expired, rereading from %d", message.first
        )
        self._caught_up = False
        self._replay = configuration.Replay(message.first)

    def _update_views(self) -> None:
        changes = self._ledger.since(self._view_offset)
        replace_all = changes is None
        self._views.update(
            self._ledger.live() if replace_all else changes, replace_all=replace_all
        )
        self._view_offset = self._ledger.applied

    def _polled_engines(self) -> dict[str, str]:
        """Returns the addresses of the engines this instance routes to, by name."""
        view = self._views.view(frozenset(), {})
        used = [e for engines in view.engines_by_model.values() for e in engines]
        return {e.name: e.address for e in used}

    def _fold(self, offset: int, value: object) -> None:
        replay = self._replay if self._rebuild is None else self._rebuild.replay
        verdict = replay.feed(offset, value)
        self._records_since_snapshot += 1
        if isinstance(value, dict) and value.get("type") == "config.snapshot":
            self._records_since_snapshot = 0
        if isinstance(value, dict) and value.get("id") in self._proposals:
            accepted = verdict is configuration.Verdict.ACCEPTED
            answer = ttypes.ProposeAnswer(
                outcome=ttypes.Outcome.ACCEPTED
                if accepted
                else ttypes.Outcome.CONFLICT,
                version=replay.ledger.applied if accepted else 0,
            )
            self._proposals.resolve(value["id"], answer)

    def _snapshot_if_due(self) -> None:
        if (
            self._ledger is None
            or self._records_since_snapshot < self._snapshot_interval
        ):
            return
        self._records_since_snapshot = 0
        snapshot = configuration.Snapshot(
            covers=self._ledger.applied, state=self._ledger.snapshot()
        )
        self._append(configuration.encode(snapshot), SNAPSHOT_APPEND_TIMEOUT_S)

    def _append(self, value: dict, timeout_s: float) -> None:
        deadline = time.monotonic() + timeout_s
        self._appender.post(
            _messages.Append(
                stream=CONFIG_STREAM, value=value, deadline=deadline, era=self._era
            )
        )

    @handle.register
    def _(self, message: _messages.Propose):
        writable = self._log_reachable and self._rebuild is None
        if not (self._ready() and writable):
            return ttypes.ProposeAnswer(outcome=ttypes.Outcome.UNAVAILABLE, version=0)
        expected = self._expected_version(message)
        if expected is None:
            return ttypes.ProposeAnswer(outcome=ttypes.Outcome.CONFLICT, version=0)
        change = self._ledger.change(
            id=runtime.new_id(),
            producer=message.producer,
            kind=message.kind,
            name=message.name,
            expected=expected,
            value=message.value,
        )
        self._append(configuration.encode(change), PROPOSE_TIMEOUT_S)
        unknown = ttypes.ProposeAnswer(outcome=ttypes.Outcome.UNKNOWN, version=0)
        deadline = time.monotonic() + PROPOSE_TIMEOUT_S
        return self._proposals.add(change.id, deadline, unknown)

    def _expected_version(self, message: _messages.Propose) -> int | None:
        current = self._ledger.get(message.kind, message.name)
        version = current.version if current else 0
        if message.expected == constants.ANY_VERSION:
            return version
        if message.expected == constants.NO_VERSION:
            exists = current is not None and current.value is not None
            return None if exists else version
        return message.expected

    @handle.register
    def _(self, message: _messages.FleetRead) -> None:
        self._polls.instances = message.instances
        self._polls.loads = message.loads
        self._change_fleet()

    def _change_fleet(self) -> None:
        self._polls.change_fleet(self._ready_ledger(), time.monotonic())

    @handle.register
    def _(self, message: _messages.PlaceHold):
        refused = self._polls.hold_refusal(
            message.hold.engine, self._views, time.monotonic()
        )
        if refused:
            return _messages.HoldStatus(refused=refused)
        hold_id = message.hold.hold_id
        self._polls.holds.place(message.hold)
        self._change_fleet()
        missing = self._polls.holds.unconfirmed(hold_id)
        status = _messages.HoldStatus(missing=missing)
        if not status.missing:
            return status
        return self._confirmations.add(hold_id, message.deadline, status)

    @handle.register
    def _(self, message: _messages.ReleaseHolds) -> None:
        self._polls.holds.release(message.hold_ids)
        self._change_fleet()

    @handle.register
    def _(self, message: _messages.Restore) -> None:
        # A restored state has no change history, so watches would have to list again:
        # only take it while the log can't be read.
        if self._log_read_failed and self._replay.try_restore(
            configuration.Ledger.restore(message.state)
        ):
            self._caught_up = True
            self._publish_state()

    @handle.register
    def _(self, message: _messages.GetState) -> ttypes.StateAnswer:
        if self._ledger is None:
            return ttypes.StateAnswer(ready=False, applied=0, snapshot_json="")
        return ttypes.StateAnswer(
            ready=self._ready(),
            applied=self._ledger.applied,
            snapshot_json=json.dumps(self._ledger.snapshot()),
        )

    @handle.register
    def _(self, message: _messages.GetStatus) -> ttypes.DomainStatus:
        return ttypes.DomainStatus(
            instance=self._cfg.instance.name,
            domain=self._cfg.instance.domain,
            applied=self._ledger.applied if self._ledger else 0,
            log_reachable=self._log_reachable,
            entries=self._polls.active_entries(time.monotonic()),
        )

    @handle.register
    def _(self, message: _messages.Follow):
        self._confirm(message)
        return self._polls.poll(message, self._ready_ledger(), time.monotonic())

    @handle.register
    def _(self, message: _messages.EndPolls) -> None:
        self._polls.stop(self._ready_ledger(), time.monotonic())

    def _confirm(self, message: _messages.Follow) -> None:
        holds = self._polls.holds
        holds.confirm(message.entry, message.drained)
        for hold_id in message.drained:
            if not holds.unconfirmed(hold_id):
                self._confirmations.resolve(hold_id, _messages.HoldStatus())

    def _ready(self) -> bool:
        return self._ledger is not None and self._caught_up

    def _ready_ledger(self) -> configuration.Ledger | None:
        return self._ledger if self._ready() else None

    def run_periodic(self) -> None:
        """Answers polls, proposals and holds whose deadline has passed."""
        now = time.monotonic()
        self._proposals.expire(now)
        if self._rebuild is not None:
            self._finish_rebuild()
        elif self._confirmer is not None:
            self._append_all(self._confirmer.due_records(self._ledger, now))
        self._confirmations.expire(now)
        self._polls.end_due(self._ready_ledger(), now)
