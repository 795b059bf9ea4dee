"""Planned stops of a front's process."""

import contextlib
import http.client
import json
import select
import signal
import time
from concurrent import futures

from standins import launch
from tests import fixtures, platform_fixtures

check = fixtures.check
PROMPT = platform_fixtures.PROMPT
DRAIN_S = 4.0
LAG_S = 3.0
IDLE_CONNECTIONS = 20
# Of calls sent in a stop: even one that takes all of it ends before the stop does.
LATE_CALL_MS = 2000
# So many show the front how long the calls of a route take.
KNOWN_CALLS = 30
# Its calls are awaited though the replicas, in this process, may be late.
PATIENT = platform_fixtures.route(
    "patient", "idempotent", "plain", max_attempts=1, timeout_ms=20_000
)


def _set_drain(platform, drain_s: float) -> None:
    value = json.loads(platform.settings.read_text())
    value["bounds"]["drain_s"] = drain_s
    platform.settings.write_text(json.dumps(value))
    before = platform.log.read_text().count("settings changed: bounds.drain_s")
    platform.process.send_signal(signal.SIGHUP)
    launch.wait_until(
        lambda: (
            platform.log.read_text().count("settings changed: bounds.drain_s") > before
        ),
        what="drain period changed",
    )


def _events(platform, message: str) -> list[dict]:
    lines = [
        json.loads(line)
        for line in platform.log.read_text().splitlines()
        if line.startswith("{")
    ]
    return [line for line in lines if line["message"] == message]


def _configure(platform, *routes: dict) -> None:
    platform.configure(platform_fixtures.manifest(4, PATIENT, *routes))
    launch.wait_until(
        lambda: platform.call("GET", "/patient/x", "known")[0] == 200,
        what="route known",
    )
    conn = platform.connect()
    for number in range(KNOWN_CALLS):
        _call_on(platform, conn, f"known{number}")
    conn.close()


def _call_on(
    platform, conn, call_id: str, deadline_ms: int = 20_000
) -> http.client.HTTPResponse:
    headers = {"Turmericward-Deadline-Ms": str(deadline_ms)}
    platform.send(conn, "GET", "/patient/x", call_id, headers)
    resp = conn.getresponse()
    resp.read()
    check.assertEqual(resp.status, 200, call_id)
    return resp


def _idle_connection(platform, number: int) -> http.client.HTTPConnection:
    conn = platform.connect()
    _call_on(platform, conn, f"first{number}")
    return conn


def _call_at(platform, conn, call_id: str, due: float) -> None:
    time.sleep(max(0.0, due - time.monotonic()))
    resp = _call_on(platform, conn, call_id, LATE_CALL_MS)
    check.assertEqual(resp.headers["Connection"], "close")
    conn.close()


def _call_late(platform, conns, first_s: float, last_s: float) -> None:
    """Stops the front; each idle connection sends a call at a time of the stop.

    A call that is answered late doesn't delay the others.
    """
    with futures.ThreadPoolExecutor(len(conns)) as executor:
        began = time.monotonic()
        platform.process.terminate()
        step_s = (last_s - first_s) / len(conns)
        sent = [
            executor.submit(
                *(_call_at, platform, conn, f"late{number}"),
                began + first_s + step_s * number,
            )
            for number, conn in enumerate(conns)
        ]
        for fut in sent:
            fut.result()


def _check_complete(platform) -> None:
    check.assertEqual(platform.process.wait(5), 0)
    (ended,) = _events(platform, "stop_ended")
    check.assertEqual((ended["how"], ended["connections"]), ("complete", 0))


def test_calls_on_new_connections_are_answered_while_a_stream_runs_after_the_lag():
    with platform_fixtures.platform(("p1", "m1")) as platform:
        long = platform_fixtures.route(
            "long", "streaming", "model", max_attempts=1, timeout_ms=20_000
        )
        _configure(platform, long)
        # Each connects when its call is due.
        conns = [platform.connect() for _ in range(IDLE_CONNECTIONS)]
        platform.replicas["m1"].event_interval_s = 1.8
        stream = platform.connect()
        headers = PROMPT | {"Turmericward-Deadline-Ms": "10000"}
        platform.send(stream, "POST", "/long/x", "s", headers, b"q")
        resp = stream.getresponse()
        _call_late(platform, conns, LAG_S - 0.1, LAG_S + 1.9)
        check.assertEqual(resp.read().count(b"id: "), 4)
        stream.close()
        _check_complete(platform)


def test_idle_connections_are_served_until_the_lag_is_over_and_then_closed():
    with platform_fixtures.platform(("p1",)) as platform:
        _configure(platform)
        unused = [_idle_connection(platform, n) for n in range(IDLE_CONNECTIONS)]
        used = [_idle_connection(platform, n) for n in range(IDLE_CONNECTIONS)]
        began = time.monotonic()
        _call_late(platform, used, 0.2, LAG_S - 0.3)
        check.assertEqual(select.select([c.sock for c in unused], [], [], 0)[0], [])
        check.assertEqual([conn.sock.recv(1) for conn in unused], [b""] * len(unused))
        check.assertTrue(LAG_S <= time.monotonic() - began < LAG_S + 0.8)
        for conn in unused:
            conn.close()
        _check_complete(platform)


def test_front_exits_in_time_though_a_call_does_not_end_and_the_store_hangs():
    with platform_fixtures.platform(("m1",)) as platform:
        endless = platform_fixtures.route(
            "endless", "streaming", "model", max_attempts=1, timeout_ms=60_000
        )
        platform.configure(platform_fixtures.manifest(4, endless))
        launch.wait_until(
            lambda: platform.call("POST", "/endless/x", "e", PROMPT, b"q")[0] == 200,
            what="route known",
        )
        platform.replicas["m1"].event_interval_s = 20.0
        _set_drain(platform, DRAIN_S)
        conn = platform.connect()
        platform.send(
            conn,
            "POST",
            "/endless/x",
            "endless",
            PROMPT | {"Turmericward-Deadline-Ms": "60000"},
            b"q",
        )
        launch.wait_until(
            lambda: "endless" in platform.replicas["m1"].executed_ids(),
            what="call arrived",
        )
        platform.store.faults.silent = True
        began = time.monotonic()
        for _ in range(3):
            platform.process.send_signal(signal.SIGTERM)
            platform.process.send_signal(signal.SIGHUP)
            time.sleep(0.2)
        check.assertEqual(platform.process.wait(DRAIN_S + 5), 0)
        check.assertLess(time.monotonic() - began, DRAIN_S)
        with contextlib.suppress(http.client.HTTPException, OSError):
            check.assertFalse(conn.getresponse().read().endswith(b"0\r\n\r\n"))


def test_front_without_a_configuration_stops():
    with platform_fixtures.platform(("p1",), started=False) as platform:
        platform.store.faults.down = True
        launch.wait_until(
            lambda: "front starts" in platform.log.read_text(), what="front started"
        )
        check.assertEqual(platform.stop(), 0)


def test_front_that_was_paused_beyond_the_end_reads_nothing_more():
    with platform_fixtures.platform(("p1",)) as platform:
        _set_drain(platform, DRAIN_S)
        _configure(platform)
        conn = _idle_connection(platform, 0)
        platform.process.terminate()
        time.sleep(0.5)
        platform.process.send_signal(signal.SIGSTOP)
        platform.send(conn, "GET", "/read/x", "paused")
        time.sleep(DRAIN_S)
        platform.process.send_signal(signal.SIGCONT)
        resumed = time.monotonic()
        with check.assertRaises(OSError):
            conn.getresponse()
        check.assertEqual(platform.process.wait(5), 0)
        check.assertLess(time.monotonic() - resumed, 1.5)
        check.assertNotIn("paused", platform.replicas["p1"].executed_ids())
        (ended,) = _events(platform, "stop_ended")
        check.assertEqual((ended["how"], ended["connections"]), ("cut", 1))


def test_changed_drain_period_applies_to_a_stop_that_has_begun():
    with platform_fixtures.platform(("p1",)) as platform:
        _configure(platform)
        conn = _idle_connection(platform, 0)
        began = time.monotonic()
        platform.process.terminate()
        _set_drain(platform, 2.0)
        check.assertEqual(platform.process.wait(DRAIN_S), 0)
        check.assertLess(time.monotonic() - began, 3.0)
        conn.close()


# Its open calls were answered, and it ended, so much later: after the kill.
def test_a_front_without_a_processor_at_its_signal_ends_before_the_kill():
    pause_s = 0.9
    with platform_fixtures.platform(("m1",)) as platform:
        long = platform_fixtures.route(
            "long", "streaming", "model", max_attempts=1, timeout_ms=20_000
        )
        platform.configure(platform_fixtures.manifest(4, long))
        launch.wait_until(
            lambda: platform.call("POST", "/long/x", "known", PROMPT, b"q")[0] == 200,
            what="route known",
        )
        _set_drain(platform, DRAIN_S)
        platform.replicas["m1"].event_interval_s = 1.8
        stream = platform.connect()
        headers = PROMPT | {"Turmericward-Deadline-Ms": "20000"}
        platform.send(stream, "POST", "/long/x", "s", headers, b"q")
        resp = stream.getresponse()
        platform.process.send_signal(signal.SIGSTOP)
        began = time.monotonic()
        platform.process.terminate()
        time.sleep(pause_s)
        platform.process.send_signal(signal.SIGCONT)
        with check.assertRaises(http.client.IncompleteRead):
            resp.read()
        check.assertLess(time.monotonic() - began, DRAIN_S)
        check.assertEqual(platform.process.wait(began + DRAIN_S - time.monotonic()), 0)
