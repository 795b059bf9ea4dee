"""The front as a process, with fault injection in stand-ins of the platform."""

import http.client
import json
import pathlib
import socket
import time

from standins import launch, platform_replica
from tests import fixtures, limited_fleet, platform_fixtures
from turmericward import eventstream

check = fixtures.check
PROMPT = platform_fixtures.PROMPT
# Fault, method, path, allowed statuses, maximum runs over all replicas.
FAULT_CASES = [
    ("", "GET", "/read/x", {200}, 1),
    ("extra", "GET", "/read/x", {200}, 1),
    ("unframed", "GET", "/read/x", {200}, 1),
    ("error", "GET", "/read/x", {500}, 2),
    ("torn", "GET", "/read/x", {502}, 2),
    ("reset", "GET", "/read/x", {502}, 2),
    ("foreign", "GET", "/read/x", {502}, 2),
    ("unsigned", "GET", "/read/x", {502}, 2),
    ("encoded", "GET", "/read/x", {502}, 2),
    ("foreign refusal", "GET", "/read/x", {502}, 2),
    ("full", "GET", "/read/x", {503}, 0),
    *((fault, "GET", "/read/x", {502}, 2) for fault in platform_replica.DISCLAIMERS),
    *((fault, "POST", "/write/x", {502}, 1) for fault in platform_replica.DISCLAIMERS),
    ("", "POST", "/write/x", {200}, 1),
    ("extra", "POST", "/write/x", {200}, 1),
    ("unframed", "POST", "/write/x", {200}, 1),
    ("error", "POST", "/write/x", {500}, 1),
    ("torn", "POST", "/write/x", {502}, 1),
    ("reset", "POST", "/write/x", {502}, 1),
    ("foreign", "POST", "/write/x", {502}, 1),
    ("unsigned", "POST", "/write/x", {502}, 1),
    ("foreign refusal", "POST", "/write/x", {502}, 1),
    ("full", "POST", "/write/x", {503}, 0),
]


def _runs(platform, call_id: str) -> int:
    return sum(r.executed_ids().count(call_id) for r in platform.replicas.values())


def _set_fault(platform, fault: str, names=("p1", "p2", "m1", "m2")) -> None:
    for name in names:
        platform.replicas[name].fault = fault


def test_faulty_responses_become_failures_and_runs_are_bounded():
    with platform_fixtures.platform() as platform:
        for number, (fault, method, path, statuses, max_runs) in enumerate(FAULT_CASES):
            case = f"{fault or 'no fault'} {method} {path}"
            _set_fault(platform, fault)
            call_id = f"c{number}"
            body = b"work" if method == "POST" else None
            status, headers, answer = platform.call(method, path, call_id, body=body)
            check.assertIn(status, statuses, case)
            check.assertLessEqual(_runs(platform, call_id), max_runs, case)
            if status == 200:
                check.assertEqual(answer, f"answer to {call_id}".encode(), case)
                check.assertEqual(
                    headers["Turmericward-Server-Stamp"], platform_replica.SIGNATURE
                )
            if status == 503:
                check.assertGreater(float(headers["Retry-After"]), 0, case)


def test_repeatable_calls_are_retried_at_another_replica():
    with platform_fixtures.platform() as platform:
        for fault in ("reset", "torn", "foreign", "error", "full"):
            _set_fault(platform, "")
            platform.replicas["p1"].fault = fault
            statuses = {
                platform.call("GET", "/read/x", f"{fault}{n}")[0] for n in range(6)
            }
            check.assertEqual(statuses, {200}, fault)


def test_a_replica_with_an_unexpected_name_runs_no_calls():
    with platform_fixtures.platform() as platform:
        platform.replicas["p1"].name = "p9"
        statuses = [platform.call("POST", "/write/x", f"w{n}")[0] for n in range(8)]
        check.assertEqual(set(statuses), {200})
        check.assertEqual(platform.replicas["p1"].executed_ids(), [])


def test_streams_are_complete_or_visibly_truncated():
    with platform_fixtures.platform() as platform:
        expected = b"".join(platform_replica.event("s", n + 1) for n in range(4))
        status, _, body = platform.call("POST", "/ask/x", "s", PROMPT, b"q")
        check.assertEqual((status, body), (200, expected))
        platform.replicas["m1"].fault = "cut"
        platform.replicas["m2"].fault = ""
        for _ in range(4):
            status, _, body = platform.call("POST", "/ask/x", "s", PROMPT, b"q")
            check.assertEqual((status, body), (200, expected))
        _set_fault(platform, "cut")
        with check.assertRaises(http.client.IncompleteRead):
            platform.call("POST", "/once/x", "s1", PROMPT, b"q")
        check.assertEqual(_runs(platform, "s1"), 1)
        check.assertNotIn("Traceback", platform.read_log())


def test_system_headers_sent_by_clients_are_dropped():
    forged = {
        "Turmericward-Expect-Instance": "x",
        "Turmericward-Expect-Version": "9",
        "Turmericward-Serving-Stage": "prefill",
        "Turmericward-Kv-Source": "1.2.3.4:5/6",
        "Turmericward-Kv-Hold": "h",
        "Turmericward-Pin-Ms": "5",
        "Turmericward-Kv-Backup": "1.2.3.4:5",
        "Kv-Fetch": "1.2.3.4:5",
    }
    with platform_fixtures.platform() as platform:
        status, _, _ = platform.call("POST", "/ask/x", "f", PROMPT | forged, b"q")
        check.assertEqual(status, 200)
        (received,) = [s for r in platform.replicas.values() for s in r.calls]
        names = {name for name in forged if name in received.headers}
        check.assertEqual(names, {"Turmericward-Expect-Instance"})
        check.assertEqual(
            received.headers["Turmericward-Prompt-Prefix"], "aa:100,bb:200"
        )
        check.assertEqual(received.headers["Host"], platform_fixtures.HOST)
        check.assertLessEqual(int(received.headers["Turmericward-Deadline-Ms"]), 3000)


def test_chunked_bodies_are_forwarded_and_smuggled_requests_never_run():
    with platform_fixtures.platform() as platform:
        body = iter([b"one ", b"two"])
        status, _, _ = platform.call("POST", "/write/x", "chunks", None, body)
        check.assertEqual(status, 200)
        (received,) = [s for r in platform.replicas.values() for s in r.calls]
        check.assertEqual(received.body, b"one two")
        smuggled = (
            "POST /write/a HTTP/1.1\r\nHost: api.example\r\n"
            "Turmericward-Attempt-Id: outer\r\nContent-Length: 4\r\n"
            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            "POST /write/b HTTP/1.1\r\nHost: api.example\r\n"
            "Turmericward-Attempt-Id: inner\r\nContent-Length: 0\r\n\r\n"
        )
        host, _, port = platform.front.rpartition(":")
        with socket.create_connection((host, int(port)), 5) as sock:
            sock.sendall(smuggled.encode())
            sock.settimeout(2)
            check.assertTrue(sock.recv(100))
        time.sleep(0.3)
        check.assertEqual(_runs(platform, "inner"), 0)


def test_a_client_disconnect_cancels_the_call_at_the_replica():
    with platform_fixtures.platform(("m1",)) as platform:
        replica = platform.replicas["m1"]
        replica.event_interval_s = 1.5
        conn = platform.connect()
        platform.send(conn, "POST", "/once/x", "gone", PROMPT, b"q")
        launch.wait_until(lambda: replica.calls, what="call arrived")
        conn.close()
        check.assertTrue(replica.cancelled.wait(0.5))


def test_a_call_fails_within_its_routes_timeout():
    with platform_fixtures.platform() as platform:
        short = platform_fixtures.route("quick", "idempotent", "plain", timeout_ms=600)
        platform.configure(platform_fixtures.manifest(4, short))
        launch.wait_until(lambda: platform.call("GET", "/quick/x", "q0")[0] == 200)
        _set_fault(platform, "silent")
        began = time.monotonic()
        status, _, _ = platform.call("GET", "/quick/x", "q1")
        check.assertEqual(status, 504)
        check.assertLess(time.monotonic() - began, 0.6 + 0.4)


def test_running_streams_complete_during_the_drain():
    with platform_fixtures.platform(("m1",)) as platform:
        platform.replicas["m1"].event_interval_s = 0.5
        conn = platform.connect()
        platform.send(conn, "POST", "/once/x", "drained", PROMPT, b"q")
        launch.wait_until(lambda: platform.replicas["m1"].calls, what="call arrived")
        platform.process.terminate()
        launch.wait_until(lambda: not platform.is_ready(), what="not ready")
        resp = conn.getresponse()
        expected = b"".join(platform_replica.event("drained", n + 1) for n in range(4))
        check.assertEqual(resp.read(), expected)
        check.assertEqual(platform.process.wait(platform_fixtures.STOP_TIMEOUT_S), 0)


def test_an_idle_front_exits_within_its_drain_period():
    with platform_fixtures.platform(("m1",)) as platform:
        drain_s = json.loads(platform.settings.read_text())["bounds"]["drain_s"]
        platform.process.terminate()
        check.assertEqual(platform.process.wait(drain_s), 0)
        check.assertNotIn("is lost", platform.log.read_text())


def test_calls_succeed_during_store_faults():
    with platform_fixtures.platform() as platform:
        for fault in ("down", "torn", "silent"):
            setattr(platform.store.faults, fault, True)
            time.sleep(0.7)
            check.assertEqual(platform.call("GET", "/read/x", fault)[0], 200, fault)
            setattr(platform.store.faults, fault, False)
        platform.store.compact("keyed.servers")
        platform.store.compact("keyed.op")
        extra = platform_fixtures.route("new", "idempotent", "plain")
        platform.configure(platform_fixtures.manifest(5, extra))
        launch.wait_until(lambda: platform.call("GET", "/new/x", "n")[0] == 200)


def test_a_front_without_configuration_is_not_ready_and_refuses_calls():
    with platform_fixtures.platform(started=False) as platform:
        platform.process.kill()
        platform.process.wait()
        platform.store.faults.down = True
        platform.start()
        launch.wait_until(
            lambda: platform.call("GET", "/read/x", "early")[0] == 503, what="refusal"
        )
        check.assertFalse(platform.is_ready())
        platform.store.faults.down = False
        platform.wait_ready()
        check.assertEqual(platform.call("GET", "/read/x", "later")[0], 200)
        check.assertEqual(platform.call("GET", "/none/x", "none")[0], 404)


def test_older_and_malformed_manifests_are_ignored():
    with platform_fixtures.platform() as platform:
        extra = platform_fixtures.route("new", "idempotent", "plain")
        platform.configure(platform_fixtures.manifest(9, extra))
        launch.wait_until(lambda: platform.call("GET", "/new/x", "n")[0] == 200)
        platform.configure(platform_fixtures.manifest(8))
        platform.store.put("keyed.op", "config", b"{torn")
        bad = platform_fixtures.manifest(12)
        del bad["routes"][0]["kind"]
        platform.store.put("keyed.op", "config", json.dumps(bad).encode())
        launch.wait_until(
            lambda: platform.log.read_text().count("configuration at offset") >= 2,
            what="bad manifests logged",
        )
        check.assertEqual(platform.call("GET", "/new/x", "still")[0], 200)


def test_leaving_replicas_and_malformed_records_get_no_calls():
    with platform_fixtures.platform() as platform:
        platform.announce("p1", state="draining")
        platform.announce("p1", state="in_service")
        platform.store.put("keyed.servers", "p2", b"\xff torn")
        platform.store.put("keyed.servers", "p7", b'{"service": "plain"}')
        time.sleep(0.5)
        before = len(platform.replicas["p1"].calls)
        statuses = {platform.call("GET", "/read/x", f"l{n}")[0] for n in range(6)}
        check.assertEqual(statuses, {200})
        check.assertEqual(len(platform.replicas["p1"].calls), before)


def test_invalid_settings_end_the_program_and_name_the_field():
    with platform_fixtures.platform(started=False) as platform:
        platform.process.kill()
        platform.process.wait()
        value = json.loads(platform.settings.read_text())
        value["listen"]["front"] = "somewhere"
        platform.settings.write_text(json.dumps(value))
        platform.start()
        check.assertEqual(platform.process.wait(10), 2)
        check.assertIn("listen.front", platform.log.read_text())


def test_metrics_count_replies_and_record_latencies():
    with platform_fixtures.platform() as platform:
        platform.call("GET", "/read/x", "m")
        platform.call("POST", "/ask/x", "n", PROMPT, b"q")
        status, _, page = launch.request(platform.metrics, "GET", "/metrics")
        check.assertEqual(status, 200)
        check.assertIn(b"delivery.answered 1", page)
        check.assertIn(b"delivery.streamed 1", page)
        check.assertIn(b'first_token_ms_count{class="model.stream"} 1', page)


def test_a_stalled_stream_is_resumed_at_another_replica():
    with platform_fixtures.platform() as platform:
        platform.replicas["m1"].fault = "hang"
        platform.replicas["m2"].fault = ""
        expected = b"".join(platform_replica.event("h", n + 1) for n in range(4))
        for _ in range(3):
            began = time.monotonic()
            status, _, body = platform.call("POST", "/ask/x", "h", PROMPT, b"q")
            check.assertEqual((status, body), (200, expected))
            check.assertLess(time.monotonic() - began, 2.0)


def _peak_mb(pid: int) -> float:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    return 0.0


def test_endless_responses_are_aborted_with_bounded_memory():
    with platform_fixtures.platform() as platform:
        before_mb = _peak_mb(platform.process.pid)
        for number, part in enumerate(platform_replica.ENDLESS):
            _set_fault(platform, f"endless {part}")
            for method, path, headers in (
                ("POST", "/write/x", None),
                ("POST", "/once/x", PROMPT),
            ):
                call_id = f"e{number}{path}"
                try:
                    status, _, _ = platform.call(method, path, call_id, headers, b"q")
                except http.client.HTTPException:
                    # A stream that has begun can only be truncated.
                    status = 502
                check.assertIn(status, {502, 504}, part)
                check.assertEqual(_runs(platform, call_id), 1, part)
        check.assertFalse(
            [r.name for r in platform.replicas.values() if r.unbounded_read]
        )
        check.assertLess(_peak_mb(platform.process.pid) - before_mb, 64)
        _set_fault(platform, "")
        check.assertEqual(platform.call("GET", "/read/x", "after")[0], 200)


def test_malformed_event_ids_have_no_number():
    for event_id in ("\xb2", "9" * 5_000, "-1", "", "1.5"):
        event = eventstream.Event(id=event_id, raw=b"")
        check.assertIsNone(event.number, event_id[:5])


# Response headers of a replica, its fault, and the maximum of 240 calls that it gets
# afterwards.
NOTICES = [
    ((("Server-Leaving", "1"),), "", 0),
    ((("Server-Leaving", "1"),), "full", 0),
    ((("Server-Leaving", "1"),), "error", 0),
    ((("Retry-After", "20"),), "full", 2),
    ((("Server-Leaving", "0"),), "", 240),
    ((("Server-Leaving", ""),), "", 240),
    ((("Server-Leaving", "x" * 3000),), "", 240),
    ((("Retry-After", "20"),), "", 240),
    ((("Retry-After", "-5"),), "full", 240),
    ((("Retry-After", "nan"),), "full", 240),
    ((("Retry-After", "Fri, 04 Dec 2026 10:00:00 GMT"),), "full", 240),
]


def test_replica_notices_are_applied_and_malformed_ones_ignored():
    names = [f"p{n}" for n in range(len(NOTICES) + 1)]
    with platform_fixtures.platform(names) as platform:
        cases = [
            (platform.replicas[name], *case)
            for name, case in zip(names[1:], NOTICES, strict=True)
        ]
        for replica, headers, fault, _ in cases:
            replica.headers, replica.fault = headers, fault
        for n in range(300):
            if all(replica.calls for replica, *_ in cases):
                break
            platform.call("GET", "/read/x", f"first{n}")
        for replica, *_ in cases:
            check.assertTrue(replica.calls, replica.name)
            replica.calls.clear()
            replica.headers, replica.fault = (), ""
        _, _, body = launch.request(platform.metrics, "GET", "/status")
        status_by_name = {row["name"]: row for row in json.loads(body)["targets"]}
        statuses = {platform.call("GET", "/read/x", f"n{n}")[0] for n in range(240)}
        check.assertEqual(statuses, {200})
        for replica, headers, fault, max_calls in cases:
            case = f"{headers} {fault}"[:80]
            status = status_by_name[replica.name]
            applied = status["leaving"] or status["rests_s"] > 0
            check.assertEqual(applied, max_calls < 240, case)
            check.assertLessEqual(len(replica.calls), max_calls, case)


def test_with_all_replicas_in_backoff_calls_get_retry_after():
    with platform_fixtures.platform(("p1", "p2")) as platform:
        for replica in platform.replicas.values():
            replica.headers, replica.fault = (("Retry-After", "20"),), "full"
        platform.call("GET", "/read/x", "first")
        status, headers, _ = platform.call("GET", "/read/x", "second")
        check.assertEqual(status, 503)
        check.assertGreater(float(headers["Retry-After"]), 15)


# Values of a replica's rate limit, and the limit that the front's status shows.
LIMITS = [
    ("4.5", 4.5),
    (" 7 ", 7.0),
    ("0", 0.0),
    ("1e300", 1e300),
    ("", None),
    ("-1", None),
    ("nan", None),
    ("inf", None),
    ("4,5", None),
    ("x" * 3000, None),
]


def _limits_shown(platform) -> dict[str, float | None]:
    page = launch.request(platform.metrics, "GET", "/status")[2]
    return {t["name"]: t["limit_per_s"] for t in json.loads(page)["targets"]}


def test_limits_that_replicas_name_are_shown_and_malformed_ones_ignored():
    names = [f"p{n}" for n in range(len(LIMITS))]
    with platform_fixtures.platform(names) as platform:
        for name, (text, _) in zip(names, LIMITS, strict=True):
            platform.replicas[name].headers = (("Server-Limit", text),)
        for n in range(300):
            if all(replica.calls for replica in platform.replicas.values()):
                break
            platform.call("GET", "/read/x", f"limit-{n}")
        shown = _limits_shown(platform)
        for name, (text, per_s) in zip(names, LIMITS, strict=True):
            check.assertEqual(shown[name], per_s, text[:20])
        check.assertIn('"message": "target_limit"', platform.read_log())


def test_an_answer_without_limit_lifts_it_unless_the_target_did_not_serve_it():
    with platform_fixtures.platform(("p1",)) as platform:
        replica = platform.replicas["p1"]
        replica.headers = (("Server-Limit", "1000"),)
        platform.call("GET", "/read/x", "named")
        check.assertEqual(_limits_shown(platform), {"p1": 1000.0})
        replica.headers = ()
        for fault in ("foreign", "full"):
            replica.fault = fault
            platform.call("GET", "/read/x", f"kept-{fault}")
            check.assertEqual(_limits_shown(platform), {"p1": 1000.0}, fault)
        replica.fault = ""
        launch.wait_until(
            lambda: platform.call("GET", "/read/x", "lifted")[0] == 200, what="answer"
        )
        check.assertEqual(_limits_shown(platform), {"p1": None})


def test_a_front_exceeded_the_rate_that_a_replica_named():
    per_s = 3.0
    with platform_fixtures.platform(("p1", "p2")) as platform:
        limited = platform.replicas["p1"]
        # Preferred whenever its limit permits, however late an answer was read.
        platform.announce("p1", slots=100_000)
        limited.headers = (("Server-Limit", str(per_s)),)
        statuses = set()
        end = time.monotonic() + limited_fleet.SETTLING_S + 2 * limited_fleet.WINDOW_S
        while time.monotonic() < end:
            statuses.add(platform.call("GET", "/read/x", "again")[0])
            time.sleep(0.04)
        check.assertEqual(statuses, {200})
        times = [call.at for call in limited.calls]
        check.assertGreater(len(times), per_s)
        settled = [at for at in times if at >= times[0] + limited_fleet.SETTLING_S]
        allowed = limited_fleet.FACTOR * per_s * limited_fleet.WINDOW_S
        for start in settled:
            window = [at for at in settled if 0 <= at - start <= limited_fleet.WINDOW_S]
            check.assertLessEqual(len(window), allowed + limited_fleet.SLACK)
