"""Follows a log that has returned from an older copy, until nothing is missing there.

Load pattern handled: hundreds of readers learn of the return within a second, and each
of them has the changes that the log has lost. They write them again at random times,
each only what the others have not written until then.
"""

from collections.abc import Callable

from turmericward import positions
from turmericward.configuration import _ledger, _records, _replay

# Time over which the readers' first writes are spread, and until what is still missing
# is written again.
SPREAD_S = 1.0
RETRY_S = 2.0


def lost_changes(
    in_force: _ledger.Ledger, current: _ledger.Ledger
) -> list[_ledger.Resource]:
    """Returns the resources, or tombstones, whose last change a log has lost.

    Args:
        in_force: the state before the log's return.
        current: the state according to the log now.
    """
    lost = [known for known in in_force.all() if _is_lost(known, current)]
    return sorted(lost, key=lambda res: res.version)


def _is_lost(known: _ledger.Resource, current: _ledger.Ledger) -> bool:
    found = current.get(known.kind, known.name)
    if found is None:
        return known.value is not None
    if found.value == known.value or current.had(known):
        return False
    return found.origin < known.origin or _is_late(known, found, current)


def _is_late(
    known: _ledger.Resource, found: _ledger.Resource, current: _ledger.Ledger
) -> bool:
    """Returns whether a change was appended without knowledge of the log's return.

    Its position looks newer, but a log that has it in that era would have what was
    known before, too.
    """
    eras = {positions.from_number(res.origin).era for res in (known, found)}
    new = found.origin == found.version
    return new and len(eras) == 1 and current.reaches(known.origin)


class Rebuild:
    """The state according to the log in a new era, beside the one that is in force.

    It replaces the latter once it has read the log to its end, the era's record, and
    every change that was in force: the configuration in force never goes back.
    """

    def __init__(self, era: int, write_at: float) -> None:
        """Starts before the first record.

        Args:
            era: the era.
            write_at: when to write what is missing, in monotonic seconds.
        """
        self._era = era
        self._write_at = write_at
        self.replay = _replay.Replay(0)
        self.caught_up = False

    def restart(self, first: int) -> None:
        """Starts again: records below `first` have expired."""
        self.replay = _replay.Replay(first)
        self.caught_up = False

    @property
    def _current(self) -> _ledger.Ledger | None:
        return self.replay.ledger if self.caught_up else None

    def is_complete(self, in_force: _ledger.Ledger | None) -> bool:
        """Returns whether this state may replace the one in force."""
        current = self._current
        if current is None or current.era < self._era:
            return False
        return in_force is None or not lost_changes(in_force, current)

    def due_records(
        self,
        in_force: _ledger.Ledger | None,
        now: float,
        producer: str,
        new_id: Callable[[], str],
    ) -> list[_records.Era | _records.Change]:
        """Returns what to append now: the era's record and lost changes."""
        current = self._current
        if current is None or now < self._write_at or self.is_complete(in_force):
            return []
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
