"""Decides which client connections to close for their silence."""

from collections.abc import Hashable, Iterable

import attrs

LOOK_INTERVAL_S = 1.0


@attrs.frozen(kw_only=True)
class Silence:
    """A connection without a call in work; times are steady seconds.

    `active_at` is when bytes last came or went; `begun_at` when a header began
    that isn't whole yet.
    """

    connection: Hashable
    active_at: float
    begun_at: float | None = None


class IdleWatch:
    """Finds connections that are silent for too long at two looks in a row.

    After a pause of the whole process everything looks silent, though bytes may
    wait to be read; by the second look they have been.
    """

    def __init__(self) -> None:
        """Creates the watch; its first look is due at once."""
        self._next_at = 0.0
        self._suspects: dict[Hashable, float] = {}

    def is_due(self, now: float) -> bool:
        """Tells whether it is time for a look."""
        if now < self._next_at:
            return False
        self._next_at = now + LOOK_INTERVAL_S
        return True

    def look(
        self,
        silences: Iterable[Silence],
        idle_timeout_s: float,
        header_timeout_s: float,
        now: float,
    ) -> list[Hashable]:
        """Returns the connections to close."""
        suspects = {}
        for silence in silences:
            idle = now - silence.active_at > idle_timeout_s
            begun_at = now if silence.begun_at is None else silence.begun_at
            if idle or now - begun_at > header_timeout_s:
                suspects[silence.connection] = silence.active_at
        confirmed = [c for c, at in suspects.items() if self._suspects.get(c) == at]
        self._suspects = suspects
        return confirmed
