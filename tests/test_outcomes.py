"""Targets that lose some of their calls, and engines without a free slot."""

import random

import attrs

from benchmarks import _emulator, _loads, _variants, prompt_model
from tests import fixtures, test_placement
from turmericward import fleet, requests
from turmericward.requests import _outcomes

check = fixtures.check
AT_MOST_ONCE = requests.Deadlines(
    soft_deadline_s=0.4, hard_deadline_s=2.0, at_most_once=True
)
_prompt, _placer = test_placement._short, test_placement._placer
LOSING = _loads.Fault(
    kind="losing", at=3.0, for_s=6.0, engines=3, x=0.3, role="decode", silent=False
)


def _replay(placer, targets, calls: range, failing: str = "") -> list[str]:
    """Places a call every 0.1 s; returns the name of the target of each."""
    names = []
    for n in calls:
        now = n / 10
        placement = placer.choose_engine(_prompt(), targets, AT_MOST_ONCE, now).unwrap()
        name = placement.target.name
        names.append(name)
        # Loses every third call, so never several in a row.
        lost = name == failing and names.count(name) % 3 == 1
        ending = requests.Ending.FAILED if lost else requests.Ending.SUCCEEDED
        if not lost:
            placer.record_first_output(placement, _prompt(), 0.05, now)
        placer.ended(placement, ending, now)
    return names


def test_an_engine_that_loses_calls_gets_few_until_its_failures_decay():
    targets = prompt_model.targets(0, 3)
    placer = _placer()
    during = _replay(placer, targets, range(200), failing="e0")
    check.assertLess(during.count("e0"), 20)
    check.assertGreater(during.count("e0"), 0)
    later = _replay(placer, targets, range(400, 600))
    check.assertGreater(later.count("e0"), 20)


def test_failures_reported_by_peers_count_like_local_ones():
    targets = prompt_model.targets(0, 2)
    placer, number = _placer(), fleet.target_hash("e0")
    for n in range(20):
        load = requests.TargetLoad(ended_calls=3 * n, failed_calls=n)
        placer.peers.replace("peer", {number: load}, n / 10)
    names = _replay(placer, targets, range(20, 30))
    check.assertEqual(set(names), {"e1"})


def test_a_restarted_peer_reports_no_failures():
    placer, number = _placer(), fleet.target_hash("e0")
    for load in (
        requests.TargetLoad(ended_calls=90, failed_calls=30),
        requests.TargetLoad(ended_calls=1, failed_calls=0),
    ):
        placer.peers.replace("peer", {number: load}, 0.0)
    check.assertEqual(placer._calls.outcomes.failure_share(number, 0.0), 0.0)


def test_an_overdue_call_counts_as_failed_before_its_client_disconnects():
    (target,) = prompt_model.targets(0, 1)
    placer = _placer()
    placement = placer.choose_engine(_prompt(), [target], AT_MOST_ONCE, 0.0).unwrap()
    number = fleet.target_hash(target.name)
    placer.count_overdue(0.5)
    check.assertEqual(placer._calls.outcomes.failure_share(number, 0.5), 0.0)
    placer.count_overdue(1.5)
    share = placer._calls.outcomes.failure_share(number, 1.5)
    check.assertGreater(share, 0.0)
    placer.ended(placement, requests.Ending.DISCONNECTED, 1.6)
    check.assertLessEqual(placer._calls.outcomes.failure_share(number, 1.6), share)


def test_a_target_counted_as_failing_after_a_silence_of_all_its_calls():
    (target,) = prompt_model.targets(0, 1)
    placer = _placer()
    number = fleet.target_hash(target.name)
    placements = [
        placer.choose_engine(_prompt(), [target], AT_MOST_ONCE, 0.0).unwrap()
        for _ in range(5)
    ]
    placer.count_overdue(2.0)
    check.assertGreater(placer._calls.outcomes.failure_share(number, 2.0), 0.3)
    peer = _placer()
    peer.peers.replace("front", {}, 2.0)
    peer.peers.replace("front", placer.local_loads(), 2.0)
    for placement in placements:
        placer.record_first_output(placement, _prompt(), 2.0, 2.0)
        placer.record_first_output(placement, _prompt(), 2.0, 2.0)
    peer.peers.replace("front", placer.local_loads(), 2.0)
    for front in (placer, peer):
        check.assertEqual(front._calls.outcomes.failure_share(number, 2.0), 0.0)
    for placement in placements:
        placer.ended(placement, requests.Ending.SUCCEEDED, 3.0)
    load = placer.local_loads()[number]
    check.assertEqual((load.ended_calls, load.failed_calls), (5, 0))


def test_a_cancelled_probe_lets_another_call_probe_the_target():
    health = fleet.Health(failures_to_eject=1, first_s=1.0)
    health.failed("t", 0.0)
    health.started("t")
    check.assertFalse(health.usable("t", 2.0))
    health.released("t")
    check.assertTrue(health.usable("t", 2.0))


def test_old_failures_are_discounted():
    outcomes = _outcomes.Outcomes()
    outcomes.ended(1, 10, 5, 0.0)
    check.assertGreater(outcomes.failure_share(1, 0.0), 0.3)
    check.assertLess(outcomes.failure_share(1, 4 * _outcomes.DECAY_S), 0.03)
    outcomes.forget(1)
    check.assertEqual(outcomes.failure_share(1, 0.0), 0.0)


def test_replicas_that_fail_some_calls_get_fewer():
    replicas = [
        fleet.Target(name=n, service="s", address="10.0.0.1:1", domain="a", slots=6)
        for n in ("failing", "sound")
    ]
    placer, counts = _placer(), {"failing": 0, "sound": 0}
    for n in range(100):
        placement = placer.choose_replica(replicas, n / 10)
        name = placement.target.name
        counts[name] += 1
        failed = name == "failing" and counts[name] % 2 == 0
        ending = requests.Ending.FAILED if failed else requests.Ending.SUCCEEDED
        placer.ended(placement, ending, n / 10)
    check.assertLess(3 * counts["failing"], counts["sound"])
    check.assertGreater(counts["failing"], 0)


def _lost_calls(variant: str, seed: int) -> int:
    load = attrs.evolve(_loads.load("lending"), length_s=9.0, faults=(LOSING,))
    with _variants.named(variant):
        counts = _emulator.Simulation(load, seed).run().counts
    return counts["anomaly", "failed"]


def test_fewer_calls_without_retries_are_lost_on_failing_engines():
    avoided = sum(_lost_calls("as it is", seed) for seed in range(2))
    ignored = sum(_lost_calls("without failures", seed) for seed in range(2))
    check.assertGreater(ignored, 50)
    check.assertLess(avoided, 0.75 * ignored)


def test_an_engine_without_a_free_slot_is_avoided():
    full, free = (attrs.evolve(t, slots=4) for t in prompt_model.targets(0, 2))
    placer = _placer()
    for _ in range(30):
        placer.choose_engine(_prompt(), [full], AT_MOST_ONCE, 0.0)
    peers = requests.TargetLoad(urgent_tokens=8_000.0, open_calls=3)
    placer.peers.replace("p", {fleet.target_hash(free.name): peers}, 0.0)
    chosen = placer.choose_engine(_prompt(), [full, free], AT_MOST_ONCE, 0.0).unwrap()
    check.assertEqual(chosen.target, free)


def test_loads_of_many_fronts_are_summed_as_one_by_one():
    for seed in range(50):
        rng = random.Random(seed)
        states = [
            {target: _random_load(rng) for target in rng.sample(range(9), 5)}
            for _ in range(rng.randrange(12))
        ]
        expected: dict[int, requests.TargetLoad] = {}
        for loads in states:
            for target, load in loads.items():
                expected[target] = expected.get(target, requests.NO_LOAD) + load
        check.assertEqual(requests.sum_loads(states), expected, seed)


def _random_load(rng: random.Random) -> requests.TargetLoad:
    return requests.TargetLoad(
        urgent_tokens=rng.uniform(0.0, 1e4),
        deferred_tokens=rng.choice((0.0, 700.5)),
        open_calls=rng.randrange(9),
        ended_calls=rng.randrange(1_000),
        failed_calls=rng.randrange(100),
    )
