"""Tells the crashes of engines apart, whose names outlast them."""

from turmericward import fleet, requests, runtime

# Connections that an engine closes within this time are lost in the same crash.
SAME_CRASH_S = 0.5


class EngineCrashes:
    """When each engine crashed last; times are monotonic seconds."""

    def __init__(self) -> None:
        """Starts without crashes."""
        self._crashed_at: dict[str, float] = {}

    def incarnation_of(self, engine: fleet.Target) -> requests.Incarnation:
        """Returns the incarnation of an engine that has just crashed."""
        now = runtime.now()
        at = self._crashed_at.get(engine.name, now)
        if now - at > SAME_CRASH_S:
            at = now
        self._crashed_at[engine.name] = at
        return requests.Incarnation(fleet.target_hash(engine.name), int(at * 1000))
