"""Planned stops of a front as a process: calls on connections kept until its end."""

import collections
import random
import signal
import subprocess
import time
from concurrent import futures

import attrs

from standins import caller
from tests import fixtures, platform_fixtures

check = fixtures.check
GRACE_S = 8.0
SLOTS = 200
LAG_S = 3.0
SEED = 1
# The moment at which the process ends differs between stops.
SEEDS = (1, 2)
LONG_S = 5.0
# Longer than a resumable stream waits for an event, before and in a stop.
PAUSE_S = 1.4


@attrs.frozen
class _Stop:
    """Outcomes of a stop's calls, those not sent, and the process's exit status."""

    outcomes: list[caller.Outcome]
    unsent: int
    exit_status: int
    took_s: float


def _configure(platform) -> None:
    for name in platform.replicas:
        platform.announce(name, slots=SLOTS)
    routes = [
        platform_fixtures.route(
            name, kind, service, timeout_ms=20_000, gap_ms=3000, max_attempts=1
        )
        for name, kind, service in (
            ("long", "streaming", "model"),
            ("job", "non_idempotent", "plain"),
            ("first", "idempotent", "plain"),
        )
    ]
    routes.append(
        platform_fixtures.route(
            "resumable", "streaming", "model", timeout_ms=20_000, resumable=True
        )
    )
    platform.configure(platform_fixtures.manifest(4, *routes))
    platform_fixtures.launch.wait_until(
        lambda: platform.call("POST", "/job/x", "probe", None, b"q")[0] == 200,
        what="routes known",
    )


def _send_at(at: float, conn: caller.Caller, call: caller.Call):
    """Returns the outcome, or None if the connection was closed before."""
    time.sleep(max(0.0, at - time.monotonic()))
    return conn.send(call) if conn.is_open() else None


def _send_newly_at(at: float, platform, call: caller.Call) -> caller.Outcome:
    """Connects at a time, as clients of a slow balancer do; returns the outcome."""
    time.sleep(max(0.0, at - time.monotonic()))
    conn = caller.Caller(platform.front, platform_fixtures.HOST)
    outcome = conn.send(call)
    conn.close()
    return outcome


def _stop_with(platform, delays: list[float], *, newly=False, **work) -> _Stop:
    """Stops the front; after each delay a connection idle until then sends a call.

    With `newly` calls that are sent later than the balancer's lag come on connections
    that are opened for them.
    """
    host = platform_fixtures.HOST
    conns = [caller.Caller(platform.front, host) for _ in delays]
    for number, conn in enumerate(conns):
        check.assertEqual(
            conn.send(caller.Call(id=f"i{number}", route="first", method="GET")).status,
            200,
        )
    with futures.ThreadPoolExecutor(len(conns)) as executor:
        began = time.monotonic()
        platform.process.send_signal(signal.SIGTERM)
        sent = []
        for number, (delay, conn) in enumerate(zip(delays, conns, strict=True)):
            call = caller.Call(id=f"c{number}", **work)
            late = newly and delay > LAG_S
            send = (_send_newly_at, began + delay, platform, call)
            send = send if late else (_send_at, began + delay, conn, call)
            sent.append(executor.submit(*send))
        try:
            platform.process.wait(began + GRACE_S - time.monotonic())
        except subprocess.TimeoutExpired:
            platform.process.kill()
        exit_status = platform.process.wait()
        took_s = time.monotonic() - began
    outcomes = [fut.result() for fut in sent]
    for conn in conns:
        conn.close()
    return _Stop(
        outcomes=[outcome for outcome in outcomes if outcome is not None],
        unsent=outcomes.count(None),
        exit_status=exit_status,
        took_s=took_s,
    )


def _check_stop(platform, stop: _Stop) -> None:
    runs = collections.Counter(
        call_id
        for replica in platform.replicas.values()
        for call_id in replica.executed_ids()
    )
    lost = [
        (outcome.call.id, outcome.status, outcome.broken)
        for outcome in stop.outcomes
        if outcome.unanswered or (outcome.broken and runs[outcome.call.id])
    ]
    check.assertEqual(lost, [], f"process ended after {stop.took_s:.2f} s")
    for outcome in stop.outcomes:
        check.assertFalse(outcome.foreign, outcome)
        check.assertLessEqual(runs[outcome.call.id], 1, outcome)
        if outcome.status in (429, 503):
            check.assertEqual(runs[outcome.call.id], 0, outcome)
    check.assertEqual(stop.exit_status, 0)


def _call_before(platform, calls: list[dict]) -> None:
    """Lets the front observe how long calls take."""
    with futures.ThreadPoolExecutor(len(calls)) as executor:
        for number, work in enumerate(calls):
            conn = caller.Caller(platform.front, platform_fixtures.HOST)
            executor.submit(conn.send, caller.Call(id=f"w{number}", **work))


def test_long_streams_sent_late_in_the_grace_are_not_cut_at_its_end():
    rng = random.Random(SEED)
    with platform_fixtures.platform(("p1", "m1", "m2")) as platform:
        _configure(platform)
        work = {"route": "long", "work_s": LONG_S, "events": 10}
        _call_before(platform, 12 * [work])
        # The first one can be served whole, and keeps the front from an early exit.
        delays = [1.0] + [rng.uniform(GRACE_S - LONG_S + 0.2, 5.0) for _ in range(30)]
        _check_stop(platform, _stop_with(platform, delays, newly=True, **work))


def test_seldom_long_streams_of_a_route_are_not_cut_at_the_end_of_the_grace():
    rng = random.Random(SEED)
    with platform_fixtures.platform(("p1", "m1", "m2")) as platform:
        _configure(platform)
        work = {"route": "long", "work_s": LONG_S, "events": 10}
        _call_before(platform, 16 * [work | {"work_s": 0.2}] + 2 * [work])
        delays = [1.0] + [rng.uniform(GRACE_S - LONG_S + 0.1, 4.0) for _ in range(20)]
        _check_stop(platform, _stop_with(platform, delays, newly=True, **work))


# Calls got longer than all before them while the process stopped, and were cut.
def test_streams_that_took_longer_than_all_before_the_stop_were_cut_at_its_end():
    rng = random.Random(SEED)
    with platform_fixtures.platform(("p1", "m1", "m2")) as platform:
        _configure(platform)
        work = {"route": "long", "work_s": 0.25, "events": 2, "deadline_s": 6.0}
        _call_before(platform, 40 * [work])
        work |= {"work_s": LONG_S, "events": 10}
        delays = [1.0] + [rng.uniform(3.2, 4.6) for _ in range(20)]
        _check_stop(platform, _stop_with(platform, delays, newly=True, **work))


def test_late_calls_whose_deadline_is_in_time_were_refused_with_those_that_may_be_cut():
    with platform_fixtures.platform(("p1", "m1", "m2")) as platform:
        _configure(platform)
        work = {"route": "long", "work_s": 1.0, "events": 4, "deadline_s": 2.0}
        # Each one keeps the front open for the next.
        delays = [1.0, 2.0, 2.7, 3.4, 4.1, 4.8]
        stop = _stop_with(platform, delays, newly=True, **work)
        _check_stop(platform, stop)
        statuses = [(o.status, o.broken) for o in stop.outcomes]
        check.assertEqual(statuses, len(delays) * [(200, "")])


def test_calls_sent_as_the_process_ends_are_answered_or_not_read():
    for seed in SEEDS:
        rng = random.Random(seed)
        with platform_fixtures.platform(("p1", "p2", "m1")) as platform:
            _configure(platform)
            delays = [rng.uniform(2.9, 3.6) for _ in range(100)]
            _check_stop(platform, _stop_with(platform, delays, route="job"))


def test_calls_sent_after_the_last_look_for_open_ones_are_answered_or_not_read():
    for seed in SEEDS:
        rng = random.Random(seed)
        with platform_fixtures.platform(("p1", "p2", "m1")) as platform:
            _configure(platform)
            delays = [rng.uniform(3.0, 3.12) for _ in range(20)]
            stop = _stop_with(platform, delays, route="job", work_s=0.1)
            _check_stop(platform, stop)


def test_a_stream_whose_target_pauses_during_the_stop_is_not_broken_off():
    with platform_fixtures.platform(("p1", "m1", "m2")) as platform:
        _configure(platform)
        conn = caller.Caller(platform.front, platform_fixtures.HOST)
        call = caller.Call(id="c0", route="resumable", work_s=2 * PAUSE_S, events=2)
        with futures.ThreadPoolExecutor(1) as executor:
            sent = executor.submit(conn.send, call)
            platform_fixtures.launch.wait_until(
                lambda: platform.replicas["m1"].calls or platform.replicas["m2"].calls,
                what="call arrived",
            )
            exit_status = platform.stop()
        outcome = sent.result()
        check.assertEqual((outcome.broken, outcome.body), ("", call.answer()))
        check.assertEqual(exit_status, 0)
