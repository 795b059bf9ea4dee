"""Competes for a domain's lease and decides when it may act as the holder."""

import attrs

from turmericward.authority import _lease, _records


@attrs.frozen(kw_only=True)
class Timing:
    """Times of the lease protocol in seconds.

    `margin_s` covers clock drift between instances over one term. A new holder
    sends no order for `settle_s`, so that the previous holder's orders arrive first.
    """

    term_s: float
    renew_s: float
    margin_s: float
    settle_s: float


@attrs.frozen(kw_only=True)
class Authority:
    """The right to send orders from `not_before` until `until`, in local time."""

    token: int
    not_before: float
    until: float

    def allows(self, now: float, need_s: float = 0.0) -> bool:
        """Returns whether an order that takes `need_s` may be sent at `now`."""
        return self.not_before <= now and now + need_s < self.until


class Contender:
    """Lease protocol of one process, without clocks and sockets.

    The holder counts its term from before it sent a renewal; a candidate
    counts the term plus a margin from when it read the latest renewal. A
    candidate therefore acts only after the holder has stopped.

    A log that returns from an older copy begins a new era and may have lost the acquire
    or the renewals of a holder that doesn't know yet. So a lease holds in its own era
    only, and a candidate that finds no acquire of the new era waits for the term plus
    a margin from when it first saw that era. The token rises with the era and the
    offset of the acquire. Candidates name the era in the stream before they acquire.
    """

    def __init__(self, holder: str, timing: Timing, now: float, new_id) -> None:
        """Starts as a follower.

        Args:
            holder: unique for each run of a process.
            timing: times of the protocol.
            now: local monotonic time in seconds.
            new_id: callable that returns a fresh record id.
        """
        self._holder = holder
        self._timing = timing
        self._new_id = new_id
        self._fold = _lease.LeaseFold()
        self._sent: dict[str, float] = {}
        self._last_read = now
        self._last_sent = float("-inf")
        self._until = float("-inf")
        self._not_before = float("inf")
        self._floor = 0
        self._known = True
        self._era = 0
        self._era_since = float("-inf")

    def enter_era(self, era: int, since: float, now: float) -> None:
        """Forgets the lease: the log is in a new era and is read from its beginning.

        Args:
            era: the era.
            since: when this process first saw it.
            now: local monotonic time in seconds.
        """
        self._fold = _lease.LeaseFold()
        self._sent.clear()
        self._until = float("-inf")
        self._floor = 0
        self._known = True
        self._last_read = now
        self._era = era
        self._era_since = since

    @property
    def known(self) -> bool:
        """False from an expiry of unread records until the lease is known again."""
        return self._known

    def expired(self, first: int, now: float) -> None:
        """Resets the lease: unread records below `first` have expired from the log."""
        self._fold = _lease.LeaseFold()
        self._until = float("-inf")
        self._floor = first
        self._known = False
        self._last_read = now

    def restore(self, lease: _lease.Lease, now: float) -> None:
        """Sets the lease from a snapshot."""
        self._fold.restore(lease)
        self._known = True
        self._last_read = now

    def mark_empty(self, first: int, now: float) -> None:
        """Records that the log is empty from `first` on, so the lease is free."""
        self._floor = first
        self._known = True
        self._last_read = now

    @property
    def lease(self) -> _lease.Lease:
        """The lease as last read from the log."""
        return self._fold.lease

    def authority(self, now: float, era: int = 0) -> Authority | None:
        """Returns the right to send orders, or None when there is none at `now`.

        Args:
            now: local monotonic time in seconds.
            era: latest era of the log that this process knows.
        """
        lease = self._fold.lease
        if lease.holder != self._holder or now >= self._until:
            return None
        if lease.era != self._era or era > self._era:
            return None
        return Authority(
            token=lease.token,
            not_before=self._not_before,
            until=self._until,
        )

    def read(self, now: float, offset: int, record: _records.Record) -> bool:
        """Folds a record that was read at `now`; returns whether it was accepted."""
        if not self._known or not self._fold.apply(offset, record):
            return False
        self._last_read = now
        sent_at = self._sent.pop(record.id, None)
        if sent_at is not None and not isinstance(record, _records.Release):
            self._extend(sent_at, record)
        return True

    def _extend(self, sent_at: float, record: _records.Record) -> None:
        term_s = self._fold.lease.term_s
        if isinstance(record, _records.Acquire):
            self._until = float("-inf")
            self._not_before = sent_at + self._timing.settle_s
        self._until = max(self._until, sent_at + term_s)

    def run_periodic(self, now: float) -> list[_records.Record]:
        """Returns the records to append at `now`."""
        if not self._known or now - self._last_sent < self._timing.renew_s:
            return []
        lease = self._fold.lease
        if lease.holder == self._holder and now < self._until:
            record = _records.Renew(
                id=self._new_id(), holder=self._holder, token=lease.recorded_token
            )
        elif self._may_acquire(now):
            record = _records.Acquire(
                id=self._new_id(),
                holder=self._holder,
                expected=lease.last,
                term_s=self._timing.term_s,
                floor=self._floor,
            )
        else:
            return []
        return [*self._era_records(), self._send(now, record)]

    def _era_records(self) -> list[_records.Record]:
        if self._fold.era >= self._era:
            return []
        return [_records.Era(id=self._new_id(), era=self._era)]

    def _may_acquire(self, now: float) -> bool:
        lease = self._fold.lease
        lost_s = self._timing.term_s + self._timing.margin_s
        if lease.era != self._era and now - self._era_since < lost_s:
            return False
        if not lease.holder:
            return True
        wait_s = lease.term_s + self._timing.margin_s
        return now - self._last_read >= wait_s

    def _send(self, now: float, record: _records.Record) -> _records.Record:
        self._expire_sent(now)
        self._sent[record.id] = now
        self._last_sent = now
        return record

    def _expire_sent(self, now: float) -> None:
        oldest = now - self._timing.term_s
        self._sent = {i: at for i, at in self._sent.items() if at > oldest}

    def resign(self, now: float, era: int = 0) -> list[_records.Record]:
        """Ends the authority at once; returns the release to append, if any.

        Args:
            now: local monotonic time in seconds.
            era: latest era of the log that this process knows.
        """
        if self.authority(now, era) is None:
            return []
        self._until = float("-inf")
        self._last_sent = float("inf")
        lease = self._fold.lease
        release = _records.Release(
            id=self._new_id(), holder=self._holder, token=lease.recorded_token
        )
        return [release]
