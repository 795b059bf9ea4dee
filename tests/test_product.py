"""Command line, completions, plain services, logs and metrics of a cluster."""

import json
import pathlib
import socket
import subprocess
import sys
import tempfile

import openai

from standins import launch
from tests import fixtures

check = fixtures.check
CLI = [sys.executable, "-m", "turmericward.programs.cli"]


def _cli(server: str, *arguments: str, key: str = launch.OPERATOR_KEY, text=""):
    command = [*CLI, "--server", server, "--key", key, *arguments]
    return subprocess.run(
        command, input=text, capture_output=True, text=True, timeout=30
    )


def _json_lines(cluster, name: str) -> list[dict]:
    lines = cluster.log_of(name).splitlines()
    return [json.loads(line) for line in lines if line.startswith("{")]


def test_command_line_output_and_exit_codes():
    with fixtures.cluster() as cluster:
        entry = cluster.nodes["a0"].entries[0]
        model = {"kind": "model", "name": "m", "value": {"version": "v9"}}
        done = _cli(entry, "apply", "-f", "-", text=json.dumps(model))
        check.assertEqual(done.returncode, 0, done.stderr)
        fetched = json.loads(_cli(entry, "get", "model", "m", "-o", "json").stdout)
        check.assertEqual(fetched["value"]["version"], "v9")
        check.assertIn("model/m version", _cli(entry, "get", "model").stdout)
        launch.wait_until(
            lambda: (
                "b: in force on 1 of 1" in _cli(entry, "status", "model", "m").stdout
            )
        )
        stale = json.dumps(model | {"resourceVersion": 1})
        check.assertEqual(_cli(entry, "apply", "-f", "-", text=stale).returncode, 3)
        wrong = json.dumps(model | {"value": {"x": 1}})
        refused = _cli(entry, "apply", "-f", "-", text=wrong)
        check.assertEqual(refused.returncode, 1)
        check.assertEqual(len(refused.stderr.splitlines()), 1, refused.stderr)
        check.assertEqual(_cli(entry, "apply", "-f", "-", text="{").returncode, 2)
        check.assertEqual(_cli(entry, "apply", "-f", "/absent").returncode, 2)
        check.assertEqual(_cli(entry, "get", "model", key="wrong").returncode, 1)
        check.assertEqual(_cli(entry, "delete", "model", "m").returncode, 0)
        check.assertEqual(_cli(entry, "get", "model", "m").returncode, 1)
        check.assertEqual(_cli("127.0.0.1:1", "get", "model").returncode, 4)
        drained = _cli(entry, "drain", "engine-a")
        check.assertEqual((drained.returncode, drained.stderr), (0, ""))
        check.assertIn(
            "_COMPLETE=bash_source", _cli(entry, "completion", "bash").stdout
        )


def test_a_cluster_serves_completions_services_logs_and_metrics():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as statsd:
        statsd.bind(("127.0.0.1", 0))
        statsd.settimeout(5)
        address = f"127.0.0.1:{statsd.getsockname()[1]}"
        with fixtures.cluster(overrides={"statsd": {"address": address}}) as cluster:
            entry = cluster.nodes["a0"].entries[0]
            _check_completions(entry)
            _check_service(entry)
            _check_logs(cluster)
            page = launch.request(entry, "GET", "/metrics")[2].decode()
            check.assertIn('first_token_ms_count{class="urgent"}', page)
            check.assertIn('tenant_total_ms{tenant="coop",quantile="0.95"}', page)
            check.assertIn("requests.200", page)
            launch.wait_until(
                lambda: statsd.recv(4096) == b"turmericward.a0-0.requests.200:1|c"
            )


def _check_completions(entry: str) -> None:
    client = openai.OpenAI(base_url=f"http://{entry}/v1", api_key=launch.TENANT_KEY)
    completion = client.completions.create(model="small", prompt="fan?", max_tokens=4)
    chunks = client.completions.create(
        model="small", prompt="fan?", max_tokens=4, stream=True
    )
    text = "".join(chunk.choices[0].text for chunk in chunks)
    check.assertEqual(text, completion.choices[0].text)


def _check_service(entry: str) -> None:
    path = "/services/alarm/sheds/7?full=1"
    status, _, body = launch.request(entry, "GET", path, None, fixtures.HEADERS)
    check.assertEqual((status, json.loads(body)["status"]), (200, "ok"))
    keyed = fixtures.HEADERS | {"Idempotency-Key": "k1"}
    answers = []
    for _ in range(2):
        launch.wait_until(
            lambda: (
                answers.append(
                    launch.request(entry, "POST", "/services/alarm/x", {"n": 1}, keyed)
                )
                or answers[-1][0] == 200
            )
        )
    first, again = answers[0], answers[-1]
    check.assertEqual(first[2], again[2])
    check.assertEqual(again[1]["Idempotency-Replayed"], "true")
    other = launch.request(entry, "POST", "/services/alarm/x", {"n": 2}, keyed)
    check.assertEqual(other[0], 422)


def _completions(cluster) -> list[dict]:
    lines = _json_lines(cluster, "entry-a0-0")
    return [x for x in lines if x.get("path") == "/v1/completions"]


def _check_logs(cluster) -> None:
    chats = launch.wait_until(lambda: _completions(cluster), what="line of the call")
    check.assertEqual(chats[0]["tenant"], "coop")
    check.assertEqual(chats[0]["traffic_class"], "urgent")
    check.assertIn(chats[0]["engine"], cluster.engines)
    check.assertTrue(chats[0]["request_id"])
    for name in cluster.processes:
        for key in (launch.TENANT_KEY, launch.OPERATOR_KEY):
            check.assertNotIn(key, cluster.log_of(name))


def test_invalid_settings_make_programs_exit_with_an_error_message():
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "s.json"
        path.write_text("{}")
        for program in ("entry", "steward"):
            command = [sys.executable, "-m", f"turmericward.programs.{program}"]
            done = subprocess.run(
                [*command, "--settings", str(path)], capture_output=True, text=True
            )
            check.assertEqual(done.returncode, 2)
            check.assertIn("instance: is missing", done.stderr)
