"""Calls during a planned stop of the process: which still begin, when open ones end.

Load pattern handled: clients go on using their connections until the process has
ended, so that calls arrive that can't be answered before it does.
"""

import enum

import attrs

from turmericward import runtime

REASON = "stopping"
# Other instances take the call at once.
RETRY_AFTER_S = 0.1


class Phase(enum.Enum):
    """What a call was doing when the stop ended it."""

    WAITING = "waiting"
    PREFILL = "prefill"
    RUNNING = "running"
    STREAMING = "streaming"

    @property
    def may_run(self) -> bool:
        """Whether a target has the call itself, not only its prompt."""
        return self in (Phase.RUNNING, Phase.STREAMING)


@attrs.frozen(kw_only=True)
class CallStop:
    """The process's stop, as far as its calls are concerned."""

    drain: runtime.Drain

    def must_end(self) -> bool:
        """Returns whether open calls have to get their final answers now."""
        return self.drain.remaining_s <= 0
