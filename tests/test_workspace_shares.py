"""Fair shares of a saturated service: decisions, and a queue under virtual time."""

import functools

import attrs

from tests import fixtures, sharing_queue
from turmericward import fleet, sharing
from turmericward.sharing import _levels, _retry_after, _saturation, _work

check = fixtures.check
NO_LEVEL = float("inf")
LOADED = sharing_queue.Load(others=1.0, heavy=10.0, length_s=40.0)
# Loads under which one workspace must not take from the others.
LOADS = {
    "ten times its share": LOADED,
    "immediate retries": attrs.evolve(LOADED, retries=3),
    "bursts": attrs.evolve(LOADED, others=0.7, burst=1.9),
    "forty times its share": attrs.evolve(LOADED, heavy=40.0),
}
MIN_SERVED_SHARE = 0.9


@functools.cache
def _run(
    load: sharing_queue.Load, fronts: int, **options: bool
) -> sharing_queue.Result:
    return sharing_queue.Queue(fronts, 1, **options).run(load)


def _least_served(load: sharing_queue.Load, fronts: int, **options: bool) -> float:
    """Returns the least share, of what it is served alone, that a workspace gets."""
    alone = attrs.evolve(load, heavy=0.0)
    expected = _run(alone, fronts, fair=False).served
    served = _run(load, fronts, **options).served
    return min(served[w] / expected[w] for w in expected)


def test_a_heavy_workspace_takes_nothing_from_85_others():
    for name, load in LOADS.items():
        # Guards against a load under which nobody needs shares.
        least = _least_served(load, 1, fair=False)
        check.assertLess(least, MIN_SERVED_SHARE, name)
        for fronts in (1, 10):
            least = _least_served(load, fronts)
            check.assertGreaterEqual(least, MIN_SERVED_SHARE, (name, fronts))


def test_a_workspace_that_is_heavy_at_no_single_front_is_limited():
    # Guards against shares by local work alone: each front sees it send as much as
    # each of the workspaces that send all of their calls there.
    load = attrs.evolve(LOADED, sticky=True)
    heavy = sharing_queue.HEAVY
    apart = _run(load, 10, exchange=False)
    together = _run(load, 10)
    check.assertLess(together.served[heavy], 0.5 * apart.served[heavy])
    check.assertGreaterEqual(_least_served(load, 10), MIN_SERVED_SHARE)


def test_sharing_serves_more_calls_in_time_and_wastes_no_capacity():
    for name, load in LOADS.items():
        plain, fair = _run(load, 1, fair=False), _run(load, 1)
        check.assertGreater(fair.in_time.total(), plain.in_time.total(), name)
        check.assertGreaterEqual(fair.work, 0.98 * plain.work, name)
        check.assertGreaterEqual(fair.served.total(), plain.served.total(), name)


def test_a_lone_workspace_uses_the_whole_service():
    # Ten shares leave it idle, 86 shares and more saturate it.
    for heavy in (10.0, 120.0):
        load = sharing_queue.Load(others=0.0, heavy=heavy, length_s=20.0)
        queue = sharing_queue.Queue(1, 1)
        result = queue.run(load)
        check.assertEqual(result.refusals, [], heavy)
        plain = sharing_queue.Queue(1, 1, fair=False).run(load)
        check.assertEqual(result.work, plain.work, heavy)


def test_a_service_with_room_refuses_nobody_by_share():
    load = sharing_queue.Load(others=0.5, heavy=20.0, length_s=30.0)
    check.assertEqual(sharing_queue.Queue(1, 1).run(load).refusals, [])


def test_an_overload_by_all_alike_refuses_nobody_by_share():
    # Refusals by share would only shorten queues that the placer bounds.
    load = sharing_queue.Load(others=1.5, length_s=30.0)
    result = sharing_queue.Queue(1, 1).run(load)
    check.assertLess(len(result.refusals), 0.01 * result.asked.total())


def test_callers_that_retry_at_once_gain_nothing():
    load = LOADS["ten times its share"]
    patient = sharing_queue.Queue(1, 1).run(load)
    hasty = sharing_queue.Queue(1, 1).run(attrs.evolve(load, retries=3))
    heavy = sharing_queue.HEAVY
    check.assertLessEqual(hasty.served[heavy], 1.1 * patient.served[heavy])


def test_shares_are_max_min_fair():
    # Demands, others, capacity, level.
    cases = (
        ((), 0.0, 10.0, NO_LEVEL),
        ((2.0, 3.0), 0.0, 10.0, NO_LEVEL),
        ((2.0, 3.0), 4.0, 9.0, NO_LEVEL),
        ((10.0, 1.0), 0.0, 4.0, 3.0),
        ((10.0, 10.0), 0.0, 4.0, 2.0),
        ((10.0, 3.0, 1.0), 2.0, 9.0, 3.0),
        # Others that exceed the capacity leave a share all the same.
        ((10.0,), 20.0, 4.0, 2.0),
    )
    for demands, others, capacity, level in cases:
        found = _levels.fair_level(demands, others, capacity)
        check.assertEqual(found, level, (demands, others, capacity))


def test_urgent_calls_of_a_workspace_use_its_share_first():
    # Work by priority, priority, demand, level, granted share.
    cases = (
        ({0: 1.0, 2: 1.0}, 0, 2.0, 4.0, 1.0),
        ({0: 1.0, 2: 9.0}, 0, 10.0, 5.0, 1.0),
        ({0: 1.0, 2: 9.0}, 2, 10.0, 5.0, (4.95 - 1) / 9),
        ({0: 8.0, 2: 2.0}, 2, 10.0, 5.0, 0.0),
        # The same with four fifths of the demand at other fronts.
        ({0: 0.2, 2: 1.8}, 2, 10.0, 5.0, (4.95 - 1) / 9),
        # However much is refused, half of the share is left.
        ({0: 1_000.0}, 0, 1_000.0, 5.0, 2.5 / 1_000),
    )
    for by_priority, priority, demand, level, granted in cases:
        found = _levels.granted_share(by_priority, priority, demand, level)
        check.assertAlmostEqual(found, granted, msg=(by_priority, priority))


def test_retry_after_grows_with_the_excess_and_is_spread():
    shortest, longest = (_retry_after.retry_after_s(20.0, 10.0, f) for f in (0, 1))
    check.assertEqual((shortest, longest), (1.5, 4.5))
    check.assertEqual(_retry_after.retry_after_s(10.1, 10.0, 0.5), 0.2)
    check.assertEqual(_retry_after.retry_after_s(1e9, 10.0, 0.5), 10.0)


def test_capacity_grows_again_after_an_outage():
    # Guards against an estimate that stays at 0 as nothing was served.
    saturation = _saturation.Saturation()
    for i in range(100):
        now = 0.1 * i
        saturation.observe(2.0, now)
        pressure = saturation.local_pressure(now)
        saturation.update(pressure, 100.0 if now < 2 else 0.0, 200.0, now)
    check.assertEqual(saturation.capacity, 10.0)
    for i in range(100):
        saturation.update(sharing.Pressure(), 0.0, 200.0, 20 + 0.25 * i)
        if saturation.capacity is None:
            break
    check.assertIsNone(saturation.capacity)


def test_sums_name_the_heaviest_workspaces_and_lose_no_work():
    parts = [
        {7: sharing.ServiceWork(served=1.0, heaviest={w: w + i for w in range(200)})}
        for i in range(3)
    ]
    total = sharing.sum_work(parts)[7]
    check.assertEqual(len(total.heaviest), sharing.MAX_SUMMED_WORKSPACES)
    check.assertEqual(total.offered, sum(p[7].offered for p in parts))
    check.assertEqual((total.count, total.served), (200, 3.0))
    left = sharing.without({7: total}, parts[0])[7]
    check.assertEqual(left.offered, total.offered - parts[0][7].offered)


def test_a_front_with_few_calls_relies_on_its_peers():
    # With a call in some seconds no front can tell by itself that a service is
    # saturated, and all of them together would limit nobody.
    def refusals(work: dict) -> int:
        shares, refused = sharing.Shares(1), 0
        offer = sharing.Offer(service="m", workspace="heavy", priority=0, work=5.0)
        for i in range(20):
            now = 2.0 * i
            shares.apply("p", work, now)
            refused += shares.offer(offer, now).refusal is not None
            shares.observe("m", 1.5, now)
        return refused

    heavy, service = fleet.target_hash("heavy"), fleet.target_hash("m")
    told = sharing.ServiceWork(
        served=100.0,
        heaviest={heavy: 900.0} | dict.fromkeys(range(20), 2.0),
        pressure=sharing.Pressure(total=200.0, samples=100.0),
    )
    check.assertGreater(refusals({service: told}), 10)
    check.assertEqual(refusals({}), 0)


def test_an_idle_front_drops_workspaces_and_peers():
    shares = sharing.Shares(1)
    offer = sharing.Offer(service="m", workspace="w", priority=0, work=5.0)
    shares.offer(offer, 0.0)
    shares.apply("p", {1: _work.NO_WORK}, 0.0)
    shares.expire(6.0)
    check.assertTrue(shares.in_use)
    shares.expire(40.0)
    check.assertFalse(shares.in_use)
    check.assertFalse(shares._peers)
