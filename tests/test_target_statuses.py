"""Statuses of targets, and what they say of a call to its client."""

import itertools
import json

from standins import launch, platform_replica
from tests import (
    fixtures,
    platform_fixtures,
    test_answer_readers,
    test_delivery,
    test_late_attempts,
)
from turmericward import requests, routing
from turmericward.platform import _transport

check = fixtures.check
Ending = requests.Ending
Outcome = routing.Outcome
UNPROVED = test_delivery.UNPROVED
NOT_RUN = "Turmericward-Not-Executed"
KINDS = tuple(routing.CallKind)


def _run_once(sends, kind: routing.CallKind, attempts: int, *, resumable=False):
    """Delivers one call without a prefill; returns its reply and the attempts sent."""
    transport = test_delivery._Transport(sends=sends)
    reply, dispatcher = test_delivery._run(
        transport,
        test_late_attempts._plain_targets(),
        prompt=None,
        kind=kind,
        max_attempts=attempts,
        resumable=resumable,
    )
    return reply, len(transport.sent), test_delivery._endings(dispatcher)


def test_a_status_of_a_target_that_ran_the_call_told_the_client_it_had_not_run():
    """Guards against promises of this system that only a target's status stands for."""
    for kind, fault, attempts in itertools.product(KINDS, UNPROVED, (1, 3)):
        case = (kind, fault, attempts)
        reply, sent, endings = _run_once([fault] * 9, kind, attempts)
        repeated = attempts if kind is routing.CallKind.IDEMPOTENT else 1
        check.assertEqual((reply.status, sent), (502, repeated), case)
        check.assertTrue(reply.failure.may_have_run, case)
        check.assertIsNone(reply.failure.retry_after_s, case)
        check.assertEqual((reply.headers, reply.body), ((), b""), case)
        check.assertEqual(endings, [Ending.FAILED] * repeated, case)


def test_a_call_that_may_run_again_was_not_repeated_after_a_targets_408_or_429():
    """Guards against an unproved refusal that counts as the call's answer."""
    for fault in UNPROVED:
        reply, sent, _ = _run_once([fault], routing.CallKind.IDEMPOTENT, 2)
        check.assertEqual((reply.status, sent), (200, 2), fault)
        reply, sent, _ = _run_once([fault], routing.CallKind.STREAM, 2, resumable=True)
        check.assertEqual((test_delivery._ids(reply), sent), ([1], 2), fault)


def test_a_call_that_may_have_run_is_not_refused_whatever_its_last_target_says():
    idempotent = routing.CallKind.IDEMPOTENT
    for fault in UNPROVED:
        reply, _, _ = _run_once([fault, *["refused"] * 9], idempotent, 3)
        check.assertEqual((reply.status, reply.failure.may_have_run), (502, True))
        reply, _, _ = _run_once([*["refused"] * 2, fault], idempotent, 1)
        check.assertEqual((reply.status, reply.failure.may_have_run), (502, True))


def test_a_targets_failure_that_promises_nothing_is_passed_on():
    idempotent = routing.CallKind.IDEMPOTENT
    for sends in (["error"], ["error", "429", "503"], ["408", "503", "error"]):
        reply, _, _ = _run_once(sends, idempotent, len(sends))
        check.assertEqual((reply.status, reply.failure), (500, None), sends)


def test_a_429_of_a_second_attempt_ended_the_first_that_was_about_to_answer():
    """Guards against a second target that is believed to have answered, or refused."""
    for fault in UNPROVED:
        first = test_late_attempts._Attempt("late", "head", body=b"first")
        second = test_late_attempts._Attempt("head", kind=fault)
        outcome = test_late_attempts._run_plain(first, second)
        check.assertEqual(outcome, (b"first", 2, [Ending.FAILED, Ending.SUCCEEDED]))
        lost = test_delivery.FAULTS["lost"]
        first = test_late_attempts._Attempt("late", lost)
        second = test_late_attempts._Attempt("head", kind=fault)
        outcome = test_late_attempts._run_plain(first, second)
        check.assertEqual(outcome[:2], (502, 2), fault)


def test_a_resumed_stream_goes_on_after_a_target_that_says_it_is_busy():
    for fault in UNPROVED:
        ids, other, endings = test_delivery._resume_after_break(
            fault, second=test_delivery._Text()
        )
        check.assertEqual((ids, other), ([1, 2, 3, 4], []), fault)
        check.assertEqual(endings, [Ending.FAILED, Ending.FAILED, Ending.SUCCEEDED])


def test_a_stream_keeps_its_silent_target_if_a_second_one_says_it_is_busy():
    for fault in UNPROVED:
        first = test_late_attempts._stream(1, 2, "late", 3, 4)
        second = test_late_attempts._Attempt("head", kind=fault)
        received, sent, endings = test_late_attempts._run_stream(
            first, second, attempts=2
        )
        check.assertEqual((received, sent), (test_late_attempts.WHOLE, 2), fault)
        check.assertEqual(endings, [Ending.FAILED, Ending.SUCCEEDED], fault)


# Status, headers besides those of each answer, and what the answer says of its call.
STATED = [
    (200, {}, Outcome.SERVED),
    (200, {NOT_RUN: "1"}, Outcome.NOT_RUN),
    (200, {"Content-Encoding": "gzip"}, Outcome.FOREIGN),
    (302, {}, Outcome.SERVED),
    (400, {}, Outcome.SERVED),
    (400, {NOT_RUN: "1"}, Outcome.NOT_RUN),
    (404, {}, Outcome.SERVED),
    (408, {}, Outcome.FAILED),
    (408, {NOT_RUN: "1"}, Outcome.NOT_RUN),
    (421, {}, Outcome.NOT_RUN),
    (429, {}, Outcome.FAILED),
    (429, {"Retry-After": "1"}, Outcome.FAILED),
    (429, {NOT_RUN: "1"}, Outcome.NOT_RUN),
    (500, {}, Outcome.FAILED),
    (500, {NOT_RUN: "1"}, Outcome.NOT_RUN),
    (502, {}, Outcome.FAILED),
    (503, {}, Outcome.FAILED),
    (503, {"Retry-After": "1"}, Outcome.FAILED),
    (503, {NOT_RUN: ""}, Outcome.NOT_RUN),
    (503, {NOT_RUN: "1", NOT_RUN.lower(): "1"}, Outcome.NOT_RUN),
    (504, {}, Outcome.FAILED),
]


def test_only_the_targets_own_statement_says_that_a_call_was_not_run():
    reader = test_answer_readers.READERS["call"]
    for status, extra, outcome in STATED:
        framing = {"Content-Length": "0"} | extra
        response = test_answer_readers._response(reader, framing, b"", f"{status} X")
        with test_answer_readers._Server((response,)) as address:
            check.assertIs(_outcome_at(address), outcome, (status, extra))


def _outcome_at(address: str) -> routing.Outcome:
    """Returns what the answer at an address says of its call."""
    transport = _transport.ReplicaTransport(test_answer_readers._notice_reader())
    answer = transport.send(
        test_answer_readers._target(address),
        test_answer_readers._call(),
        routing.Dispatch(timeout_s=2.0, priority=1),
    )
    answer.close()
    return answer.outcome


def test_each_answer_is_either_served_failed_foreign_or_not_run():
    for status in range(200, 600):
        failed = status >= 500 or status in (408, 421, 429)
        expected = Outcome.FAILED if failed else Outcome.SERVED
        check.assertIs(routing.outcome_of(status, refused=False), expected)
        check.assertIs(routing.outcome_of(status, refused=True), Outcome.NOT_RUN)


def test_a_targets_headers_came_with_the_status_of_this_system():
    """Guards against a 502 of our own that bears what a target said of its answer."""
    with platform_fixtures.platform() as platform:
        for fault in platform_replica.DISCLAIMERS:
            for name in ("p1", "p2", "m1", "m2"):
                platform.replicas[name].fault = fault
                platform.replicas[name].headers = (("Retry-After", "0.1"),)
            for path, headers in (
                ("/write/x", {}),
                ("/read/x", {}),
                ("/once/x", platform_fixtures.PROMPT),
                ("/ask/x", platform_fixtures.PROMPT),
            ):
                call_id = f"{fault[-3:]}{path[1:3]}"
                status, got, body = platform.call(
                    "POST", path, call_id, headers, body=b"x"
                )
                case = (fault, path)
                check.assertEqual((status, body), (502, b""), case)
                named = {name.lower() for name in got}
                check.assertNotIn("retry-after", named, case)
                check.assertNotIn("turmericward-server-stamp", named, case)
                check.assertNotIn("turmericward-not-executed", named, case)
        _, _, page = launch.request(platform.metrics, "GET", "/metrics")
        lines = [json.loads(line) for line in platform.read_log().splitlines()]
    attempts = [line for line in lines if line["message"] == "attempt"]
    # Tells a target that ran a call and failed from one that refused it.
    check.assertEqual({line["outcome"] for line in attempts}, {"failed"})
    check.assertEqual({line["status"] for line in attempts}, {408, 429, 503})
    counted = f"delivery.unproved_refusals {len(attempts)}\n"
    check.assertIn(counted.encode(), page)


def test_a_call_that_was_only_prefilled_may_be_refused():
    for fault in UNPROVED:
        transport = test_delivery._Transport(["refused"] * 9, prefills=[fault] * 9)
        reply, _ = test_delivery._run(transport, max_attempts=1)
        check.assertTrue(transport.prefilled, fault)
        check.assertEqual((reply.status, reply.failure.may_have_run), (503, False))
