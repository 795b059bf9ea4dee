"""A lease that is acquired to send rare orders, or renewed while duties need it."""

import attrs

from turmericward import positions
from turmericward.authority import _contender, _errors, _records


@attrs.frozen(kw_only=True)
class Claim:
    """A record to append if the log still ends at `end`."""

    end: positions.Position
    record: _records.Record


def fencing_token(position: positions.Position) -> int:
    """Returns the token of an acquire at a position; it rises with the position.

    Raises:
        NoTokenError: the position is too high for a token.
    """
    if (
        position.era > positions.MAX_ERA
        or position.offset + 1 >= 1 << positions.OFFSET_BITS
    ):
        raise _errors.NoTokenError(f"no token for an acquire at {position}")
    return position.plus(1).number


def _era(record: _records.Record | None) -> int:
    """Returns the era in which a lease record was appended, 0 if it names none."""
    named = (
        _records.OnDemandAcquire,
        _records.OnDemandRenew,
        _records.OnDemandRelease,
    )
    return record.era if isinstance(record, named) else 0


class OnDemandLease:
    """Lease protocol of one process, without clocks and sockets.

    The log accepts an append only if its end is the one that the process last
    read, so one process at a time acquires the lease. The holder counts its term
    from before it sent the acquire; a candidate waits for the term plus a margin
    from when it first read that acquire.

    A log that returns from an older copy begins a new era and may have lost the
    acquire of a holder that doesn't know yet. So a lease holds in its own era only,
    and a candidate that finds no lease record of the new era waits for the term plus
    a margin from when it first saw that era. The token is made of the acquire's era
    and offset: it rises with both.

    A renewal, or any other record that the holder appends at the end that it knows,
    restarts the term: candidates wait anew whenever the end has moved. The token stays,
    so that a call which arrives after a renewal has no lower one than a later call.
    """

    def __init__(self, holder: str, timing: _contender.Timing, new_id) -> None:
        """Starts without the lease.

        Args:
            holder: unique for each run of a process.
            timing: times of the protocol; the caller renews every `renew_s`, if at
                all.
            new_id: callable that returns a fresh record id.
        """
        self._holder = holder
        self._timing = timing
        self._new_id = new_id
        self._end = positions.Position(0, 0)
        self._era_since = float("-inf")
        self._record: _records.Record | None = None
        self._read_at: float | None = None
        self._held: _contender.Authority | None = None
        self._held_era = 0

    @property
    def settle_s(self) -> float:
        """Minimum time between the last order and the release of the lease."""
        return self._timing.settle_s

    def record_log_end(
        self,
        now: float,
        end: positions.Position,
        record: _records.Record | None,
        era_since: float,
    ) -> None:
        """Records the end and the last record of the log, as read at `now`.

        Args:
            now: monotonic seconds.
            end: end of the log.
            record: its newest record.
            era_since: when this process first saw the era of `end`.
        """
        self._era_since = era_since
        if self._read_at is None or end != self._end:
            self._end = end
            self._record = record
            self._read_at = now

    def acquire(self, now: float) -> Claim | None:
        """Returns the claim to append, or None while another may hold the lease."""
        if self._read_at is None or not self._is_free(now):
            return None
        record = _records.OnDemandAcquire(
            id=self._new_id(),
            holder=self._holder,
            era=self._end.era,
            term_s=self._timing.term_s,
        )
        return Claim(end=self._end, record=record)

    def _is_free(self, now: float) -> bool:
        return now >= self.free_at

    @property
    def free_at(self) -> float:
        """When the lease may be acquired if the log doesn't grow before."""
        free_at = float("-inf")
        acquires = (
            _records.Acquire,
            _records.OnDemandAcquire,
            _records.OnDemandRenew,
        )
        if isinstance(self._record, acquires):
            free_at = self._read_at + self._record.term_s + self._timing.margin_s
        if _era(self._record) == self._end.era:
            return free_at
        wait_s = self._timing.term_s + self._timing.margin_s
        return max(free_at, self._era_since + wait_s)

    def acquired(
        self, claim: Claim, sent_at: float, position: positions.Position, now: float
    ) -> None:
        """Records that the claim, sent at `sent_at`, was appended at `position`.

        It grants nothing if the era changed in between.
        """
        if position.era == claim.end.era:
            self._held_era = position.era
            self._held = _contender.Authority(
                token=fencing_token(position),
                not_before=sent_at,
                until=sent_at + self._timing.term_s,
            )
        self.record_log_end(now, position.plus(1), claim.record, self._era_since)

    def authority(self, now: float, era: int) -> _contender.Authority | None:
        """Returns the right to send orders, or None when there is none.

        Args:
            now: monotonic seconds.
            era: latest era of the log that this process knows.
        """
        held = self._held
        if held is None or now >= held.until or era > self._held_era:
            return None
        return held

    @property
    def end(self) -> positions.Position:
        """The end of the log as last read or appended to."""
        return self._end

    @property
    def is_holder(self) -> bool:
        """Whether no other process is known to have acquired the lease since."""
        return self._held is not None

    def renew(self, era: int) -> Claim | None:
        """Returns the renewal to append, or None without the lease.

        It may be appended after the term too: it succeeds only if nobody has acquired
        the lease in between.

        Args:
            era: latest era of the log that this process knows.
        """
        if not self._is_held_in(era):
            return None
        record = _records.OnDemandRenew(
            id=self._new_id(),
            holder=self._holder,
            era=self._held_era,
            term_s=self._timing.term_s,
            token=self._held.token,
        )
        return Claim(end=self._end, record=record)

    def resign(self, era: int) -> Claim | None:
        """Gives the lease up; returns the renewal without a term to append, if any.

        Others wait for their margin from when they read it, so that it may be appended
        as soon as no call is under way any more; a release may only after `settle_s`.

        Args:
            era: latest era of the log that this process knows.
        """
        claim = self.renew(era)
        self._held = None
        if claim is None:
            return None
        return attrs.evolve(claim, record=attrs.evolve(claim.record, term_s=0.0))

    def _is_held_in(self, era: int) -> bool:
        """Returns whether the lease is held in an era, and drops it if not."""
        if self._held is not None and era > self._held_era:
            self._held = None
        return self._held is not None

    def extended(
        self, sent_at: float, position: positions.Position, now: float
    ) -> bool:
        """Records that the holder's record, sent at `sent_at`, is at `position`.

        Returns:
            Whether that restarted the term; it doesn't if the era has changed.
        """
        if not self._is_held_in(position.era):
            return False
        until = max(self._held.until, sent_at + self._timing.term_s)
        self._held = attrs.evolve(self._held, until=until)
        self.record_log_end(now, position.plus(1), self._record, self._era_since)
        return True

    def confirm(
        self, now: float, end: positions.Position, record: _records.Record | None
    ) -> bool:
        """Takes the log as read after an append that was refused or has no outcome.

        Returns:
            Whether the lease is still this process's. Its term isn't restarted.
        """
        self.record_log_end(now, end, record, self._era_since)
        own = (_records.OnDemandAcquire, _records.OnDemandRenew)
        same = isinstance(record, own) and record.holder == self._holder
        if not same or end.era != self._held_era:
            self._held = None
        return self._held is not None

    def release(self, now: float, era: int) -> Claim | None:
        """Releases the lease; returns the record to append if it was held.

        Call it no sooner than `settle_s` after the last order was sent, so that
        the next holder's orders don't follow immediately.

        Args:
            now: monotonic seconds.
            era: latest era of the log that this process knows.
        """
        held = self.authority(now, era)
        self._held = None
        if held is None:
            return None
        record = _records.OnDemandRelease(
            id=self._new_id(),
            holder=self._holder,
            era=self._held_era,
            token=held.token,
        )
        return Claim(end=self._end, record=record)
