"""Carries out the planned stop of a server in its event loop's thread."""

import collections
import math
import select

from waitress import wasyncore

from turmericward import runtime, telemetry
from turmericward.httpd import _channel, _shutdown

# Time between two steps before and during a stop.
SERVING_STEP_S = 1.0
STOPPING_STEP_S = 0.02
# Bounds the work of emptying the accept queue.
MAX_QUEUED = 4096

Phase = _shutdown.Phase
State = _shutdown.State
Action = _shutdown.Action
# Bounds the log lines of a stop.
MAX_CUT_LOGGED = 100
# States of a request without a whole response.
_CUT = frozenset({State.WAITING, State.RUNNING, State.FLUSHING})
# States in which unread bytes matter.
_MAY_CLOSE = frozenset({State.NEW, State.IDLE, State.HEADER, State.BODY})


class Stopper:
    """Advances the phases of a stop and applies them to the connections."""

    def __init__(self, server, drain: runtime.Drain) -> None:
        """Creates the stopper.

        Args:
            server: the waitress server; its `shutdown` is set to the state machine.
            drain: time bounds of the stop.
        """
        self._server = server
        self._drain = drain
        self._machine = _shutdown.Shutdown(drain)
        server.shutdown = self._machine

    @property
    def step_s(self) -> float:
        """Time until the next step."""
        serving = self._machine.phase is Phase.SERVING
        return SERVING_STEP_S if serving else STOPPING_STEP_S

    def step(self) -> bool:
        """Does what is due; returns whether the stop is over.

        Must be called by the thread that reads, so that looking and closing are one
        step. The server must not be used once the stop is over.
        """
        server = self._server
        while self._machine.advance(self._in_use(), len(server.lingering)):
            self._enter(self._machine.phase)
        if self._machine.phase in (Phase.FINISHING, Phase.CLOSING):
            now = runtime.now()
            only_idle = self._has_only_idle()
            for channel in list(server.active_channels.values()):
                self._apply(channel, now, only_idle=only_idle)
            for lingering in list(server.lingering):
                lingering.close_expired(now)
        return self._machine.phase is Phase.OVER

    def _in_use(self) -> int:
        # A worker may still end the call of a client that has left.
        return (
            len(self._server.active_channels) + self._server.task_dispatcher.busy_count
        )

    def _has_only_idle(self) -> bool:
        channels = list(self._server.active_channels.values())
        idle = all(c.state() in _shutdown.IDLE_STATES for c in channels)
        return idle and not self._server.task_dispatcher.busy_count

    def _enter(self, phase: Phase) -> None:
        if phase is Phase.CLOSING:
            self._close_listener()
        if phase is not Phase.OVER:
            telemetry.log_event("stop_phase", phase=phase.value, **self._counts())
            return
        unsent = sum(c.unacknowledged > 0 for c in self._server.lingering)
        complete = not self._in_use() and not unsent
        how = "complete" if complete else "cut"
        telemetry.log_event("stop_ended", how=how, unsent=unsent, **self._counts())
        self._log_cut()
        self._cut()

    def _log_cut(self) -> None:
        """Logs the requests without a whole response at their clients."""
        channels = [
            c for c in self._server.active_channels.values() if c.state() in _CUT
        ]
        for channel in channels[:MAX_CUT_LOGGED]:
            telemetry.log_event(
                "response_cut",
                request_id=channel.request_id,
                state=channel.state().name.lower(),
                unsent_bytes=channel.total_outbufs_len,
                quiet_s=round(runtime.now() - channel.last_activity, 3),
            )

    def _close_listener(self) -> None:
        """Accepts what is in the queue, which would be reset, and stops listening."""
        server = self._server
        if not server.accepting:
            return
        poll = select.poll()
        poll.register(server.socket, select.POLLIN)
        for _ in range(MAX_QUEUED):
            if not poll.poll(0):
                break
            server.handle_accept()
        # `server.close` would also close the pipe that wakes the event loop.
        wasyncore.dispatcher.close(server)

    def _apply(self, channel: _channel.Channel, now: float, *, only_idle: bool) -> None:
        state = channel.state()
        unread = (
            self._machine.phase is Phase.CLOSING
            and state in _MAY_CLOSE
            and channel.has_unread()
        )
        quiet_s = min(now - channel.last_activity, self._drain.elapsed_s)
        action = self._machine.action(
            state, unread=unread, quiet_s=quiet_s, only_idle=only_idle
        )
        if action is Action.CLOSE:
            channel.close_idle()
        elif action is Action.REFUSE:
            channel.refuse()

    def _cut(self) -> None:
        for channel in list(self._server.active_channels.values()):
            channel.cut()
        for lingering in list(self._server.lingering):
            lingering.close()

    def _counts(self) -> dict[str, float | None]:
        channels = list(self._server.active_channels.values())
        states = collections.Counter(c.state() for c in channels)
        left_s = self._drain.end - runtime.now()
        return {
            "elapsed_s": round(self._drain.elapsed_s, 3),
            # JSON has no infinity.
            "left_s": round(left_s, 3) if math.isfinite(left_s) else None,
            "connections": len(channels),
            "requests": sum(len(c.requests) for c in channels),
            "queued": states[State.WAITING],
            "busy_workers": self._server.task_dispatcher.busy_count,
            "partial": states[State.HEADER] + states[State.BODY],
            "flushing": states[State.FLUSHING],
            "idle": states[State.NEW] + states[State.IDLE],
            "lingering": len(self._server.lingering),
        }
