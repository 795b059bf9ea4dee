"""Real fronts whose targets send bytes without end, to many calls at once."""

import functools
import http.client
import itertools
import pathlib
import threading
import time
from concurrent import futures

from standins import launch, platform_replica
from tests import fixtures, platform_fixtures, processor_waits

check = fixtures.check
PROMPT = platform_fixtures.PROMPT
TIMEOUT_S = 1.5
# What a call may take beyond its route's timeout.
SLACK_S = 0.5
FLOODS = 40
ROUNDS = 2
# The memory that floods may add to a front's, however many they are.
MAX_ADDED_MB = 64


def _resident_mb(pid: int, field: str) -> float:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(field):
            return int(line.split()[1]) / 1024
    return 0.0


def _call_took_s(platform, path: str, call_id: str) -> tuple[int, float]:
    """Returns the status of a call, 0 if its answer ended early, and its time."""
    began = time.monotonic()
    conn = platform.connect()
    try:
        platform.send(conn, "POST", path, call_id, PROMPT, b"q")
        resp = conn.getresponse()
        status = resp.status
        while resp.read1(1 << 20):
            pass
    except (OSError, http.client.HTTPException):
        status = 0
    finally:
        conn.close()
    return status, time.monotonic() - began


def _play(platform, path: str, name: str):
    """Returns the stopwatch of a call, and its time."""
    watch = processor_waits.Stopwatch()
    status, took_s = _call_took_s(platform, path, name)
    watch.stop()
    # 200 would be an answer that looks complete.
    check.assertIn(status, {0, 502, 503, 504}, name)
    return watch, [took_s]


class _SoundCalls:
    """Calls to a sound replica, one after the other, until the end."""

    def __init__(self, platform) -> None:
        self._platform = platform
        self._stopping = threading.Event()
        self.statuses: list[int] = []
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> "_SoundCalls":
        self._thread.start()
        return self

    def __exit__(self, *_) -> None:
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        for number in itertools.count():
            if self._stopping.wait(0.02):
                return
            status, _, _ = self._platform.call("GET", "/read/x", f"sound{number}")
            self.statuses.append(status)


def test_a_stream_of_bytes_without_end_outlived_its_routes_timeout():
    """Guards against a deadline that is checked only while nothing comes."""
    with platform_fixtures.platform() as platform:
        routes = [
            platform_fixtures.route(
                f"e{kind}", "streaming", "model", timeout_ms=int(1000 * TIMEOUT_S),
                max_attempts=attempts, resumable=attempts > 1,
            )
            for kind, attempts in (("once", 1), ("ask", 2))
        ]  # fmt: skip
        platform.configure(platform_fixtures.manifest(4, *routes))
        for kind in ("once", "ask"):
            path = f"/e{kind}/x"
            launch.wait_until(
                lambda p=path: _call_took_s(platform, p, "known")[0] == 200,
                what="route in force",
            )
        with _SoundCalls(platform) as sound:
            for part in platform_replica.ENDLESS_STREAMS:
                for name in ("m1", "m2"):
                    platform.replicas[name].fault = f"endless {part}"
                for kind in ("once", "ask"):
                    name = f"{part}-{kind}".replace(" ", "-")
                    play = functools.partial(_play, platform, f"/e{kind}/x", name)
                    processor_waits.check_times(play, [TIMEOUT_S + SLACK_S], name)
        check.assertEqual(set(sound.statuses), {200})
        check.assertIsNone(platform.process.poll())


def test_many_bodies_without_end_together_filled_the_memory_of_a_front():
    """Guards against a bound on each body alone."""
    with platform_fixtures.platform() as platform:
        pid = platform.process.pid
        flood = platform_fixtures.route(
            "flood", "non_idempotent", "model", max_attempts=1
        )
        platform.configure(platform_fixtures.manifest(4, flood))
        launch.wait_until(
            lambda: _call_took_s(platform, "/flood/x", "known")[0] == 200,
            what="route in force",
        )
        for name in ("m1", "m2"):
            platform.replicas[name].fault = "endless body"
        before_mb = _resident_mb(pid, "VmRSS")
        with _SoundCalls(platform) as sound, futures.ThreadPoolExecutor(FLOODS) as pool:
            for number in range(ROUNDS):
                calls = [
                    pool.submit(_call_took_s, platform, "/flood/x", f"b{number}-{n}")
                    for n in range(FLOODS)
                ]
                statuses = {call.result()[0] for call in calls}
                check.assertLessEqual(statuses, {502, 504})
        check.assertLess(_resident_mb(pid, "VmHWM") - before_mb, MAX_ADDED_MB)
        check.assertEqual(set(sound.statuses), {200})
        check.assertIsNone(platform.process.poll())
