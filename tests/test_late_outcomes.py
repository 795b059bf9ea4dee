"""What a second attempt beside a silent target leaves for the rest of its call."""

import functools
import threading
from concurrent import futures
from unittest import mock

import attrs

from tests import (
    fixtures,
    test_delivery,
    test_dispatch,
    test_late_attempts,
    test_router_task,
)
from turmericward import delivery, dispatching, requests, telemetry
from turmericward.adapters import errors
from turmericward.delivery import _progress
from turmericward.dispatching import _messages

check = fixtures.check
Ending = requests.Ending
WHOLE = test_late_attempts.WHOLE
LOST = test_delivery.FAULTS["closed"]
NOT_NEEDED = errors.RivalAnsweredError("first goes on")
_Attempt = test_late_attempts._Attempt
_engines = test_late_attempts._engines
_run_plain = test_late_attempts._run_plain
_run_stream = test_late_attempts._run_stream
_stream = test_late_attempts._stream


def _seconds_that_fail_late() -> list[_Attempt]:
    refused = _Attempt("late", "head", kind="refused")
    return [refused, _Attempt("late", test_delivery.FAULTS["lost"])]


def test_a_stream_was_cut_with_its_second_attempt_though_its_first_target_was_sound():
    for second in _seconds_that_fail_late():
        attempts = _stream(1, 2, "late"), second, _stream(3, 4)
        outcome, names = _sent_to(*attempts, attempts=2, targets=_engines(2))
        check.assertEqual(outcome[:2], (WHOLE, 3))
        check.assertEqual(names[0], names[2])


def _sent_to(*attempts: _Attempt, **changes):
    """Runs a stream; returns its outcome and the targets of its attempts."""
    names, send = [], test_late_attempts._Transport.send

    def recorded(self, target, call, dispatch):
        names.append(target.name)
        return send(self, target, call, dispatch)

    with mock.patch.object(test_late_attempts._Transport, "send", recorded):
        return _run_stream(*attempts, **changes), names


ONE_RETRY = test_dispatch.slack_for(1.2)


def test_a_stream_lost_its_sound_target_to_the_last_retry_of_the_budget():
    """A target that is silent for as long as sound ones are keeps its stream."""
    first = _stream(1, 2, "late", 3, 4)
    outcome = _run_stream(first, _stream(3, 4), slack=ONE_RETRY)
    check.assertEqual(outcome[:2], (WHOLE, 1))


def test_two_targets_worked_on_a_stream_that_had_the_last_retry():
    """Guards against a first attempt that is kept beside a second one at work.

    Only a target that has been silent for longer than sound ones are costs the last
    retry. Which of the two is ended then is told in docs/notes/silence.md.
    """

    def end_of_first() -> None:
        check.assertTrue(first.pending.closed)

    with mock.patch.object(_messages, "SOUND_SILENCE_S", 0.0):
        first = _stream(1, 2, "late", 3, 4)
        second = _Attempt("late", end_of_first, "head", 3, 4)
        outcome = _run_stream(first, second, slack=ONE_RETRY)
        check.assertEqual(outcome, (WHOLE, 2, [Ending.LATE, Ending.SUCCEEDED]))
        for second in _seconds_that_fail_late():
            first = _stream(1, 2, "late", 3, 4)
            received, sent, _ = _run_stream(first, second, slack=ONE_RETRY)
            check.assertEqual((received[:2], sent), ([1, 2], 2))
            check.assertGreaterEqual(received[2], 500)


def test_a_target_that_was_not_needed_was_not_used_when_the_first_one_ended():
    for attempts, engines in ((4, 2), (2, 4)):
        first, second = _stream(1, 2, "late", 3, LOST), _Attempt(NOT_NEEDED)
        targets = _engines(engines)
        outcome = _run_stream(
            first, second, _stream(4), attempts=attempts, targets=targets
        )
        check.assertEqual(outcome[:2], (WHOLE, 3), (attempts, engines))


def test_the_second_pause_of_a_call_was_waited_out_with_two_attempts():
    first = _stream(1, 2, "late", 3, "late", lambda: check.fail("waited for"))
    outcome = _run_stream(first, _Attempt(NOT_NEEDED), _stream(4), attempts=2)
    check.assertEqual(outcome[:2], (WHOLE, 3))


def test_a_call_goes_to_no_more_targets_than_its_route_allows():
    attempts = _stream(1, 2, "late", 3, LOST), _Attempt(NOT_NEEDED), _Attempt(LOST)
    outcome, names = _sent_to(*attempts, attempts=2)
    check.assertEqual(outcome[:2], ([1, 2, 3, 502], 3))
    check.assertEqual((len(set(names)), names[1]), (2, names[2]))
    not_reached = _Attempt(test_delivery.FAULTS["not sent"])
    attempts = _stream(1, 2, "late"), _Attempt("late", LOST), not_reached
    outcome, names = _sent_to(*attempts, attempts=2)
    check.assertEqual(outcome[:2], ([1, 2, 502], 3))
    check.assertEqual((len(set(names)), names[0]), (2, names[2]))


def test_a_client_that_left_a_silent_target_spoke_for_it():
    left = []
    first = _stream(
        1, "late", functools.partial(left.append, 1), test_delivery.FAULTS["cancelled"]
    )
    transport = test_late_attempts._Transport(first)
    _, dispatcher = test_late_attempts._run(
        transport, slack=0.0, disconnected=lambda: bool(left)
    )
    check.assertEqual(test_delivery._endings(dispatcher), [Ending.DISCONNECTED])


def test_half_an_answer_of_a_second_target_ended_the_first():
    second = _Attempt("head", LOST)
    first = _Attempt("late", "head", body=b"first")
    body, sent, endings = _run_plain(first, second)
    check.assertEqual((body, sent), (b"first", 2))
    check.assertEqual(endings, [Ending.FAILED, Ending.SUCCEEDED])


def test_silent_connects_were_not_tried_again_with_a_deadline_beyond_the_routes():
    timeout = errors.ConnectTimeoutError("timed out")
    attempts = [*(_Attempt(timeout) for _ in range(5)), _Attempt("head", body=b"x")]
    call = test_dispatch._call(3.0)
    client_waits_longer = attrs.evolve(call, deadline_s=10.0)
    with mock.patch.object(test_dispatch, "_call", lambda _: client_waits_longer):
        body, sent, _ = _run_plain(*attempts)
    check.assertEqual((body, sent), (b"x", 6))


def test_a_stream_was_cut_late_in_its_time_for_a_silent_connect():
    call = test_dispatch._call(8.0)
    half_over = attrs.evolve(call, received=call.received - 12.0, deadline_s=20.0)
    attempts = [_Attempt(errors.ConnectTimeoutError("timed out")), _stream(3, 4)]
    plain = {"prompt": None, "targets": test_late_attempts._plain_targets(2)}
    with mock.patch.object(test_dispatch, "_call", lambda _: half_over):
        outcome = _run_stream(_stream(1, 2, LOST), *attempts, **plain)
    check.assertEqual(outcome[:2], (WHOLE, 3))


class _FailingDispatcher(test_delivery._Dispatcher):
    """Fails on the placements after the first."""

    def ask(self, message) -> futures.Future:
        if not self.granted:
            return super().ask(message)
        fut = futures.Future()
        fut.set_exception(RuntimeError("fault of a handler"))
        return fut


def test_a_fault_of_the_dispatcher_ended_an_attempt_that_went_on():
    dispatcher = _FailingDispatcher(test_late_attempts._silence_task(4))
    attempts = _stream(1, 2, "late", 3, 4), _stream(5)
    ctx = delivery.Context(
        dispatch=dispatcher,
        transport=test_late_attempts._Transport(*attempts),
        metrics=telemetry.Metrics(None, ""),
    )
    call = test_late_attempts._short()
    received = []
    for _ in attempts:
        reply = delivery.Delivery(ctx, call, "model").run()
        received.append(test_late_attempts._received(reply))
    check.assertEqual(received, [WHOLE, 503])


def test_a_call_on_which_the_dispatcher_fails_ended_the_process():
    front, entry = test_dispatch._task(), test_router_task._task()
    front._placing = entry._crashes = mock.Mock(
        place=mock.Mock(side_effect=RuntimeError("fault")),
        refusal=mock.Mock(side_effect=RuntimeError("fault")),
    )
    call = attrs.evolve(test_dispatch._call(8.0), prompt=test_router_task._demand("x"))
    message = dispatching.Place(call=call, service="model", excluded=frozenset())
    for task in (front, entry):
        thread = threading.Thread(target=task.run, daemon=True)
        thread.start()
        for _ in range(2):
            with check.assertRaises(RuntimeError):
                task.ask(message).result(5.0)
        check.assertTrue(thread.is_alive())
        task.stop()
        thread.join(5.0)


def test_two_targets_that_needed_time_got_a_call_in_turns():
    route = attrs.evolve(test_dispatch._call(8.0).route, max_attempts=2)
    progress = _progress.Progress(route=route)
    nothing, first, second = frozenset(), frozenset(("a",)), frozenset(("b",))
    progress.record_not_needed("b")
    check.assertEqual(progress.bound_to(first), second)
    progress.record_superseded("a", ran=True)
    progress.record_superseded("b", ran=True)
    check.assertFalse(progress.may_repeat(first))
    check.assertFalse(progress.may_repeat(second))
    progress.record_failure("b")
    check.assertEqual(progress.bound_to(nothing), first)
    check.assertEqual(progress.avoided() & first, nothing)
