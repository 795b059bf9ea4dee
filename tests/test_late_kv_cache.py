"""KV cache at an engine that falls silent: neither calls nor refusals wait for it."""

import contextlib
import socket
import threading
import time
from concurrent import futures

from tests import fixtures, platform_fixtures

check = fixtures.check
SILENCE_S = 3.0
# Longer than a call that may be repeated waits for its first byte.
PAUSE_S = 2.0
KEEPS, COMPUTES = "m1", "m2"
LONG_PROMPT = platform_fixtures.PROMPT | {
    "Turmericward-Token-Count": "6100,8",
    platform_fixtures.PREFIX: "aa:6000,bb:100",
}
# Long enough that a prompt is prefilled at the other engine.
BUSY = "/once/y?events=4&gap_ms=300"
BUSY_CALLS = 3


@contextlib.contextmanager
def _engines():
    """Runs an engine that prefills and keeps a prefix, and one that decodes."""
    with platform_fixtures.platform((KEEPS, COMPUTES), started=False) as platform:
        platform.replicas[KEEPS].cached_segments = {"aa": 6000}
        platform.announce(KEEPS, stage="prefill")
        platform.wait_ready()
        platform_fixtures.launch.wait_until(
            lambda: f"engine {KEEPS} keeps 1 parts" in platform.log.read_text(),
            what="cached prefix known",
        )
        yield platform


def _before_handling(replica, action) -> None:
    handle_request = replica.handle_request

    def handle(req) -> None:
        action(req)
        handle_request(req)

    replica.handle_request = handle


def test_a_refusal_waited_for_the_release_of_kv_cache_at_a_silent_engine():
    with _engines() as platform, futures.ThreadPoolExecutor() as executor:
        given_up_at: list[float] = []

        def be_silent(req) -> None:
            if req.command == "DELETE":
                req.connection.settimeout(SILENCE_S)
                with contextlib.suppress(OSError):
                    req.connection.recv(1, socket.MSG_PEEK)
                given_up_at.append(time.monotonic())

        _before_handling(platform.replicas[KEEPS], be_silent)
        for number in range(BUSY_CALLS):
            executor.submit(
                platform.call, "POST", BUSY, f"b{number}", platform_fixtures.PROMPT
            )
        platform_fixtures.launch.wait_until(
            lambda: len(platform.replicas[COMPUTES].calls) == BUSY_CALLS,
            what="calls at work",
        )
        platform.replicas[COMPUTES].fault = "full"
        status, _, _ = platform.call("POST", "/once/x", "c", LONG_PROMPT)
        replied_at = time.monotonic()
        platform_fixtures.launch.wait_until(
            lambda: given_up_at, what="release of the KV cache"
        )
        check.assertEqual(status, 503)
        check.assertLess(replied_at, given_up_at[0])


def _call_during_a_fetch(route: str) -> tuple[int, int, list[str]]:
    """Returns status and events of a call, and the ids of those that were run."""
    with _engines() as platform, futures.ThreadPoolExecutor() as executor:
        running = platform.servers[KEEPS].running
        fetching = threading.Event()

        def fetch(req) -> None:
            if "Kv-Fetch" in req.headers:
                fetching.set()
                running.wait()

        _before_handling(platform.replicas[COMPUTES], fetch)
        with platform.paused([KEEPS]):
            call = executor.submit(
                platform.call, "POST", f"/{route}/x", "c", LONG_PROMPT
            )
            check.assertTrue(fetching.wait(1.0))
            time.sleep(PAUSE_S)
        status, _, body = call.result()
        runs = [r.executed_ids() for r in platform.replicas.values()]
        return status, body.count(b"data: "), sum(runs, [])


def test_calls_whose_engine_fetches_from_a_silent_one_are_answered():
    for route in ("once", "ask"):
        status, events, runs = _call_during_a_fetch(route)
        check.assertEqual((status, events), (200, 4), route)
        if route == "once":
            check.assertEqual(runs, ["c"])
