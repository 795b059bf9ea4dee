"""Ejects targets that fail repeatedly and lets them back gradually."""

import attrs

FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0


@attrs.define
class _State:
    failures: int = 0
    ejection_s: float = 0.0
    until: float = 0.0
    probing: bool = False


class Health:
    """Failures of each target as this process saw them; times are monotonic."""

    def __init__(self) -> None:
        """Creates the state in which every target is in use."""
        self._states: dict[str, _State] = {}

    def usable(self, target: str, now: float) -> bool:
        """Tells whether the target may get work.

        After an ejection one request at a time probes the target.
        """
        state = self._states.get(target)
        if state is None or state.failures < FAILURES_TO_EJECT:
            return True
        return now >= state.until and not state.probing

    def started(self, target: str) -> None:
        """Notes that a request goes to the target."""
        state = self._states.get(target)
        if state is not None and state.failures >= FAILURES_TO_EJECT:
            state.probing = True

    def succeeded(self, target: str) -> None:
        """Notes an answer; one is enough to end an ejection."""
        self._states.pop(target, None)

    def failed(self, target: str, now: float) -> None:
        """Notes a failure; each further ejection lasts twice as long."""
        state = self._states.setdefault(target, _State())
        state.failures += 1
        state.probing = False
        if state.failures < FAILURES_TO_EJECT:
            return
        state.ejection_s = min(
            MAX_EJECTION_S, max(FIRST_EJECTION_S, state.ejection_s * 2)
        )
        state.until = now + state.ejection_s
