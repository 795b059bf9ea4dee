"""Follows a log that has returned from an older copy, until nothing is missing there.

Load pattern handled: hundreds of readers learn of the return within a second, and each
of them has the changes that the log has lost. They write them again at random times,
each only what the others have not written until then.
"""

from collections.abc import Callable

import attrs

from turmericward import positions
from turmericward.configuration import _ledger, _records, _replay

# Time over which the readers' first writes are spread, and until what is still missing
# is written again.
SPREAD_S = 1.0
RETRY_S = 2.0
# Time for readers that know more to write twice what the log has lost.
CONFIRMATION_TIMEOUT_S = 2 * RETRY_S + SPREAD_S


def lost_changes(
    in_force: _ledger.Ledger, current: _ledger.Ledger
) -> list[_ledger.Resource]:
    """Returns the resources, or tombstones, whose last change a log has lost.

    Args:
        in_force: the state before the log's return.
        current: the state according to the log now.
    """
    lost = [known for known in in_force.all() if _is_lost(known, in_force, current)]
    lost += [
        attrs.evolve(res, value=None)
        for res in current.live()
        if in_force.get(res.kind, res.name) is None and _is_late(res, in_force, current)
    ]
    return sorted(lost, key=lambda res: res.version)


def _is_lost(
    known: _ledger.Resource, in_force: _ledger.Ledger, current: _ledger.Ledger
) -> bool:
    found = current.get(known.kind, known.name)
    if found is None:
        return known.value is not None
    if found.value == known.value:
        # Appended again in an earlier place, where readers that know less doubt it.
        return found.origin < known.origin and _is_unproven(found, current)
    if _is_late(found, in_force, current):
        return True
    if current.had(known):
        return False
    return found.origin < known.origin or _ignores(known, found, current)


def _is_late(
    found: _ledger.Resource, in_force: _ledger.Ledger, current: _ledger.Ledger
) -> bool:
    """Returns whether a change was appended in the place of what the log has lost.

    It wasn't there when that place was read before the log's return, and hasn't been
    confirmed since.
    """
    if not _is_unproven(found, current) or found.version > in_force.applied:
        return False
    known = in_force.get(found.kind, found.name)
    return known is None or known.origin < found.version


def _is_unproven(res: _ledger.Resource, current: _ledger.Ledger) -> bool:
    """Returns whether a change, of an earlier era by its place, may be a late one."""
    if res.origin != res.version or res.version <= current.confirmed:
        return False
    return positions.from_number(res.version).era < current.era


def _ignores(
    known: _ledger.Resource, found: _ledger.Resource, current: _ledger.Ledger
) -> bool:
    """Returns whether a change was appended without knowledge of the log's return.

    Its position looks newer, but a log that has it in that era would have what was
    known before, too.
    """
    eras = {positions.from_number(res.origin).era for res in (known, found)}
    new = found.origin == found.version
    return new and len(eras) == 1 and current.reaches(known.origin)


def unconfirmed_version(
    in_force: _ledger.Ledger | None, current: _ledger.Ledger
) -> int:
    """Returns the version up to which changes aren't known to be in their place.

    A change of an earlier era that wasn't read in that era may have been appended late,
    in the place of one that the log has lost and that others will write again.

    Args:
        in_force: the state before the log's return.
        current: the state according to the log now.

    Returns:
        The version of the last such change, 0 for none.
    """
    known = in_force.applied if in_force else 0
    versions = [res.version for res in current.all() if _is_unproven(res, current)]
    last = max(versions, default=0)
    return last if last > known else 0


class Rebuild:
    """The state according to the log in a new era, beside the one that is in force.

    It replaces the latter once it has read the log to its end, the era's record, every
    change that was in force, and a confirmation of the changes that are new to this
    reader: the configuration in force never goes back.
    """

    def __init__(self, era: int, now: float, jitter: float) -> None:
        """Starts before the first record.

        Args:
            era: the era.
            now: monotonic seconds.
            jitter: between 0 and 1, to spread the writes of all readers.
        """
        self._era = era
        self._write_at = now + jitter * SPREAD_S
        self._confirm_at = now + CONFIRMATION_TIMEOUT_S + jitter * SPREAD_S
        self.replay = _replay.Replay(0)
        self.caught_up = False

    def restart(self, first: int) -> None:
        """Starts again: records below `first` have expired."""
        self.replay = _replay.Replay(first)
        self.caught_up = False

    @property
    def _current(self) -> _ledger.Ledger | None:
        return self.replay.ledger if self.caught_up else None

    def _has_all(self, in_force: _ledger.Ledger | None) -> bool:
        current = self._current
        if current is None or current.era < self._era:
            return False
        return in_force is None or not lost_changes(in_force, current)

    def is_complete(self, in_force: _ledger.Ledger | None) -> bool:
        """Returns whether this state may replace the one in force."""
        if not self._has_all(in_force):
            return False
        return not unconfirmed_version(in_force, self._current)

    def due_records(
        self,
        in_force: _ledger.Ledger | None,
        now: float,
        producer: str,
        new_id: Callable[[], str],
    ) -> list[_records.Era | _records.Change | _records.Confirmation]:
        """Returns what to append now: the era's record and lost changes.

        If no other reader confirms in time what is new to this one, it does so itself.
        """
        current = self._current
        if current is None or now < self._write_at or self.is_complete(in_force):
            return []
        if self._has_all(in_force):
            return self._overdue_confirmation(in_force, now)
        self._write_at = now + RETRY_S
        lost = [] if in_force is None else lost_changes(in_force, current)
        changes = [
            _records.ChangeInEra(
                id=new_id(),
                producer=producer,
                kind=res.kind,
                name=res.name,
                expected=current.expected_version(res.kind, res.name),
                value=res.value,
                era=self._era,
                origin=res.origin,
            )
            for res in lost
        ]
        marked = current.era >= self._era
        return changes if marked else [_records.Era(era=self._era), *changes]

    def _overdue_confirmation(
        self, in_force: _ledger.Ledger | None, now: float
    ) -> list[_records.Confirmation]:
        if now < self._confirm_at:
            return []
        self._write_at = now + RETRY_S
        version = unconfirmed_version(in_force, self._current)
        return [_records.Confirmation(era=self._era, known=version)]


class Confirmer:
    """Confirms, once a rebuild is complete, what this reader knew before the era."""

    def __init__(self, era: int, known: int, now: float, jitter: float) -> None:
        """Starts when the rebuild is complete.

        Args:
            era: the era.
            known: the number up to which this reader knew the log before.
            now: monotonic seconds.
            jitter: between 0 and 1, to spread the writes of all readers.
        """
        self._record = _records.Confirmation(era=era, known=known)
        self._write_at = now + jitter * SPREAD_S

    def due_records(
        self, current: _ledger.Ledger, now: float
    ) -> list[_records.Confirmation]:
        """Returns what to append now, until a reader has confirmed as much."""
        if now < self._write_at or current.confirmed >= self._record.known:
            return []
        self._write_at = now + RETRY_S
        return [self._record]
