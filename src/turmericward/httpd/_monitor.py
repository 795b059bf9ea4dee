"""Regular checks by the event loop."""


class Monitor:
    """Base of monitors that look at the connections at an interval."""

    interval_s = 1.0

    def __init__(self) -> None:
        """Creates the monitor; the first check is due immediately."""
        self._next_at = 0.0

    def is_due(self, now: float) -> bool:
        """Returns whether a check is due, and schedules the one after it."""
        if now < self._next_at:
            return False
        self._next_at = now + self.interval_s
        return True
