"""The interface between a duty and the loop that performs it."""

from typing import Protocol

from turmericward.duties import _calls

# Remaining term of the lease that a call needs when its last byte is sent.
CALL_DURATION_S = 1.0

DutyCall = _calls.UsageReport | _calls.CapacityOrder


class Duty(Protocol):
    """Decides which call a front has to make next while it holds the lease.

    Implementations have no clock, socket or thread; `now` is in monotonic seconds.
    """

    def took_over(self, now: float, *, first: bool = False) -> None:
        """Begins a term: another front may have made calls before it.

        Args:
            now: monotonic seconds.
            first: whether no front can have had the lease before.
        """

    def next_call(self, now: float) -> DutyCall | None:
        """Returns the call that is due, None if there is none."""

    def record_outcome(
        self, call: DutyCall, outcome: _calls.Outcome, now: float
    ) -> None:
        """Records what became of a call that `next_call` returned."""


class JournaledDuty(Duty, Protocol):
    """A duty whose calls are stored in the lease's log before they are sent.

    At most one duty of a front has a journal.
    """

    def restore(self, journal: bytes | None, era_began: float, now: float) -> None:
        """Takes over the newest journal; called before `took_over` and on changes.

        Args:
            journal: what this front or an earlier holder stored last, if anything.
            era_began: when this front first saw the log's era, in monotonic seconds:
                what was stored before may be missing.
            now: monotonic seconds.
        """

    def entry(self, call: DutyCall) -> bytes | None:
        """Returns the journal to store before a call, None if it is in there."""

    def record_entry(self, call: DutyCall) -> dict[str, object]:
        """Records that the journal with the call was stored under the lease.

        Returns:
            What the log line says of the inputs of the call.
        """


def is_journaled(duty: Duty) -> bool:
    """Returns whether a duty has a journal."""
    return hasattr(duty, "restore")
