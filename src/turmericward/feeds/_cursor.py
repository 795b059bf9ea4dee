"""Position up to which a front has a topic's records, and how fresh that is."""

from turmericward.feeds import _messages


class Cursor:
    """Position in a topic; times are monotonic seconds.

    Each record is accepted once and in the order of offsets, whether it was read or
    received from a peer, so state derived from the records never goes back.
    """

    def __init__(self, fresh_s: float) -> None:
        """Creates the cursor of a front that has no records of the topic.

        Args:
            fresh_s: how long after the last read or batch the records count as fresh.
        """
        self._fresh_s = fresh_s
        self._as_of = float("-inf")
        # Set when a batch starts after `next_offset`, or that record has expired.
        self._gap = False
        # All records before this offset are known; None before the first listing.
        self.next_offset: int | None = None

    def is_fresh(self, now: float) -> bool:
        """Returns whether all records up to `fresh_s` ago are known."""
        return now < self.fresh_until

    @property
    def fresh_until(self) -> float:
        """When the front has to read the store itself."""
        if self.next_offset is None or self._gap:
            return float("-inf")
        return self._as_of + self._fresh_s

    def apply_listing(self, end: int, as_of: float) -> bool:
        """Moves to the end of a listing; returns whether the listing is usable.

        A listing that ends before `next_offset` is outdated.
        """
        if self.next_offset is not None and end < self.next_offset:
            return False
        self._advance(end, as_of)
        return True

    def mark_expired(self) -> None:
        """Records that the store dropped the next record; needs a new listing."""
        self._gap = True
        self._as_of = float("-inf")

    def apply_read(self, end: int, as_of: float) -> None:
        """Records a read of the store from `next_offset` up to `end`."""
        self._advance(max(end, self.next_offset or 0), as_of)

    def apply_batch(
        self, batch: _messages.RecordBatch, now: float
    ) -> tuple[_messages.Record, ...]:
        """Applies a peer's batch; returns the new records."""
        if self.next_offset is None:
            return ()
        if batch.start > self.next_offset:
            self._gap = True
            return ()
        if batch.end < self.next_offset:
            return ()
        new = tuple(r for r in batch.records if r.offset >= self.next_offset)
        self._advance(batch.end, now - batch.age_s)
        return new

    def _advance(self, end: int, as_of: float) -> None:
        self.next_offset = end
        self._as_of = max(self._as_of, as_of)
        self._gap = False
