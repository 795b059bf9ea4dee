"""Capacity orders under virtual time: load that swings, and a platform with trouble.

The fleet of the tests rejects any count outside the bounds by failing the test.
"""

import functools
import random

import attrs

from tests import capacity_fleet, fixtures
from turmericward import capacity, duties
from turmericward import fleet as fleets

check = fixtures.check
ACCEPTED, UNAVAILABLE = duties.Outcome.ACCEPTED, duties.Outcome.UNAVAILABLE
UNKNOWN, THROTTLED = duties.Outcome.UNKNOWN, duties.Outcome.THROTTLED
END_S = 100.0


@functools.cache
def _fixed(end_s: float = END_S) -> capacity_fleet.ScalableFleet:
    """Returns the fleet as it starts, without orders, after a time."""
    fleet = capacity_fleet.ScalableFleet()
    fleet.run(end_s)
    return fleet


def _check_served(fleet, tolerance: float = 0.02) -> None:
    fixed = _fixed()
    check.assertGreaterEqual(fleet.served_share, fixed.served_share - tolerance)
    check.assertGreaterEqual(fleet.in_time_share, fixed.in_time_share - tolerance)


def test_the_mix_costs_half_and_serves_as_many():
    """Guards against prices over half of the fleet as it starts, and lost calls."""
    fleet = capacity_fleet.ScalableFleet()
    fleet.run(END_S, fleet.duty())
    _check_served(fleet)
    check.assertLessEqual(fleet.price, 0.5 * _fixed().price)
    check.assertLessEqual(len(fleet.orders), 40)
    check.assertTrue(all(fleet.count(domain=d) >= 8 for d in "abc"))


def test_steady_swings_cause_no_orders():
    """Guards against orders for each burst."""
    fleet = capacity_fleet.ScalableFleet()
    duty = fleet.duty()
    fleet.run(END_S, duty)
    before = len(fleet.orders)
    fleet.run(END_S + 60, duty)
    check.assertLessEqual(len(fleet.orders) - before, 8)


def test_the_fleet_never_has_fewer_replicas_while_they_are_replaced():
    """Guards against replicas given back before others serve."""
    fleet = capacity_fleet.ScalableFleet(traffic_from=7.0)
    duty = fleet.duty()
    while fleet.now < 40:
        fleet.run(fleet.now + 0.5, duty)
        check.assertGreaterEqual(fleet.count(), 35)


def test_the_fleet_keeps_its_prefill_engines_while_they_are_replaced():
    """Guards against a swap after which all engines decode, or too many prefill."""
    fleet = capacity_fleet.ScalableFleet(prefill_per_domain=4, traffic_from=1e9)
    duty, planner = fleet.duty(), fleets.RolePlanner(scaled=True)
    shares = []
    while fleet.now < 60:
        fleet.run(fleet.now + 0.5, duty)
        fleet.plan_roles(planner)
        shares.append(fleet.prefill_count() / 36)
    check.assertGreaterEqual(min(shares), 0.32)
    check.assertEqual(fleet.count(spot=False), 3)
    check.assertAlmostEqual(fleet.prefill_count() / fleet.count(), 1 / 3, delta=0.06)


def test_a_reclaim_at_the_peak_is_made_up_for_elsewhere():
    """Guards against calls lost when all spot replicas of a domain go at once."""
    for domain in "ab":
        fleet = capacity_fleet.ScalableFleet()

        def answer(order, now, domain=domain):
            gone = order.spot and order.domain == domain and 55 <= now < 58
            return UNAVAILABLE if gone else ACCEPTED

        fleet.answer = answer
        duty = fleet.duty()
        fleet.run(55.0, duty)
        before = fleet.count()
        lost = fleet.count(spot=True, domain=domain)
        check.assertGreater(lost, 7)
        fleet.reclaim(domain)
        fleet.run(63.0, duty)
        check.assertGreaterEqual(fleet.count(), before - lost + lost // 2)
        fleet.run(END_S, duty)
        _check_served(fleet)
        check.assertGreaterEqual(fleet.count(spot=True, domain=domain), lost // 2)


def test_the_loss_of_a_domain_is_made_up_for_elsewhere():
    """Guards against waiting for replicas of a domain that is gone."""
    fleet = capacity_fleet.ScalableFleet()
    fleet.answer = lambda order, now: (
        UNKNOWN if order.domain == "c" and 55 <= now < 80 else ACCEPTED
    )
    duty = fleet.duty()
    fleet.run(55.0, duty)
    before = fleet.count()
    fleet.lose("c")
    fleet.run(80.0, duty)
    check.assertGreaterEqual(fleet.count(), before * 0.8)
    fleet.run(END_S + 20, duty)
    _check_served(fleet)
    check.assertGreater(fleet.count(domain="c"), 6)


def test_refusals_lead_to_the_other_kind_and_domains():
    """Guards against a standstill, and storms of orders, while there are 409s."""

    def spot_gone(order, now):
        return UNAVAILABLE if order.spot and now < 60 else ACCEPTED

    fleet = capacity_fleet.ScalableFleet(answer=spot_gone)
    duty = fleet.duty()
    fleet.run(60.0, duty)
    check.assertEqual(fleet.count(spot=True), 0)
    check.assertGreaterEqual(fleet.count(), 36)
    refused = sum(outcome is UNAVAILABLE for _, _, outcome in fleet.orders)
    check.assertLessEqual(refused, 20)
    fleet.run(END_S + 40, duty)
    _check_served(fleet)
    check.assertGreater(fleet.count(spot=True), 20)


def test_throttled_orders_are_repeated_with_backoff():
    """Guards against using up the platform's rate."""
    fleet = capacity_fleet.ScalableFleet(
        answer=lambda order, now: THROTTLED if now < 40 else ACCEPTED
    )
    duty = fleet.duty()
    fleet.run(40.0, duty)
    check.assertLessEqual(len(fleet.orders), 30)
    fleet.run(60.0, duty)
    check.assertGreater(fleet.count(spot=True), 20)


def test_orders_that_take_effect_late_or_twice_keep_the_bounds():
    """Guards against counts that add up with those of lost responses."""
    for seed in range(6):
        chance = random.Random(seed)
        fleet = capacity_fleet.ScalableFleet(per_domain=16, seed=seed)

        def answer(order, now, fleet=fleet, chance=chance):
            kind = chance.choice(("sound", "late", "twice", "lost"))
            if kind == "sound":
                return ACCEPTED
            if kind == "twice":
                fleet.order(order, late_s=chance.uniform(0.0, 1.0))
                return ACCEPTED
            if kind == "late":
                fleet.order(order, late_s=chance.uniform(0.0, 3.0))
            return UNKNOWN

        fleet.answer = answer
        fleet.run(60.0, fleet.duty())
        check.assertGreater(fleet.served_share, 0.98)
        check.assertGreater(fleet.count(spot=True), 20)


def test_an_order_without_response_is_repeated_with_the_same_count():
    """Guards against a second order while the first may still take effect."""
    fleet = capacity_fleet.ScalableFleet(answer=lambda order, now: UNKNOWN)
    fleet.run(60.0, fleet.duty())
    pools = {(o.domain, o.spot) for _, o, _ in fleet.orders}
    counts = {(o.domain, o.spot, o.count) for _, o, _ in fleet.orders}
    check.assertEqual(len(pools), len(counts))
    check.assertLessEqual(len(fleet.orders), 50)


def test_new_holders_go_on_from_what_is_announced():
    """Guards against a holder that starts anew, or adds to unseen orders."""
    for interval_s in (7.3, 20.0):
        fleet = capacity_fleet.ScalableFleet()
        while fleet.now < END_S:
            fleet.run(min(END_S, fleet.now + interval_s), fleet.duty())
        _check_served(fleet)
        check.assertLessEqual(fleet.count(), 66)
        check.assertLessEqual(len(fleet.orders), 60)


def test_a_new_holder_waits_for_orders_of_the_previous_one_to_appear():
    """Guards against counts above the maximum by two holders' orders together."""
    fleet = capacity_fleet.ScalableFleet()
    unseen = duties.CapacityOrder(service="chat", domain="a", count=20, spot=False)
    fleet.order(unseen)
    fleet.run(40.0, fleet.duty())
    check.assertGreaterEqual(fleet.served_share, 0.98)


def test_estimates_that_are_wrong_by_a_factor_of_three():
    """Guards against rules that hold only if the estimate is right."""
    for estimate in (1 / 3, 3.0):
        fleet = capacity_fleet.ScalableFleet(estimate=estimate)
        fleet.run(END_S, fleet.duty())
        _check_served(fleet)
        check.assertLessEqual(fleet.price, 0.65 * _fixed().price)


def test_services_that_cannot_be_scaled_are_never_ordered():
    """Guards against orders, or state, for services without a scaling."""
    duty = capacity.CapacityDuty(lambda: capacity.View(services=()))
    duty.took_over(0.0)
    check.assertEqual([duty.next_call(t / 4) for t in range(100)], [None] * 100)


def test_nothing_is_ordered_without_a_view_of_the_fleet():
    """Guards against orders by counts that are out of date."""
    fleet = capacity_fleet.ScalableFleet()
    views = [fleet.view() for _ in range(1)]
    duty = capacity.CapacityDuty(lambda: views[0])
    duty.took_over(0.0)
    check.assertIsNone(duty.next_call(1.0))
    views[0] = None
    check.assertIsNone(duty.next_call(6.0))
    views[0] = fleet.view()
    check.assertIsNotNone(duty.next_call(6.5))


def test_replicas_that_become_known_late_are_not_given_back():
    """Guards against a holder that has just started and knows no targets yet."""
    fleet = capacity_fleet.ScalableFleet(traffic_from=1e9)
    known = [0]

    def look() -> capacity.View:
        (service,) = fleet.view().services
        replicas = service.replicas[: known[0]]
        return capacity.View(services=(attrs.evolve(service, replicas=replicas),))

    duty = capacity.CapacityDuty(look)
    duty.took_over(0.0)
    for until, count in ((8.0, 0), (10.0, 20), (60.0, 1000)):
        known[0] = count
        fleet.run(until, duty)
        check.assertGreaterEqual(fleet.count(), 36)


def test_a_service_that_becomes_scalable_in_a_term_is_not_reduced():
    """Guards against a need of nothing where the replicas found weren't counted."""
    fleet = capacity_fleet.ScalableFleet(traffic_from=1e9)
    views = [capacity.View()]
    duty = capacity.CapacityDuty(lambda: views[0] or fleet.view())
    duty.took_over(0.0)
    fleet.run(10.0, duty)
    views[0] = None
    fleet.run(40.0, duty)
    check.assertEqual((fleet.count(), fleet.count(spot=False)), (36, 3))


def _first_order_at(*, first: bool) -> float:
    """Returns when a holder sends its first order to a fleet without calls."""
    fleet = capacity_fleet.ScalableFleet()
    duty = capacity.CapacityDuty(fleet.view)
    duty.took_over(0.0, first=first)
    return next(t / 4 for t in range(100) if duty.next_call(t / 4) is not None)


def test_the_first_holder_of_all_does_not_wait_for_orders_of_another():
    """Guards against a new fleet that pays for its dearer replicas for longer."""
    check.assertLess(_first_order_at(first=True), capacity_fleet.SCALING.boot_s)
    check.assertGreater(_first_order_at(first=False), capacity_fleet.SCALING.boot_s)
