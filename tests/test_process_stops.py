"""Planned stops of real entries and stewards: no call is cut, none runs twice."""

import contextlib
import json
import signal
import subprocess
import sys
import threading
import time
from concurrent import futures

from standins import launch
from tests import fixtures

check = fixtures.check
HEADERS = fixtures.HEADERS
OPERATOR = fixtures.OPERATOR
DISPATCH = "/services/alarm/dispatch"
MODEL = "/apis/v1/model/small"
EXIT_TIMEOUT_S = 15.0
WORKERS = 4
STEWARD_LAST_LINE = "steward has stopped"
# Time from the last answer to the end of the process.
EXIT_S = 1.0
# Longest request of the tests, and 1 s until the process has ended.
ENTRY_STOP_S = 2.5
# A signal to stop that has no effect for so long is lost.
LOST_S = 4.0


def _terminate(cluster, name: str) -> float:
    """Sends SIGTERM, checks for a clean exit and returns how long it took."""
    started = time.monotonic()
    cluster.signal(name, signal.SIGTERM)
    status = cluster.processes[name].wait(EXIT_TIMEOUT_S)
    check.assertEqual(status, 0, cluster.log_of(name)[-2000:])
    if name.startswith("steward-"):
        check.assertIn(STEWARD_LAST_LINE, cluster.log_of(name))
    return time.monotonic() - started


def _call_with_key(entry: str, key: str):
    sent = HEADERS | {"Idempotency-Key": key}
    return launch.request(entry, "POST", DISPATCH, key, sent, wait=30)


def _is_replayed(entry: str, key: str) -> bool:
    status, headers, _ = _call_with_key(entry, key)
    check.assertIn(status, (200, 409))
    return status == 200 and headers.get("Idempotency-Replayed") == "true"


def _call_repeatedly(entry: str, worker: int, running: threading.Event) -> dict:
    """Sends calls with keys of their own until `running` is cleared."""
    answers = {}
    while running.is_set():
        key = f"{worker}-{len(answers)}"
        status, _, body = _call_with_key(entry, key)
        answers[key] = (status, body)
    return answers


@contextlib.contextmanager
def _keyed_calls(entry: str):
    """Runs workers that send calls with keys; yields their answers, filled at exit."""
    answers = {}
    running = threading.Event()
    running.set()
    with futures.ThreadPoolExecutor(WORKERS) as executor:
        futs = [
            executor.submit(_call_repeatedly, entry, worker, running)
            for worker in range(WORKERS)
        ]
        try:
            yield answers
        finally:
            running.clear()
        for fut in futs:
            answers.update(fut.result())


def test_calls_with_keys_are_not_cut_when_stewards_stop():
    with fixtures.cluster() as cluster:
        entry = cluster.nodes["a0"].entries[0]
        with _keyed_calls(entry) as answers:
            for _ in range(3):
                time.sleep(0.5)
                _terminate(cluster, "steward-a0")
                cluster.start("steward-a0")
                launch.wait_until(
                    lambda: fixtures.steward_status(cluster, "a0"), what="steward"
                )
        refused = {k: v for k, v in answers.items() if v[0] != 200}
        check.assertEqual(refused, {}, f"of {len(answers)}")
        with futures.ThreadPoolExecutor(WORKERS) as executor:
            replayed = executor.map(lambda key: _is_replayed(entry, key), answers)
            check.assertEqual(list(replayed), [True] * len(answers))
        executed = fixtures.ran(cluster)
        check.assertEqual(len(executed), len(set(executed)))


def test_a_change_under_way_is_answered_when_its_steward_stops():
    with fixtures.cluster() as cluster:
        entry = cluster.nodes["a0"].entries[0]
        cluster.faults("log", delay_s=0.6)
        with futures.ThreadPoolExecutor(1) as executor:
            change = executor.submit(
                launch.request,
                *(entry, "PATCH", MODEL, {"description": "kept"}, OPERATOR),
                wait=30,
            )
            time.sleep(0.3)
            _terminate(cluster, "steward-a0")
            status, _, body = change.result()
        cluster.faults("log", delay_s=0.0)
        check.assertEqual(status, 200, body)
        check.assertEqual(json.loads(body)["value"]["description"], "kept")


CHAT = "/v1/chat/completions"


def _watch_lines(entry: str) -> list[bytes]:
    """Returns the lines of a watch, which ends with its entry."""
    status, _, body = launch.request(
        entry, "GET", "/apis/v1/model?watch=1", None, OPERATOR, wait=30
    )
    check.assertEqual(status, 200)
    check.assertTrue(body.endswith(b"\n"), body[-200:])
    return body.splitlines()


def test_requests_of_every_kind_end_whole_when_their_entry_stops():
    args = ("--token-s", "0.02")
    with fixtures.cluster(engine_args=args) as cluster:
        entry = cluster.nodes["a0"].entries[0]
        for name in cluster.services:
            cluster.faults(name, delay_s=0.8)
        cluster.faults("log", delay_s=0.2)
        stream, whole = fixtures.chat(tokens=60), fixtures.chat(False, tokens=60)
        patch = {"description": "kept"}
        requests = {
            "stream": (entry, "POST", CHAT, stream, HEADERS, 30),
            "completion": (entry, "POST", CHAT, whole, HEADERS, 30),
            "plain": (entry, "POST", DISPATCH, "plain", HEADERS, 30),
            "change": (entry, "PATCH", MODEL, patch, OPERATOR, 30),
        }
        with futures.ThreadPoolExecutor() as executor:
            answers = {
                name: executor.submit(launch.request, *request)
                for name, request in requests.items()
            }
            answers["keyed"] = executor.submit(_call_with_key, entry, "keyed")
            answered_at = []
            for fut in answers.values():
                fut.add_done_callback(lambda _: answered_at.append(time.monotonic()))
            watch = executor.submit(_watch_lines, entry)
            time.sleep(0.4)
            took_s = _terminate(cluster, "entry-a0-0")
            exited_at = time.monotonic()
            statuses = {name: fut.result()[0] for name, fut in answers.items()}
            lines = [json.loads(line) for line in watch.result()]
        check.assertEqual(statuses, dict.fromkeys(statuses, 200))
        check.assertEqual(len(fixtures.stream_words(answers["stream"].result()[2])), 60)
        check.assertGreater(len(lines), 0)
        check.assertEqual(sorted(fixtures.ran(cluster)), ['"keyed"', '"plain"'])
        cluster.faults("log", delay_s=0.0)
        other = cluster.nodes["b0"].entries[0]
        # The other domain reads the end of the call from the log.
        launch.wait_until(lambda: _is_replayed(other, "keyed"), what="replay")
        check.assertLess(exited_at - max(answered_at), EXIT_S)
        check.assertLess(took_s, ENTRY_STOP_S)


def test_an_entry_does_not_wait_for_its_steward_when_it_stops():
    with launch.Cluster(domains=("a",)) as cluster:
        cluster.signal("steward-a0", signal.SIGSTOP)
        time.sleep(0.5)
        check.assertLess(_terminate(cluster, "entry-a0-0"), ENTRY_STOP_S)


def test_a_paused_holder_that_is_told_to_stop_leaves_the_lease_of_its_successor():
    with launch.Cluster(domains=("a",), per_domain=2) as cluster:

        def holders() -> list:
            states = {n: fixtures.steward_status(cluster, n) for n in cluster.nodes}
            return [n for n, state in states.items() if state and state.holder]

        (paused,) = launch.wait_until(holders, what="holder")
        (other,) = cluster.nodes.keys() - {paused}
        cluster.signal(f"steward-{paused}", signal.SIGSTOP)

        def token() -> int:
            state = fixtures.steward_status(cluster, other)
            return state.token if state is not None and state.holder else 0

        acquired = launch.wait_until(token, what="successor")
        cluster.signal(f"steward-{paused}", signal.SIGTERM)
        cluster.signal(f"steward-{paused}", signal.SIGCONT)
        check.assertEqual(
            cluster.processes[f"steward-{paused}"].wait(EXIT_TIMEOUT_S), 0
        )
        time.sleep(0.5)
        check.assertEqual(token(), acquired)


def test_a_stop_before_the_first_configuration_ends_in_time():
    with launch.Cluster(domains=("a",)) as cluster:
        for name in ("entry-a0-0", "steward-a0"):
            cluster.kill(name)
        cluster.faults("link-a0", mode="hang")
        node = cluster.nodes["a0"]
        for name in ("entry-a0-0", "steward-a0"):
            cluster.start(name)
        launch.wait_until(
            lambda: launch.request(node.entries[0], "GET", "/healthz")[0] == 200
        )
        launch.wait_until(lambda: fixtures.steward_status(cluster, "a0"))
        for name in ("entry-a0-0", "steward-a0"):
            cluster.signal(name, signal.SIGTERM)
            check.assertLess(_terminate(cluster, name), 6.0, name)


def test_a_hangup_does_not_end_entries_and_stewards():
    with launch.Cluster(domains=("a",)) as cluster:
        for name in ("entry-a0-0", "steward-a0"):
            cluster.signal(name, signal.SIGHUP)
        time.sleep(0.3)
        for name in ("entry-a0-0", "steward-a0"):
            check.assertIsNone(cluster.processes[name].poll(), name)
        entry = cluster.nodes["a0"].entries[0]
        check.assertEqual(launch.request(entry, "GET", "/readyz")[0], 200)
        check.assertIsNotNone(fixtures.steward_status(cluster, "a0"))


# Each sends itself signals in the way named, and waits for the event to be set.
SIGNAL_SCRIPTS = {
    "a signal within the handler of another": """
import itertools, signal, sys
from turmericward.programs import _common
stop = _common.stop_event()
def trace(frame, event, arg, lines=itertools.count()):
    if event == "line" and next(lines) < 20:
        signal.raise_signal(signal.SIGINT)
    return trace
sys.settrace(trace)
signal.raise_signal(signal.SIGTERM)
sys.settrace(None)
stop.wait()
""",
    "a signal that does not interrupt the main thread": """
import signal, threading, time
from turmericward.programs import _common
stop = _common.stop_event()
def send() -> None:
    time.sleep(0.3)
    signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
threading.Thread(target=send, daemon=True).start()
stop.wait()
""",
}


def _script_ends(script: str) -> bool:
    try:
        subprocess.run([sys.executable, "-c", script], check=True, timeout=LOST_S)
    except subprocess.TimeoutExpired:
        return False
    return True


def test_no_signal_to_stop_is_lost():
    lost = [n for n, script in SIGNAL_SCRIPTS.items() if not _script_ends(script)]
    check.assertEqual(lost, [])
