"""Calls whose connection was closed by a target that may have ended.

Load pattern handled: targets that end under a call and are back at their address
before this front has looked whether somebody listens there. Pure logic without clock;
times are monotonic seconds.
"""

import collections

import attrs

from turmericward import fleet
from turmericward.dispatching import _evidence

# With more time between them, another incarnation at the address tells nothing about
# the call.
MAX_INTERVAL_S = 5.0
MAX_CALLS = 200
MAX_ANNOUNCED = 1_000


@attrs.frozen(kw_only=True)
class LostCall:
    """A call with what it has in common with others, and when its target closed it."""

    target: fleet.Target
    found: _evidence.Found
    at: float


class LostConnections:
    """Calls that count as lost by a crash once another incarnation is announced."""

    def __init__(self) -> None:
        """Starts without calls."""
        self._calls: collections.deque[LostCall] = collections.deque(maxlen=MAX_CALLS)
        # The latest incarnation announced at each address, and when.
        self._announced: collections.OrderedDict[str, tuple[fleet.Target, float]]
        self._announced = collections.OrderedDict()

    def add(self, call: LostCall) -> bool:
        """Records a call; returns whether its target is known to have ended."""
        announced, at = self._announced.get(call.target.address, (call.target, 0.0))
        if _has_replaced(announced, call.target) and call.at - at <= MAX_INTERVAL_S:
            return True
        self._calls.append(call)
        return False

    def is_replaced(self, target: fleet.Target) -> bool:
        """Returns whether one that started later was announced at its address."""
        announced, _ = self._announced.get(target.address, (target, 0.0))
        # Announcements of targets that have ended may still be read for a while.
        return announced.started_ms > target.started_ms

    def pop_ended(self, announced: fleet.Target, now: float) -> list[LostCall]:
        """Returns the calls that an earlier incarnation at an address has lost.

        Args:
            announced: an incarnation that is announced for the first time.
            now: monotonic seconds.
        """
        self._announced[announced.address] = (announced, now)
        self._announced.move_to_end(announced.address)
        if len(self._announced) > MAX_ANNOUNCED:
            self._announced.popitem(last=False)
        ended = [
            call
            for call in self._calls
            if _has_replaced(announced, call.target) and now - call.at <= MAX_INTERVAL_S
        ]
        for call in ended:
            self._calls.remove(call)
        return ended


def _has_replaced(announced: fleet.Target, target: fleet.Target) -> bool:
    if announced.name == target.name:
        return announced.started_ms > target.started_ms
    return announced.address == target.address
