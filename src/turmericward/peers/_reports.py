"""When what this front knows of others is sent to the peers again."""

from typing import Generic, TypeVar

import attrs

from turmericward import requests
from turmericward.peers import _messages, _states

# Unchanged rows are repeated after this time, for peers that have missed a datagram
# or have started since.
REPEAT_INTERVAL_S = 0.5
# Rows in one datagram; if more are known, each datagram holds the next ones.
MAX_ROWS_PER_DATAGRAM = 500

Row = TypeVar("Row")


class Reports(Generic[Row]):
    """All known rows of one type, and when they were sent.

    A row is an attrs class with the field `age_s`, which doesn't count as a change.
    Times are monotonic seconds.
    """

    def __init__(self) -> None:
        """Starts without rows."""
        self._rows: tuple[Row, ...] = ()
        self._received_at = 0.0
        self._sent_at = float("-inf")
        self._changed = False
        self._next = 0

    def replace(self, rows: tuple[Row, ...], now: float) -> None:
        """Replaces the known rows, whose ages are as of now."""
        if _without_ages(rows) != _without_ages(self._rows):
            self._changed = True
        self._rows = rows
        self._received_at = now

    def pop_due(self, now: float) -> tuple[Row, ...]:
        """Returns the rows to send now, with their ages."""
        due = self._changed or now - self._sent_at >= REPEAT_INTERVAL_S
        if not due or not self._rows:
            return ()
        self._sent_at = now
        self._changed = False
        elapsed_s = now - self._received_at
        return tuple(
            attrs.evolve(row, age_s=row.age_s + elapsed_s) for row in self._next_rows()
        )

    def _next_rows(self) -> tuple[Row, ...]:
        count = len(self._rows)
        if count <= MAX_ROWS_PER_DATAGRAM:
            return self._rows
        start = self._next % count
        self._next = start + MAX_ROWS_PER_DATAGRAM
        return (self._rows + self._rows)[start : self._next]


@attrs.frozen(kw_only=True)
class DueReports:
    """Rows of all types that are to be sent now; fields as in `PeerState`."""

    limits: tuple[_states.TargetLimit, ...]
    outcomes: tuple[requests.KeyOutcome, ...]


class StateReports:
    """The rows of the local state that are sent repeatedly."""

    def __init__(self) -> None:
        """Starts without rows."""
        self._limits: Reports[_states.TargetLimit] = Reports()
        self._outcomes: Reports[requests.KeyOutcome] = Reports()

    def replace(self, state: _messages.LocalState, now: float) -> None:
        """Replaces the rows by those of a new state."""
        self._limits.replace(state.limits, now)
        self._outcomes.replace(state.outcomes, now)

    def pop_due(self, now: float) -> DueReports:
        """Returns the rows to send now."""
        return DueReports(
            limits=self._limits.pop_due(now), outcomes=self._outcomes.pop_due(now)
        )


def _without_ages(rows: tuple[Row, ...]) -> set[Row]:
    return {attrs.evolve(row, age_s=0.0) for row in rows}
