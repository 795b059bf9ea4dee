"""Routing, holds, outlier ejection and the retry budget, as pure logic."""

import collections

from tests import fixtures
from turmericward import fleet, membership, requests

check = fixtures.check
CLASSES = {
    "urgent": requests.Bounds(first_token_s=0.77),
    "patient": requests.Bounds(first_token_s=60.0),
}


def _engines(count: int):
    return tuple(
        fleet.EngineView(
            name=f"e{n}",
            domain="a",
            address="127.0.0.1:1",
            role="mixed",
            priority=0,
        )
        for n in range(count)
    )


def _demand(text: str, traffic_class: str = "patient") -> requests.Demand:
    body = {"model": "m", "prompt": text, "max_tokens": 100}
    return requests.demand_of(body, "t", traffic_class)


def _router() -> requests.Router:
    return requests.Router(1, "a", CLASSES)


def _choose(
    router, text: str, engines, excluded=frozenset(), now: float = 0.0, reports=None
):
    return router.choose(_demand(text), engines, reports or {}, excluded, now)


def test_equal_prefixes_go_to_one_engine_until_it_is_overloaded():
    router = _router()
    text = "same " * 3000
    chosen = []
    for _ in range(3):
        assignment = _choose(router, text, _engines(4)).unwrap()
        router.first_token(assignment, 0.1)
        chosen.append(assignment.engine)
    check.assertEqual(len(set(chosen)), 1)
    more = collections.Counter(
        _choose(router, text, _engines(4)).unwrap().engine for _ in range(200)
    )
    check.assertEqual(len(more), 4)
    check.assertLess(max(more.values()), 100)


def test_local_requests_correct_a_stale_report():
    idle = fleet.LoadView(running=0, queued=0, role="mixed", at=0.0)
    reports = {f"e{n}": idle for n in range(4)}
    router = _router()
    chosen = collections.Counter(
        _choose(router, str(n), _engines(4), now=1.0, reports=reports).unwrap().engine
        for n in range(200)
    )
    check.assertLess(max(chosen.values()), 80)


def test_excluded_and_ejected_engines_get_no_requests():
    router = _router()
    engines = _engines(2)
    for _ in range(3):
        assignment = _choose(router, "x", engines, frozenset({"e1"})).unwrap()
        check.assertEqual(assignment.engine, "e0")
        router.finished(assignment, True, 0.0)
    check.assertEqual(_choose(router, "x", engines).unwrap().engine, "e1")
    refused = _choose(router, "x", engines, frozenset({"e1"}))
    check.assertEqual(refused.unwrap_err().reason, "no_engine")
    probe = _choose(router, "x", engines, frozenset({"e1"}), now=1.5).unwrap()
    check.assertTrue(_choose(router, "x", engines, frozenset({"e1"}), 1.5).is_err())
    router.finished(probe, False, 1.6)
    check.assertTrue(_choose(router, "x", engines, frozenset({"e1"}), 1.6).is_ok())


def test_a_request_that_would_miss_its_bound_is_refused():
    router = _router()
    engines = _engines(1)
    results = [
        router.choose(
            _demand(f"{n}" + "x" * 1600, "urgent"), engines, {}, frozenset(), 0.0
        )
        for n in range(100)
    ]
    refused = [a.unwrap_err() for a in results if a.is_err()]
    check.assertGreater(len(refused), 0)
    check.assertGreaterEqual(refused[0].retry_after_s, 1.0)
    check.assertTrue(_choose(router, "x", engines).is_ok())
    taken = next(a.unwrap() for a in results if a.is_ok())
    for chosen in results:
        if chosen.is_ok():
            router.finished(chosen.unwrap(), False, 1.0)
    check.assertTrue(
        router.choose(_demand("x", "urgent"), engines, {}, frozenset(), 1.0).is_ok()
    )
    check.assertEqual(taken.engine, "e0")


def test_urgent_requests_do_not_queue_behind_patient_ones():
    router = _router()
    engines = _engines(1)
    for _ in range(20):
        check.assertTrue(_choose(router, "p" * 8000, engines).is_ok())
    urgent = router.choose(_demand("x", "urgent"), engines, {}, frozenset(), 0.0)
    check.assertTrue(urgent.is_ok())
    check.assertLess(urgent.unwrap().tokens, 10)


def test_reported_requests_are_assumed_to_resemble_local_ones():
    busy = fleet.LoadView(running=8, queued=24, role="mixed", at=1.0)
    router = _router()
    text = "x" * 4000
    unloaded = _choose(router, text, _engines(1)).unwrap().tokens
    loaded = _choose(router, text, _engines(1), now=2.0, reports={"e0": busy})
    check.assertGreater(loaded.unwrap().tokens, 5 * unloaded)


def _run_short_prompts(router, count: int, took_s: float) -> None:
    for number in range(count):
        chosen = _choose(router, f"s{number}", _engines(1)).unwrap()
        router.first_token(chosen, took_s)
        router.finished(chosen, False, 0.0)


def test_short_prompts_do_not_make_an_idle_engine_refuse_a_long_one():
    router = _router()
    _run_short_prompts(router, 200, took_s=0.02)
    long_prompt = _demand("x" * 4000, "urgent")
    chosen = router.choose(long_prompt, _engines(1), {}, frozenset(), 0.0)
    check.assertTrue(chosen.is_ok(), chosen)


def test_slow_prefills_of_long_prompts_still_refuse_a_request():
    router = _router()
    for number in range(200):
        chosen = _choose(router, f"{number}" + "x" * 4000, _engines(1)).unwrap()
        router.first_token(chosen, 2.0)
        router.finished(chosen, False, 0.0)
    long_prompt = _demand("x" * 4000, "urgent")
    refused = router.choose(long_prompt, _engines(1), {}, frozenset(), 0.0)
    check.assertEqual(refused.unwrap_err().reason, "overloaded")


def test_requests_that_ended_since_a_report_count_as_local_ones_in_it():
    router = _router()
    engines = _engines(1)
    reported = [_choose(router, f"a{n}", engines, now=0.9).unwrap() for n in range(6)]
    report = fleet.LoadView(running=6, queued=0, role="mixed", at=1.0)
    for assignment in reported:
        router.first_token(assignment, 0.01)
        router.finished(assignment, False, 1.1)
    for number in range(6):
        _choose(router, f"b{number}", engines, now=1.2, reports={"e0": report})
    own = _demand("c", "urgent").prompt_tokens
    local = 6 * own
    chosen = _choose(router, "c", engines, now=1.2, reports={"e0": report}).unwrap()
    check.assertEqual(chosen.tokens, local + own)


def test_finishing_twice_has_no_effect():
    router = _router()
    assignment = _choose(router, "x", _engines(1)).unwrap()
    router.finished(assignment, False, 0.0)
    router.finished(assignment, False, 0.0)
    check.assertEqual(router.in_flight(), 0)
    check.assertEqual(router._requests["e0"].open_requests(None), 0.0)


def test_retries_are_limited_to_a_share_of_the_requests():
    budget = requests.RetryBudget()
    spent = 0
    for _ in range(1000):
        budget.earn()
        spent += budget.spend()
    check.assertLessEqual(spent, 110)
    check.assertGreaterEqual(spent, 100)


def test_full_buckets_have_a_retry_to_spare_however_small_they_are():
    # Number of retries to spare from a full bucket, by its size: in any case, and if
    # one has to be left.
    for max_saved, spare, above_one in (
        (0.9, 0, 0),
        (1.0, 1, 0),
        (1.5, 1, 0),
        (2.0, 1, 1),
        (4.0, 2, 2),
        (10.0, 5, 5),
    ):
        for kept, expected in ((0.0, spare), (1.0, above_one)):
            budget = requests.RetryBudget(max_saved=max_saved)
            count = 0
            while budget.has_spare(kept) and budget.spend():
                count += 1
            check.assertEqual(count, expected, (max_saved, kept))


def test_ejections_double_up_to_the_maximum():
    health = fleet.Health()
    now = 0.0
    waits = []
    for _ in range(3):
        health.failed("t", now)
    for _ in range(8):
        start = now
        while not health.usable("t", now):
            now += 0.25
        waits.append(now - start)
        health.started("t")
        health.failed("t", now)
    check.assertEqual(waits, [1.0, 2.0, 4.0, 8.0, 16.0, 30.0, 30.0, 30.0])
    health.succeeded("t")
    check.assertTrue(health.usable("t", now))


def _hold(hold_id: str, until: float) -> membership.Hold:
    return membership.Hold(engine="e", hold_id=hold_id, until=until)


def test_a_hold_needs_a_confirmation_of_every_entry():
    table = membership.HoldTable(frozenset({"x", "y"}))
    table.place(_hold("h1", 10.0))
    table.confirm("x", ["h1", "unknown"])
    check.assertEqual(table.unconfirmed("h1"), {"y"})
    table.confirm("y", ["h1"])
    check.assertEqual(table.unconfirmed("h1"), frozenset())
    table.place(_hold("h2", 12.0))
    check.assertEqual(table.unconfirmed("h2"), {"x", "y"})
    check.assertEqual(len(table.active(11.0)), 1)
    table.release(["h2"])
    check.assertEqual(table.active(11.0), [])
    check.assertEqual(table.released(11.0), ["h2"])
    check.assertEqual(table.released(12.5), [])


def test_an_entry_keeps_a_hold_that_its_steward_has_lost():
    holds = membership.EntryHolds()
    holds.update([_hold("h1", 10.0)], [])
    holds.update([], [])
    check.assertEqual(holds.held(9.0), {"e"})
    check.assertEqual(holds.held(10.0), frozenset())
    holds.update([_hold("h2", 20.0)], [])
    holds.update([], ["h2"])
    check.assertEqual(holds.held(11.0), frozenset())
