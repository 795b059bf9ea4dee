"""Restores a reader's state when the log's first records have expired."""

from turmericward.configuration import _errors, _ledger, _records


class Replay:
    """Rebuilds the state from a snapshot and the records that follow it.

    Records read before a usable snapshot are buffered: a snapshot is appended
    after the state was taken, so it may lack records at lower offsets.
    """

    def __init__(self, first: int) -> None:
        """Creates a replay from `first`, the oldest offset that the log holds."""
        self._first_offset = first
        self._buffered: list[tuple[int, object]] = []
        self._era = 0
        self.ledger = _ledger.Ledger() if first == 0 else None

    def feed(self, offset: int, raw: object) -> _ledger.Verdict:
        """Folds a record, or buffers it until a snapshot is read.

        Returns:
            The verdict; IGNORED while the record is buffered.
        """
        if self.ledger is not None:
            return self.ledger.apply(offset, raw)
        self._buffered.append((offset, raw))
        self._try_snapshot(offset, raw)
        return _ledger.Verdict.IGNORED

    def try_restore(self, ledger: _ledger.Ledger) -> bool:
        """Takes a state if it is newer and the log holds every record after it.

        Returns:
            Whether the state was taken.
        """
        if ledger.end.offset < self._first_offset:
            return False
        if self.ledger is not None and ledger.applied <= self.ledger.applied:
            return False
        for offset, raw in self._buffered:
            ledger.apply(offset, raw)
        self._buffered.clear()
        self.ledger = ledger
        return True

    def _try_snapshot(self, offset: int, raw: object) -> None:
        try:
            record = _records.decode(raw)
        except _errors.MalformedRecordError:
            return
        if isinstance(record, _records.Era):
            self._era = max(self._era, record.era)
        if not isinstance(record, _records.Snapshot):
            return
        ledger = _ledger.Ledger.restore(record.state)
        end = ledger.end
        # One that was appended late may have what a log lost that has returned since.
        if end.era >= self._era and end.offset <= offset:
            self.try_restore(ledger)
