"""Outlier ejection: targets that fail repeatedly are excluded and then probed."""

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
    """Consecutive failures by target, seen locally; times are monotonic seconds."""

    def __init__(
        self,
        failures_to_eject: int = FAILURES_TO_EJECT,
        first_s: float = FIRST_EJECTION_S,
        max_s: float = MAX_EJECTION_S,
    ) -> None:
        """Starts with no target ejected.

        Args:
            failures_to_eject: consecutive failures that eject a target.
            first_s: duration of the first ejection.
            max_s: longest duration of an ejection.
        """
        self._failures_to_eject = failures_to_eject
        self._first_s = first_s
        self._max_s = max_s
        self._states: dict[str, _State] = {}

    def usable(self, target: str, now: float) -> bool:
        """Returns whether the target may get calls.

        After an ejection one request at a time probes the target.
        """
        state = self._states.get(target)
        if state is None or state.failures < self._failures_to_eject:
            return True
        return now >= state.until and not state.probing

    def started(self, target: str) -> None:
        """Records that a request goes to the target."""
        state = self._states.get(target)
        if state is not None and state.failures >= self._failures_to_eject:
            state.probing = True

    def succeeded(self, target: str) -> None:
        """Records a success; one is enough to end an ejection."""
        self._states.pop(target, None)

    def released(self, target: str) -> None:
        """Records a request whose end doesn't show whether the target works."""
        state = self._states.get(target)
        if state is not None:
            state.probing = False

    def failed(self, target: str, now: float, *, weight: int = 1) -> None:
        """Records a failure; each further ejection lasts twice as long.

        It counts as `weight` consecutive failures.
        """
        state = self._states.setdefault(target, _State())
        state.failures += weight
        state.probing = False
        if state.failures < self._failures_to_eject:
            return
        state.ejection_s = min(self._max_s, max(self._first_s, state.ejection_s * 2))
        state.until = now + state.ejection_s
