"""Shares in the dispatcher and between fronts."""

from unittest import mock

import attrs
import result

from tests import fixtures, test_dispatch, test_peers
from turmericward import (
    dispatching,
    peers,
    requests,
    routing,
    runtime,
    sharing,
    telemetry,
)
from turmericward.dispatching import _fair_sharing, _messages, _share_log
from turmericward.peers import _work_exchange

check = fixtures.check
PLACE = _messages.Place
WORK = {
    5: sharing.ServiceWork(
        served=9.0,
        others=0.125,
        others_count=3,
        heaviest={7: 0.25},
        pressure=sharing.Pressure(total=1.5, samples=2.25),
    )
}


def _front(published: list | None = None, **options) -> dispatching.DispatchTask:
    if published is not None:
        options["publish"] = published.append
    task = test_dispatch._task(**options)
    targets = tuple(test_dispatch._target(name) for name in "ab")
    task.handle(dispatching.PutTargets(targets=targets))
    return task


def _place(task, workspace: str | None, **changes):
    call = test_dispatch._call(8.0)
    if workspace is not None:
        call = attrs.evolve(call, workspace=routing.Workspace(name=workspace))
    message = PLACE(call=call, service="model", excluded=frozenset())
    return task.handle(attrs.evolve(message, **changes))


def _saturate(task) -> None:
    """Makes the front see many waiting calls, and workspaces of unequal demand."""
    now = runtime.now()
    shares = task._sharing.shares
    for workspace, work in (("heavy", 1e6), ("light", 1e3)):
        offer = sharing.Offer(
            service="model", workspace=workspace, priority=0, work=work
        )
        shares.offer(offer, now)
    shares.placed(-1, offer, 1e3, now)
    shares.served(-1, now)
    for _ in range(20):
        shares.observe("model", 2.0, now)
    shares._services["model"]._update(now)


def test_without_workspaces_nothing_is_kept_or_sent():
    published = []
    task = _front(published)
    for _ in range(50):
        _place(task, None)
    task.run_periodic()
    check.assertTrue(published)
    check.assertEqual({state.work for state in published}, {None})
    check.assertEqual(task._sharing.shares._services, {})
    check.assertEqual((task._sharing._means, task._sharing._plain), ({}, {}))
    check.assertEqual(task.handle(_messages.GetStatus()).workspaces, ())
    exchange = _work_exchange.WorkExchange()
    exchange.set_local(published[-1], 1.0)
    exchange.begin_datagrams(100.0)
    check.assertIs(exchange.add_due(test_peers.STATE, [], 100.0), test_peers.STATE)


def test_a_heavy_workspace_is_refused_and_others_are_not():
    metrics = telemetry.Metrics(None, "")
    task = _front(metrics=metrics)
    _saturate(task)
    outcomes = [_place(task, "heavy") for _ in range(20)]
    refused = [o.unwrap_err() for o in outcomes if o.is_err()]
    check.assertGreater(len(refused), 15)
    check.assertEqual({r.reason for r in refused}, {sharing.ABOVE_SHARE})
    counted = [line for line in metrics.render_text().splitlines() if line]
    check.assertEqual(counted, [f"shares.refused.model {len(refused)}"])
    check.assertGreater(len({r.retry_after_s for r in refused}), 10)
    for workspace in ("light", None):
        check.assertTrue(_place(task, workspace).is_ok(), workspace)


def test_calls_that_have_begun_are_not_refused_by_share():
    # Guards against work that is lost half way, or a call that was run and is refused.
    resumed = attrs.evolve(
        test_dispatch._call(8.0),
        resume_after="3",
        workspace=routing.Workspace(name="heavy"),
    )
    silent = _messages.SilentTarget(name="a", silent_s=5.0)
    for changes in (
        {"retry": True, "first": False},
        {"prefilled": True, "first": False},
        {"silent": silent, "first": False},
        {"call": resumed},
    ):
        task = _front()
        test_dispatch.fill_budgets(task)
        _saturate(task)
        for _ in range(5):
            answer = _place(task, "heavy", **changes)
            if answer.is_err():
                reason = answer.unwrap_err().reason
                check.assertNotEqual(reason, sharing.ABOVE_SHARE, changes)
            else:
                # It goes behind others of its priority.
                check.assertEqual(answer.unwrap().share_ranks, 1, changes)


def test_retries_of_the_front_count_for_the_workspace():
    task = _front()
    test_dispatch.fill_budgets(task)
    _place(task, "w").unwrap()
    accounts = task._sharing.shares._services["model"].accounts
    before = accounts.work(runtime.now()).offered
    _place(task, "w", retry=True, first=False).unwrap()
    check.assertGreater(accounts.work(runtime.now()).offered, 1.2 * before)


def test_work_of_a_placement_ends_with_it():
    # Guards against a record that outlasts its call, one a call.
    task = _front()
    placement = _place(task, "w").unwrap()
    prompt = test_dispatch.PROMPT
    task.handle(_messages.FirstOutput(placement=placement, prompt=prompt, took_s=0.1))
    ended = _messages.PlacementEnded(
        placement=placement, prompt=prompt, ending=requests.Ending.SUCCEEDED
    )
    task.handle(ended)
    check.assertEqual(task._sharing.shares._open, {})
    served = task._sharing.shares._services["model"].accounts.work(runtime.now())
    check.assertGreater(served.served, 0)


def test_plain_calls_count_by_their_time_and_waits_by_taken_slots():
    placer = requests.Placer(1, "a")
    fair = _fair_sharing.FairSharing(1, placer, lambda name: None)
    target = attrs.evolve(test_dispatch._target("p", role=None), slots=2)
    call = attrs.evolve(
        test_dispatch._call(8.0), prompt=None, workspace=routing.Workspace(name="w")
    )
    message = PLACE(call=call, service="model", excluded=frozenset())
    placements = []
    for _ in range(42):
        turn = fair.offer(message, 0.0)
        chosen = result.Ok(placer.choose_replica([target], 0.0))
        placements.append(fair.placed(turn, message, chosen, 0.0).unwrap())
    shares = fair.shares._services["model"]
    # 40 calls wait for 2 slots at 50 ms each, the last one for a second.
    pressure = shares._saturation.local_pressure(0.0).mean
    check.assertAlmostEqual(pressure, 20 * 0.05 / 0.8 / 2, delta=0.05)
    placer.ended(placements[0], requests.Ending.SUCCEEDED, 2.1)
    fair.ended(placements[0], requests.Ending.SUCCEEDED, 2.1)
    # 2.1 s beside 41 others at 2 slots are 100 ms of work.
    served_per_s = shares.accounts.served_per_s(2.1)
    check.assertAlmostEqual(served_per_s, 100 / 3.0, places=3)
    for placement in placements[1:]:
        fair.ended(placement, requests.Ending.FAILED, 2.1)
    check.assertEqual((fair._plain, fair.shares._open), ({}, {}))


def test_a_front_that_refuses_all_calls_still_tells_its_peers():
    published = []
    task = _front(published)
    _saturate(task)
    task._published_loads = task._placer.local_loads()
    published.clear()
    task.run_periodic()
    work = published[-1].work
    check.assertEqual([len(part.heaviest) for part in work.values()], [2])


def test_peers_are_told_of_workspaces_only_near_saturation():
    published = []
    task = _front(published)
    _place(task, "w").unwrap()
    task.run_periodic()
    (calm,) = [s.work for s in published if s.work]
    check.assertEqual({len(part.heaviest) for part in calm.values()}, {0})


def test_work_survives_encoding_and_old_fronts_ignore_it():
    state = attrs.evolve(test_peers.STATE, work=WORK)
    check.assertEqual(peers.decode(peers.encode(state)), state)
    check.assertIsNone(peers.decode(peers.encode(test_peers.STATE)).work)


def test_a_relay_sums_work_and_a_member_leaves_out_its_own():
    relay, member = _work_exchange.WorkExchange(), _work_exchange.WorkExchange()
    relay.set_local(peers.LocalState(loads={}, work=WORK), 1.0)
    member.set_local(peers.LocalState(loads={}, work=WORK), 1.0)
    member.begin_datagrams(1.0)
    sent = member.add_due(test_peers.STATE, [], 1.0)
    relay.receive(sent, 1.1)
    relay.begin_datagrams(1.1)
    told = relay.add_due(attrs.evolve(test_peers.STATE, front="r"), [sent], 1.1)
    check.assertEqual(told.work[5].heaviest, {7: 0.5})
    check.assertEqual(member.without_own(told).work[5].heaviest, {7: 0.25})
    # Not in each datagram, and not of a member that has been silent.
    relay.begin_datagrams(1.2)
    check.assertIsNone(relay.add_due(test_peers.STATE, [sent], 1.2).work)
    relay.set_local(peers.LocalState(loads={}, work=WORK), 3.0)
    relay.begin_datagrams(3.0)
    later = relay.add_due(test_peers.STATE, [sent], 3.0)
    check.assertEqual(later.work[5].heaviest, {7: 0.25})


def test_peer_tasks_exchange_work_twice_a_second():
    # Guards against work in each datagram, and in those of fronts without workspaces.
    sock, now, delivered = mock.Mock(), [100.0], []
    task = peers.PeerTask("f1", "a", 9, sock, delivered.append, clock=lambda: now[0])
    task.handle(peers.Announced(front="f2", host="127.0.0.1", domain="a"))

    def sent() -> list:
        datagrams = [peers.decode(c.args[0]) for c in sock.sendto.call_args_list]
        sock.reset_mock()
        return [state.work for state in datagrams]

    task.handle(peers.LocalState(loads={}))
    check.assertEqual(sent(), [None])
    for _ in range(10):
        now[0] += 0.1
        task.handle(peers.LocalState(loads={}, work=WORK))
    works = sent()
    check.assertEqual(len(works), 10)
    check.assertEqual([work for work in works if work is not None], [WORK, WORK])
    state = attrs.evolve(test_peers.STATE, front="f2", domain="a", work=WORK)
    task.handle(peers.StateReceived(state=state, host="127.0.0.1"))
    check.assertEqual(delivered[-1].work, WORK)


def test_lines_on_refusals_are_bounded():
    log = _share_log.ShareLog()
    refusal = requests.Refusal(reason=sharing.ABOVE_SHARE, retry_after_s=1.0)
    verdict = sharing.Verdict(refusal=refusal, demand=9.0, share=3.0, age_s=0.2)
    with mock.patch.object(_share_log.telemetry, "log_event") as logged:
        for i in range(3_000):
            offer = sharing.Offer(
                service="m", workspace=f"w{i % 100}", priority=0, work=1.0
            )
            log.refused("id", offer, verdict, now=i / 1_000)
    check.assertEqual(logged.call_count, 3 * _share_log.MAX_LINES_PER_INTERVAL)
