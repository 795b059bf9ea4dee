"""Ends of answers without a length that may be those of their targets."""

import math
from unittest import mock

import attrs

from tests import (
    fixtures,
    test_connection_endings,
    test_delivery,
    test_dispatch,
    test_late_attempts,
    test_late_connections,
)
from turmericward import delivery, dispatching, routing, runtime, telemetry
from turmericward.adapters import _connection
from turmericward.delivery import _parts

check = fixtures.check
ONCE, IDEMPOTENT = routing.CallKind.NON_IDEMPOTENT, routing.CallKind.IDEMPOTENT
STREAM = routing.CallKind.STREAM
HELD_UP = test_delivery.HELD_UP
WITHIN_S = _parts.ANNOUNCED_WITHIN_S


class _Clock:
    """A clock that moves by sleeps; functions are called at their times."""

    def __init__(self) -> None:
        self._now = self._began = runtime.now()
        self._due: list[tuple[float, object]] = []

    def now(self) -> float:
        return self._now

    @property
    def elapsed_s(self) -> float:
        return self._now - self._began

    def call_at(self, after_s: float, function) -> None:
        self._due.append((self._began + after_s, function))

    def sleep(self, length_s: float) -> None:
        self._now += length_s
        for at, function in list(self._due):
            if at <= self._now:
                self._due.remove((at, function))
                function()


def _run(kind, announced_after_s: float = math.inf, **changes):
    """Delivers a call whose answer ends late; its target is replaced at some time.

    Returns what the client gets, the attempts sent and the seconds that it took.
    """
    fault = changes.pop("fault", HELD_UP)
    changes = {"resumable": False} | changes
    left_after_s = changes.pop("left_after_s", math.inf)
    deadline_s = changes.pop("deadline_s", 8.0)
    clock = _Clock()
    target = test_dispatch._target("e0")
    bounds = dispatching.RetryBounds(share=0.0, slack=test_dispatch.slack_for(2.7))
    with (
        mock.patch.object(runtime, "now", clock.now),
        mock.patch.object(_parts, "time", clock),
    ):
        task = test_dispatch._task(retries=bounds)
        others = [test_dispatch._target(f"e{n}") for n in (1, 2)]
        task.handle(dispatching.PutTargets(targets=(target,)))
        back = dispatching.PutTargets(targets=(attrs.evolve(target, started_ms=5),))
        clock.call_at(announced_after_s, lambda: task.handle(back))

        def first():
            yield b"id: 1\ndata: x\n\n"
            task.handle(dispatching.PutTargets(targets=(target, *others)))

        streams = [first(), iter([b"id: 2\ndata: x\n\n"])]
        transport = test_delivery._Transport(sends=[fault], streams=streams)
        ctx = delivery.Context(
            dispatch=test_delivery._Dispatcher(task),
            transport=transport,
            metrics=telemetry.Metrics(None, ""),
        )
        call = test_dispatch._call(deadline_s)
        route = attrs.evolve(call.route, kind=kind, max_attempts=2, **changes)
        call = attrs.evolve(
            call,
            route=route,
            prompt=test_dispatch.PROMPT if kind is STREAM else None,
            cancelled=lambda: clock.elapsed_s >= left_after_s,
        )
        reply = delivery.Delivery(ctx, call, "model").run()
        received = test_late_attempts._received(reply)
    return received, len(transport.sent), clock.elapsed_s


HALF, REST = b"id: 1\ndata: x\n\n", b"id: 2\ndata: x\n\n"


def test_half_an_answer_looked_whole_as_its_target_was_back_before_its_announcement():
    """Guards against a listener that is believed since nothing else is known yet."""
    for after_s in (0.05, 0.8, WITHIN_S - 0.1):
        check.assertEqual(_run(ONCE, after_s)[:2], (502, 1), after_s)
        check.assertEqual(_run(IDEMPOTENT, after_s)[:2], (REST, 2), after_s)
        resumed = _run(STREAM, after_s, resumable=True)
        check.assertEqual(resumed[:2], ([1, 2], 2), after_s)
        cut = _run(STREAM, after_s)
        check.assertEqual(cut[:2], ([1, 502], 1), after_s)


def test_a_late_end_is_believed_once_a_successor_would_have_been_announced():
    for kind, whole in ((ONCE, HALF), (IDEMPOTENT, HALF), (STREAM, [1])):
        received, sent, took_s = _run(kind)
        check.assertEqual((received, sent), (whole, 1), kind)
        check.assertTrue(WITHIN_S <= took_s < WITHIN_S + 0.2, took_s)


def test_an_end_that_is_read_as_it_was_sent_is_not_waited_for():
    for kind, whole in ((ONCE, HALF), (IDEMPOTENT, HALF), (STREAM, [1])):
        check.assertEqual(_run(kind, fault="unframed"), (whole, 1, 0.0), kind)


def test_a_late_end_is_not_believed_if_the_deadline_comes_first():
    received, sent, took_s = _run(ONCE, deadline_s=1.0)
    check.assertEqual((received, sent), (504, 1))
    check.assertLess(took_s, 1.2)


def test_a_client_that_leaves_ends_the_wait_for_an_announcement():
    for kind in (ONCE, IDEMPOTENT):
        received, sent, took_s = _run(kind, left_after_s=0.5)
        check.assertEqual((received, sent), (499, 1), kind)
        check.assertLess(took_s, 0.7)


def _read_at(*steps: tuple[float, bytes], asked_after_s: float = 0.0) -> bool:
    """Reads bytes, or the end, at these times; returns whether that was promptly.

    It is asked some time after the last read.
    """
    ours, theirs = test_connection_endings._connected()
    clock = _Clock()
    with ours, theirs, mock.patch.object(runtime, "now", clock.now):
        sock = _connection.ObservedSocket(ours)
        sock.sendall(b"request")
        theirs.recv(100)
        for at_s, data in steps:
            clock.sleep(at_s - clock.elapsed_s)
            if data:
                theirs.sendall(data)
            else:
                theirs.close()
            sock.recv_into(bytearray(100))
        clock.sleep(asked_after_s)
        return sock.ended_promptly()


END = b""


def test_an_end_after_a_silence_is_told_from_one_that_is_read_as_it_came():
    """Guards against a front that stood still, or a cut, which look the same."""
    for name, steps, promptly in (
        ("at once", [(0.1, b"x"), (0.1, END)], True),
        ("short pauses", [(0.9, b"x"), (1.8, b"x"), (2.7, END)], True),
        ("before the end", [(0.1, b"half"), (1.2, END)], False),
        ("before the last bytes", [(0.1, b"x"), (4.0, b"x"), (4.1, END)], False),
        ("before the head", [(1.0, b"x"), (1.2, END)], False),
        ("backlog, then live bytes", [(2.0, b"x"), (2.4, b"x"), (2.6, END)], True),
    ):
        check.assertEqual(_read_at(*steps), promptly, name)


def test_an_end_is_not_believed_after_a_pause_between_its_read_and_the_question():
    """Guards against a listener that is looked for after this process stood still."""
    steps = [(0.1, b"x"), (0.2, END)]
    check.assertTrue(_read_at(*steps, asked_after_s=0.4))
    check.assertFalse(_read_at(*steps, asked_after_s=4.0))


def test_answers_of_targets_tell_whether_their_end_was_read_promptly():
    head = test_late_connections.HEAD
    pause_s = _connection.MIN_RESTART_S + 0.1
    for script, promptly in (((head, b"x"), True), ((head, b"x", pause_s), False)):
        with test_late_connections._Target(script) as target:
            transport, _ = test_late_connections._transports()["platform"]
            answer = transport.send(
                attrs.evolve(test_dispatch._target("e0"), address=target.address),
                attrs.evolve(test_dispatch._call(4.0), id="c"),
                routing.Dispatch(timeout_s=3.0, priority=1),
            )
            check.assertEqual(answer.read(), b"x")
            check.assertEqual(answer.ended_promptly(), promptly)
            answer.close()
