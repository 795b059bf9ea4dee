"""Polls of entries for changes, and the fleet that they get with the answers."""

import heapq
import zlib
from concurrent import futures

from turmericward import configuration, fleet, membership, positions, runtime
from turmericward.adapters import instances
from turmericward.steward import _hold_rules, _messages, _wire
from turmericward.wire import ttypes

MAX_REMOTE_STEWARDS = 4
# How long an entry that knew more of the log before its return keeps what it has,
# unless a steward that knew as much has confirmed the log's state.
AHEAD_TIMEOUT_S = 10.0


class EntryPolls:
    """Entries that poll, those that wait, and the fleet's state that they get.

    Times are monotonic seconds. The ledger is that of the configuration in force, None
    until there is one.
    """

    def __init__(self, cfg) -> None:
        """Starts without polls, for the instance in the settings."""
        self._cfg = cfg
        self.holds = membership.HoldTable(cfg.entry_names())
        self.instances: list[instances.Instance] = []
        self.loads: dict[str, fleet.LoadView] = {}
        self._fleet_version = 0
        self._waiters = runtime.Waiters()
        self._pending: dict[str, _messages.Follow] = {}
        self._applied: dict[str, int] = {}
        self._stopping = False
        # Number up to which the log was known before this era, and until when entries
        # that knew more are not updated.
        self._known = 0
        self._ahead_until = float("-inf")
        # When each entry polled last.
        self.polled_at: dict[str, float] = {}

    def enter_era(self, known: int, now: float) -> None:
        """Begins a new era of the log; `known` is how far it was known before."""
        self._known = known
        self._ahead_until = now + AHEAD_TIMEOUT_S

    def change_fleet(self, ledger: configuration.Ledger | None, now: float) -> None:
        """Answers waiting polls after a change of instances, loads or holds."""
        self._fleet_version += 1
        self.answer_updated(ledger, now)

    def active_entries(self, now: float) -> dict[str, int]:
        """Returns what each entry that polled recently has applied, by name.

        Entries that failed over from another steward stop polling here when they
        return to it, and are left out.
        """
        limit = now - _hold_rules.ENTRY_TIMEOUT_S
        return {e: v for e, v in self._applied.items() if self.polled_at[e] > limit}

    def hold_refusal(self, engine: str, views: fleet.ViewBuilder, now: float) -> str:
        """Returns why a hold on the engine is refused, or an empty string."""
        entries = self._cfg.entry_names()
        unresponsive = _hold_rules.unresponsive_entry(entries, self.polled_at, now)
        if unresponsive:
            return f"entry {unresponsive} is silent"
        leaving = frozenset(i.name for i in self.instances if i.leaving)
        view = views.view(leaving, self.loads)
        held = frozenset(h.engine for h in self.holds.active(now)) - {engine}
        model = _hold_rules.unserved_model(engine, view, held, now)
        return f"model {model} would have no engine" if model else ""

    def poll(
        self, message: _messages.Follow, ledger: configuration.Ledger | None, now: float
    ) -> ttypes.FollowAnswer | futures.Future:
        """Returns an answer, or a future of it."""
        self._applied[message.entry] = message.applied
        self.polled_at[message.entry] = now
        if self._has_update(message, ledger, now):
            return self._answer(message, ledger, now)
        if self._stopping:
            return self._timeout_answer(message, ledger, now)
        key = runtime.new_id()
        self._pending[key] = message
        return self._waiters.add(key, message.deadline, None)

    def answer_updated(self, ledger: configuration.Ledger | None, now: float) -> None:
        """Answers waiting polls for which there is something new."""
        for key, message in list(self._pending.items()):
            if self._has_update(message, ledger, now):
                del self._pending[key]
                self._waiters.resolve(key, self._answer(message, ledger, now))

    def end_due(self, ledger: configuration.Ledger | None, now: float) -> None:
        """Answers polls whose deadline has passed; all of them during a stop."""
        for key, message in list(self._pending.items()):
            if message.deadline <= now or self._stopping:
                del self._pending[key]
                self._waiters.resolve(key, self._timeout_answer(message, ledger, now))

    def stop(self, ledger: configuration.Ledger | None, now: float) -> None:
        """Answers all polls at once, from now on."""
        self._stopping = True
        self.end_due(ledger, now)

    def _has_update(
        self,
        message: _messages.Follow,
        ledger: configuration.Ledger | None,
        now: float,
    ) -> bool:
        if ledger is None:
            return False
        if message.fleet_version != self._fleet_version:
            return True
        if self._is_ahead(message, ledger, now):
            return False
        return message.applied < ledger.applied

    def _is_ahead(
        self, message: _messages.Follow, ledger: configuration.Ledger, now: float
    ) -> bool:
        """Returns whether an entry may have changes that the log has lost."""
        if positions.from_number(message.applied).era >= ledger.era:
            return False
        known = max(self._known, ledger.confirmed)
        return message.applied > known and now < self._ahead_until

    def _answer(
        self, message: _messages.Follow, ledger: configuration.Ledger, now: float
    ) -> ttypes.FollowAnswer:
        applied, changes = ledger.applied, None
        if self._is_ahead(message, ledger, now):
            applied, changes = message.applied, []
        elif message.applied <= ledger.applied:
            changes = ledger.since(message.applied)
        whole = changes is None
        resources = ledger.live() if whole else changes
        return ttypes.FollowAnswer(
            applied=applied,
            whole=whole,
            resources=[_wire.resource(r) for r in resources],
            fleet_version=self._fleet_version,
            instances=[_wire.instance(i) for i in self._published_instances()],
            loads=[_wire.load(n, load, now) for n, load in self.loads.items()],
            holds=[_wire.hold(h, now) for h in self.holds.active(now)],
            ready=True,
            released=self.holds.released(now),
        )

    def _published_instances(self) -> list[instances.Instance]:
        """Returns the rows that entries need: leaving instances and stewards.

        The stewards are those of the local domain, and a few remote ones to fail
        over to when no local one is reachable.
        """
        domain = self._cfg.instance.domain
        stewards = [i for i in self.instances if i.kind == instances.ENTRY]
        remote = [i for i in stewards if i.domain != domain]
        remote = heapq.nsmallest(MAX_REMOTE_STEWARDS, remote, key=self._remote_rank)
        published = [i for i in stewards if i.domain == domain] + remote
        leaving = [i for i in self.instances if i.leaving and i not in published]
        return published + leaving

    def _remote_rank(self, row: instances.Instance) -> int:
        return zlib.crc32(f"{self._cfg.instance.name}/{row.name}".encode())

    def _timeout_answer(
        self, message: _messages.Follow, ledger: configuration.Ledger | None, now: float
    ) -> ttypes.FollowAnswer:
        if ledger is not None:
            return self._answer(message, ledger, now)
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
