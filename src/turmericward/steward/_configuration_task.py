"""Task that folds the configuration stream and answers the entries' polls."""

import functools
import heapq
import json
import time
import zlib

from absl import logging

from turmericward import authority, configuration, fleet, membership, runtime
from turmericward.adapters import instances, log
from turmericward.steward import _hold_rules, _messages, _wire
from turmericward.wire import constants, ttypes

CONFIG_STREAM = "config"
PROPOSE_TIMEOUT_S = 5.0
SNAPSHOT_APPEND_S = 30.0
FAR_STEWARDS = 4


class ConfigurationTask(runtime.Task):
    """Owns the state of all resources, the fleet's state and the holds."""

    tick_s = 0.25

    def __init__(self, cfg, appender, authority_task, fleet_loop) -> None:
        """Creates the task before anything has been read.

        Args:
            cfg: settings of the instance.
            appender: takes Append messages.
            authority_task: takes Desired messages.
            fleet_loop: is told which engines to poll.
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
        self._viewed = -1
        self._proposals = runtime.Waiters()
        self._polls = runtime.Waiters()
        self._confirmations = runtime.Waiters()
        self._parked: dict[str, _messages.Follow] = {}
        self._holds = membership.HoldTable(cfg.entry_names())
        self._instances: list = []
        self._loads: dict = {}
        self._fleet_version = 0
        self._entries: dict[str, int] = {}
        self._polled_at: dict[str, float] = {}
        self._log_reachable = False
        self._log_lost = False
        self._caught_up = False
        self._since_snapshot = 0
        self._snapshot_due = self._draw_snapshot_due()

    @property
    def _ledger(self) -> configuration.Ledger | None:
        return self._replay.ledger

    def _draw_snapshot_due(self) -> int:
        # Spreads the instances, so that most see another's snapshot first.
        name = self._cfg.instance.name.encode()
        spread = zlib.crc32(name) % self._cfg.log.snapshot_every
        return self._cfg.log.snapshot_every + spread

    @functools.singledispatchmethod
    def handle(self, message: object) -> object:
        """Acts on one message."""
        return super().handle(message)

    @handle.register
    def _(self, message: _messages.LogRead) -> None:
        self._log_reachable = True
        self._log_lost = False
        for record in message.records:
            self._fold(record.offset, record.value)
        if len(message.records) < log.READ_LIMIT:
            self._caught_up = True
        if message.records:
            self._changed()
            self._snapshot_if_due()

    def _changed(self) -> None:
        if self._ready():
            self._update_views()
            specs = self._views.specs()
            engines = {
                name: _messages.DesiredEngine(
                    name=name,
                    address=found.address,
                    spec=authority.Spec(role=found.role, loads=found.loads),
                )
                for name, found in specs.items()
            }
            self._authority.post(_messages.Desired(engines=engines))
            self._fleet.watch(self._polled_engines())
        self._wake()

    @handle.register
    def _(self, message: _messages.LogLost) -> None:
        self._log_reachable = False
        self._log_lost = True

    @handle.register
    def _(self, message: _messages.LogExpired) -> None:
        if self._ledger is not None and self._ledger.applied >= message.first:
            return
        logging.warning("configuration is read anew from offset %d", message.first)
        self._caught_up = False
        self._replay = configuration.Replay(message.first)

    def _update_views(self) -> None:
        changes = self._ledger.since(self._viewed)
        whole = changes is None
        self._views.update(self._ledger.live() if whole else changes, whole=whole)
        self._viewed = self._ledger.applied

    def _polled_engines(self) -> dict[str, str]:
        """Returns name and address of the engines that this instance uses."""
        view = self._views.view(frozenset(), {})
        used = [e for engines in view.engines_by_model.values() for e in engines]
        return {e.name: e.address for e in used}

    def _fold(self, offset: int, value: object) -> None:
        verdict = self._replay.feed(offset, value)
        self._since_snapshot += 1
        if isinstance(value, dict) and value.get("type") == "config.snapshot":
            self._since_snapshot = 0
        if isinstance(value, dict) and value.get("id") in self._proposals:
            accepted = verdict is configuration.Verdict.ACCEPTED
            answer = ttypes.ProposeAnswer(
                outcome=ttypes.Outcome.ACCEPTED
                if accepted
                else ttypes.Outcome.CONFLICT,
                version=offset + 1 if accepted else 0,
            )
            self._proposals.resolve(value["id"], answer)

    def _snapshot_if_due(self) -> None:
        if self._ledger is None or self._since_snapshot < self._snapshot_due:
            return
        self._since_snapshot = 0
        snapshot = configuration.Snapshot(
            covers=self._ledger.applied, state=self._ledger.snapshot()
        )
        self._append(configuration.encode(snapshot), SNAPSHOT_APPEND_S)

    def _append(self, value: dict, seconds: float) -> None:
        until = time.monotonic() + seconds
        self._appender.post(
            _messages.Append(stream=CONFIG_STREAM, value=value, until=until)
        )

    @handle.register
    def _(self, message: _messages.Propose):
        if not (self._ready() and self._log_reachable):
            return ttypes.ProposeAnswer(outcome=ttypes.Outcome.UNAVAILABLE, version=0)
        expected = self._expected(message)
        if expected is None:
            return ttypes.ProposeAnswer(outcome=ttypes.Outcome.CONFLICT, version=0)
        change = configuration.Change(
            id=runtime.new_id(),
            producer=message.producer,
            kind=message.kind,
            name=message.name,
            expected=expected,
            value=message.value,
        )
        self._append(configuration.encode(change), PROPOSE_TIMEOUT_S)
        unknown = ttypes.ProposeAnswer(outcome=ttypes.Outcome.UNKNOWN, version=0)
        until = time.monotonic() + PROPOSE_TIMEOUT_S
        return self._proposals.add(change.id, until, unknown)

    def _expected(self, message: _messages.Propose) -> int | None:
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
        self._instances = message.instances
        self._loads = message.loads
        self._fleet_version += 1
        self._wake()

    @handle.register
    def _(self, message: _messages.PlaceHold):
        refused = self._refusal(message.hold.engine)
        if refused:
            return _messages.HoldStanding(refused=refused)
        hold_id = message.hold.hold_id
        self._holds.place(message.hold)
        self._fleet_version += 1
        self._wake()
        standing = _messages.HoldStanding(missing=self._holds.missing(hold_id))
        if not standing.missing:
            return standing
        return self._confirmations.add(hold_id, message.until, standing)

    def _refusal(self, engine: str) -> str:
        now = time.monotonic()
        entries = self._cfg.entry_names()
        silent = _hold_rules.silent_entry(entries, self._polled_at, now)
        if silent:
            return f"entry {silent} is silent"
        leaving = frozenset(i.name for i in self._instances if i.leaving)
        view = self._views.view(leaving, self._loads)
        held = frozenset(h.engine for h in self._holds.active(now)) - {engine}
        model = _hold_rules.starved_model(engine, view, held, now)
        return f"model {model} would have no engine" if model else ""

    @handle.register
    def _(self, message: _messages.ReleaseHolds) -> None:
        self._holds.release(message.hold_ids)
        self._fleet_version += 1
        self._wake()

    @handle.register
    def _(self, message: _messages.Restore) -> None:
        # A state has no history: watches would have to list again.
        if self._log_lost and self._replay.offer(
            configuration.Ledger.restore(message.state)
        ):
            self._caught_up = True
            self._changed()

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
            entries=self._following(),
        )

    def _following(self) -> dict[str, int]:
        """Returns what the entries that poll here have applied, by name.

        One that came over while its own steward was away has gone back.
        """
        limit = time.monotonic() - _hold_rules.SILENT_S
        return {e: v for e, v in self._entries.items() if self._polled_at[e] > limit}

    @handle.register
    def _(self, message: _messages.Follow):
        self._entries[message.entry] = message.applied
        self._polled_at[message.entry] = time.monotonic()
        self._confirm(message)
        if self._has_news(message):
            return self._answer(message)
        key = runtime.new_id()
        self._parked[key] = message
        return self._polls.add(key, message.until, None)

    def _confirm(self, message: _messages.Follow) -> None:
        self._holds.confirm(message.entry, message.drained)
        for hold_id in message.drained:
            if not self._holds.missing(hold_id):
                self._confirmations.resolve(hold_id, _messages.HoldStanding())

    def _ready(self) -> bool:
        return self._ledger is not None and self._caught_up

    def _has_news(self, message: _messages.Follow) -> bool:
        if not self._ready():
            return False
        if message.applied < self._ledger.applied:
            return True
        return message.fleet_version != self._fleet_version

    def _answer(self, message: _messages.Follow) -> ttypes.FollowAnswer:
        now = time.monotonic()
        changes = None
        if message.applied <= self._ledger.applied:
            changes = self._ledger.since(message.applied)
        whole = changes is None
        resources = self._ledger.live() if whole else changes
        return ttypes.FollowAnswer(
            applied=self._ledger.applied,
            whole=whole,
            resources=[_wire.resource(r) for r in resources],
            fleet_version=self._fleet_version,
            instances=[_wire.instance(i) for i in self._told_instances()],
            loads=[_wire.load(n, load, now) for n, load in self._loads.items()],
            holds=[_wire.hold(h, now) for h in self._holds.active(now)],
            ready=True,
            released=self._holds.released(now),
        )

    def _told_instances(self) -> list[instances.Instance]:
        """Returns the rows that entries need: what leaves, and stewards.

        These are the stewards of the own domain, and a few others for when
        the own domain's are all away.
        """
        domain = self._cfg.instance.domain
        stewards = [i for i in self._instances if i.kind == instances.ENTRY]
        far = [i for i in stewards if i.domain != domain]
        far = heapq.nsmallest(FAR_STEWARDS, far, key=self._distance)
        told = [i for i in stewards if i.domain == domain] + far
        leaving = [i for i in self._instances if i.leaving and i not in told]
        return told + leaving

    def _distance(self, row: instances.Instance) -> int:
        return zlib.crc32(f"{self._cfg.instance.name}/{row.name}".encode())

    def _wake(self) -> None:
        if not self._ready():
            return
        for key, message in list(self._parked.items()):
            if self._has_news(message):
                del self._parked[key]
                self._polls.resolve(key, self._answer(message))

    def tick(self) -> None:
        """Ends polls and proposals whose time is up."""
        now = time.monotonic()
        self._proposals.expire(now)
        self._confirmations.expire(now)
        for key, message in list(self._parked.items()):
            if message.until <= now:
                del self._parked[key]
                self._polls.resolve(key, self._idle_answer(message))

    def _idle_answer(self, message: _messages.Follow) -> ttypes.FollowAnswer:
        if self._ready():
            return self._answer(message)
        return ttypes.FollowAnswer(
            applied=message.applied,
            whole=False,
            resources=[],
            fleet_version=message.fleet_version,
            instances=[],
            loads=[],
            holds=[],
            ready=False,
            released=[],
        )
