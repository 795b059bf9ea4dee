"""The fold of lease records: who holds a domain's lease, under which token."""

import attrs

from turmericward import positions
from turmericward.authority import _records


@attrs.frozen(kw_only=True)
class Lease:
    """The lease according to the log; `holder` is empty when it is free.

    `token` is the number of the position behind its acquire. `last` is the offset plus
    one of the last accepted lease record.
    """

    holder: str = ""
    token: int = 0
    term_s: float = 0.0
    last: int = 0

    @property
    def era(self) -> int:
        """The era of the log in which it was acquired, as far as the log names it."""
        return positions.from_number(self.token).era

    @property
    def recorded_token(self) -> int:
        """The token as its renewals state it."""
        return positions.from_number(self.token).offset


class LeaseFold:
    """Accepts or rejects lease records in offset order, the same for every reader."""

    def __init__(self) -> None:
        """Creates the state of an empty stream."""
        self.lease = Lease()
        # The latest that the stream names.
        self.era = 0

    def restore(self, lease: Lease) -> None:
        """Sets the lease from a snapshot."""
        self.lease = lease
        self.era = max(self.era, lease.era)

    def apply(self, offset: int, record: _records.Record) -> bool:
        """Folds one record; returns whether it was accepted."""
        if isinstance(record, _records.Era):
            self.era = max(self.era, record.era)
            return False
        if isinstance(record, _records.Acquire):
            return self._acquire(offset, record)
        if isinstance(record, _records.Renew):
            return self._renew(offset, record)
        if isinstance(record, _records.Release):
            return self._release(offset, record)
        return False

    def _acquire(self, offset: int, record: _records.Acquire) -> bool:
        last = self.lease.last
        if last <= record.floor:
            last = 0
        if record.expected != last:
            return False
        self.lease = Lease(
            holder=record.holder,
            token=positions.Position(self.era, offset + 1).number,
            term_s=record.term_s,
            last=offset + 1,
        )
        return True

    def _is_from_holder(self, record: _records.Renew | _records.Release) -> bool:
        lease = self.lease
        return record.token == lease.recorded_token and record.holder == lease.holder

    def _renew(self, offset: int, record: _records.Renew) -> bool:
        if not self._is_from_holder(record):
            return False
        self.lease = attrs.evolve(self.lease, last=offset + 1)
        return True

    def _release(self, offset: int, record: _records.Release) -> bool:
        if not self._is_from_holder(record):
            return False
        self.lease = Lease(token=self.lease.token, last=offset + 1)
        return True
