"""The interface between a duty and the loop that performs it."""

from typing import Protocol

from turmericward.duties import _calls

DutyCall = _calls.UsageReport | _calls.CapacityOrder


class Duty(Protocol):
    """Decides which call a front has to make next while it holds the lease.

    Implementations have no clock, socket or thread; `now` is in monotonic seconds.
    """

    def took_over(self, now: float) -> None:
        """Begins a term: another front may have made calls before it."""

    def next_call(self, now: float) -> DutyCall | None:
        """Returns the call that is due, None if there is none."""

    def record_outcome(
        self, call: DutyCall, outcome: _calls.Outcome, now: float
    ) -> None:
        """Records what became of a call that `next_call` returned."""
