"""Requests that crash replicas don't take one replica after the other."""

import contextlib
import random
import time

import attrs
from click import testing

from standins import platform_replica
from tests import (
    crashing_fleet,
    crashing_services,
    fixtures,
    platform_fixtures,
    repeated_calls,
)
from turmericward.programs import cli

check = fixtures.check
Request = crashing_services.Request
READ, WRITE = crashing_services.READ, crashing_services.WRITE
# A path that all read, some that a few do, and requests that nobody repeats.
COMMON = Request("/status")
SOUND = [COMMON] * 6 + [Request(f"/shared/{n}") for n in range(12)]
SOUND += [Request()] * 12 + [Request(route=WRITE)] * 6
DEADLY = [Request("/deadly", caller="x")]
# Play of the front as a process.
CALL_INTERVAL_S = 0.1
RESTART_S = 0.5
PLAY_S = 10.0
STEADY_S = 3.0


def _world(fronts_each: int, count: int = 3, *, deadly=DEADLY, **options):
    servers = crashing_services.replicas(count)
    options = {"calls_per_s": 40.0, "deadly_per_s": 2.0} | options
    return crashing_services.World(fronts_each, servers, SOUND, deadly, **options)


def _play(fronts_each: int, count: int = 3, *, until: float = 40.0, **options):
    with _world(fronts_each, count, **options) as world:
        world.run(until)
    return world


def _check_bounds(world: crashing_services.World, case: object = "") -> None:
    """Checks that few replicas ended and that sound calls went on."""
    late = world.late_by_request()
    most = crashing_services.MAX_LATE_ARRIVALS
    over = {request.path: count for request, count in late.items() if count > most}
    check.assertEqual(over, {}, case)
    usual = world.served_share(0.5, 3.0)
    served = world.served_share(world.served_from(), world.now - 5.0)
    check.assertGreaterEqual(
        served, crashing_services.MIN_SERVED_SHARE * usual, (case, world.served_from())
    )


def test_a_request_without_a_prompt_crashed_one_replica_after_the_other():
    for deadly in (DEADLY, [Request("/deadly", caller="x", route=WRITE)]):
        _check_bounds(_play(2, deadly=deadly), deadly)


def test_requests_that_crash_replicas_are_found_by_any_number_of_fronts():
    for fronts_each, count, restart_s, until in (
        (1, 3, 1.0, 30.0),
        (2, 3, 10.0, 60.0),
        (23, 20, 3.0, 20.0),
        (65, 35, 2.0, 16.0),
    ):
        world = _play(
            fronts_each, count, restart_s=restart_s, until=until, deadly_per_s=4.0
        )
        _check_bounds(world, (fronts_each, count, restart_s))


def test_several_requests_that_crash_replicas_are_found_at_the_same_time():
    kinds = (READ, WRITE, READ)
    deadly = [Request(f"/deadly{n}", route=kind) for n, kind in enumerate(kinds)]
    for count, restart_s in ((3, 1.0), (3, 5.0), (12, 3.0)):
        world = _play(2, count, deadly=deadly, restart_s=restart_s, until=60.0)
        _check_bounds(world, (count, restart_s))


def test_one_sending_a_second_up_to_a_tenth_of_all_calls():
    for deadly_per_s in (0.3, 1.0, 4.0):
        for restart_s in (1.0, 10.0):
            world = _play(2, deadly_per_s=deadly_per_s, restart_s=restart_s, until=60.0)
            _check_bounds(world, (deadly_per_s, restart_s))


def test_replicas_that_listen_again_at_once_crashed_one_after_the_other():
    for restart_s in (0.2, 1.0):
        world = _play(2, listens_again=True, restart_s=restart_s)
        _check_bounds(world, restart_s)


def test_a_request_that_was_answered_before_crashed_one_replica_after_the_other():
    for requests_each, restart_s in ((1, 1.0), (1, 5.0), (3, 5.0)):
        deadly = [Request(f"/deadly{n}", caller="x") for n in range(requests_each)]
        for seed in (1, 2, 3):
            options = {"restart_s": restart_s, "deadly_per_s": 4.0, "seed": seed}
            world = _play(2, deadly=deadly, answered_until=10.0, until=60.0, **options)
            _check_bounds(world, (requests_each, options))
            check.assertNotIn(COMMON, world.false_alarms, (requests_each, options))


def test_sound_requests_that_were_there_by_chance_stayed_refused():
    subjects = [Request(f"/subject/{n}") for n in range(60)]
    for restart_s, seed in ((1.0, 6), (5.0, 2), (5.0, 7)):
        deadly = [Request(f"/deadly{n}", caller="x") for n in range(2)]
        options = {"restart_s": restart_s, "seed": seed, "deadly_per_s": 4.0}
        servers = crashing_services.replicas(3)
        with crashing_services.World(
            2, servers, subjects, deadly, calls_per_s=120.0, **options
        ) as world:
            world.run(35.0)
        _check_bounds(world, options)
        # Their bar of a minute isn't over.
        check.assertEqual(world.served_share(30.0, 34.0), 1.0, options)


def test_fronts_that_start_later_learn_which_requests_crash_replicas():
    for restarted in (("a000",), ("a000", "a001"), ("a900",)):
        with _world(2) as world:
            world.run(15.0)
            for name in restarted:
                world.start_front(name, "a")
            world.run(16.5)
            arrived = sum(map(len, world.arrivals.values()))
            world.run(40.0)
            check.assertEqual(sum(map(len, world.arrivals.values())), arrived)
            _check_bounds(world, restarted)


def test_a_domain_that_was_cut_off_learns_of_the_request_afterwards():
    with _world(2, deadly_from=4.0) as world:
        world.run(3.5)
        world.cut_domains.add("a")
        world.run(14.0)
        world.cut_domains.clear()
        world.run(15.0)
        arrived = sum(map(len, world.arrivals.values()))
        world.run(40.0)
        check.assertEqual(sum(map(len, world.arrivals.values())), arrived)
        check.assertGreater(world.served_share(25.0, 35.0), 0.99)


def test_one_front_tries_a_request_after_the_bar_and_its_answer_lifts_it_everywhere():
    for mended in (False, True):
        with _world(2, calls_per_s=4.0, deadly_per_s=1.0) as world:
            world.run(15.0)
            crashed = len(world.crashed_at)
            arrived = len(world.arrivals[DEADLY[0]])
            if mended:
                world.mend()
            world.run(180.0)
            late = len(world.arrivals[DEADLY[0]]) - arrived
            if mended:
                sent = [c for c in world.calls if c.deadly and c.sent_at > 140.0]
                check.assertGreater(len(sent), 5)
                check.assertTrue(all(c.answered_at is not None for c in sent[:-3]))
            else:
                check.assertEqual((late, len(world.crashed_at) - crashed), (1, 1))


def test_requests_of_other_callers_with_the_same_path_are_served():
    other = Request("/deadly", caller="y")
    servers = crashing_services.replicas(3)
    with crashing_services.World(
        2, servers, [other], DEADLY, deadly_per_s=2.0
    ) as world:
        world.run(40.0)
    check.assertGreaterEqual(max(map(len, world.crashes.values())), 3)
    check.assertEqual(len(world.false_alarms), 0)
    _check_bounds(world)


def test_sound_requests_are_not_barred_beside_one_that_crashes_replicas():
    for restart_s in (1.0, 5.0):
        world = _play(2, restart_s=restart_s)
        check.assertNotIn(COMMON, world.false_alarms)
        check.assertGreater(world.served_share(world.served_from(), 35.0), 0.99)


def test_a_common_request_that_was_at_all_replicas_when_they_ended_is_served_after():
    options = {"calls_per_s": 300.0, "restart_s": 3.0}
    for interval_s in (0.0, 0.01, 0.3):
        servers = crashing_services.replicas(3)
        with crashing_services.World(2, servers, [COMMON], [], **options) as world:
            world.run(5.0)
            while not all(server.open for server in servers):
                world.run(world.now + 0.01)
            for number, server in enumerate(servers):
                at = world.now + number * interval_s
                world.schedule(at, world.crash, server.target.name)
            world.run(15.0)
        check.assertEqual(len(world.false_alarms), 0, interval_s)
        check.assertGreater(world.served_share(9.0, 14.0), 0.99, interval_s)


def _run_ordinary_crashes(seed: int) -> set[Request]:
    """Ends replicas alone, at once and in turn; returns the requests ever refused."""
    source = random.Random(seed)
    servers = crashing_services.replicas(source.choice((3, 6, 12)))
    world = crashing_services.World(
        2, servers, SOUND, [], calls_per_s=60.0, restart_s=3.0, seed=seed
    )
    world.schedule_ordinary_crashes(source)
    with world:
        world.run(29.0)
    return set(world.false_alarms)


def test_ordinary_crashes_bar_no_request():
    crashing_fleet.check_ordinary_crashes(_run_ordinary_crashes)


def test_a_front_sent_a_deadly_request_to_replica_after_replica():
    names = ("p1", "p2", "p3")
    for path, method, body in (
        ("/read/deadly", "GET", b""),
        ("/write/deadly", "POST", b"q"),
    ):
        content = platform_replica.Content(path=path, caller="x", body=body)
        deadly = repeated_calls.Sending(method=method, path=path, caller="x", body=body)
        other = attrs.evolve(deadly, caller="y")
        common = repeated_calls.Sending(method="GET", path="/read/status")
        unique = repeated_calls.Sending(method="GET", path="/read/own/{}")
        with contextlib.ExitStack() as stack:
            platform = stack.enter_context(platform_fixtures.platform(names))
            crashing = platform_fixtures.CrashingReplicas(stack, platform, RESTART_S)
            crashing.arm(names, contents=frozenset((content,)))
            sendings = (deadly, other, common, unique)
            with repeated_calls.Clients(platform, sendings, CALL_INTERVAL_S) as clients:
                time.sleep(PLAY_S)
            ended_at = time.monotonic()
            settled_at = crashing.settled_at(
                crashing_services.CRASHES_COUNTED, crashing_services.SETTLING_S
            )
            late = [
                received
                for received in crashing.received_since(settled_at)
                if received.path == path
                and received.headers.get("Authorization") == "x"
            ]
            check.assertLessEqual(len(late), crashing_services.MAX_LATE_ARRIVALS, path)
            for sending in (other, common, unique):
                served = clients.served_share(sending, ended_at - STEADY_S)
                check.assertGreater(served, crashing_services.MIN_SERVED_SHARE, sending)
            output = (
                testing.CliRunner()
                .invoke(cli.main, ["front-status", platform.metrics])
                .output
            )
            check.assertRegex(output, rf"request \w{{16}} \({path[1:-7]}\): barred for")
            check.assertIn('"kind": "request"', platform.read_log())
            refusals = [s for at, s in clients.statuses[deadly] if at > settled_at]
            check.assertEqual(set(refusals), {503})
