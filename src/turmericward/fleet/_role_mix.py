"""How many engines should only prefill, by the load of prefill and decode engines.

Load pattern handled: prompts that exceed the capacity of the prefill engines while
most slots of the decode engines are free; and decodes that fill all slots while
prefill engines are idle.
"""

import math
from collections.abc import Mapping

import attrs

# Time constant of the smoothing; shorter bursts don't change the role mix.
SMOOTHING_S = 5.0
# Mean queued tokens per prefill engine from which there are too few of them, and
# up to which there may be too many.
HIGH_QUEUED_TOKENS = 6_000.0
LOW_QUEUED_TOKENS = 1_500.0
# Share of occupied slots up to which a decode engine may be spared, and above which
# there are too few decode engines.
SPARE_OCCUPANCY = 0.5
HIGH_OCCUPANCY = 0.75


@attrs.frozen(kw_only=True)
class EngineLoad:
    """All fronts' load at one engine: open calls, and tokens still to prefill."""

    open_calls: int = 0
    queued_tokens: float = 0.0


class RoleDemand:
    """The smoothed load of a service's engines; times are monotonic seconds."""

    def __init__(self) -> None:
        """Starts without load."""
        self._queued_tokens = 0.0
        self._open_calls = 0.0
        self._at: float | None = None

    def observe(self, targets, loads: Mapping[str, EngineLoad], now: float) -> None:
        """Takes the load of the engines that may get calls."""
        prefill = [t for t in targets if not t.can_decode]
        decode = [loads.get(t.name, EngineLoad()) for t in targets if t.can_decode]
        queued = sum(loads.get(t.name, EngineLoad()).queued_tokens for t in prefill)
        weight = 1.0
        if self._at is not None:
            weight = 1 - math.exp(-max(0.0, now - self._at) / SMOOTHING_S)
        mean = queued / max(1, len(prefill))
        calls = sum(load.open_calls for load in decode)
        self._queued_tokens += weight * (mean - self._queued_tokens)
        self._open_calls += weight * (calls - self._open_calls)
        self._at = now

    def needs_more_prefill(self, targets, step: int) -> bool:
        """Returns whether `step` decode engines should prefill instead."""
        remaining = [t for t in targets if t.can_decode][step:]
        slots = sum(t.slots for t in remaining)
        if not slots or self._queued_tokens < HIGH_QUEUED_TOKENS:
            return False
        return self._open_calls <= SPARE_OCCUPANCY * slots

    def needs_more_decode(self, targets) -> bool:
        """Returns whether prefill engines should decode instead."""
        slots = sum(t.slots for t in targets if t.can_decode)
        if self._queued_tokens > LOW_QUEUED_TOKENS:
            return False
        return self._open_calls > HIGH_OCCUPANCY * slots
