"""The platform's front as a process, against stand-ins with faults."""

import http.client
import json
import pathlib
import socket
import time

from standins import launch, platform_replica
from tests import fixtures, platform_fixtures
from turmericward import delivery

check = fixtures.check
PROMPT = platform_fixtures.PROMPT
# Fault, method and path, statuses allowed, most runs over all replicas.
WHOLE_CASES = [
    ("", "GET", "/read/x", {200}, 1),
    ("extra", "GET", "/read/x", {200}, 1),
    ("unframed", "GET", "/read/x", {200}, 1),
    ("error", "GET", "/read/x", {500}, 2),
    ("torn", "GET", "/read/x", {502}, 2),
    ("reset", "GET", "/read/x", {502}, 2),
    ("foreign", "GET", "/read/x", {502}, 2),
    ("unsigned", "GET", "/read/x", {502}, 2),
    ("encoded", "GET", "/read/x", {502}, 2),
    ("full", "GET", "/read/x", {503}, 0),
    ("", "POST", "/write/x", {200}, 1),
    ("extra", "POST", "/write/x", {200}, 1),
    ("unframed", "POST", "/write/x", {200}, 1),
    ("error", "POST", "/write/x", {500}, 1),
    ("torn", "POST", "/write/x", {502}, 1),
    ("reset", "POST", "/write/x", {502}, 1),
    ("foreign", "POST", "/write/x", {502}, 1),
    ("unsigned", "POST", "/write/x", {502}, 1),
    ("full", "POST", "/write/x", {503}, 0),
]


def _runs(found, call_id: str) -> int:
    return sum(r.ran().count(call_id) for r in found.replicas.values())


def _set_fault(found, fault: str, names=("p1", "p2", "m1", "m2")) -> None:
    for name in names:
        found.replicas[name].fault = fault


def test_answers_are_whole_or_a_failure_and_calls_run_as_often_as_allowed():
    with platform_fixtures.platform() as found:
        for number, (fault, method, path, statuses, most) in enumerate(WHOLE_CASES):
            case = f"{fault or 'no fault'} {method} {path}"
            _set_fault(found, fault)
            call_id = f"c{number}"
            body = b"work" if method == "POST" else None
            status, headers, answer = found.call(method, path, call_id, body=body)
            check.assertIn(status, statuses, case)
            check.assertLessEqual(_runs(found, call_id), most, case)
            if status == 200:
                check.assertEqual(answer, f"answer to {call_id}".encode(), case)
                check.assertEqual(
                    headers["Turmericward-Server-Stamp"], platform_replica.SIGNATURE
                )
            if status == 503:
                check.assertGreater(float(headers["Retry-After"]), 0, case)


def test_a_fault_at_one_replica_is_passed_over_where_the_call_may_run_again():
    with platform_fixtures.platform() as found:
        for fault in ("reset", "torn", "foreign", "error", "full"):
            _set_fault(found, "")
            found.replicas["p1"].fault = fault
            statuses = {
                found.call("GET", "/read/x", f"{fault}{n}")[0] for n in range(6)
            }
            check.assertEqual(statuses, {200}, fault)


def test_another_instance_at_an_address_runs_nothing():
    with platform_fixtures.platform() as found:
        found.replicas["p1"].name = "p9"
        statuses = [found.call("POST", "/write/x", f"w{n}")[0] for n in range(8)]
        check.assertEqual(set(statuses), {200})
        check.assertEqual(found.replicas["p1"].ran(), [])


def test_streams_are_whole_or_look_cut():
    with platform_fixtures.platform() as found:
        whole = b"".join(platform_replica.event("s", n + 1) for n in range(4))
        status, _, body = found.call("POST", "/ask/x", "s", PROMPT, b"q")
        check.assertEqual((status, body), (200, whole))
        found.replicas["m1"].fault = "cut"
        found.replicas["m2"].fault = ""
        for _ in range(4):
            status, _, body = found.call("POST", "/ask/x", "s", PROMPT, b"q")
            check.assertEqual((status, body), (200, whole))
        _set_fault(found, "cut")
        with check.assertRaises(http.client.IncompleteRead):
            found.call("POST", "/once/x", "s1", PROMPT, b"q")
        check.assertEqual(_runs(found, "s1"), 1)
        check.assertNotIn("Traceback", found.log.read_text())


def test_headers_that_the_system_sets_are_not_taken_from_clients():
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
    with platform_fixtures.platform() as found:
        status, _, _ = found.call("POST", "/ask/x", "f", PROMPT | forged, b"q")
        check.assertEqual(status, 200)
        (seen,) = [s for r in found.replicas.values() for s in r.calls]
        names = {name for name in forged if name in seen.headers}
        check.assertEqual(names, {"Turmericward-Expect-Instance"})
        check.assertEqual(seen.headers["Turmericward-Prompt-Prefix"], "aa:100,bb:200")
        check.assertEqual(seen.headers["Host"], platform_fixtures.HOST)
        check.assertLessEqual(int(seen.headers["Turmericward-Deadline-Ms"]), 3000)


def test_a_body_in_chunks_arrives_whole_and_an_ambiguous_one_once_at_most():
    with platform_fixtures.platform() as found:
        body = iter([b"one ", b"two"])
        status, _, _ = found.call("POST", "/write/x", "chunks", None, body)
        check.assertEqual(status, 200)
        (seen,) = [s for r in found.replicas.values() for s in r.calls]
        check.assertEqual(seen.body, b"one two")
        smuggled = (
            "POST /write/a HTTP/1.1\r\nHost: api.example\r\n"
            "Turmericward-Attempt-Id: outer\r\nContent-Length: 4\r\n"
            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            "POST /write/b HTTP/1.1\r\nHost: api.example\r\n"
            "Turmericward-Attempt-Id: inner\r\nContent-Length: 0\r\n\r\n"
        )
        host, _, port = found.front.rpartition(":")
        with socket.create_connection((host, int(port)), 5) as sock:
            sock.sendall(smuggled.encode())
            sock.settimeout(2)
            check.assertTrue(sock.recv(100))
        time.sleep(0.3)
        check.assertEqual(_runs(found, "inner"), 0)


def test_a_client_that_leaves_ends_the_work_at_once():
    with platform_fixtures.platform(("m1",)) as found:
        replica = found.replicas["m1"]
        replica.event_s = 1.5
        conn = found.connect()
        found.send(conn, "POST", "/once/x", "gone", PROMPT, b"q")
        launch.wait_until(lambda: replica.calls, what="call arrived")
        conn.close()
        check.assertTrue(replica.cancelled.wait(0.5))


def test_a_call_is_answered_by_its_routes_timeout():
    with platform_fixtures.platform() as found:
        short = platform_fixtures.route("quick", "idempotent", "plain", timeout_ms=600)
        found.configure(platform_fixtures.manifest(4, short))
        launch.wait_until(lambda: found.call("GET", "/quick/x", "q0")[0] == 200)
        _set_fault(found, "silent")
        began = time.monotonic()
        status, _, _ = found.call("GET", "/quick/x", "q1")
        check.assertEqual(status, 504)
        check.assertLess(time.monotonic() - began, 0.6 + 0.4)


def test_a_stop_ends_running_streams_whole():
    with platform_fixtures.platform(("m1",)) as found:
        found.replicas["m1"].event_s = 0.5
        conn = found.connect()
        found.send(conn, "POST", "/once/x", "drained", PROMPT, b"q")
        launch.wait_until(lambda: found.replicas["m1"].calls, what="call arrived")
        found.process.terminate()
        launch.wait_until(lambda: not found.is_ready(), what="not ready")
        resp = conn.getresponse()
        whole = b"".join(platform_replica.event("drained", n + 1) for n in range(4))
        check.assertEqual(resp.read(), whole)
        check.assertEqual(found.process.wait(platform_fixtures.STOP_TIMEOUT_S), 0)


def test_an_idle_front_ends_within_the_grace_period_of_its_settings():
    with platform_fixtures.platform(("m1",)) as found:
        grace_s = json.loads(found.settings.read_text())["bounds"]["drain_s"]
        found.process.terminate()
        check.assertEqual(found.process.wait(grace_s), 0)
        check.assertNotIn("is lost", found.log.read_text())


def test_the_store_may_fail_in_any_way_and_calls_go_on():
    with platform_fixtures.platform() as found:
        for fault in ("down", "torn", "silent"):
            setattr(found.store.faults, fault, True)
            time.sleep(0.7)
            check.assertEqual(found.call("GET", "/read/x", fault)[0], 200, fault)
            setattr(found.store.faults, fault, False)
        found.store.compact("keyed.servers")
        found.store.compact("keyed.op")
        extra = platform_fixtures.route("new", "idempotent", "plain")
        found.configure(platform_fixtures.manifest(5, extra))
        launch.wait_until(lambda: found.call("GET", "/new/x", "n")[0] == 200)


def test_without_configuration_calls_are_refused_and_nothing_is_ready():
    with platform_fixtures.platform(started=False) as found:
        found.process.kill()
        found.process.wait()
        found.store.faults.down = True
        found.start()
        launch.wait_until(
            lambda: found.call("GET", "/read/x", "early")[0] == 503, what="refusal"
        )
        check.assertFalse(found.is_ready())
        found.store.faults.down = False
        found.wait_ready()
        check.assertEqual(found.call("GET", "/read/x", "later")[0], 200)
        check.assertEqual(found.call("GET", "/none/x", "none")[0], 404)


def test_versions_never_go_back_and_bad_manifests_change_nothing():
    with platform_fixtures.platform() as found:
        extra = platform_fixtures.route("new", "idempotent", "plain")
        found.configure(platform_fixtures.manifest(9, extra))
        launch.wait_until(lambda: found.call("GET", "/new/x", "n")[0] == 200)
        found.configure(platform_fixtures.manifest(8))
        found.store.put("keyed.op", "config", b"{torn")
        bad = platform_fixtures.manifest(12)
        del bad["routes"][0]["kind"]
        found.store.put("keyed.op", "config", json.dumps(bad).encode())
        launch.wait_until(
            lambda: found.log.read_text().count("configuration at offset") >= 2,
            what="bad manifests logged",
        )
        check.assertEqual(found.call("GET", "/new/x", "still")[0], 200)


def test_leaving_and_forged_entries_get_no_work():
    with platform_fixtures.platform() as found:
        found.announce("p1", state="draining")
        found.announce("p1", state="in_service")
        found.store.put("keyed.servers", "p2", b"\xff torn")
        found.store.put("keyed.servers", "p7", b'{"service": "plain"}')
        time.sleep(0.5)
        before = len(found.replicas["p1"].calls)
        statuses = {found.call("GET", "/read/x", f"l{n}")[0] for n in range(6)}
        check.assertEqual(statuses, {200})
        check.assertEqual(len(found.replicas["p1"].calls), before)


def test_spoiled_settings_end_the_program_with_a_line_naming_the_field():
    with platform_fixtures.platform(started=False) as found:
        found.process.kill()
        found.process.wait()
        value = json.loads(found.settings.read_text())
        value["listen"]["front"] = "somewhere"
        found.settings.write_text(json.dumps(value))
        found.start()
        check.assertEqual(found.process.wait(10), 2)
        check.assertIn("listen.front", found.log.read_text())


def test_metrics_count_replies_and_time_them():
    with platform_fixtures.platform() as found:
        found.call("GET", "/read/x", "m")
        found.call("POST", "/ask/x", "n", PROMPT, b"q")
        status, _, page = launch.request(found.metrics, "GET", "/metrics")
        check.assertEqual(status, 200)
        check.assertIn(b"delivery.answered 1", page)
        check.assertIn(b"delivery.streamed 1", page)
        check.assertIn(b'first_token_ms_count{class="model.stream"} 1', page)


def test_a_stream_that_falls_silent_goes_on_at_another_replica():
    with platform_fixtures.platform() as found:
        found.replicas["m1"].fault = "hang"
        found.replicas["m2"].fault = ""
        whole = b"".join(platform_replica.event("h", n + 1) for n in range(4))
        for _ in range(3):
            began = time.monotonic()
            status, _, body = found.call("POST", "/ask/x", "h", PROMPT, b"q")
            check.assertEqual((status, body), (200, whole))
            check.assertLess(time.monotonic() - began, 2.0)


def _peak_mb(pid: int) -> float:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    return 0.0


def test_answers_without_end_are_given_up_with_little_memory():
    with platform_fixtures.platform() as found:
        before_mb = _peak_mb(found.process.pid)
        for number, part in enumerate(platform_replica.ENDLESS):
            _set_fault(found, f"endless {part}")
            for method, path, headers in (
                ("POST", "/write/x", None),
                ("POST", "/once/x", PROMPT),
            ):
                call_id = f"e{number}{path}"
                try:
                    status, _, _ = found.call(method, path, call_id, headers, b"q")
                except http.client.HTTPException:
                    # A stream that began can only be cut.
                    status = 502
                check.assertIn(status, {502, 504}, part)
                check.assertEqual(_runs(found, call_id), 1, part)
        check.assertFalse([r.name for r in found.replicas.values() if r.unbounded])
        check.assertLess(_peak_mb(found.process.pid) - before_mb, 64)
        _set_fault(found, "")
        check.assertEqual(found.call("GET", "/read/x", "after")[0], 200)


def test_event_ids_that_are_no_numbers_break_nothing():
    for spoiled in ("\xb2", "9" * 5_000, "-1", "", "1.5"):
        event = delivery.Event(id=spoiled, raw=b"")
        check.assertIsNone(event.number, spoiled[:5])


# Headers of a replica's answers, its fault, most of 240 calls it gets afterwards.
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


def test_what_replicas_say_of_themselves_is_heeded_and_spoiled_values_are_not():
    names = [f"p{n}" for n in range(len(NOTICES) + 1)]
    with platform_fixtures.platform(names) as found:
        cases = [
            (found.replicas[name], *case)
            for name, case in zip(names[1:], NOTICES, strict=True)
        ]
        for replica, headers, fault, _ in cases:
            replica.headers, replica.fault = headers, fault
        for n in range(300):
            if all(replica.calls for replica, *_ in cases):
                break
            found.call("GET", "/read/x", f"first{n}")
        for replica, *_ in cases:
            check.assertTrue(replica.calls, replica.name)
            replica.calls.clear()
            replica.headers, replica.fault = (), ""
        _, _, body = launch.request(found.metrics, "GET", "/status")
        beliefs = {row["name"]: row for row in json.loads(body)["targets"]}
        statuses = {found.call("GET", "/read/x", f"n{n}")[0] for n in range(240)}
        check.assertEqual(statuses, {200})
        for replica, headers, fault, most in cases:
            case = f"{headers} {fault}"[:80]
            belief = beliefs[replica.name]
            heeded = belief["leaving"] or belief["rests_s"] > 0
            check.assertEqual(heeded, most < 240, case)
            check.assertLessEqual(len(replica.calls), most, case)


def test_with_every_replica_at_rest_a_call_is_told_when_to_come_back():
    with platform_fixtures.platform(("p1", "p2")) as found:
        for replica in found.replicas.values():
            replica.headers, replica.fault = (("Retry-After", "20"),), "full"
        found.call("GET", "/read/x", "first")
        status, headers, _ = found.call("GET", "/read/x", "second")
        check.assertEqual(status, 503)
        check.assertGreater(float(headers["Retry-After"]), 15)
