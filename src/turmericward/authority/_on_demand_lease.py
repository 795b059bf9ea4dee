"""A lease for rare orders: acquired to send one, then released."""

import attrs

from turmericward.authority import _contender, _records


@attrs.frozen(kw_only=True)
class Claim:
    """A record to append if the log still ends at `end`."""

    end: int
    record: _records.Record


class OnDemandLease:
    """Lease protocol of one process, without clocks and sockets.

    The log accepts an append only if its end is the one that the process last
    read, so one process at a time acquires the lease. The holder counts its term
    from before it sent the acquire; a candidate waits for the term plus a margin
    from when it first read that acquire. The token is the acquire's offset plus
    one.
    """

    def __init__(self, holder: str, timing: _contender.Timing, new_id) -> None:
        """Starts without the lease.

        Args:
            holder: unique for each run of a process.
            timing: times of the protocol; `renew_s` is ignored.
            new_id: callable that returns a fresh record id.
        """
        self._holder = holder
        self._timing = timing
        self._new_id = new_id
        self._end = 0
        self._record: _records.Record | None = None
        self._read_at: float | None = None
        self._held: _contender.Authority | None = None

    @property
    def settle_s(self) -> float:
        """Minimum time between the last order and the release of the lease."""
        return self._timing.settle_s

    def record_log_end(
        self, now: float, end: int, record: _records.Record | None
    ) -> None:
        """Records the end and the last record of the log, as read at `now`."""
        if self._read_at is None or end != self._end:
            self._end = end
            self._record = record
            self._read_at = now

    def acquire(self, now: float) -> Claim | None:
        """Returns the claim to append, or None while another may hold the lease."""
        if self._read_at is None or not self._is_free(now):
            return None
        record = _records.Acquire(
            id=self._new_id(),
            holder=self._holder,
            expected=self._end,
            term_s=self._timing.term_s,
        )
        return Claim(end=self._end, record=record)

    def _is_free(self, now: float) -> bool:
        if not isinstance(self._record, _records.Acquire):
            return True
        wait_s = self._record.term_s + self._timing.margin_s
        return now - self._read_at >= wait_s

    def acquired(self, claim: Claim, sent_at: float, offset: int, now: float) -> None:
        """Records that the claim, sent at `sent_at`, was appended at `offset`."""
        self._held = _contender.Authority(
            token=offset + 1,
            not_before=sent_at,
            until=sent_at + self._timing.term_s,
        )
        self.record_log_end(now, offset + 1, claim.record)

    def authority(self, now: float) -> _contender.Authority | None:
        """Returns the right to send orders, or None when there is none."""
        if self._held is None or now >= self._held.until:
            return None
        return self._held

    def release(self, now: float) -> Claim | None:
        """Releases the lease; returns the record to append if it was held.

        Call it no sooner than `settle_s` after the last order was sent, so that
        the next holder's orders don't follow immediately.
        """
        held = self.authority(now)
        self._held = None
        if held is None:
            return None
        record = _records.Release(
            id=self._new_id(), holder=self._holder, token=held.token
        )
        return Claim(end=self._end, record=record)
