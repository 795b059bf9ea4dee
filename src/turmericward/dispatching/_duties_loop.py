"""Loop that makes the calls of duties to the platform while its front has the lease."""

from collections.abc import Callable, Sequence
from typing import Protocol

import attrs
from absl import logging

from turmericward import authority, duties, runtime, telemetry
from turmericward.adapters import errors
from turmericward.dispatching import _standing_lease

IDLE_PAUSE_S = 0.2
# Bounds a call, so that a silent platform delays the other duties only shortly.
CALL_TIMEOUT_S = 1.5
# Delay of a duty's next call after one without an answer: doubled up to the longest.
MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0
# Share of the platform's rate that is used: a new holder's calls may follow at once.
RATE_SHARE = 0.5


class Sender(Protocol):
    """Sends calls to the platform."""

    def send(
        self, call: duties.DutyCall, held: authority.Authority, timeout_s: float
    ) -> duties.Outcome:
        """Sends a call once; returns what became of it.

        Raises:
            AdapterError: the call wasn't sent.
        """


@attrs.define
class _Backoff:
    """When a duty may make its next call, in monotonic seconds."""

    delay_s: float = 0.0
    until: float = float("-inf")

    def record(self, outcome: duties.Outcome, now: float) -> None:
        slow = (duties.Outcome.UNKNOWN, duties.Outcome.THROTTLED)
        if outcome not in slow:
            self.delay_s = 0.0
            return
        self.delay_s = min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, 2 * self.delay_s))
        self.until = now + self.delay_s


class DutiesLoop(runtime.Loop):
    """Performs duties in turn, one call at a time."""

    tolerated_failures = runtime.MAX_FAILURES_IN_A_ROW

    def __init__(
        self,
        lease: _standing_lease.StandingLease,
        all_duties: Sequence[duties.Duty],
        sender: Sender,
        *,
        calls_per_s: float,
        enabled: Callable[[], bool] = lambda: True,
        count: Callable[[str], None] = lambda name: None,
        clock: Callable[[], float] = runtime.now,
    ) -> None:
        """Creates the loop.

        Args:
            lease: the lease of this front.
            all_duties: what this front has to do while it has the lease.
            sender: makes the calls.
            calls_per_s: calls that the platform takes from all fronts together.
            enabled: returns whether calls may be made; not by a front that stops.
            count: counts the outcomes, for the metrics.
            clock: returns monotonic seconds.
        """
        super().__init__()
        self._lease = lease
        self._duties = list(all_duties)
        self._backoffs = [_Backoff() for _ in self._duties]
        self._sender = sender
        self._interval_s = 1 / (calls_per_s * RATE_SHARE) if calls_per_s > 0 else 1.0
        self._enabled = enabled
        self._count = count
        self._clock = clock
        self._term_began: float | None = None
        self._journal_reads = 0

    def run_once(self) -> None:
        """Gives each duty the opportunity to make one call."""
        if not self._enabled() or self._lease.authority() is None:
            self.pause(IDLE_PAUSE_S)
            return
        self._begin_term()
        made = [self._perform(index) for index in range(len(self._duties))]
        if not any(made):
            self.pause(IDLE_PAUSE_S)

    def _begin_term(self) -> None:
        if self._journal_reads != self._lease.journal_reads:
            self._journal_reads = self._lease.journal_reads
            self._restore()
        if self._term_began == self._lease.held_since:
            return
        self._term_began = self._lease.held_since
        self._backoffs = [_Backoff() for _ in self._duties]
        for duty in self._duties:
            duty.took_over(self._clock(), first=self._lease.is_first)

    def _restore(self) -> None:
        for duty in self._duties:
            if duties.is_journaled(duty):
                duty.restore(self._lease.journal, self._lease.era_began, self._clock())

    def _perform(self, index: int) -> bool:
        """Makes the call of a duty that is due; returns whether one was made."""
        duty, backoff = self._duties[index], self._backoffs[index]
        if self._clock() < backoff.until or not self._may_send():
            return False
        try:
            call = duty.next_call(self._clock())
            if call is None or not self._store(duty, call):
                return False
        except (errors.AdapterError, TimeoutError) as exc:
            logging.log_every_n_seconds(logging.WARNING, "duty waits: %s", 10, exc)
            return False
        # The journal takes time, and renews the lease.
        held = self._lease.authority()
        if held is None or not self._may_send():
            return False
        self._send(duty, backoff, call, held)
        self.pause(self._interval_s)
        return True

    def _store(self, duty: duties.Duty, call: duties.DutyCall) -> bool:
        """Stores a call in the journal if it has to be; returns whether it is there."""
        entry = duty.entry(call) if duties.is_journaled(duty) else None
        if entry is None:
            return True
        if not self._lease.append_journal(entry):
            return False
        inputs = duty.record_entry(call)
        telemetry.log_event("duty_stored", **call.log_fields(), **inputs)
        return True

    def _may_send(self) -> bool:
        held = self._lease.authority()
        return (
            held is not None
            and self._enabled()
            and held.allows(self._clock(), duties.CALL_DURATION_S)
        )

    def _send(
        self,
        duty: duties.Duty,
        backoff: _Backoff,
        call: duties.DutyCall,
        held: authority.Authority,
    ) -> None:
        began_at = self._clock()
        self._lease.note_sent()
        try:
            outcome = self._sender.send(call, held, CALL_TIMEOUT_S)
            self._lease.note_sent()
        except errors.AdapterError as exc:
            # The duty gets no outcome: nothing was sent.
            logging.log_every_n_seconds(logging.WARNING, "duty not sent: %s", 10, exc)
            backoff.record(duties.Outcome.UNKNOWN, self._clock())
            return
        now = self._clock()
        backoff.record(outcome, now)
        duty.record_outcome(call, outcome, now)
        self._log(call, held, outcome, now - began_at)

    def _log(self, call, held, outcome: duties.Outcome, took_s: float) -> None:
        kind = type(call).__name__
        self._count(f"duties.{kind}.{outcome.value}")
        telemetry.log_event(
            "duty",
            kind=kind,
            token=held.token,
            outcome=outcome.value,
            took_s=round(took_s, 3),
            **call.log_fields(),
        )
