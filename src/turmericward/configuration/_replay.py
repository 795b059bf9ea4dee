"""Start of a reader whose first offset has expired from the log."""

from turmericward.configuration import _errors, _ledger, _records


class Replay:
    """Finds the state at the log's head from a snapshot and what follows it.

    Records read before a usable snapshot are kept, since a snapshot covers
    less than the offset at which it stands.
    """

    def __init__(self, first: int) -> None:
        """Starts reading at `first`, the oldest offset that the log holds."""
        self._first = first
        self._kept: list[tuple[int, object]] = []
        self.ledger = _ledger.Ledger() if first == 0 else None

    def feed(self, offset: int, raw: object) -> _ledger.Verdict:
        """Folds a record, or keeps it until a snapshot is found.

        Returns:
            The verdict; IGNORED while no state exists.
        """
        if self.ledger is not None:
            return self.ledger.apply(offset, raw)
        self._kept.append((offset, raw))
        self._try_snapshot(raw)
        return _ledger.Verdict.IGNORED

    def offer(self, ledger: _ledger.Ledger) -> bool:
        """Takes a peer's state if it is newer and joins up with the log.

        Returns:
            Whether the state was taken.
        """
        if ledger.applied < self._first:
            return False
        if self.ledger is not None and ledger.applied <= self.ledger.applied:
            return False
        for offset, kept in self._kept:
            ledger.apply(offset, kept)
        self._kept.clear()
        self.ledger = ledger
        return True

    def _try_snapshot(self, raw: object) -> None:
        try:
            record = _records.decode(raw)
        except _errors.MalformedRecordError:
            return
        if isinstance(record, _records.Snapshot):
            self.offer(_ledger.Ledger.restore(record.state))
