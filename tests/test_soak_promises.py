"""Promises of the soak, on evidence that keeps them and on evidence that does not."""

import collections

import attrs

from soak import _budget_promises, _evidence, _excuses, _fleet, _promises
from standins import caller, platform_replica
from tests import fixtures

check = fixtures.check
FRONT = "front-0"
GRACE_S = 8.0
# When the stop of the evidence begins, in monotonic seconds.
STOP_AT = 100.0


def _evidence_with(*sent, stops=(), **fields) -> _evidence.Evidence:
    replicas = {name: platform_replica.Replica(name) for name in _fleet.REPLICAS}
    return _evidence.Evidence(
        grace_s=GRACE_S,
        leaving_s=2.0,
        configuration_s=2.0,
        sent=list(sent),
        stops=list(stops),
        replicas=replicas,
        **fields,
    )


def _sent(sent_at=STOP_AT, took_s=1.0, route="job", **outcome) -> _evidence.Sent:
    call = caller.Call(id="c1", route=route)
    defaults = {"status": 200, "body": call.answer(), "signed": True}
    return _evidence.Sent(
        front=FRONT,
        boot=1,
        outcome=caller.Outcome(
            call=call, sent_at=sent_at, ended_at=sent_at + took_s, **defaults | outcome
        ),
    )


def _stop(exit_status=0, took_s=7.5) -> _evidence.Stop:
    return _evidence.Stop(
        front=FRONT,
        boot=1,
        began=STOP_AT,
        ended=STOP_AT + took_s,
        exit_status=exit_status,
    )


def _run_at(evidence, replica: str, at=STOP_AT, headers=None, **fields) -> None:
    evidence.replicas[replica].calls.append(
        platform_replica.ReceivedCall(
            path="/job/x?work_ms=0",
            headers=headers or {},
            body=b"",
            at=at,
            **{"call_id": "c1", "ran": True} | fields,
        )
    )


def _broken(evidence) -> set[str]:
    results = _promises.check(evidence)
    return {f.promise for result in results.values() for f in result.findings}


def _closed(sent_at: float, took_s: float) -> _evidence.Sent:
    return _sent(sent_at, took_s, status=None, body=b"", broken="closed")


def test_a_whole_answer_breaks_no_promise():
    evidence = _evidence_with(_sent(), stops=[_stop()])
    _run_at(evidence, "p1")
    check.assertEqual(_broken(evidence), set())


def test_calls_without_answer_are_lost_unless_they_cross_the_close():
    promise = {"every_read_call_has_a_whole_answer"}
    evidence = _evidence_with(_closed(STOP_AT + 4, 1.0), stops=[_stop()])
    check.assertEqual(_broken(evidence), promise)
    crossing = _closed(STOP_AT + 4, 0.1)
    check.assertEqual(_broken(_evidence_with(crossing, stops=[_stop()])), set())
    evidence = _evidence_with(crossing, stops=[_stop()])
    _run_at(evidence, "p1")
    check.assertEqual(_broken(evidence), promise)


def test_early_calls_at_work_in_the_last_sixth_of_the_grace_are_exempt():
    for sent_s, worked_s, broken in (
        (2.9, 7.0, False),
        (2.9, 6.0, True),
        (3.1, 7.0, True),
    ):
        evidence = _evidence_with(_closed(STOP_AT + sent_s, 4.0), stops=[_stop()])
        _run_at(evidence, "p1")
        evidence.replicas["p1"].ended.append(("c1", STOP_AT + worked_s))
        check.assertEqual(bool(_broken(evidence)), broken, (sent_s, worked_s))


def test_unplanned_trouble_of_the_front_or_the_replica_excuses_a_lost_call():
    for subject, broken in (
        (FRONT, False),
        ("p1", False),
        ("p2", True),
        ("store", True),
    ):
        evidence = _evidence_with(_closed(STOP_AT, 1.0), stops=[_stop()])
        _run_at(evidence, "p1")
        evidence.disrupt("kill", subject, STOP_AT).ended = STOP_AT + 0.5
        check.assertEqual(bool(_broken(evidence)), broken, subject)


def _is_unexplained(*reached: str, trouble: str, route="split") -> bool:
    """Returns whether a 502 is found beside trouble of a replica."""
    evidence = _evidence_with(_sent(route=route, status=502, body=b""))
    for name in reached:
        prefill = {"Turmericward-Serving-Stage": "prefill"} if name == "s1" else None
        _run_at(evidence, name, headers=prefill)
    evidence.disrupt("cut_replica", trouble, STOP_AT).ended = STOP_AT + 0.5
    return "calm_calls_do_not_fail" in _broken(evidence)


def test_a_reset_by_a_link_after_a_prefill_was_found_as_the_failure_of_a_calm_call():
    check.assertFalse(_is_unexplained("s1", trouble="s3"))
    check.assertTrue(_is_unexplained("s1", trouble="m1"))
    check.assertTrue(_is_unexplained("s1", "s4", trouble="s3"))
    check.assertFalse(_is_unexplained(trouble="p1", route="job"))
    check.assertTrue(_is_unexplained(trouble="s3", route="job"))
    check.assertTrue(_is_unexplained("p2", trouble="p1", route="job"))


def test_second_runs_are_found_and_prefills_are_none():
    evidence = _evidence_with(_sent())
    _run_at(evidence, "s1", headers={"Turmericward-Serving-Stage": "prefill"})
    _run_at(evidence, "s3")
    check.assertEqual(_broken(evidence), set())
    _run_at(evidence, "s4")
    check.assertEqual(_broken(evidence), {"calls_that_may_run_once_run_at_most_once"})


def test_refusals_of_calls_that_ran_are_found():
    evidence = _evidence_with(_sent(status=503, body=b"refused"))
    check.assertEqual(_broken(evidence), set())
    _run_at(evidence, "p1")
    check.assertEqual(_broken(evidence), {"refused_calls_never_run"})


def test_foreign_partial_and_unsigned_answers_are_found():
    for changes in ({"body": b"answer to c2"}, {"body": b"answ"}, {"signed": False}):
        evidence = _evidence_with(_sent(**changes))
        check.assertEqual(_broken(evidence), {"answers_are_the_calls_own_and_whole"})


def test_new_calls_of_leaving_replicas_are_found_after_the_bound():
    for late_s, broken in ((1.9, False), (4.0, True)):
        evidence = _evidence_with(_sent())
        leaving = _evidence.Leaving(replica="p1", began=90.0, ended=120.0)
        evidence.leaving.append(leaving)
        _run_at(evidence, "p1", at=90.0 + late_s)
        check.assertEqual(bool(_broken(evidence)), broken, late_s)


def test_routes_that_vanish_again_are_found():
    served = _sent(route="since2", took_s=0.1)
    gone = _sent(STOP_AT + 3, 0.1, route="since2", status=404, body=b"")
    evidence = _evidence_with(served, gone, versions={2: STOP_AT + 2.5})
    check.assertEqual(_broken(evidence), {"configuration_never_goes_back"})
    restarted = attrs.evolve(gone, boot=2)
    evidence = _evidence_with(served, restarted, versions={2: STOP_AT + 2.5})
    check.assertEqual(_broken(evidence), set())


def test_stops_that_end_by_sigkill_are_found():
    evidence = _evidence_with(stops=[_stop(exit_status=-9, took_s=8.0)])
    check.assertEqual(_broken(evidence), {"stopped_processes_exit_by_themselves"})


def test_falling_fencing_tokens_are_found():
    evidence = _evidence_with()
    for at, token, holder in ((1.0, 2, "a"), (2.0, 2, "a"), (3.0, 1, "b")):
        evidence.replicas["m1"].orders.append(
            platform_replica.RoleOrder(
                holder=holder, token=token, stage="decode", at=at
            )
        )
    check.assertEqual(_broken(evidence), {"role_orders_have_one_holder"})


def test_a_call_is_at_work_until_its_last_replica_ends_it():
    evidence = _evidence_with()
    evidence.replicas["m1"].ended.append(("c1", STOP_AT + 7.0))
    evidence.replicas["m3"].ended.append(("c1", STOP_AT + 2.0))
    check.assertEqual(evidence.work_ended(), {"c1": STOP_AT + 7.0})


def test_deadly_requests_that_go_on_to_reach_replicas_are_found():
    deadly = _evidence.DeadlyRequest(
        caller="x",
        crashed_at=[STOP_AT, STOP_AT + 1, STOP_AT + 2, STOP_AT + 9],
        fronts={"c1": FRONT},
    )
    for late_s, arrivals, broken in ((5.0, 4, False), (6.0, 3, False), (6.0, 4, True)):
        evidence = _evidence_with(deadly=[deadly])
        for _ in range(arrivals):
            _run_at(evidence, "p1", STOP_AT + late_s)
        check.assertEqual(bool(_broken(evidence)), broken, (late_s, arrivals))
    evidence.disrupt("pause", FRONT, STOP_AT).ended = STOP_AT + 5.0
    check.assertEqual(_broken(evidence), set())


PREFILL = {"Turmericward-Serving-Stage": "prefill"}


def _repeated(times: int, spacing_s: float = 0.0, **fields) -> _evidence.Evidence:
    """Returns evidence of calls that a replica rejected and another one ran."""
    evidence = _evidence_with(**fields)
    for number in range(times):
        at, call_id = STOP_AT + number * spacing_s, f"r{number}"
        _run_at(evidence, "p1", at, call_id=call_id, ran=False)
        _run_at(evidence, "p2", at + 0.1, call_id=call_id)
    return evidence


def test_repeats_that_replicas_rejected_were_not_counted_against_the_budget():
    promise = "retries_stay_within_the_budget"
    # 40 calls allow 8 repeats.
    for slack, spacing_s, kept in ((31, 0.0, False), (32, 0.0, True), (20, 1.0, True)):
        broken = _broken(_repeated(40, spacing_s, retry_slack=slack))
        check.assertEqual(promise not in broken, kept, (slack, spacing_s))


def test_the_calls_of_a_window_before_allow_repeats_when_no_call_comes():
    for before_s, kept in ((0.0, True), (4.0, True), (9.0, True), (30.0, False)):
        evidence = _repeated(4, retry_slack=0)
        for number in range(16):
            at = STOP_AT - before_s
            _run_at(evidence, "p1", at, call_id=f"early{number}")
        broken = "retries_stay_within_the_budget" in _broken(evidence)
        check.assertEqual(not broken, kept, before_s)


def test_the_first_accepted_prefill_alone_is_no_repeat():
    for accepted, count in ((True, 0), (False, 1)):
        evidence = _evidence_with()
        _run_at(evidence, "s1", ran=accepted, headers=PREFILL)
        _run_at(evidence, "s3", STOP_AT + 1)
        check.assertEqual(len(_budget_promises.repeats(evidence)), count, accepted)
    _run_at(evidence, "s2", STOP_AT + 2, headers=PREFILL)
    _run_at(evidence, "s1", STOP_AT + 3, headers=PREFILL)
    check.assertEqual(len(_budget_promises.repeats(evidence)), 2)


def test_a_repeat_that_no_front_had_granted_was_not_found():
    promise = "fronts_pay_for_each_repeat"
    for granted, killed, kept in ((0, False, False), (1, False, True), (0, True, True)):
        evidence = _evidence_with(_sent(), granted=collections.Counter(c1=granted))
        if killed:
            evidence.disrupt("kill", FRONT, STOP_AT + 0.5).ended = STOP_AT + 1
        _run_at(evidence, "p1", ran=False)
        _run_at(evidence, "p2", STOP_AT + 0.5)
        check.assertEqual(promise not in _broken(evidence), kept, (granted, killed))


# Clients with budgets of their own: what the pages let end at it, and what not.
def test_calls_that_end_before_their_time_budget_are_lost():
    for took_s, broken in ((3.8, True), (4.0, False), (20.0, False)):
        outcome = {"status": 200, "body": b"", "broken": "closed"}
        sent = _sent(took_s=took_s, **outcome)
        call = attrs.evolve(sent.outcome.call, deadline_s=4.0)
        sent = attrs.evolve(sent, outcome=attrs.evolve(sent.outcome, call=call))
        check.assertEqual(bool(_broken(_evidence_with(sent))), broken, took_s)


def test_the_calls_of_a_stop_were_not_counted_by_how_they_ended():
    cases = [
        _sent(STOP_AT - 1, 0.5),
        _sent(STOP_AT + 1),
        _sent(STOP_AT + 2, status=503, body=b""),
        _closed(STOP_AT + 4, 0.1),
        _closed(STOP_AT + 4, 1.0),
        _closed(STOP_AT + 3, 20.0),
    ]
    sent = [
        attrs.evolve(
            case,
            outcome=attrs.evolve(
                case.outcome, call=attrs.evolve(case.outcome.call, id=f"c{number}")
            ),
        )
        for number, case in enumerate(cases)
    ]
    evidence = _evidence_with(*sent, stops=[_stop()])
    _run_at(evidence, "p1")
    counts = _excuses.count(evidence)
    check.assertEqual((counts.stops, counts.sent), (1, 5))
    check.assertEqual((counts.passed_on, counts.refused), (1, 1))
    check.assertEqual(
        counts.cut, {"crossed the close": 1, "finding": 1, "time budget": 1}
    )
