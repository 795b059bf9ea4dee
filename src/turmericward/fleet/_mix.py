"""How many engines should read prompts apart, by what reads and answers wait for.

Load pattern that it answers: prompts that grow beyond what the engines that read
them can take, while those that answer have most of their slots free; and answers
that fill all slots while engines that only read are idle.
"""

import math
from collections.abc import Mapping

import attrs

# Bursts that are shorter than this don't change the mix.
MEMORY_S = 5.0
# Tokens that wait at an engine that reads, in the mean, from which there are too few
# of them, and below which there may be too many.
PRESSED_TOKENS = 6_000.0
CALM_TOKENS = 1_500.0
# Share of slots taken at which an engine that answers may be spared, and from which
# there are too few of them.
SPARE_OCCUPANCY = 0.5
CROWDED_OCCUPANCY = 0.75


@attrs.frozen(kw_only=True)
class EngineLoad:
    """What all fronts have at one engine: calls, and tokens still to be read."""

    open_calls: int = 0
    waiting_tokens: float = 0.0


class MixDemand:
    """The smoothed load of the engines of a service; times are steady seconds."""

    def __init__(self) -> None:
        """Creates the state without load."""
        self._waiting_tokens = 0.0
        self._open_calls = 0.0
        self._at: float | None = None

    def observe(self, targets, loads: Mapping[str, EngineLoad], now: float) -> None:
        """Takes the load of the engines that may get work."""
        reading = [t for t in targets if not t.answers]
        found = [loads.get(t.name, EngineLoad()) for t in targets if t.answers]
        waiting = sum(loads.get(t.name, EngineLoad()).waiting_tokens for t in reading)
        weight = 1.0
        if self._at is not None:
            weight = 1 - math.exp(-max(0.0, now - self._at) / MEMORY_S)
        each = waiting / max(1, len(reading))
        calls = sum(load.open_calls for load in found)
        self._waiting_tokens += weight * (each - self._waiting_tokens)
        self._open_calls += weight * (calls - self._open_calls)
        self._at = now

    def more_reading(self, targets, step: int) -> bool:
        """Tells whether `step` engines that answer should read instead."""
        left = [t for t in targets if t.answers][step:]
        slots = sum(t.slots for t in left)
        if not slots or self._waiting_tokens < PRESSED_TOKENS:
            return False
        return self._open_calls <= SPARE_OCCUPANCY * slots

    def more_answering(self, targets) -> bool:
        """Tells whether engines that read should answer instead."""
        slots = sum(t.slots for t in targets if t.answers)
        if self._waiting_tokens > CALM_TOKENS:
            return False
        return self._open_calls > CROWDED_OCCUPANCY * slots
