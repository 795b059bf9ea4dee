"""Selects idle client connections to close."""

from collections.abc import Hashable, Iterable

import attrs

from turmericward.httpd import _monitor


@attrs.frozen(kw_only=True)
class IdleState:
    """A connection without a request in progress; times are monotonic seconds.

    `last_active_at` is the time of the last byte sent or received;
    `header_started_at` the start of a header that is still incomplete.
    """

    connection: Hashable
    last_active_at: float
    header_started_at: float | None = None


class IdleMonitor(_monitor.Monitor):
    """Finds connections that exceed a timeout at two consecutive checks.

    A byte sent or received between the two checks keeps the connection open. After
    the process was paused, every connection looks idle even if unread bytes are
    waiting; they have been read by the second check.
    """

    def __init__(self) -> None:
        """Creates the monitor; the first check is due immediately."""
        super().__init__()
        self._suspects: dict[Hashable, float] = {}

    def find_expired(
        self,
        idle_states: Iterable[IdleState],
        idle_timeout_s: float,
        header_timeout_s: float,
        now: float,
    ) -> list[Hashable]:
        """Returns the connections to close."""
        suspects = {}
        for idle_state in idle_states:
            idle = now - idle_state.last_active_at > idle_timeout_s
            header_started_at = (
                now
                if idle_state.header_started_at is None
                else idle_state.header_started_at
            )
            if idle or now - header_started_at > header_timeout_s:
                suspects[idle_state.connection] = idle_state.last_active_at
        confirmed = [c for c, at in suspects.items() if self._suspects.get(c) == at]
        self._suspects = suspects
        return confirmed
