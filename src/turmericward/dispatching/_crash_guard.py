"""Keeps calls that crash targets away from them, by what became of earlier ones."""

import itertools
from collections.abc import Callable, Iterable

from turmericward import fleet, requests, routing, runtime
from turmericward.dispatching import (
    _evidence,
    _lost_connections,
    _messages,
    _suspect_log,
)


def crashed_incarnation(
    directory: fleet.Directory, target: fleet.Target
) -> requests.Incarnation | None:
    """Returns the incarnation of a target that crashed, None if it had left before."""
    name_hash = fleet.target_hash(target.name)
    known = directory.find(name_hash, target.started_ms)
    if known is None or known.leaving:
        return None
    return requests.Incarnation(name_hash, target.started_ms)


class CrashGuard:
    """Records crashes and answers by what calls have in common, and refuses calls."""

    def __init__(
        self,
        incarnation_of: Callable[[fleet.Target], requests.Incarnation | None],
        trial_rank: Callable[[int], int] = lambda key: 0,
    ) -> None:
        """Creates the guard.

        Args:
            incarnation_of: returns the incarnation of a target that crashed, None if
                it had left as announced.
            trial_rank: returns how many fronts go before this one when a key whose
                bar has ended is tried again.
        """
        self._incarnation_of = incarnation_of
        self._trial_rank = trial_rank
        segments = requests.Quarantine(requests.EvidenceKind.SEGMENT)
        whole = requests.Quarantine(requests.EvidenceKind.REQUEST, broader=segments)
        # The broader one first: its bars explain crashes to the other.
        self.quarantines = {q.kind: q for q in (segments, whole)}
        # What the open placements were requested for, by id.
        self._placed: dict[int, _messages.Place] = {}
        self._lost = _lost_connections.LostConnections()
        self._log = _suspect_log.SuspectLog()

    def refusal(self, message: _messages.Place) -> requests.Refusal | None:
        """Returns why a call must not go to a target, None if it may."""
        if not any(q.has_suspects for q in self.quarantines.values()):
            return None
        now = runtime.now()
        refusals = (
            self.quarantines[kind].refusal(
                list(keys),
                now,
                retry=message.retry or bool(message.call.resume_after),
                prefilled=message.prefilled,
                trial_rank=self._trial_rank,
            )
            for kind, keys in _evidence.keys_of(message).items()
        )
        refusal = next((r for r in refusals if r is not None), None)
        self._log_changes()
        return refusal

    def placed(self, message: _messages.Place, placement_id: int) -> None:
        """Records that a call goes to a target."""
        self._placed[placement_id] = message

    def placement_ended(self, message: _messages.PlacementEnded) -> bool:
        """Records the end of a placement; returns whether that changed anything."""
        placed = self._placed.pop(message.placement.id, None)
        if placed is None or not (message.answered or message.target_closed_call):
            return False
        found = _evidence.keys_of(placed)
        if message.answered:
            for kind, keys in found.items():
                self.quarantines[kind].record_answer(keys, runtime.now())
        else:
            target = message.placement.target
            incarnation = self._incarnation_of(target)
            if incarnation is None:
                return False
            now = runtime.now()
            lost = _lost_connections.LostCall(target=target, found=found, at=now)
            if message.ending is requests.Ending.CRASHED or self._lost.add(lost):
                self._record_crash(found, incarnation, now)
        return self._log_changes()

    def target_announced(self, target: fleet.Target) -> bool:
        """Records that another incarnation of a target, or at its address, has started.

        Returns whether that changed anything.
        """
        for lost in self._lost.pop_ended(target, runtime.now()):
            name_hash = fleet.target_hash(lost.target.name)
            incarnation = requests.Incarnation(name_hash, lost.target.started_ms)
            self._record_crash(lost.found, incarnation, lost.at)
        return self._log_changes()

    def is_replaced(self, target: fleet.Target) -> bool:
        """Returns whether another one has been announced at a target's address."""
        return self._lost.is_replaced(target)

    def _record_crash(
        self, found: _evidence.Found, incarnation: requests.Incarnation, at: float
    ) -> None:
        for kind, keys in found.items():
            self._log.remember(keys)
            if keys:
                self.quarantines[kind].record_crash(keys, incarnation, at)

    def apply(self, outcomes: Iterable[requests.KeyOutcome]) -> bool:
        """Records what a peer reports; returns whether that changed anything."""
        if not outcomes:
            return False
        for kind, quarantine in self.quarantines.items():
            quarantine.apply([o for o in outcomes if o.kind is kind], runtime.now())
        return self._log_changes()

    def outcomes(self) -> tuple[requests.KeyOutcome, ...]:
        """Returns what the peers should know, as much of each kind."""
        now = runtime.now()
        by_kind = (q.outcomes(now) for q in self.quarantines.values())
        rows = itertools.chain.from_iterable(itertools.zip_longest(*by_kind))
        told = (row for row in rows if row is not None)
        return tuple(itertools.islice(told, requests.MAX_TOLD_OUTCOMES))

    def expire(self, now: float) -> None:
        """Drops evidence that is too old, and logs the suspects of the last period."""
        self._log.flush()
        for quarantine in self.quarantines.values():
            quarantine.expire(now)

    def status(self) -> tuple[_messages.BarredKey, ...]:
        """Returns the barred keys."""
        now = runtime.now()
        return tuple(
            _messages.BarredKey(
                kind=kind.value,
                key=routing.fingerprint_hex(key),
                id=self._log.name(key),
                crashes=len(suspect.crashes),
                barred_s=round(max(0.0, suspect.bar.until - now), 3),
            )
            for kind, quarantine in self.quarantines.items()
            for key, suspect in quarantine.barred().items()
        )

    def _log_changes(self) -> bool:
        changes = [c for q in self.quarantines.values() for c in q.pop_changes()]
        self._log.record(changes)
        return bool(changes)
