"""Position up to which a front has a topic's records, and how fresh that is."""

from turmericward import positions
from turmericward.feeds import _messages


class Cursor:
    """Position in a topic; times are monotonic seconds.

    Each record is accepted once and in the order of positions, whether it was read or
    received from a peer. Within an era, state derived from the records never goes
    back; a new era is entered by a listing only.
    """

    def __init__(self, fresh_s: float) -> None:
        """Creates the cursor of a front that has no records of the topic.

        Args:
            fresh_s: how long after the last read or batch the records count as fresh.
        """
        self._fresh_s = fresh_s
        self._as_of = float("-inf")
        # Set when a batch starts after `next`, or that record has expired.
        self._gap = False
        # All records before this position are known; None before the first listing.
        self.next: positions.Position | None = None

    def is_fresh(self, now: float) -> bool:
        """Returns whether all records up to `fresh_s` ago are known."""
        return now < self.fresh_until

    @property
    def fresh_until(self) -> float:
        """When the front has to read the store itself."""
        if self.next is None or self._gap:
            return float("-inf")
        return self._as_of + self._fresh_s

    def is_before(self, era: int) -> bool:
        """Returns whether the records are of an earlier era, or none are known."""
        return self.next is None or self.next.era < era

    def apply_listing(self, end: positions.Position, as_of: float) -> bool:
        """Moves to the end of a listing; returns whether the listing is usable.

        A listing that ends before `next` is outdated.
        """
        if self.next is not None and end < self.next:
            return False
        self._advance(end, as_of)
        return True

    def mark_expired(self) -> None:
        """Records that the store dropped the next record; needs a new listing."""
        self._gap = True
        self._as_of = float("-inf")

    def apply_read(self, end: positions.Position, as_of: float) -> None:
        """Records a read of the store from `next` up to `end`."""
        self._advance(max(end, self.next or end), as_of)

    def apply_batch(
        self, batch: _messages.RecordBatch, now: float
    ) -> tuple[_messages.Record, ...]:
        """Applies a peer's batch; returns the new records.

        A batch of a later era leaves a gap, which a listing has to close.
        """
        if self.next is None:
            return ()
        if batch.start > self.next:
            self._gap = True
            return ()
        if batch.end < self.next:
            return ()
        new = tuple(r for r in batch.records if r.offset >= self.next.offset)
        self._advance(batch.end, now - batch.age_s)
        return new

    def _advance(self, end: positions.Position, as_of: float) -> None:
        self.next = end
        self._as_of = max(self._as_of, as_of)
        self._gap = False
