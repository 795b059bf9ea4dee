"""State of keyed calls: the first claim of a key in log order owns it."""

import enum

import attrs

from turmericward.calls import _records


class AttemptStatus(enum.Enum):
    """Status of an attempt with respect to its key."""

    OWNER = "owner"
    IN_PROGRESS = "in_progress"
    DONE = "done"
    MISMATCH = "mismatch"
    ENDED = "ended"
    ABSENT = "absent"


@attrs.frozen(kw_only=True)
class Call:
    """A claimed key: its owner and, once settled, the recorded answer."""

    owner: str
    fingerprint: str
    offset: int
    settled: bool = False
    answer: _records.Answer | None = None


class ClaimLedger:
    """State of all keys after applying the calls stream up to `applied`."""

    def __init__(self) -> None:
        """Creates the state for an empty stream."""
        self._calls: dict[tuple[str, str], Call] = {}
        self._ended_attempts: dict[str, int] = {}
        self._floor = 0
        self.applied = 0
        # The latest that the log names.
        self.era = 0

    def __len__(self) -> int:
        """Returns the number of claimed keys."""
        return len(self._calls)

    def apply(
        self, offset: int, record: _records.Claim | _records.Settle | _records.Era
    ) -> None:
        """Applies one record of the log; offsets below `applied` are ignored."""
        if offset < self.applied:
            return
        self.applied = offset + 1
        if isinstance(record, _records.Claim):
            self._claim(offset, record)
        elif isinstance(record, _records.Era):
            self.era = max(self.era, record.era)
        else:
            self._settle(offset, record)

    def merge(self, later: "ClaimLedger") -> None:
        """Adds the claims and settlements of a later state that aren't known here."""
        for scoped_key, call in later._calls.items():
            known = self._calls.get(scoped_key)
            if known is None or (known.owner == call.owner and not known.settled):
                self._calls[scoped_key] = call
        self._ended_attempts |= later._ended_attempts

    def settle(self, settle: _records.Settle) -> None:
        """Applies a settlement that the log has in a later era."""
        self._settle(self.applied, settle)

    def _claim(self, offset: int, claim: _records.Claim) -> None:
        if claim.id in self._ended_attempts:
            return
        scoped_key = (claim.scope, claim.key)
        call = self._calls.get(scoped_key)
        if call is not None and call.offset >= claim.floor:
            return
        self._calls[scoped_key] = Call(
            owner=claim.id, fingerprint=claim.fingerprint, offset=offset
        )

    def _settle(self, offset: int, settle: _records.Settle) -> None:
        scoped_key = (settle.scope, settle.key)
        call = self._calls.get(scoped_key)
        owns = call is not None and call.owner == settle.id
        if not settle.ran:
            self._ended_attempts[settle.id] = offset
            if owns and not call.settled:
                del self._calls[scoped_key]
        elif owns and not call.settled:
            self._calls[scoped_key] = attrs.evolve(
                call, settled=True, answer=settle.answer
            )

    def attempt_status(
        self, scope: str, key: str, attempt: str, fingerprint: str
    ) -> AttemptStatus:
        """Returns the status of `attempt` with respect to the key."""
        if attempt in self._ended_attempts:
            return AttemptStatus.ENDED
        call = self._calls.get((scope, key))
        if call is None:
            return AttemptStatus.ABSENT
        if call.fingerprint != fingerprint:
            return AttemptStatus.MISMATCH
        if call.settled:
            return AttemptStatus.DONE
        return (
            AttemptStatus.OWNER if call.owner == attempt else AttemptStatus.IN_PROGRESS
        )

    def all(self) -> list[tuple[str, str, Call]]:
        """Returns scope, key and state of all claimed keys, oldest claims first."""
        rows = [(scope, key, call) for (scope, key), call in self._calls.items()]
        return sorted(rows, key=lambda row: row[2].offset)

    def has_ended(self, attempt: str) -> bool:
        """Returns whether the attempt was settled as never run."""
        return attempt in self._ended_attempts

    def get(self, scope: str, key: str) -> Call | None:
        """Returns the claimed key, or None."""
        return self._calls.get((scope, key))

    def discard_below(self, floor: int) -> None:
        """Drops state from offsets below `floor`, which the log no longer holds."""
        if floor <= self._floor:
            return
        self._floor = floor
        self._calls = {
            scoped_key: call
            for scoped_key, call in self._calls.items()
            if call.offset >= floor
        }
        self._ended_attempts = {
            attempt_id: offset
            for attempt_id, offset in self._ended_attempts.items()
            if offset >= floor
        }
