"""The lease of a front that performs duties: held and renewed, shared by its loops."""

import threading
from collections.abc import Callable
from typing import Protocol

import attrs
from absl import logging

from turmericward import authority, positions, runtime, telemetry
from turmericward.adapters import errors

# A call or order that began longer ago has ended or won't be sent any more: longer than
# `CALL_TIMEOUT_S` of the duties and the time-out of role orders.
LONGEST_CALL_S = 1.6
# How long a front has to be enabled before it takes part.
SETTLING_S = 1.5


@attrs.frozen(kw_only=True)
class LogState:
    """The end of the lease's log, its newest lease record and the newest journal.

    `journal` is what holders have to know of the calls of earlier ones.
    """

    end: positions.Position
    lease: authority.Record | None
    journal: bytes | None


class DutyLog(Protocol):
    """Log that stores the lease and the journal of duties."""

    def read_state(self) -> LogState:
        """Returns the state of the log.

        Raises:
            LogUnavailableError: there is no valid answer.
        """

    def append(self, claim: authority.Claim) -> positions.Position | None:
        """Appends a claim; returns its position, or None if the log has grown.

        Raises:
            LogUnavailableError: it isn't known whether the claim was appended.
        """

    def append_journal(
        self, value: bytes, end: positions.Position
    ) -> positions.Position | None:
        """Replaces the journal likewise, if the log still ends at `end`."""


class StandingLease:
    """Acquires, renews and gives up the lease; thread-safe.

    One thread calls the log at a time. `authority` doesn't wait for it.
    """

    def __init__(
        self,
        lease: authority.OnDemandLease,
        log: DutyLog,
        eras: positions.Eras,
        renew_s: float,
        clock: Callable[[], float] = runtime.now,
    ) -> None:
        """Starts without the lease.

        Args:
            lease: lease protocol of this process.
            log: stores the lease; used by this object only.
            eras: the known era of the log.
            renew_s: time since the last append after which the lease is renewed.
            clock: returns monotonic seconds.
        """
        self._lease = lease
        self._log = log
        self._eras = eras
        self._renew_s = renew_s
        self._clock = clock
        self._lock = threading.Lock()
        self._appended_at = float("-inf")
        self._sent_at = float("-inf")
        # Whether the outcome of an append is unknown, or one was refused.
        self._must_confirm = False
        self._journal: bytes | None = None
        self._journal_reads = 0
        self._held_since = float("-inf")
        self._is_first = False

    @property
    def journal(self) -> bytes | None:
        """The journal as of the acquire, or of this front's last append."""
        return self._journal

    @property
    def journal_reads(self) -> int:
        """How often the journal was read from the log."""
        return self._journal_reads

    @property
    def era_began(self) -> float:
        """When this front first saw the log's era."""
        return self._eras.since

    @property
    def held_since(self) -> float:
        """When this front acquired the lease last; changes with each tenure."""
        return self._held_since

    @property
    def is_first(self) -> bool:
        """Whether no front can have had the lease before this one."""
        return self._is_first

    def authority(self) -> authority.Authority | None:
        """Returns the right to send calls, or None when there is none."""
        return self._lease.authority(self._clock(), self._eras.current)

    def poll_in_s(self, poll_s: float) -> float:
        """Returns the time to the next read of a front without the lease.

        It is `poll_s`, or less if the lease is free before unless it is renewed.
        """
        free_in_s = self._lease.free_at - self._clock()
        return free_in_s if 0 < free_in_s < poll_s else poll_s

    def note_sent(self) -> None:
        """Records that a call or order is sent, which delays a resignation."""
        self._sent_at = self._clock()

    def acquire_or_renew(self) -> None:
        """Acquires the lease if it is free, and renews it when that is due.

        Raises:
            AdapterError: the log isn't available.
            AuthorityError: the lease can't be acquired.
        """
        with self._lock:
            if not self._lease.is_holder:
                self._acquire()
            elif self._must_confirm:
                self._confirm()
            elif self._clock() - self._appended_at >= self._renew_s:
                claim = self._lease.renew(self._eras.current)
                if claim is not None:
                    self._extend(lambda: self._log.append(claim))

    def append_journal(self, value: bytes) -> bool:
        """Replaces the journal, which restarts the term.

        Returns:
            Whether the lease is certain to have been held at the time of the append.

        Raises:
            LogUnavailableError: it isn't known whether the journal was replaced.
        """
        with self._lock:
            if self._must_confirm or not self._lease.is_holder:
                return False
            end = self._lease.end
            appended = self._extend(lambda: self._log.append_journal(value, end))
            if appended:
                self._journal = value
            return appended

    def _extend(self, append: Callable[[], positions.Position | None]) -> bool:
        sent_at = self._clock()
        # Until the outcome is known.
        self._must_confirm = True
        position = append()
        if position is None:
            return False
        self._must_confirm = False
        self._appended_at = sent_at
        return self._lease.extended(sent_at, position, self._clock())

    def _confirm(self) -> None:
        state = self._log.read_state()
        if not self._lease.confirm(self._clock(), state.end, state.lease):
            telemetry.log_event("lease", state="lost", end=state.end.offset)
        self._read_journal(state)
        self._must_confirm = False
        self._appended_at = float("-inf")

    def _read_journal(self, state: LogState) -> None:
        self._journal = state.journal
        self._journal_reads += 1

    def _acquire(self) -> None:
        state = self._log.read_state()
        self._lease.record_log_end(
            self._clock(), state.end, state.lease, self._eras.since
        )
        sent_at = self._clock()
        claim = self._lease.acquire(sent_at)
        if claim is None:
            return
        position = self._log.append(claim)
        if position is None:
            logging.info("lease was acquired by another front")
            return
        self._must_confirm = False
        self._appended_at = sent_at
        self._read_journal(state)
        # A copy of the log may lack the records of later holders.
        self._is_first = state.lease is None and state.end.era == 0
        self._held_since = sent_at
        # Last: from here on, other threads may send calls.
        self._lease.acquired(claim, sent_at, position, self._clock())
        held = self.authority()
        if held is not None:
            telemetry.log_event("lease", state="acquired", token=held.token)

    def resign(self) -> bool:
        """Gives the lease up once no call of this front is under way any more.

        Returns:
            Whether this front is without the lease.

        Raises:
            LogUnavailableError: others wait until the term has ended.
        """
        with self._lock:
            if not self._lease.is_holder:
                return True
            if self._clock() - self._sent_at < LONGEST_CALL_S:
                return False
            claim = self._lease.resign(self._eras.current)
            if claim is not None and not self._must_confirm:
                released = self._log.append(claim) is not None
                state = "released" if released else "lost"
                telemetry.log_event("lease", state=state)
            return True


class LeaseLoop(runtime.Loop):
    """Keeps the lease with one of the fronts that take part."""

    tolerated_failures = runtime.MAX_FAILURES_IN_A_ROW

    def __init__(
        self,
        lease: StandingLease,
        enabled: Callable[[], bool],
        *,
        poll_s: float,
        tick_s: float,
        clock: Callable[[], float] = runtime.now,
    ) -> None:
        """Creates the loop.

        Args:
            lease: the lease of this front.
            enabled: returns whether this front takes part; in a large fleet only a
                few do, and none that is stopping.
            poll_s: time between two reads of a front without the lease.
            tick_s: time between two looks at whether the lease is to be renewed.
            clock: returns monotonic seconds.
        """
        super().__init__()
        self._lease = lease
        self._enabled = enabled
        self._poll_s = poll_s
        self._tick_s = tick_s
        self._clock = clock
        self._enabled_since: float | None = None

    def run_once(self) -> None:
        """Acquires, renews or gives up the lease once."""
        try:
            if not self._enabled():
                self._enabled_since = None
                self._lease.resign()
            elif self._takes_part():
                self._lease.acquire_or_renew()
        except (errors.AdapterError, authority.AuthorityError) as exc:
            logging.log_every_n_seconds(logging.WARNING, "lease: %s", 10, exc)
        held = self._lease.authority() is not None
        poll_s = self._lease.poll_in_s(self._poll_s)
        self.pause(self._tick_s if held else poll_s)

    def _takes_part(self) -> bool:
        """Returns whether this front has been enabled for some time.

        When hundreds of fronts start at once, each of them is until it hears of others.
        """
        now = self._clock()
        if self._enabled_since is None:
            self._enabled_since = now
        return now - self._enabled_since >= SETTLING_S
