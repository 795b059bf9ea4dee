"""Phases of a server's planned stop, without input or output."""

import enum
from collections.abc import Callable

from turmericward import runtime

# Without a byte for this share of the stop, or time, a connection without a request
# holds it up no longer if nothing else is open.
QUIET_SHARE = 0.5
MAX_QUIET_S = 30.0
# How long a connection that was accepted last may take to send its request.
SETTLE_S = 0.2


class Phase(enum.Enum):
    """What the server does; each phase is entered once, in this order."""

    SERVING = "serving"
    # Not ready; the load balancer may not have noticed yet.
    LEAVING = "leaving"
    # Until no connection is left, or the deadline of open calls.
    FINISHING = "finishing"
    # Not listening; connections without a request in progress are closed.
    CLOSING = "closing"
    OVER = "over"


class State(enum.Enum):
    """Progress of a connection."""

    QUEUED = "in the accept queue"
    NEW = "accepted, without any byte"
    IDLE = "between two requests"
    HEADER = "with a part of a header"
    BODY = "with a part of a body"
    WAITING = "with a whole request that waits for a worker"
    RUNNING = "with a request in a worker"
    FLUSHING = "with a response that the client hasn't read"
    LINGERING = "closed by the server, not yet by the client"


class Action(enum.Enum):
    """What a connection is given."""

    # Requests are read and answered.
    KEEP = "keep"
    # The same, and the next response announces the close.
    LAST = "last"
    # The incomplete request is answered with status 408, then the connection closed.
    REFUSE = "refuse"
    # The sending side is ended; bytes that still come are discarded.
    CLOSE = "close"
    # Bytes are discarded until the client closes.
    DISCARD = "discard"
    # The socket is closed as it is.
    CUT = "cut"


# States without a request in progress.
IDLE_STATES = frozenset({State.NEW, State.IDLE})
_BY_PHASE = {
    Phase.SERVING: dict.fromkeys(State, Action.KEEP),
    Phase.LEAVING: dict.fromkeys(State, Action.LAST),
    Phase.FINISHING: dict.fromkeys(State, Action.LAST),
    Phase.CLOSING: dict.fromkeys(State, Action.LAST)
    | dict.fromkeys(IDLE_STATES, Action.CLOSE)
    | dict.fromkeys((State.HEADER, State.BODY), Action.REFUSE),
}
ACTIONS = {
    phase: actions | {State.LINGERING: Action.DISCARD}
    for phase, actions in _BY_PHASE.items()
} | {Phase.OVER: dict.fromkeys(State, Action.CUT)}


class Shutdown:
    """State machine of a planned stop.

    The event loop's thread calls it between two reads, so that no request is read
    between a decision and what follows from it.
    """

    def __init__(
        self,
        drain: runtime.Drain,
        clock: Callable[[], float] = runtime.now,
    ) -> None:
        """Creates the machine of a server that serves.

        Args:
            drain: time bounds of the stop.
            clock: the clock of `drain`.
        """
        self.phase = Phase.SERVING
        self._drain = drain
        self._clock = clock
        self._settled_at = 0.0

    @property
    def ended(self) -> bool:
        """Whether the time of the stop is used up, whatever the phase."""
        return self._clock() >= self._drain.end

    @property
    def began(self) -> bool:
        """Whether the stop has begun, also before the first phase is entered."""
        return self._drain.began

    def advance(self, in_use: int, lingering: int) -> bool:
        """Enters the next phase if it is due; returns whether it did.

        Args:
            in_use: open connections, and busy workers.
            lingering: connections that only the client has yet to close.
        """
        phase = self._next(in_use, lingering)
        if phase is self.phase:
            return False
        self.phase = phase
        if phase is Phase.CLOSING:
            left_s = self._drain.end - self._clock()
            self._settled_at = self._clock() + min(SETTLE_S, left_s / 2)
        return True

    def _next(self, in_use: int, lingering: int) -> Phase:
        if self.phase is Phase.OVER or self.ended:
            return Phase.OVER
        if self.phase is Phase.SERVING:
            return Phase.LEAVING if self._drain.began else Phase.SERVING
        if self.phase is Phase.CLOSING:
            return self.phase if in_use or lingering else Phase.OVER
        if self._clock() >= self._drain.deadline:
            return Phase.CLOSING
        if self.phase is Phase.FINISHING:
            return self.phase if in_use else Phase.CLOSING
        lag_is_over = self._drain.elapsed_s >= self._drain.lag_s
        return Phase.FINISHING if lag_is_over else Phase.LEAVING

    @property
    def _max_quiet_s(self) -> float:
        return min(MAX_QUIET_S, QUIET_SHARE * self._drain.length_s)

    def action(
        self,
        state: State,
        *,
        unread: bool = False,
        quiet_s: float = 0.0,
        only_idle: bool = False,
    ) -> Action:
        """Returns what a connection is given.

        Args:
            state: its progress.
            unread: whether bytes of the client are waiting to be read.
            quiet_s: time of the stop without a byte in either direction.
            only_idle: whether no connection has a request in progress.
        """
        action = ACTIONS[self.phase][state]
        if self.phase is Phase.FINISHING and self._is_needless(
            state, quiet_s, only_idle=only_idle
        ):
            action = Action.CLOSE
        settling = self._clock() < self._settled_at
        if action is Action.CLOSE and (unread or (state is State.NEW and settling)):
            return Action.LAST
        if action is Action.REFUSE and unread and settling:
            return Action.LAST
        return action

    def _is_needless(self, state: State, quiet_s: float, *, only_idle: bool) -> bool:
        # Its next call would come too late to be sure of its end.
        if state is State.IDLE and quiet_s >= self._drain.lag_s:
            return True
        return state in IDLE_STATES and only_idle and quiet_s >= self._max_quiet_s
