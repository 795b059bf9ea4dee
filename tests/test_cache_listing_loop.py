"""Fronts learn at their start what engines keep."""

import json
from concurrent import futures

from standins import platform_replica
from tests import fixtures, platform_fixtures
from turmericward import delivery, fleet, peers, requests
from turmericward.adapters import errors
from turmericward.platform import _memory

check = fixtures.check
PARTS = ((7, 13_000), (8, 200))
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
NUMBERS = frozenset(requests.target_hash(t.name) for t in ENGINES)


class _Memory:
    """Engines that list the same parts; one of them may not answer."""

    def __init__(self, silent: str = "") -> None:
        self.asked = []
        self._silent = silent

    def kept(self, target: fleet.Target):
        self.asked.append(target.name)
        if target.name == self._silent:
            raise errors.AnswerLostError("no answer")
        return PARTS


class _Front:
    """A dispatcher whose messages are handled at once, and its loop."""

    def __init__(self, memory: _Memory, seed: int = 1) -> None:
        self.told = []
        retries = delivery.RetryBounds(share=0.0, slack=1.0)
        self.task = delivery.DispatchTask(
            name=f"front-{seed}",
            domain="a",
            seed=seed,
            grace_s=2.5,
            retries=retries,
            tell=self.told.append,
        )
        self.task.ask = self._ask
        self.task.post = self.task.handle
        self.loop = delivery.MemoryLoop(self.task, memory, seed)
        self.loop.pause = lambda seconds: None
        self.task.handle(delivery.PutTargets(targets=ENGINES))

    def _ask(self, message):
        fut = futures.Future()
        fut.set_result(self.task.handle(message))
        return fut


def test_each_engine_is_listed_once_and_the_peers_are_told():
    memory = _Memory()
    front = _Front(memory)
    for _ in range(10):
        front.loop.step()
    check.assertEqual(sorted(memory.asked), ["e0", "e1", "e2"])
    check.assertEqual(frozenset().union(*(t.listed for t in front.told)), NUMBERS)
    # Short parts are quicker read than told of.
    notes = [note for told in front.told for note in told.kept]
    check.assertEqual({note.part for note in notes}, {7})


def test_what_a_peer_has_listed_is_not_asked_for_again():
    memory = _Memory()
    front = _Front(memory)
    state = peers.PeerState(
        front="front-9", boot=1, sequence=1, loads={}, listed=NUMBERS
    )
    front.task.handle(state)
    for _ in range(10):
        front.loop.step()
    check.assertEqual(memory.asked, [])


def test_an_engine_that_does_not_answer_is_asked_a_few_times_only():
    memory = _Memory(silent="e1")
    front = _Front(memory)
    for _ in range(30):
        front.loop.step()
    check.assertEqual(memory.asked.count("e1"), 3)
    check.assertEqual(memory.asked.count("e0"), 1)


def test_fronts_that_start_together_begin_with_different_engines():
    memory = _Memory()
    for seed in range(20):
        _Front(memory, seed).loop.step()
    check.assertEqual(set(memory.asked), {"e0", "e1", "e2"})


def test_listings_are_decoded_strictly():
    target = ENGINES[0]
    for raw, sound in (
        ({"held": [["", "ab", 5, "m"]], "epoch": 1}, True),
        ({"held": []}, True),
        ({}, False),
        ({"held": [["", "ab", "many", "m"]]}, False),
        ({"held": [["", "ab"]]}, False),
        ({"held": {"ab": 5}}, False),
        ([], False),
    ):
        found = _memory.decode(json.dumps(raw).encode(), target.name) if sound else None
        if sound:
            check.assertEqual(len(found), len(raw["held"]))
            continue
        with check.assertRaises(errors.AnswerLostError, msg=repr(raw)):
            _memory.decode(json.dumps(raw).encode(), target.name)


def test_a_front_that_restarts_knows_the_engine_that_keeps_a_part():
    prompt = {
        "Turmericward-Model-Id": "m",
        "Turmericward-Token-Count": "17000,10",
        "Turmericward-Prompt-Prefix": "5c1e:13000,91bd:4000",
    }
    with platform_fixtures.platform(("m1", "m2")) as found:
        keeper: platform_replica.Replica = found.replicas["m2"]
        keeper.kept["5c1e"] = 13_000
        found.stop()
        found.start()
        found.wait_ready()
        platform_fixtures.launch.wait_until(
            lambda: found.log.read_text().count(" keeps ") == 2,
            what="memories listed",
        )
        status, _, _ = found.call("POST", "/ask/x", "c1", prompt, b"{}")
        check.assertEqual(status, 200)
        check.assertEqual(keeper.ran(), ["c1"])
