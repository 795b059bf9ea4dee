"""Counts of usage: windows, merging, lost datagrams, and steps of the time of day."""

import random

import attrs

from tests import fixtures
from turmericward import duties, metering, peers
from turmericward.metering import _usage_duty

check = fixtures.check
WINDOW_S = 5.0


def _ledger(front: str, domain: str = "a") -> metering.Ledger:
    return metering.Ledger(domain, (front, 1))


def _send(sending, source, target, front: str, domain: str, unix_s: float, lost):
    usage = sending.next_usage(source, unix_s)
    if usage is None or lost():
        return
    for row in usage.windows:
        # A datagram may arrive twice.
        target.receive((front, 1), domain, row)
        target.receive((front, 1), domain, row)


def test_lost_and_repeated_datagrams_change_no_sum():
    # Guards against counts that are added twice, or missing after a loss.
    for seed in range(20):
        rng = random.Random(seed)
        fronts = [_ledger(f"f{n}") for n in range(5)]
        sendings = [metering.UsageSending(WINDOW_S, domain=False) for _ in fronts]
        relay, other = _ledger("relay"), _ledger("other", "b")
        to_other = metering.UsageSending(WINDOW_S, domain=True)
        truth: dict[str, int] = {}
        lost = lambda r=rng: r.random() < 0.2  # noqa: E731
        for step in range(100):
            unix_s = 1000.0 + step / 10
            if unix_s < 1005.0:
                ledger = rng.choice(fronts)
                workspace = f"w{rng.randrange(9)}"
                ledger.count(200, workspace)
                truth[workspace] = truth.get(workspace, 0) + 1
            for number, ledger in enumerate(fronts):
                sending = sendings[number]
                _send(sending, ledger, relay, f"f{number}", "a", unix_s, lost)
            _send(to_other, relay, other, "relay", "a", unix_s, lost)
        check.assertEqual(relay.total(200), truth, seed)
        check.assertEqual(other.total(200), truth, seed)


def test_long_names_are_sent_in_several_messages_that_fit_a_datagram():
    # Guards against datagrams that can't be sent, so that peers lose the loads too.
    names = [f"{n:03}".rjust(200, "é") for n in range(200)]
    front, relay = _ledger("f"), _ledger("relay")
    for name in names:
        front.count(200, name)
    sending = metering.UsageSending(WINDOW_S, domain=False)
    for step in range(3):
        usage = sending.next_usage(front, 1001.0 + step * 0.45)
        state = peers.PeerState(front="f", boot=1, sequence=step, domain="a", loads={})
        data = peers.encode(attrs.evolve(state, usage=usage))
        check.assertLess(len(data), 40_000)
        relay.receive(("f", 1), "a", usage.windows[0])
    check.assertTrue(relay.is_whole(200))
    check.assertEqual(relay.total(200), dict.fromkeys(names, 1))


def test_a_sum_with_lost_rows_is_known_not_to_be_whole():
    # Guards against a report without the counts of a datagram that was lost.
    relay, holder = _ledger("relay"), _ledger("h", "b")
    sending = metering.UsageSending(WINDOW_S, domain=True)
    relay.count(200, "w")
    sending.next_usage(relay, 1005.6)
    later = sending.next_usage(relay, 1006.1)
    holder.receive(("relay", 1), "a", later.windows[0])
    check.assertEqual(holder.total(200), {})
    check.assertFalse(holder.is_whole(200))
    repeated = sending.next_usage(relay, 1006.7)
    holder.receive(("relay", 1), "a", repeated.windows[0])
    check.assertEqual(holder.total(200), {"w": 1})
    check.assertTrue(holder.is_whole(200))


def test_a_new_relay_and_its_dead_predecessor_are_not_added():
    # Guards against a domain's calls that count twice after the death of its relay.
    holder = _ledger("h", "b")
    first = metering.WindowUsage(window=7, counts={"w": 10, "x": 2}, domain=True)
    second = metering.WindowUsage(window=7, counts={"w": 12}, domain=True)
    holder.receive(("r1", 1), "a", first)
    holder.receive(("r2", 1), "a", second)
    holder.count(7, "w")
    check.assertEqual(holder.total(7), {"w": 13, "x": 2})


def test_a_front_that_starts_again_counts_beside_its_earlier_life():
    # Guards against counts of a dead front that are lost when it is back.
    relay = _ledger("r")
    relay.receive(("f", 1), "a", metering.WindowUsage(window=7, counts={"w": 5}))
    relay.receive(("f", 2), "a", metering.WindowUsage(window=7, counts={"w": 1}))
    check.assertEqual(relay.total(7), {"w": 6})


def test_steps_of_the_time_of_day_move_no_window():
    # Guards against calls that count in another window when the clock steps.
    for step_s in (-2.4, 2.4):
        clock = metering.UnixClock(100.0, 1_000_100.0)
        clock.record_time_of_day(110.0, 1_000_110.05)
        check.assertAlmostEqual(clock.unix_s(110.0), 1_000_110.05)
        for n in range(20):
            clock.record_time_of_day(111.0 + n, 1_000_111.0 + n + step_s)
        check.assertAlmostEqual(clock.unix_s(130.0), 1_000_130.05)


def test_a_front_that_starts_during_a_step_follows_its_peers_or_relay():
    # Guards against a front, or holder, whose windows are others' for good.
    clock = metering.UnixClock(100.0, 1_000_102.4)
    clock.record_peer("a", 1_000_101.0, 101.0)
    check.assertAlmostEqual(clock.unix_s(101.0), 1_000_103.4)
    clock.record_peer("b", 1_000_101.1, 101.1)
    check.assertAlmostEqual(clock.unix_s(101.1), 1_000_101.1)
    member = metering.UnixClock(100.0, 1_000_102.4)
    for n in range(8):
        member.record_peer("relay", 1_000_101.0 + n, 101.0 + n, relay=True)
    check.assertAlmostEqual(member.unix_s(108.0), 1_000_108.0)


def test_a_relay_that_starts_during_a_step_is_not_followed_at_once():
    # Guards against a whole domain that follows one wrong clock.
    member = metering.UnixClock(100.0, 1_000_100.0)
    for n in range(3):
        member.record_peer("relay", 1_000_103.4 + n, 101.0 + n, relay=True)
    check.assertAlmostEqual(member.unix_s(104.0), 1_000_104.0)


def test_a_silent_domain_is_waited_for_but_reports_are_in_time():
    # Guards against a holder that a cut domain keeps from reporting.
    known_until = [0.0]
    duty = metering.UsageDuty(
        collect=lambda window: metering.Collected(
            unix_s=now[0], counts={"w": 1}, known_until_s=known_until[0]
        ),
        window_s=WINDOW_S,
        due_s=10.0,
    )
    now = [1004.0]
    duty.restore(_usage_duty.encode_journal({199: {}}), float("-inf"), 0.0)
    duty.next_call(0.0)
    duty.record_outcome(
        duties.UsageReport(window=199, counts={}), duties.Outcome.ACCEPTED, 0.0
    )
    cases = [(6.4, 1006.4, False), (7.0, 1004.0, False), (7.0, 1006.1, True)]
    cases += [(10.9, 1004.0, False), (11.2, 1004.0, True)]
    for at, until, reported in cases:
        now[0], known_until[0] = 1000.0 + at, until
        call = duty.next_call(at - 4.0)
        check.assertEqual(call is not None, reported, (at, until))


def test_usage_survives_a_datagram_and_costs_nothing_without_metering():
    # Guards against bytes in deployments without metering.
    state = peers.PeerState(front="f", boot=1, sequence=1, loads={})
    plain = peers.encode(state)
    check.assertIsNone(peers.decode(plain).usage)
    window = metering.WindowUsage(window=9, counts={"w": 3}, domain=True)
    usage = metering.Usage(unix_s=1234.5, windows=(window,))
    metered = peers.PeerState(front="f", boot=1, sequence=1, loads={}, usage=usage)
    check.assertEqual(peers.decode(peers.encode(metered)).usage, usage)
    bad = metering.Usage(
        unix_s=1.0, windows=(metering.WindowUsage(window=-1, counts={}),)
    )
    broken = peers.PeerState(front="f", boot=1, sequence=1, loads={}, usage=bad)
    with check.assertRaises(peers.MalformedStateError):
        peers.decode(peers.encode(broken))
