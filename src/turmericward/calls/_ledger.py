"""The fold of claims: the first attempt under a key in log order owns it."""

import enum

import attrs

from turmericward.calls import _records


class Standing(enum.Enum):
    """How an attempt stands towards its key."""

    OWNER = "owner"
    IN_PROGRESS = "in_progress"
    DONE = "done"
    MISMATCH = "mismatch"
    ENDED = "ended"
    ABSENT = "absent"


@attrs.frozen(kw_only=True)
class Call:
    """A claimed key: who owns it and, once settled, what was answered."""

    owner: str
    fingerprint: str
    offset: int
    settled: bool = False
    answer: _records.Answer | None = None


class ClaimLedger:
    """State of all keys after folding the calls stream up to `applied`."""

    def __init__(self) -> None:
        """Creates the state of an empty stream."""
        self._calls: dict[tuple[str, str], Call] = {}
        self._ended: dict[str, int] = {}
        self._floor = 0
        self.applied = 0

    def __len__(self) -> int:
        """Returns the number of keys that are remembered."""
        return len(self._calls)

    def apply(self, offset: int, record: _records.Claim | _records.Settle) -> None:
        """Folds one record of the log; lower offsets than `applied` are ignored."""
        if offset < self.applied:
            return
        self.applied = offset + 1
        if isinstance(record, _records.Claim):
            self._claim(offset, record)
        else:
            self._settle(offset, record)

    def _claim(self, offset: int, claim: _records.Claim) -> None:
        if claim.id in self._ended:
            return
        path = (claim.scope, claim.key)
        call = self._calls.get(path)
        if call is not None and call.offset >= claim.floor:
            return
        self._calls[path] = Call(
            owner=claim.id, fingerprint=claim.fingerprint, offset=offset
        )

    def _settle(self, offset: int, settle: _records.Settle) -> None:
        path = (settle.scope, settle.key)
        call = self._calls.get(path)
        owns = call is not None and call.owner == settle.id
        if not settle.ran:
            self._ended[settle.id] = offset
            if owns and not call.settled:
                del self._calls[path]
        elif owns and not call.settled:
            self._calls[path] = attrs.evolve(call, settled=True, answer=settle.answer)

    def standing(
        self, scope: str, key: str, attempt: str, fingerprint: str
    ) -> Standing:
        """Tells how `attempt` stands towards the key."""
        if attempt in self._ended:
            return Standing.ENDED
        call = self._calls.get((scope, key))
        if call is None:
            return Standing.ABSENT
        if call.fingerprint != fingerprint:
            return Standing.MISMATCH
        if call.settled:
            return Standing.DONE
        return Standing.OWNER if call.owner == attempt else Standing.IN_PROGRESS

    def get(self, scope: str, key: str) -> Call | None:
        """Returns the claimed key, or None."""
        return self._calls.get((scope, key))

    def forget_below(self, floor: int) -> None:
        """Drops what the log no longer holds."""
        if floor <= self._floor:
            return
        self._floor = floor
        self._calls = {p: c for p, c in self._calls.items() if c.offset >= floor}
        self._ended = {i: at for i, at in self._ended.items() if at >= floor}
