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
WORKERS = 8
# Longest request of the test, and 1 s until the process has ended.
ENTRY_STOP_S = 2.5
# A signal to stop that has no effect for so long is lost.
LOST_S = 4.0


def _terminate(cluster, name: str) -> float:
    """Sends SIGTERM, checks for a clean exit and returns how long it took."""
    started = time.monotonic()
    cluster.signal(name, signal.SIGTERM)
    status = cluster.processes[name].wait(EXIT_TIMEOUT_S)
    check.assertEqual(status, 0, cluster.log_of(name)[-2000:])
    return time.monotonic() - started


def _call_with_key(entry: str, key: str):
    sent = HEADERS | {"Idempotency-Key": key}
    return launch.request(entry, "POST", DISPATCH, key, sent, wait=30)


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
        for key in answers:
            status, headers, body = _call_with_key(entry, key)
            check.assertEqual(status, 200, (key, body))
            check.assertEqual(headers.get("Idempotency-Replayed"), "true", key)
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


def test_an_entry_does_not_wait_for_its_steward_when_it_stops():
    with fixtures.cluster(domains=("a",)) as cluster:
        cluster.signal("steward-a0", signal.SIGSTOP)
        time.sleep(0.5)
        check.assertLess(_terminate(cluster, "entry-a0-0"), ENTRY_STOP_S)


def test_a_hangup_does_not_end_entries_and_stewards():
    with fixtures.cluster(domains=("a",)) as cluster:
        for name in ("entry-a0-0", "steward-a0"):
            cluster.signal(name, signal.SIGHUP)
        time.sleep(0.3)
        for name in ("entry-a0-0", "steward-a0"):
            check.assertIsNone(cluster.processes[name].poll(), name)
        status, _, _ = _call_with_key(cluster.nodes["a0"].entries[0], "after")
        check.assertEqual(status, 200)


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
