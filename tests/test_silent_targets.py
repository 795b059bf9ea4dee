"""Sound targets that fall silent for a while: nobody loses an answer for it."""

import collections
import contextlib
import itertools
import time
from concurrent import futures
from unittest import mock

import attrs

from benchmarks import _emulator, _loads, _variants
from standins import caller, platform_replica
from tests import fixtures, platform_fixtures

check = fixtures.check
# Longer than a stream waits for an event before it looks for another target.
PAUSE_S = 1.5
# From the arrival of a stream at its replica to the pause, some events later.
BEGUN_S = 0.6
ROUTE_TIMEOUT_MS = 20_000
# A plain call looks for another target when half of this is left.
PLAIN_DEADLINE_S = 4.0
PLAIN_PAUSE_S = 2.5
STREAM = {"route": "asked", "work_s": 2.4, "events": 16, "deadline_s": 20.0}
ONCE = STREAM | {"route": "unique"}
READ = {"route": "read", "method": "GET", "deadline_s": 20.0}
LATE_READ = READ | {"deadline_s": PLAIN_DEADLINE_S}
STREAMS = 30
READS = 12
INTERVAL_S = 0.1
# More than the front and the connections buffer of an answer.
EVENT_BYTES = 1_000_000
LARGE_EVENTS = 32
LONG_DEADLINE = {"Turmericward-Deadline-Ms": "20000"}
CHANGE_INTERVAL_S = 0.3
SLOTS = 64
ENGINES = ("m1", "m2", "m3", "m4")
PLAIN = ("p1", "p2")
# All emulated engines stand still.
EMULATED_PAUSE = _loads.Fault(kind="paused", at=4.0, for_s=PAUSE_S, engines=99, x=0.0)
NO_RETRIES = {"retry_share": 0.0, "retry_slack": 0.0}
# A front that knows no other one has a small part of the slack: 3 and 65 retries.
FEW_RETRIES = {"retry_share": 0.0, "retry_slack": 164.0}
MANY_RETRIES = {"retry_share": 0.0, "retry_slack": 3500.0}


def _manifest(version: int, **changes) -> dict:
    routes = [
        platform_fixtures.route(
            name,
            "streaming",
            "model",
            timeout_ms=ROUTE_TIMEOUT_MS,
            max_attempts=attempts,
            resumable=attempts > 1,
        )
        for name, attempts in (("asked", 3), ("unique", 1))
    ]
    value = platform_fixtures.manifest(version, *routes)
    for route in value["routes"]:
        route |= {"timeout_ms": ROUTE_TIMEOUT_MS} | changes
    return value


@contextlib.contextmanager
def _front(names, **bounds):
    with platform_fixtures.platform(names, **bounds) as platform:
        for name in names:
            platform.announce(name, slots=SLOTS)
        platform.configure(_manifest(4))
        # The routes of the fixture's own manifest have other timeouts.
        platform_fixtures.launch.wait_until(
            lambda: "configuration 4 is in force" in platform.log.read_text(),
            what="configuration applied",
        )
        yield platform


def _send(platform, call: caller.Call) -> caller.Outcome:
    conn = caller.Caller(platform.front, platform_fixtures.HOST)
    with contextlib.closing(conn):
        return conn.send(call)


@contextlib.contextmanager
def _calling(platform, calls: list[caller.Call], interval_s: float = 0.0):
    """Sends the calls one after the other; yields their outcomes, filled at the end."""
    outcomes: list[caller.Outcome] = []
    with futures.ThreadPoolExecutor(len(calls) + 1) as executor:

        def send_all() -> list:
            sent = []
            for call in calls:
                sent.append(executor.submit(_send, platform, call))
                time.sleep(interval_s)
            return sent

        sending = executor.submit(send_all)
        yield outcomes
        outcomes += [fut.result() for fut in sending.result()]


def _calls(count: int, **work) -> list[caller.Call]:
    return [caller.Call(id=f"c{number}", **work) for number in range(count)]


def _await_arrivals(platform, count: int) -> None:
    platform_fixtures.launch.wait_until(
        lambda: sum(len(r.calls) for r in platform.replicas.values()) >= count,
        what=f"{count} calls at replicas",
    )


def _check_answered(platform, outcomes: list[caller.Outcome]) -> None:
    """Checks that all calls have their own whole answers, and none ran too often."""
    ended = [
        (o.call.id, o.status, o.broken, round(o.ended_at - o.sent_at, 1))
        for o in outcomes
        if o.status != 200 or o.broken
    ]
    check.assertEqual(ended, [], f"{len(ended)} of {len(outcomes)} ended early")
    check.assertEqual([o for o in outcomes if o.foreign], [])
    runs = collections.Counter(
        call_id
        for replica in platform.replicas.values()
        for call_id in replica.executed_ids()
    )
    for outcome in outcomes:
        if outcome.call.route == "unique":
            check.assertEqual(runs[outcome.call.id], 1, outcome.call)


def _large_event(call_id: str, number: int) -> bytes:
    return f"id: {number}\ndata: {call_id}{'x' * EVENT_BYTES}\n\n".encode()


def test_a_client_that_reads_slowly_has_the_whole_stream_of_a_silent_replica():
    events = [_large_event("c", n) for n in range(1, LARGE_EVENTS + 1)]
    with (
        mock.patch.object(platform_replica, "event", _large_event),
        _front(ENGINES[:2]) as platform,
    ):
        conn = platform.connect()
        path = f"/asked/x?events={LARGE_EVENTS}&gap_ms=50"
        platform.send(conn, "POST", path, "c", platform_fixtures.PROMPT | LONG_DEADLINE)
        _await_arrivals(platform, 1)
        time.sleep(BEGUN_S)
        # Nothing is read before all engines have been silent.
        with platform.paused(ENGINES[:2]):
            time.sleep(PAUSE_S)
        time.sleep(PAUSE_S)
        resp = conn.getresponse()
        body = resp.read()
        conn.close()
    check.assertEqual(resp.status, 200)
    check.assertEqual(hash(body), hash(b"".join(events)), f"{len(body)} bytes")


def _wait(platform, length_s: float) -> None:
    del platform
    time.sleep(length_s)


def _stream_through_a_pause(
    silent, *, names=ENGINES, work=STREAM, during=_wait, **bounds
) -> None:
    """Lets replicas pause once all calls stream."""
    with _front(names, **bounds) as platform:
        with _calling(platform, _calls(STREAMS, **work)) as outcomes:
            _await_arrivals(platform, STREAMS)
            time.sleep(BEGUN_S)
            with platform.paused(silent):
                during(platform, PAUSE_S)
        _check_answered(platform, outcomes)


def _change_configuration(platform, length_s: float) -> None:
    """Writes new versions that change what is in force for the running streams."""
    until = time.monotonic() + length_s
    for version in itertools.count(5):
        platform.configure(_manifest(version, objective_ms=400 + version))
        time.sleep(min(CHANGE_INTERVAL_S, max(0.0, until - time.monotonic())))
        if time.monotonic() >= until:
            return


def test_streams_of_a_silent_replica_were_cut_when_no_retry_was_left():
    _stream_through_a_pause(ENGINES[:1], **NO_RETRIES)


def test_streams_of_a_silent_replica_were_cut_when_they_used_up_the_retries():
    _stream_through_a_pause(ENGINES[:1], **FEW_RETRIES)


def test_streams_of_replicas_silent_at_once_were_cut_when_they_used_up_the_retries():
    _stream_through_a_pause(ENGINES, **FEW_RETRIES)


def test_streams_were_cut_when_the_configuration_changed_beside_a_silent_replica():
    _stream_through_a_pause(ENGINES, during=_change_configuration, **FEW_RETRIES)


def test_a_silent_replica_without_another_one_had_its_streams_cut():
    _stream_through_a_pause(ENGINES[:1], names=ENGINES[:1])


def test_streams_of_a_silent_replica_that_go_on_elsewhere_have_each_event_once():
    _stream_through_a_pause(ENGINES[:1], **MANY_RETRIES)


def test_streams_that_may_run_once_wait_for_silent_replicas():
    _stream_through_a_pause(ENGINES, work=ONCE, **FEW_RETRIES)


def _read_through_a_pause(names, **bounds) -> None:
    """Sends calls to replicas that begin them, and their answers, after a pause."""
    with _front(names, **bounds) as platform:
        calling = _calling(platform, _calls(READS, **LATE_READ))
        with calling as outcomes, platform.paused(names):
            time.sleep(PLAIN_PAUSE_S)
        _check_answered(platform, outcomes)


def test_plain_calls_with_a_late_first_byte_became_502_when_no_retry_was_left():
    _read_through_a_pause(PLAIN, **NO_RETRIES)


def test_plain_calls_with_a_late_first_byte_became_502_at_the_only_replica():
    _read_through_a_pause(PLAIN[:1])


def test_plain_calls_that_work_longer_than_half_of_their_time_became_502():
    with _front(PLAIN, **NO_RETRIES) as platform:
        work = LATE_READ | {"work_s": PLAIN_PAUSE_S}
        with _calling(platform, _calls(READS, **work)) as outcomes:
            pass
        _check_answered(platform, outcomes)


def _call_during_a_pause(names, *, connectable=True, work, **bounds) -> None:
    """Sends calls all the time while every replica is silent, and after it."""
    with _front(names, **bounds) as platform:
        calls = _calls(int(2 * PAUSE_S / INTERVAL_S), **work)
        calling = _calling(platform, calls, INTERVAL_S)
        with calling as outcomes, platform.paused(names, connectable=connectable):
            time.sleep(PAUSE_S)
        _check_answered(platform, outcomes)


def test_streams_sent_while_all_replicas_are_silent_are_answered():
    _call_during_a_pause(ENGINES, work=STREAM, **FEW_RETRIES)


def test_streams_sent_to_replicas_that_accept_no_connection_were_refused():
    _call_during_a_pause(ENGINES, connectable=False, work=STREAM, **FEW_RETRIES)


def test_plain_calls_sent_while_all_replicas_are_silent_are_answered():
    _call_during_a_pause(PLAIN, work=READ, **FEW_RETRIES)


def test_plain_calls_sent_to_replicas_that_accept_no_connection_were_refused():
    _call_during_a_pause(PLAIN, connectable=False, work=READ, **FEW_RETRIES)


def _emulated_calls_ended(variant: str) -> int:
    load = attrs.evolve(_loads.load("lending"), length_s=9.0, faults=(EMULATED_PAUSE,))
    with _variants.named(variant):
        counts = _emulator.Simulation(load, seed=0).run().counts
    return sum(count for (_, result), count in counts.items() if result == "failed")


def test_emulated_calls_ended_early_when_their_engines_were_given_up_at_silence():
    check.assertEqual(_emulated_calls_ended("as it is"), 0)
    check.assertGreater(_emulated_calls_ended("ended at silence"), 0)
