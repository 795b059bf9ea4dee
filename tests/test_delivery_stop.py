"""Deliveries while the process stops: late calls, and calls open at its end."""

import time
from concurrent import futures
from unittest import mock

import attrs
import result

from tests import fixtures, test_delivery, test_dispatch, test_late_attempts
from turmericward import delivery, dispatching, requests, routing, runtime, telemetry
from turmericward.adapters import errors
from turmericward.delivery import _stop

check = fixtures.check
STOP_S = 8.0
# Callers notice the stop when so much of it has passed; a call from before.
LAG_S = 3.0
EARLY_S = 1.0
CALL_S = 8.0
INTERRUPT_WAIT_S = 5.0
# Longer than a call that took as long as those before it could still wait.
WAIT_S = 2.5
ROUTE = {"objective_s": 0.1, "abandon_s": 20.0}


class _Clock:
    """A clock that tests move forward."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now

    def advance(self, seconds: float) -> None:
        self.now += seconds


class _Transport(test_delivery._Transport):
    """Waits in one phase until the call is interrupted; moves the clock forward."""

    def __init__(self, clock: _Clock, *, silent_in: str = "", **kwargs) -> None:
        super().__init__(**kwargs)
        self._clock = clock
        self._silent_in = silent_in
        # Time that passes on the clock of the stop during each prefill and send.
        self.prefill_s = 0.0
        self.send_s = 0.0

    def prefill(self, target, call, dispatch) -> str:
        source = super().prefill(target, call, dispatch)
        self._clock.now += self.prefill_s
        self._wait_if("prefill", call)
        return source

    def send(self, target, call, dispatch) -> routing.Answer:
        self._clock.now += self.send_s
        answer = super().send(target, call, dispatch)
        self._wait_if("send", call)
        return attrs.evolve(answer, chunks=self._chunks(answer.chunks, call))

    def _chunks(self, chunks, call):
        yield from chunks
        self._wait_if("stream", call)

    def _wait_if(self, phase: str, call) -> None:
        if phase != self._silent_in:
            return
        self._clock.now += STOP_S
        until = time.monotonic() + INTERRUPT_WAIT_S
        while not call.cancelled():
            check.assertLess(time.monotonic(), until, "call was not interrupted")
            time.sleep(0.01)
        raise errors.CancelledError("interrupted")


def _context(drain: runtime.Drain, transport, times=None):
    retries = dispatching.RetryBounds(share=0.0, slack=test_dispatch.slack_for(2.7))
    task = test_dispatch._task(retries=retries)
    task.handle(dispatching.PutTargets(targets=tuple(test_delivery._targets())))
    dispatcher = test_delivery._Dispatcher(task)
    ctx = delivery.Context(
        dispatch=dispatcher,
        transport=transport,
        metrics=telemetry.Metrics(None, ""),
        drain=drain,
        times=times or _stop.CallTimes(),
    )
    return ctx, dispatcher


def _run(
    transport,
    clock: _Clock,
    *,
    left_s: float,
    took_s=None,
    sent_s=EARLY_S,
    call_s=CALL_S,
    **route_changes,
):
    """Delivers a call when `left_s` remain of the stop.

    Returns the reply and the dispatcher; `took_s` is how long earlier calls took,
    `sent_s` the time of the stop at which the call was sent, at the latest now, and
    `call_s` what is left of its own time.
    """
    drain = runtime.Drain(STOP_S, clock, lag_s=LAG_S)
    drain.begin()
    clock.now = drain.deadline - left_s
    call = test_dispatch._call(call_s)
    route = attrs.evolve(call.route, **(ROUTE | route_changes))
    received = call.received - max(0.0, drain.elapsed_s - sent_s)
    call = attrs.evolve(call, route=route, received=received)
    times = _stop.CallTimes()
    for _ in range(0 if took_s is None else 50):
        times.record(route.name, took_s)
    ctx, dispatcher = _context(drain, transport, times)
    return delivery.Delivery(ctx, call, "model").run(), dispatcher


def _check_refused(reply: routing.Reply) -> None:
    check.assertEqual((reply.status, reply.failure.reason), (503, "stopping"))
    check.assertFalse(reply.failure.may_have_run)
    check.assertEqual(reply.failure.retry_after_s, _stop.RETRY_AFTER_S)


def test_a_call_that_came_late_in_a_stop_was_passed_on_and_cut():
    clock = _Clock()
    cases = [(None, 3.9), (5.0, 4.0), (0.5, 0.3)]
    for took_s, left_s in cases:
        transport = _Transport(clock)
        reply, _ = _run(transport, clock, left_s=left_s, took_s=took_s, resumable=False)
        _check_refused(reply)
        check.assertEqual((transport.prefilled, transport.sent), ([], []), took_s)


def test_a_call_that_can_end_before_the_stop_is_served():
    clock = _Clock()
    for took_s, left_s in [(None, 8.1), (3.0, 4.0), (0.1, 0.3)]:
        transport = _Transport(clock)
        reply, _ = _run(transport, clock, left_s=left_s, took_s=took_s)
        check.assertEqual(test_delivery._ids(reply), [1], took_s)


def test_calls_are_served_however_long_they_take_before_the_stop():
    transport = _Transport(_Clock())
    ctx, _ = _context(runtime.Drain(STOP_S), transport)
    reply = delivery.Delivery(ctx, test_dispatch._call(CALL_S), "model").run()
    check.assertEqual(test_delivery._ids(reply), [1])


def test_no_retry_that_cannot_end_before_the_stop():
    clock = _Clock()
    transport = _Transport(clock, sends=["lost", "none"])
    transport.send_s = 3.0
    reply, _ = _run(
        transport, clock, left_s=4.0, took_s=2.0, max_attempts=4, resumable=True
    )
    check.assertEqual(len(transport.sent), 1)
    check.assertEqual((reply.status, reply.failure.may_have_run), (502, True))


def test_no_retry_after_a_refusal_that_cannot_end_before_the_stop():
    clock = _Clock()
    transport = _Transport(clock, sends=["refused", "none"])
    transport.send_s = 3.0
    reply, _ = _run(transport, clock, left_s=4.0, took_s=2.0)
    check.assertEqual(len(transport.sent), 1)
    check.assertEqual((reply.status, reply.failure.may_have_run), (503, False))


def test_no_hand_over_after_a_prefill_that_took_the_rest_of_the_stop():
    clock = _Clock()
    transport = _Transport(clock)
    transport.prefill_s = 3.95
    reply, _ = _run(transport, clock, left_s=4.0, took_s=2.0)
    check.assertEqual((len(transport.prefilled), transport.sent), (1, []))
    _check_refused(reply)
    check.assertEqual(transport.released, [f"{transport.prefilled[0]}/kv1"])


def test_open_calls_get_a_final_answer_at_the_end_of_the_stop():
    cases = [("prefill", 503, False), ("send", 502, True)]
    for phase, status, may_have_run in cases:
        clock = _Clock()
        transport = _Transport(clock, silent_in=phase)
        reply, dispatcher = _run(transport, clock, left_s=5.0, took_s=1.0)
        check.assertEqual(reply.status, status, phase)
        check.assertEqual(reply.failure.may_have_run, may_have_run, phase)
        endings = [m.ending for m in dispatcher.posted if hasattr(m, "ending")]
        check.assertEqual(endings[-1], requests.Ending.DISCONNECTED, phase)


def test_a_call_waiting_for_its_turn_is_refused_at_the_end_of_the_stop():
    clock = _Clock()
    transport = _Transport(clock)
    drain = runtime.Drain(STOP_S, clock, lag_s=LAG_S)
    ctx, _ = _context(drain, transport)
    waiting = delivery.Delivery(ctx, test_dispatch._call(CALL_S), "model")
    drain.begin()
    clock.now = drain.deadline
    _check_refused(waiting.run())
    check.assertEqual(transport.sent, [])


def test_a_stream_open_at_the_end_of_the_stop_breaks_off_visibly():
    clock = _Clock()
    transport = _Transport(clock, silent_in="stream")
    reply, dispatcher = _run(transport, clock, left_s=5.0, took_s=1.0)
    received = []
    with check.assertRaises(delivery.StreamBrokenError) as caught:
        for batch in reply.body:
            received += [event.id for event in batch]
    check.assertEqual(received, ["1"])
    check.assertTrue(caught.exception.failure.may_have_run)
    (ended,) = [m for m in dispatcher.posted[-1:] if hasattr(m, "ending")]
    check.assertEqual((ended.streamed, ended.answered), (False, False))


def test_a_stream_whose_events_never_pause_ends_with_the_stop():
    clock = _Clock()

    def chunks():
        for number in range(1, 10_000):
            clock.now += 0.5
            yield b"id: %d\ndata: x\n\n" % number

    transport = _Transport(clock, streams=[chunks()])
    reply, _ = _run(transport, clock, left_s=5.0, took_s=1.0)
    received = []
    with check.assertRaises(delivery.StreamBrokenError):
        for batch in reply.body:
            received += batch
    check.assertLess(len(received), 20)


def test_expected_durations_are_those_of_the_route_and_need_some_calls():
    times = _stop.CallTimes()
    for number in range(1, _stop.MIN_CALLS_FOR_LONGEST + 1):
        check.assertIsNone(times.longest_s("a"), number)
        times.record("a", 1.0)
        usual_s = None if number < _stop.MIN_CALLS else 1.0
        check.assertEqual(times.usual_s("a"), usual_s, number)
        times.record("b", 0.1)
    check.assertGreater(times.longest_s("a"), 1.0)
    check.assertLess(times.longest_s("b"), 1.0)


def test_seldom_long_calls_count_late_in_the_stop():
    times = _stop.CallTimes()
    for took_s in [0.1] * 60 + [5.0] + [0.1] * 60:
        times.record("a", took_s)
    check.assertLess(times.usual_s("a"), 1.0)
    check.assertGreater(times.longest_s("a"), 5.0)


# Calls got longer than all before them while the process stopped, and were cut.
def test_calls_sent_once_a_stop_is_known_begin_only_if_their_deadline_is_in_time():
    cases = [
        # Time of the stop at which they are sent, their own time, what callers get.
        (2.7, 8.0, [1]),
        (2.8, 8.0, 503),
        (2.8, 4.1, [1]),
        (3.0, 4.1, 503),
        (3.0, 3.9, [1]),
        (4.5, 2.6, 503),
        (4.5, 2.4, [1]),
        (6.5, 0.6, 503),
        (6.5, 0.4, [1]),
    ]
    for sent_s, call_s, expected in cases:
        for took_s in (None, 0.1, 4.0):
            clock = _Clock()
            drain = runtime.Drain(STOP_S, clock, lag_s=LAG_S)
            drain.begin()
            clock.now += sent_s
            ctx, _ = _context(drain, _Transport(clock))
            received = _received_on(clock, ctx, call_s, took_s)
            check.assertEqual(received, expected, (sent_s, call_s, took_s))


def test_calls_are_refused_less_readily_while_most_of_the_stop_is_left():
    cases = [
        # Time left, how long calls took before, status.
        (6.9, None, 200),
        (4.1, None, 200),
        (3.9, None, 503),
        (6.9, 6.8, 200),
        (4.1, 3.9, 200),
        (4.1, 4.2, 503),
        (3.9, 3.0, 200),
        (3.9, 3.3, 503),
    ]
    for left_s, took_s, status in cases:
        for resumable in (False, True):
            clock = _Clock()
            transport = _Transport(clock)
            reply, _ = _run(
                transport, clock, left_s=left_s, took_s=took_s, resumable=resumable
            )
            check.assertEqual(reply.status, status, (left_s, took_s))


def test_a_stop_that_is_lengthened_as_it_ends_a_stream_does_not_let_it_look_whole():
    clock = _Clock()
    drain = runtime.Drain(STOP_S, clock, lag_s=LAG_S)
    transport = _Transport(clock)

    def chunks(call):
        yield b"id: 1\ndata: x\n\n"
        clock.now = drain.end
        check.assertTrue(call.cancelled())
        drain.set_length(600.0)
        raise errors.CancelledError("interrupted")

    transport._chunks = lambda _, call: chunks(call)
    ctx, _ = _context(drain, transport)
    call = test_dispatch._call(CALL_S)
    call = attrs.evolve(call, route=attrs.evolve(call.route, resumable=False))
    drain.begin()
    reply = delivery.Delivery(ctx, call, "model").run()
    with check.assertRaises(delivery.StreamBrokenError):
        for _ in reply.body:
            pass


def test_a_stream_that_has_begun_is_resumed_though_a_new_one_would_be_refused():
    clock = _Clock()
    broken = test_delivery._Stream([[1, 2]], False)
    streams = [broken, test_delivery._Stream([[3, 4]], True)]
    transport = _Transport(clock, streams=[iter(s) for s in streams])
    transport.send_s = 2.0
    reply, _ = _run(
        transport, clock, left_s=4.5, took_s=2.3, max_attempts=4, resumable=True
    )
    check.assertEqual(test_delivery._ids(reply), [1, 2, 3, 4])
    check.assertEqual(len(transport.sent), 2)


def _logged(log_event, name: str) -> list[dict]:
    return [c.kwargs for c in log_event.call_args_list if c.args == (name,)]


def test_the_log_did_not_tell_why_a_stop_took_or_refused_a_call():
    for left_s, took_s, outcome in ((6.0, 1.0, "granted"), (6.0, 6.5, "refused")):
        clock = _Clock()
        with mock.patch.object(telemetry, "log_event") as log_event:
            _run(_Transport(clock), clock, left_s=left_s, took_s=took_s)
        lines = _logged(log_event, "stop_admission")
        check.assertEqual({line["outcome"] for line in lines}, {outcome})
        check.assertEqual(lines[0]["basis"], "usual")
        check.assertEqual(lines[0]["need_s"], took_s)
        check.assertAlmostEqual(lines[0]["stop_left_s"], left_s, places=2)
        check.assertAlmostEqual(lines[0]["received_s"], EARLY_S, delta=0.1)


def test_the_log_did_not_tell_which_calls_a_process_left_open():
    transport = _Transport(_Clock())
    ctx, _ = _context(runtime.Drain(STOP_S), transport)
    for reads in (True, False):
        reply = delivery.Delivery(ctx, test_dispatch._call(CALL_S), "model").run()
        with mock.patch.object(telemetry, "log_event") as log_event:
            ctx.open_calls.log()
        (line,) = _logged(log_event, "left_open")
        check.assertEqual((line["request_id"], line["began"]), ("c", True))
        if reads:
            test_delivery._ids(reply)
        reply.body.close()
        check.assertEqual(len(ctx.open_calls), 0)


def test_kv_cache_is_not_released_before_the_last_answers_of_a_stop():
    clock = _Clock()
    transport = _Transport(clock, silent_in="send")
    reply, _ = _run(transport, clock, left_s=5.0, took_s=1.0)
    check.assertEqual(reply.status, 502)
    check.assertEqual((len(transport.prefilled), transport.released), (1, []))


def test_a_call_that_waited_for_a_rate_limit_is_checked_again_before_it_is_sent():
    clock = _Clock()
    transport = _Transport(clock)
    began = time.monotonic()

    def placed(message):
        chosen = dispatcher_ask(message)
        placement = chosen.result().unwrap()
        # The wait takes 0.1 s, in which the clock of the stop moves on by 3 s.
        fut = futures.Future()
        fut.set_result(result.Ok(attrs.evolve(placement, start_after_s=0.1)))
        clock.now += 3.0
        return fut

    drain = runtime.Drain(STOP_S, clock, lag_s=LAG_S)
    drain.begin()
    clock.now = drain.deadline - 4.0
    ctx, dispatcher = _context(drain, transport)
    dispatcher_ask, dispatcher.ask = dispatcher.ask, placed
    call = test_dispatch._call(CALL_S)
    call = attrs.evolve(call, received=call.received - (3.0 - EARLY_S))
    for _ in range(50):
        ctx.times.record(call.route.name, 2.0)
    _check_refused(delivery.Delivery(ctx, call, "model").run())
    check.assertEqual((transport.prefilled, transport.sent), ([], []))
    check.assertGreater(time.monotonic() - began, 0.09)


class _Waiting(_Transport):
    """Lets each call wait once, on the clock of the stop and of the calls."""

    def __init__(self, clock: _Clock, wait: str) -> None:
        sends = {"refused attempt": ["refused"], "lost attempt": ["lost"]}.get(wait, ())
        streams = [test_delivery._Stream([[n]], n == 2) for n in (1, 2)]
        streams = streams if wait == "broken stream" else ()
        prefills = ["not sent"] if wait == "unreached target" else ()
        streams = (iter(s) for s in streams)
        super().__init__(clock, sends=sends, streams=streams, prefills=prefills)
        steps = {
            "prefill": "prefill",
            "rate limit": wait,
            "unreached target": "prefill",
        }
        self._wait = steps.get(wait, "attempt")

    def take_wait_s(self, wait: str) -> float:
        if wait != self._wait:
            return 0.0
        self._wait = ""
        return WAIT_S

    def prefill(self, target, call, dispatch) -> str:
        self._clock.now += self.take_wait_s("prefill")
        return super().prefill(target, call, dispatch)

    def send(self, target, call, dispatch) -> routing.Answer:
        self._clock.now += self.take_wait_s("attempt")
        return super().send(target, call, dispatch)


def _deliver_after_wait(wait: str, sent_s: float, call_s: float, took_s: float):
    """Returns the transport, and the events or status that the client got."""
    clock = _Clock()
    transport = _Waiting(clock, wait)
    drain = runtime.Drain(STOP_S, clock, lag_s=LAG_S)
    drain.begin()
    clock.now += sent_s
    ctx, dispatcher = _context(drain, transport)
    ask = dispatcher.ask

    def ask_with_limit(message):
        if not isinstance(message, dispatching.Place):
            return ask(message)
        wait_s = transport.take_wait_s("rate limit")
        chosen = ask(message).result()
        fut = futures.Future()
        fut.set_result(chosen.map(lambda p: attrs.evolve(p, start_after_s=wait_s)))
        return fut

    dispatcher.ask = ask_with_limit
    return transport, _received_on(clock, ctx, call_s, took_s)


def _received_on(clock: _Clock, ctx, call_s: float, took_s: float | None):
    """Returns what the client gets of a call whose time is that of the stop.

    `took_s` is how long earlier calls took, if there were any.
    """
    with (
        mock.patch.object(runtime, "now", clock),
        mock.patch.object(time, "sleep", clock.advance),
    ):
        call = test_dispatch._call(call_s)
        route = attrs.evolve(call.route, max_attempts=4, resumable=True, **ROUTE)
        for _ in range(0 if took_s is None else 50):
            ctx.times.record(route.name, took_s)
        reply = delivery.Delivery(ctx, attrs.evolve(call, route=route), "model").run()
        return test_late_attempts._received(reply)


# Rows of the table in docs/notes/stop.md, "Late requests": what a call waits for.
def test_calls_that_waited_began_late_without_another_look_at_the_stop():
    cases = [
        # When a call is sent, its own time, how long calls took before.
        ("likely", 2.0, 8.0, 0.5),
        ("likely before the wait", 2.0, 8.0, 3.4),
        ("certain", 3.5, 3.4, 4.0),
        ("not certain", 3.5, 3.6, 0.1),
    ]
    served, resumed = [1], [1, 2]
    expected = {
        # The time of its prefill is a part of the time of a call.
        "prefill": [served, served, served, 503],
        "rate limit": [served, 503, served, 503],
        "unreached target": [served, 503, served, 503],
        "refused attempt": [served, 503, served, 503],
        "lost attempt": [served, 502, served, 503],
        "broken stream": [resumed, resumed, resumed, 503],
    }
    for wait, outcomes in expected.items():
        for (name, *numbers), outcome in zip(cases, outcomes, strict=True):
            transport, received = _deliver_after_wait(wait, *numbers)
            check.assertEqual(received, outcome, (wait, name))
            if name == "not certain":
                check.assertEqual((transport.prefilled, transport.sent), ([], []))


# Prefilled before the stop: the handle was lost, or the engine had changed its role.
def test_the_second_half_of_a_call_was_begun_or_given_up_against_the_time_of_a_stop():
    cases = [
        # Time of the prefill, faults, what the client gets; prefills, calls sent, and
        # handles released.
        (1.0, {}, [1], (1, 1, 0)),
        (6.95, {}, 503, (1, 0, 1)),
        (1.0, {"sends": ["refused"]}, [1], (2, 2, 1)),
        (4.0, {"sends": ["refused"]}, 503, (1, 1, 1)),
        (1.0, {"prefills": ["refused"]}, [1], (2, 1, 0)),
        (6.0, {"prefills": ["refused"]}, 503, (1, 0, 0)),
        (4.0, {"sends": ["lost"]}, 502, (1, 1, 0)),
    ]
    for prefill_s, faults, outcome, counts in cases:
        clock = _Clock()
        drain = runtime.Drain(STOP_S, clock, lag_s=LAG_S)
        transport = _StoppedInPrefill(clock, drain, prefill_s, **faults)
        ctx, _ = _context(drain, transport)
        case = (prefill_s, faults)
        check.assertEqual(_received_on(clock, ctx, CALL_S, 3.0), outcome, case)
        done = (transport.prefilled, transport.sent, transport.released)
        check.assertEqual(tuple(len(calls) for calls in done), counts, case)


class _StoppedInPrefill(_Transport):
    """Lets the stop begin as the first prefill does, which takes a time."""

    def __init__(self, clock, drain, prefill_s: float, **faults) -> None:
        super().__init__(clock, **faults)
        self._drain = drain
        self._first_s = prefill_s

    def prefill(self, target, call, dispatch) -> str:
        self._drain.begin()
        self._clock.now += self._first_s
        self._first_s = 0.0
        return super().prefill(target, call, dispatch)


def test_a_begun_stream_that_no_engine_takes_on_in_a_stop_breaks_off_visibly():
    clock = _Clock()
    drain = runtime.Drain(STOP_S, clock, lag_s=LAG_S)
    streams = [iter(test_delivery._Stream([[1]], False))]
    transport = _StoppedInPrefill(
        clock, drain, 1.0, sends=["none"] + ["refused"] * 9, streams=streams
    )
    ctx, _ = _context(drain, transport)
    check.assertEqual(_received_on(clock, ctx, CALL_S, 3.0), [1, 502])


# The attempt at the silent target had been ended, and no other one was allowed.
def test_a_stop_cut_a_begun_stream_whose_silent_target_would_have_gone_on():
    for second in (
        test_late_attempts._Attempt("late", "head", kind="refused"),
        test_late_attempts._Attempt("late", test_delivery.FAULTS["lost"]),
    ):
        first = test_late_attempts._stream(1, "late", 2)
        ends = [requests.Ending.DISCONNECTED, requests.Ending.SUCCEEDED]
        check.assertEqual(_run_late(first, second), ([1, 2], ends))
        check.assertLessEqual(second.dispatch.timeout_s, 0.4)


def test_a_silent_target_is_replaced_in_a_stop_once_another_one_has_answered():
    first = test_late_attempts._stream(1, "late")
    second = test_late_attempts._stream(2)
    ends = [requests.Ending.LATE, requests.Ending.SUCCEEDED]
    check.assertEqual(_run_late(first, second), ([1, 2], ends))


def test_a_stream_without_an_event_gets_a_whole_answer_if_no_target_takes_it_on():
    # Its prompt is prefilled anew, but the call isn't allowed once more.
    first = test_late_attempts._Attempt("late", "head", 1, 2)
    received, ends = _run_late(first, test_late_attempts._stream(1), early=True)
    check.assertEqual(received, 502)
    check.assertEqual(ends, [requests.Ending.LATE, requests.Ending.SUCCEEDED])


def _run_late(
    first, second, *, early: bool = False
) -> tuple[list, list[requests.Ending]]:
    """Stops the process under a stream that may be sent once more, no oftener.

    The stop begins `early` before the stream does, or else after its first event.

    Returns what the client gets, and how its two attempts ended.
    """
    drain = runtime.Drain(STOP_S, _Clock(), lag_s=LAG_S)
    transport = test_late_attempts._Transport(first, second)
    ctx, dispatcher = _context(drain, transport)
    granted = dispatcher.ask

    def ask(message):
        if not message.retry or not dispatcher.granted["retry"]:
            return granted(message)
        refusal = requests.Refusal(reason="retry_budget", retry_after_s=1.0)
        fut = futures.Future()
        fut.set_result(result.Err(refusal))
        return fut

    dispatcher.ask = ask
    call = test_dispatch._call(CALL_S)
    route = attrs.evolve(call.route, max_attempts=4, resumable=True)
    if early:
        drain.begin()
    reply = delivery.Delivery(ctx, attrs.evolve(call, route=route), "model").run()
    drain.begin()
    received = test_late_attempts._received(reply)
    return received, test_delivery._endings(dispatcher)[-2:]


class _PausingClock:
    """A clock whose reader's thread is switched out after each look."""

    def __init__(self, now: float, pause_s: float) -> None:
        self.now = now
        self._pause_s = pause_s

    def __call__(self) -> float:
        now = self.now
        self.now += self._pause_s
        return now


def _admission(call, received_s: float, lag_s: float, pause_s: float = 0.0):
    """Returns the admission of a call by a clock that goes on between two looks."""
    clock = _Clock()
    drain = runtime.Drain(STOP_S, clock, lag_s=lag_s)
    drain.begin()
    received = clock.now + received_s
    call = attrs.evolve(call, received=received, deadline=received + CALL_S)
    times = _stop.CallTimes()
    for _ in range(50):
        times.record(call.route.name, 0.1)
    looks = _PausingClock(clock.now + max(0.0, received_s), pause_s)
    drain._clock = looks
    with mock.patch.object(runtime, "now", looks):
        return _stop.CallStop(drain=drain, times=times).admission(call, 0.0)


def test_a_late_call_looked_early_as_its_thread_was_paused_between_two_looks():
    admission = _admission(test_dispatch._call(CALL_S), 3.1, LAG_S, pause_s=0.4)
    check.assertEqual(admission.basis, _stop.Basis.DEADLINE, admission)


def test_a_call_received_before_the_stop_was_refused_as_one_that_could_know_of_it():
    for lag_s in (0.0, 0.1, LAG_S):
        admission = _admission(test_dispatch._call(CALL_S), -0.1, lag_s)
        check.assertTrue(admission.granted, lag_s)
