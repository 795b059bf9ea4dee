"""State machine of a planned stop, under a virtual clock."""

import functools

from tests import fixtures
from turmericward import runtime
from turmericward.httpd import _shutdown

check = fixtures.check
START = 100.0
LENGTH_S = 8.0
LAG_S = 3.0
Phase = _shutdown.Phase
State = _shutdown.State
Action = _shutdown.Action
KEEP, LAST, REFUSE = Action.KEEP, Action.LAST, Action.REFUSE
CLOSE, DISCARD, CUT = Action.CLOSE, Action.DISCARD, Action.CUT
PHASES = [
    Phase.SERVING,
    Phase.LEAVING,
    Phase.FINISHING,
    Phase.CLOSING,
    Phase.OVER,
]
# What a connection without unread bytes is given in each of the phases.
TABLE = {
    State.QUEUED: [KEEP, LAST, LAST, LAST, CUT],
    State.NEW: [KEEP, LAST, LAST, CLOSE, CUT],
    State.IDLE: [KEEP, LAST, LAST, CLOSE, CUT],
    State.HEADER: [KEEP, LAST, LAST, REFUSE, CUT],
    State.BODY: [KEEP, LAST, LAST, REFUSE, CUT],
    State.WAITING: [KEEP, LAST, LAST, LAST, CUT],
    State.RUNNING: [KEEP, LAST, LAST, LAST, CUT],
    State.FLUSHING: [KEEP, LAST, LAST, LAST, CUT],
    State.LINGERING: [DISCARD, DISCARD, DISCARD, DISCARD, CUT],
}


class _Stop:
    """A state machine on a clock that the test moves."""

    def __init__(self, length_s: float = LENGTH_S, lag_s: float = LAG_S) -> None:
        self.now = START
        self.drain = runtime.Drain(length_s, lambda: self.now, lag_s=lag_s)
        self.machine = _shutdown.Shutdown(self.drain, lambda: self.now)

    def advance(self, elapsed_s: float, in_use: int = 1, lingering: int = 0) -> Phase:
        """Moves the clock; returns the phase once nothing more is due."""
        self.now = START + elapsed_s
        while self.machine.advance(in_use, lingering):
            pass
        return self.machine.phase

    def enter(self, phase: Phase) -> None:
        """Plays a stop up to the phase, past the time that new connections get."""
        if phase is not Phase.SERVING:
            self.drain.begin()
            self.advance(0.0)
        if phase is Phase.FINISHING:
            self.advance(LAG_S)
        elif phase is Phase.CLOSING:
            self.advance(self.drain.deadline - START)
            self.now += _shutdown.SETTLE_S
        elif phase is Phase.OVER:
            self.advance(LENGTH_S)
        check.assertIs(self.machine.phase, phase)


def test_each_connection_gets_its_action_in_each_phase():
    check.assertEqual(set(TABLE), set(State))
    for index, phase in enumerate(PHASES):
        stop = _Stop()
        stop.enter(phase)
        for state, actions in TABLE.items():
            action = stop.machine.action(state)
            check.assertIs(action, actions[index], f"{phase} {state}")


def test_unread_bytes_keep_a_connection_from_being_closed():
    stop = _Stop()
    stop.enter(Phase.CLOSING)
    for state in (State.NEW, State.IDLE):
        check.assertIs(stop.machine.action(state, unread=True), LAST)


def test_connection_accepted_last_gets_time_for_its_request():
    stop = _Stop()
    stop.enter(Phase.FINISHING)
    stop.advance(stop.drain.deadline - START)
    check.assertIs(stop.machine.action(State.NEW), LAST)
    check.assertIs(stop.machine.action(State.IDLE), CLOSE)
    stop.now += _shutdown.SETTLE_S
    check.assertIs(stop.machine.action(State.NEW), CLOSE)


def test_partial_request_is_read_on_while_it_comes_for_a_short_time():
    stop = _Stop()
    stop.enter(Phase.FINISHING)
    stop.advance(stop.drain.deadline - START)
    check.assertIs(stop.machine.action(State.BODY, unread=True), LAST)
    check.assertIs(stop.machine.action(State.BODY), REFUSE)
    stop.now += _shutdown.SETTLE_S
    check.assertIs(stop.machine.action(State.BODY, unread=True), REFUSE)


def test_quiet_connections_do_not_hold_up_a_stop():
    for length_s, limit_s in ((LENGTH_S, 4.0), (600.0, 30.0)):
        stop = _Stop(length_s=length_s)
        stop.enter(Phase.FINISHING)
        action = functools.partial(stop.machine.action, quiet_s=limit_s, only_idle=True)
        check.assertIs(action(State.NEW), CLOSE)
        check.assertIs(action(State.NEW, unread=True), LAST)
        check.assertIs(action(State.NEW, quiet_s=limit_s - 0.1), LAST)
        check.assertIs(action(State.NEW, only_idle=False), LAST)
        check.assertIs(action(State.BODY), LAST)
        check.assertIs(action(State.RUNNING), LAST)


# Calls on them came too late to be sure of their end, and were refused.
def test_connections_idle_since_before_a_stop_were_kept_after_the_lag():
    for length_s, lag_s in ((LENGTH_S, LAG_S), (600.0, LAG_S), (LENGTH_S, 1.0)):
        for only_idle in (False, True):
            stop = _Stop(length_s=length_s, lag_s=lag_s)
            stop.enter(Phase.LEAVING)
            action = functools.partial(
                stop.machine.action, State.IDLE, only_idle=only_idle
            )
            check.assertIs(action(quiet_s=lag_s), LAST)
            stop.advance(lag_s)
            check.assertIs(action(quiet_s=lag_s), CLOSE)
            check.assertIs(action(quiet_s=lag_s, unread=True), LAST)
            check.assertIs(action(quiet_s=lag_s - 0.1), LAST)


def test_open_connections_keep_the_stop_open_until_the_deadline():
    stop = _Stop()
    stop.drain.begin()
    check.assertIs(stop.advance(0.0), Phase.LEAVING)
    check.assertIs(stop.advance(LAG_S - 0.1, in_use=0), Phase.LEAVING)
    check.assertIs(stop.advance(LAG_S), Phase.FINISHING)
    check.assertIs(stop.advance(6.9), Phase.FINISHING)
    check.assertIs(stop.advance(7.0), Phase.CLOSING)
    check.assertIs(stop.advance(7.4), Phase.CLOSING)
    check.assertIs(stop.advance(7.5), Phase.OVER)


def test_stop_is_over_when_nothing_is_open_after_the_lag():
    stop = _Stop()
    stop.drain.begin()
    check.assertIs(stop.advance(LAG_S, in_use=0, lingering=1), Phase.CLOSING)
    check.assertIs(stop.advance(LAG_S + 0.1, in_use=0), Phase.OVER)


def test_each_phase_is_entered_in_order_after_nothing_was_open():
    stop = _Stop()
    stop.drain.begin()
    stop.now = START + LAG_S
    phases = []
    while stop.machine.advance(0, 0):
        phases.append(stop.machine.phase)
    check.assertEqual(phases, PHASES[1:])


def test_process_that_was_paused_beyond_the_end_finds_the_stop_over():
    for phase in PHASES[:-1]:
        stop = _Stop()
        stop.enter(phase)
        stop.drain.begin()
        check.assertFalse(stop.machine.ended)
        stop.now += 60.0
        check.assertTrue(stop.machine.ended)
        check.assertIs(stop.advance(stop.now - START), Phase.OVER)


def test_process_that_was_paused_beyond_the_deadline_closes():
    stop = _Stop()
    stop.enter(Phase.LEAVING)
    check.assertIs(stop.advance(7.2), Phase.CLOSING)


def test_stop_shorter_than_the_lag_still_closes_before_it_ends():
    stop = _Stop(length_s=1.0)
    stop.drain.begin()
    check.assertIs(stop.advance(0.83), Phase.LEAVING)
    check.assertIs(stop.advance(0.84), Phase.CLOSING)
    check.assertIs(stop.machine.action(State.NEW), LAST)
    stop.now = START + 0.88
    check.assertIs(stop.machine.action(State.NEW), CLOSE)
    check.assertIs(stop.advance(0.91), Phase.OVER)


def test_changed_length_moves_a_stop_that_has_begun():
    stop = _Stop()
    stop.enter(Phase.FINISHING)
    stop.drain.set_length(600.0)
    check.assertIs(stop.advance(500.0), Phase.FINISHING)
    stop.drain.set_length(8.0)
    check.assertIs(stop.advance(500.0), Phase.OVER)
