"""Dispatcher: retry budgets, repeated calls, holds, backoffs and versions."""

from unittest import mock

import attrs

from tests import fixtures
from turmericward import dispatching, fleet, peers, requests, routing, runtime
from turmericward.dispatching import _messages, _retry_budgets

check = fixtures.check
ROUTE = routing.Route(
    name="ask",
    host="h",
    path_prefix="/",
    kind=routing.CallKind.STREAM,
    timeout_s=8.0,
    objective_s=0.8,
    gap_s=0.25,
    abandon_s=3.2,
    priority=0,
    max_attempts=2,
    resumable=True,
    destinations=(routing.Destination(service="model"),),
)
PROMPT = requests.Prompt(
    model="m",
    segments=(
        requests.PromptSegment(id="s", tokens=9_000),
        requests.PromptSegment(id="o", tokens=1_000),
    ),
    output_tokens=10,
)


def slack_for(retries: float) -> float:
    """Returns the slack with which a front begins with so many retries."""
    factor = _retry_budgets.INITIAL_FACTOR / _retry_budgets.ASSUMED_FLEET_SIZE
    return retries / factor


def fill_budgets(task) -> None:
    """Lets a service's calls have earned all the retries that a front may save."""
    budget = task._budgets.for_service("model")
    for _ in range(100):
        budget.refund()


def _task(**changes) -> dispatching.DispatchTask:
    options = {
        "name": "front-2",
        "domain": "a",
        "seed": 1,
        "grace_s": 2.5,
        "retries": dispatching.RetryBounds(share=0.0, slack=60.0),
        "publish": lambda state: None,
    }
    return dispatching.DispatchTask(**(options | changes))


def _target(name: str, role=fleet.EngineRole.DECODE) -> fleet.Target:
    return fleet.Target(
        name=name, service="model", address=f"{name}:1", domain="a", slots=8, role=role
    )


def _call(deadline_s: float) -> routing.Call:
    now = runtime.now()
    return routing.Call(
        id="c",
        method="POST",
        target="/",
        headers=(),
        body=b"",
        route=ROUTE,
        received=now,
        deadline_s=deadline_s,
        deadline=now + deadline_s,
        prompt=PROMPT,
    )


def _place(task, deadline_s: float = 8.0, **changes):
    message = dispatching.Place(
        call=_call(deadline_s), service="model", excluded=frozenset()
    )
    return task.handle(attrs.evolve(message, **changes))


def _receive_peer_state(task, front: str, held=None) -> None:
    state = peers.PeerState(front=front, boot=1, sequence=1, loads={}, held=held or {})
    task.handle(state)


def test_first_calls_with_varied_deadlines_are_not_treated_as_repeated():
    task = _task()
    task.handle(dispatching.PutTargets(targets=(_target("a"), _target("b"))))
    for deadline_s in (8.0, 6.9, 7.5):
        placement = _place(task, deadline_s).unwrap()
        check.assertFalse(placement.deferred, deadline_s)
        task.handle(
            dispatching.PlacementEnded(
                placement=placement, prompt=PROMPT, ending=requests.Ending.SUCCEEDED
            )
        )
    check.assertTrue(_place(task, 4.0).unwrap().deferred)


def test_retry_slack_is_divided_among_live_fronts():
    for count in (5, 11):
        task = _task()
        task.handle(dispatching.PutTargets(targets=(_target("a"),)))
        for n in range(count):
            _receive_peer_state(task, f"front-{n + 10}")
        task.run_periodic()
        fill_budgets(task)
        granted = sum(_place(task, retry=True).is_ok() for _ in range(60))
        check.assertGreater(granted, 0)
        check.assertLessEqual(granted * (count + 1), 60)


def test_retry_slack_was_divided_among_the_heard_of_the_listed_fronts():
    for count in (6, 40):
        task = _task(retries=dispatching.RetryBounds(share=0.0, slack=430.0))
        task.handle(dispatching.PutTargets(targets=(_target("a"),)))
        names = frozenset(f"front-{n}" for n in range(count))
        task.handle(peers.Members(names=names))
        _receive_peer_state(task, "front-0")
        task.run_periodic()
        fill_budgets(task)
        saved = task._budgets.available()["model"]
        check.assertAlmostEqual(saved, 0.7 * 430 / count, msg=count)


def test_partitioned_front_does_not_use_the_retry_share_of_its_peers():
    task = _task()
    task.handle(dispatching.PutTargets(targets=(_target("a"),)))
    for n in range(5):
        _receive_peer_state(task, f"front-{n + 10}")
    task.run_periodic()
    task._placer.peers.expire(runtime.now() + 60)
    task.run_periodic()
    fill_budgets(task)
    granted = sum(_place(task, retry=True).is_ok() for _ in range(60))
    check.assertLessEqual(granted, 10)


def test_held_target_gets_no_calls_until_its_role_changes():
    task = _task()
    task.handle(dispatching.PutTargets(targets=(_target("a"),)))
    _receive_peer_state(task, "front-1", held={fleet.target_hash("a"): 8.0})
    check.assertEqual(_place(task).unwrap_err().reason, "no_target")
    changed = _target("a", fleet.EngineRole.PREFILL)
    task.handle(dispatching.PutTargets(targets=(changed, _target("b"))))
    check.assertEqual(_place(task).unwrap().target.name, "a")


def _prefill_tokens(task) -> float:
    """Places and ends a call; returns the prompt tokens that weren't cached."""
    placement = _place(task).unwrap()
    took_s = 0.3
    task.handle(
        dispatching.FirstOutput(placement=placement, prompt=PROMPT, took_s=took_s)
    )
    ended = dispatching.PlacementEnded(
        placement=placement, prompt=PROMPT, ending=requests.Ending.SUCCEEDED
    )
    task.handle(ended)
    return placement.uncached_tokens


def test_removed_target_returns_with_an_empty_cache():
    for removal in (
        dispatching.PutTargets(removed=("a",)),
        dispatching.ReplaceTargets(targets=()),
    ):
        task = _task()
        task.handle(dispatching.PutTargets(targets=(_target("a"),)))
        first = _prefill_tokens(task)
        check.assertLess(_prefill_tokens(task), first)
        task.handle(removal)
        task.handle(dispatching.PutTargets(targets=(_target("a"),)))
        check.assertEqual(_prefill_tokens(task), first)


def test_announcement_of_an_earlier_incarnation_is_ignored():
    task = _task()
    current = attrs.evolve(_target("a"), started_ms=2_000)
    task.handle(dispatching.PutTargets(targets=(current,)))
    first = _prefill_tokens(task)
    stale = attrs.evolve(current, started_ms=1_000)
    task.handle(dispatching.PutTargets(targets=(stale,)))
    check.assertLess(_prefill_tokens(task), first)


def test_older_configuration_versions_are_ignored():
    task = _task()
    tables = {n: routing.RoutingTable(n, [ROUTE]) for n in (3, 5)}
    check.assertTrue(task.handle(dispatching.SetTable(table=tables[5])))
    check.assertFalse(task.handle(dispatching.SetTable(table=tables[3])))
    check.assertEqual(task.table.version, 5)


def _notice(task, name: str, **changes) -> None:
    task.handle(dispatching.TargetNotice(target=_target(name), **changes))


def test_leaving_target_gets_no_calls_and_is_published_once():
    published = []
    task = _task(publish=published.append)
    task.handle(dispatching.PutTargets(targets=(_target("e1"), _target("e2"))))
    _notice(task, "e1", leaving=True)
    _notice(task, "e1", leaving=True)
    incarnations = [incarnation for state in published for incarnation in state.leaving]
    target_id = fleet.target_hash("e1")
    check.assertEqual(
        incarnations, [peers.LeavingTarget(target=target_id, started_ms=0)]
    )
    names = {_place(task).unwrap().target.name for _ in range(6)}
    check.assertEqual(names, {"e2"})


def test_leaving_reported_by_a_peer_applies_to_one_incarnation():
    task = _task()
    engines = (attrs.evolve(_target(name), slots=64) for name in ("e1", "e2"))
    task.handle(dispatching.PutTargets(targets=tuple(engines)))
    target_id = fleet.target_hash("e1")
    for started_ms, names in ((5, {"e1", "e2"}), (0, {"e2"})):
        incarnation = peers.LeavingTarget(target=target_id, started_ms=started_ms)
        state = peers.PeerState(
            front="f", boot=1, sequence=1, loads={}, leaving=frozenset((incarnation,))
        )
        task.handle(state)
        placed = {_place(task).unwrap().target.name for _ in range(12)}
        check.assertEqual(placed, names)


def test_target_in_backoff_gets_no_calls_and_sets_retry_after():
    task = _task()
    task.handle(dispatching.PutTargets(targets=(_target("e1"), _target("e2"))))
    _notice(task, "e1", backoff_s=30.0)
    names = {_place(task).unwrap().target.name for _ in range(6)}
    check.assertEqual(names, {"e2"})
    _notice(task, "e2", backoff_s=4.0)
    refusal = _place(task).unwrap_err()
    check.assertEqual(refusal.reason, "targets_rest")
    check.assertGreater(refusal.retry_after_s, 3.0)
    check.assertLessEqual(refusal.retry_after_s, 4.0)


def test_a_load_that_peers_were_told_does_not_outlast_its_calls():
    published = []
    task = _task(publish=published.append)
    task.handle(dispatching.PutTargets(targets=(_target("p", role=None),)))
    call = attrs.evolve(_call(8.0), prompt=None)
    placement = _place(task, call=call).unwrap()
    task.handle(_messages.HoldTarget(name="p", duration_s=1.0))
    target_id = fleet.target_hash("p")
    check.assertEqual(published[-1].loads[target_id].open_calls, 1)
    task.handle(
        dispatching.PlacementEnded(
            placement=placement, prompt=None, ending=requests.Ending.SUCCEEDED
        )
    )
    later = runtime.now() + 1.0
    with mock.patch.object(runtime, "now", lambda: later):
        task.run_periodic()
        sent = len(published)
        task.run_periodic()
    check.assertEqual(published[-1].loads[target_id].open_calls, 0)
    check.assertEqual(len(published), sent)


def test_requests_besides_calls_use_up_the_limit_of_their_target():
    task = _task()
    target = attrs.evolve(_target("p", role=None), address="10.0.0.2:1")
    task.handle(dispatching.PutTargets(targets=(target, _target("q", role=None))))
    task.handle(peers.Members(names=frozenset(("front-2",))))
    limit = fleet.RateLimit(per_s=4.0, observed_at=runtime.now())
    task.handle(dispatching.TargetNotice(target=target, limit=limit))
    task.handle(dispatching.RequestSent(address="10.0.0.9:1"))
    before_s = task._admission.limits.wait_s("p", runtime.now())
    task.handle(dispatching.RequestSent(address="10.0.0.2:1"))
    after_s = task._admission.limits.wait_s("p", runtime.now())
    check.assertAlmostEqual(after_s - before_s, 1 / 4.0, places=2)


def test_a_stream_to_resume_waits_for_its_turn_longer_than_a_new_call():
    task = _task()
    task.handle(dispatching.PutTargets(targets=(_target("e"),)))
    task.handle(peers.Members(names=frozenset(("front-2",))))
    limit = fleet.RateLimit(per_s=1.0, observed_at=runtime.now())
    task.handle(dispatching.TargetNotice(target=_target("e"), limit=limit))
    refusal = _place(task).unwrap_err()
    check.assertEqual(refusal.reason, "targets_limited")
    check.assertGreaterEqual(refusal.retry_after_s, 0.5)
    resumed = attrs.evolve(_call(8.0), resume_after="3")
    placement = _place(task, call=resumed, prefilled=True).unwrap()
    check.assertGreater(placement.start_after_s, 0.8)


def test_a_limit_outlasts_a_missing_announcement_but_not_a_restart():
    task = _task()
    target = attrs.evolve(_target("e"), started_ms=1)
    task.handle(dispatching.PutTargets(targets=(target,)))
    limit = fleet.RateLimit(per_s=4.0, observed_at=runtime.now())
    task.handle(dispatching.TargetNotice(target=target, limit=limit))
    task.handle(dispatching.PutTargets(removed=("e",)))
    task.handle(dispatching.PutTargets(targets=(target,)))
    check.assertEqual(task._admission.limits.limited(), {"e"})
    restarted = attrs.evolve(target, started_ms=2)
    task.handle(dispatching.PutTargets(targets=(restarted,)))
    check.assertEqual(task.recently_limited, frozenset())


def test_the_limit_of_a_target_that_is_gone_is_dropped():
    task = _task()
    task.handle(dispatching.PutTargets(targets=(_target("e"),)))
    limit = fleet.RateLimit(per_s=4.0, observed_at=runtime.now())
    task.handle(dispatching.TargetNotice(target=_target("e"), limit=limit))
    task.handle(dispatching.PutTargets(removed=("e",)))
    later = runtime.now() + 11.0
    with mock.patch.object(runtime, "now", lambda: later):
        task.run_periodic()
    check.assertEqual(task.recently_limited, frozenset())


def _crash(task, placement: requests.Placement, **details) -> None:
    message = dispatching.PlacementEnded(
        placement=placement,
        prompt=PROMPT,
        ending=requests.Ending.CRASHED,
        **details,
    )
    task.handle(message)


def test_ends_of_engines_that_left_or_had_long_been_answering_are_no_crashes():
    for leaving, started_ms, writing_s, refused in (
        (False, 1, 0.0, True),
        (True, 1, 0.0, False),
        (False, 0, 0.0, False),
        (False, 1, 5.0, False),
    ):
        task = _task()
        now = runtime.now()
        for number in range(3):
            target = attrs.evolve(_target(f"e{number}"), started_ms=1)
            task.handle(dispatching.PutTargets(targets=(target,)))
            excluded = frozenset(f"e{n}" for n in range(number))
            placement = _place(task, excluded=excluded).unwrap()
            check.assertEqual(placement.target, target)
            left = attrs.evolve(target, leaving=leaving)
            task.handle(dispatching.PutTargets(targets=(left,)))
            ended = attrs.evolve(target, started_ms=started_ms)
            with mock.patch.object(runtime, "now", lambda at=now + number: at):
                placement = attrs.evolve(placement, target=ended)
                _crash(task, placement, writing_s=writing_s)
        task.handle(dispatching.PutTargets(targets=(_target("e9"),)))
        case = (leaving, started_ms, writing_s)
        check.assertEqual(_place(task).is_err(), refused, case)


def _lose(task, name: str, at: float, **details) -> None:
    """Places a call at a target, which closes its connection but seems to listen."""
    others = frozenset(f"e{n}" for n in range(6)) - {name}
    placement = _place(task, excluded=others).unwrap()
    check.assertEqual(placement.target.name, name)
    options = {"ending": requests.Ending.FAILED, "connection_lost": True} | details
    message = dispatching.PlacementEnded(placement=placement, prompt=PROMPT, **options)
    with mock.patch.object(runtime, "now", lambda: at):
        task.handle(message)


def test_targets_whose_successor_listened_already_counted_as_alive():
    now = runtime.now()
    for leaving, lost, back_s, refused in (
        (False, True, 1.0, True),
        (False, True, -1.0, True),
        (False, True, 9.0, False),
        (False, False, 1.0, False),
        (True, True, 1.0, False),
    ):
        task = _task()
        targets = [
            attrs.evolve(_target(f"e{n}"), address=f"10.0.0.{n}:1") for n in range(4)
        ]
        task.handle(dispatching.PutTargets(targets=tuple(targets)))
        for target in targets[:3]:
            successor = attrs.evolve(target, name=f"s-{target.name}", service="other")
            back = dispatching.PutTargets(targets=(successor,))
            with mock.patch.object(runtime, "now", lambda at=now + back_s: at):
                if back_s < 0:
                    task.handle(back)
            if leaving:
                # The call was placed before.
                notice = dispatching.TargetNotice(target=target, leaving=True)
                task.handle(notice)
                continue
            _lose(task, target.name, now, connection_lost=lost)
            with mock.patch.object(runtime, "now", lambda at=now + back_s: at):
                if back_s > 0:
                    task.handle(back)
        case = (leaving, lost, back_s)
        check.assertEqual(_place(task).is_err(), refused, case)
