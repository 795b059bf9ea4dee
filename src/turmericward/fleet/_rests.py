"""Targets that asked for a pause."""

import math

# A longer pause is cut to this, so that a spoiled answer can't lose a target for good.
MAX_REST_S = 600.0


class Rests:
    """Until when targets want nothing from this front; times are steady seconds."""

    def __init__(self) -> None:
        """Creates the state in which no target rests."""
        self._until: dict[str, float] = {}

    def note(self, name: str, rest_s: float, now: float) -> bool:
        """Notes the pause that a target asked for; tells whether it counts."""
        if not math.isfinite(rest_s) or rest_s <= 0:
            return False
        until = now + min(rest_s, MAX_REST_S)
        self._until[name] = max(until, self._until.get(name, until))
        return True

    def left_s(self, name: str, now: float) -> float:
        """Returns for how long a target still rests, 0 if it doesn't."""
        until = self._until.get(name)
        if until is None:
            return 0.0
        if until <= now:
            del self._until[name]
            return 0.0
        return until - now

    def __bool__(self) -> bool:
        """Tells whether a target may rest."""
        return bool(self._until)

    def forget(self, name: str) -> None:
        """Drops the pause of a target that is gone or began anew."""
        self._until.pop(name, None)
