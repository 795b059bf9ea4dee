"""Listing of the engines' KV cache contents at the start of a front."""

import itertools
import json
from concurrent import futures

from standins import platform_replica
from tests import fixtures, platform_fixtures
from turmericward import dispatching, fleet, peers, runtime
from turmericward.adapters import errors
from turmericward.platform import _cache_listing

check = fixtures.check
SEGMENTS = ((7, 13_000), (8, 200))
ENGINES = tuple(
    fleet.Target(
        name=f"e{n}",
        service="model",
        address="10.0.0.1:1",
        domain="a",
        slots=8,
        role=fleet.EngineRole.DECODE,
    )
    for n in range(3)
)
TARGET_IDS = frozenset(fleet.target_hash(t.name) for t in ENGINES)


class _Lister:
    """Lists the same segments for each engine, except an unresponsive one."""

    def __init__(self, unresponsive: str = "") -> None:
        self.queried = []
        self._unresponsive = unresponsive

    def cached_segments(self, target: fleet.Target):
        self.queried.append(target.name)
        if target.name == self._unresponsive:
            raise errors.AnswerLostError("no answer")
        return SEGMENTS


class _Front:
    """A dispatcher that handles messages synchronously, and its listing loop."""

    def __init__(self, lister: _Lister, seed: int = 1) -> None:
        self.published = []
        retries = dispatching.RetryBounds(share=0.0, slack=1.0)
        self.task = dispatching.DispatchTask(
            name=f"front-{seed}",
            domain="a",
            seed=seed,
            grace_s=2.5,
            retries=retries,
            publish=self.published.append,
        )
        self.task.ask = self._ask
        self.task.post = self.task.handle
        self.loop = dispatching.CacheListingLoop(self.task, lister, seed)
        self.loop.pause = lambda seconds: None
        self.task.handle(dispatching.PutTargets(targets=ENGINES))

    def _ask(self, message):
        fut = futures.Future()
        fut.set_result(self.task.handle(message))
        return fut


def test_each_engine_is_listed_once_and_published_to_peers():
    lister = _Lister()
    front = _Front(lister)
    for _ in range(10):
        front.loop.run_once()
    check.assertEqual(sorted(lister.queried), ["e0", "e1", "e2"])
    check.assertEqual(
        frozenset().union(*(t.listed for t in front.published)), TARGET_IDS
    )
    # Short segments aren't published: prefilling them takes less time.
    entries = [
        entry for published in front.published for entry in published.cache_entries
    ]
    check.assertEqual({entry.segment for entry in entries}, {7})


def test_engines_listed_by_a_peer_are_not_queried():
    lister = _Lister()
    front = _Front(lister)
    state = peers.PeerState(
        front="front-9", boot=1, sequence=1, loads={}, listed=TARGET_IDS
    )
    front.task.handle(state)
    for _ in range(10):
        front.loop.run_once()
    check.assertEqual(lister.queried, [])


def test_unresponsive_engine_is_queried_a_limited_number_of_times():
    lister = _Lister(unresponsive="e1")
    front = _Front(lister)
    for _ in range(30):
        front.loop.run_once()
    check.assertEqual(lister.queried.count("e1"), 3)
    check.assertEqual(lister.queried.count("e0"), 1)


def test_an_answer_that_no_error_names_ended_the_front_that_had_asked():
    """Guards against a loop that ends its process for what one engine answered."""
    lister = _Lister()
    front = _Front(lister)
    failures = itertools.count(1)

    def fail(target) -> None:
        if next(failures) < 3:
            raise ValueError("no length")
        front.loop.stop()

    lister.cached_segments = fail
    front.loop.run()
    check.assertEqual(next(failures), 4)


def test_a_loop_that_always_fails_ends():
    front = _Front(_Lister())
    failures = itertools.count(1)

    def fail() -> None:
        next(failures)
        raise ValueError("always")

    front.loop.run_once = fail
    with check.assertLogs("absl") as logs, check.assertRaises(ValueError):
        front.loop.run()
    check.assertEqual(len(logs.output), runtime.MAX_FAILURES_IN_A_ROW)
    check.assertEqual(next(failures), runtime.MAX_FAILURES_IN_A_ROW + 2)


def test_fronts_with_different_seeds_begin_with_different_engines():
    lister = _Lister()
    for seed in range(20):
        _Front(lister, seed).loop.run_once()
    check.assertEqual(set(lister.queried), {"e0", "e1", "e2"})


def test_listings_are_decoded_strictly():
    target = ENGINES[0]
    for raw, valid in (
        ({"held": [["", "ab", 5, "m"]], "epoch": 1}, True),
        ({"held": []}, True),
        ({}, False),
        ({"held": [["", "ab", "many", "m"]]}, False),
        ({"held": [["", "ab"]]}, False),
        ({"held": {"ab": 5}}, False),
        ([], False),
    ):
        listing = (
            _cache_listing.decode(json.dumps(raw).encode(), target.name)
            if valid
            else None
        )
        if valid:
            check.assertEqual(len(listing), len(raw["held"]))
            continue
        with check.assertRaises(errors.AnswerLostError, msg=repr(raw)):
            _cache_listing.decode(json.dumps(raw).encode(), target.name)


def test_restarted_front_routes_to_the_engine_that_cached_a_prefix():
    prompt = {
        "Turmericward-Model-Id": "m",
        "Turmericward-Token-Count": "17000,10",
        "Turmericward-Prompt-Prefix": "5c1e:13000,91bd:4000",
    }
    with platform_fixtures.platform(("m1", "m2")) as platform:
        caching_replica: platform_replica.Replica = platform.replicas["m2"]
        caching_replica.cached_segments["5c1e"] = 13_000
        platform.stop()
        platform.start()
        platform.wait_ready()
        platform_fixtures.launch.wait_until(
            lambda: platform.log.read_text().count(" keeps ") == 2,
            what="caches listed",
        )
        status, _, _ = platform.call("POST", "/ask/x", "c1", prompt, b"{}")
        check.assertEqual(status, 200)
        check.assertEqual(caching_replica.executed_ids(), ["c1"])
