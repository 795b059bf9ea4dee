"""Decisions on the memory held for clients and targets, and their account."""

import threading

from tests import fixtures
from turmericward import memory
from turmericward.adapters import _body_memory, errors

check = fixtures.check
KB = 1024
BOUNDS = memory.Bounds.of(800 * KB)
NOW = 100.0


def _holding(owner: str, size: int, **changes) -> memory.Holding:
    """Returns an incomplete request that began and moved just now."""
    values = {
        "kind": memory.Kind.REQUEST,
        "size": size,
        "since": NOW,
        "moved_at": NOW,
        "moved": 0,
    }
    return memory.Holding(owner=owner, **(values | changes))


def test_memory_is_granted_up_to_the_limit_and_always_to_small_requests():
    """Guards against ordinary callers that are shut out by large bodies."""
    for held, own, size, granted in (
        (0, 0, 700 * KB, True),
        (600 * KB, 0, 100 * KB, True),
        (600 * KB, 0, 101 * KB, False),
        (600 * KB, 50 * KB, 150 * KB, True),
        (2000 * KB, 0, 16 * KB, True),
        (2000 * KB, 0, 17 * KB, False),
        # One that is larger than all the memory, in calm conditions and beside others.
        (0, 0, 4000 * KB, True),
        (100 * KB, 0, 4000 * KB, True),
        (101 * KB, 0, 4000 * KB, False),
    ):
        case = (held, own, size)
        check.assertEqual(memory.may_grant(BOUNDS, held, own, size), granted, case)


def test_the_largest_holdings_without_progress_give_way_first():
    """Guards against refusals of those that make progress while others don't."""
    stalled = {"moved_at": NOW - 2.5, "moved": 10**9}
    slow = {"since": NOW - 60, "moved": 30_000}
    holdings = [
        _holding("large", 500 * KB),
        _holding("stalled", 200 * KB, **stalled),
        _holding("smaller", 100 * KB, **stalled),
        _holding("slow", 150 * KB, **slow),
        _holding("unread", 300 * KB, kind=memory.Kind.RESPONSE, **stalled),
        _holding("read", 600 * KB, kind=memory.Kind.RESPONSE),
        _holding("runs", 900 * KB, kind=memory.Kind.WORK, **stalled),
        _holding("waits", 400 * KB, **stalled),
    ]
    for needed, excess, owners in (
        (0, 0, []),
        (1, 0, ["unread"]),
        (500 * KB, 0, ["unread", "stalled"]),
        (10**9, 0, ["unread", "stalled", "slow", "smaller"]),
        (0, 300 * KB, ["unread"]),
        (0, 751 * KB, ["unread", "stalled", "slow", "smaller", "large"]),
        (0, 10**9, ["unread", "stalled", "slow", "smaller", "large", "waits"]),
    ):
        victims = memory.select_victims(holdings, NOW, {"waits"}, needed, excess)
        check.assertEqual([v.owner for v in victims], owners, (needed, excess))


def test_the_account_holds_what_was_set_last():
    """Guards against sums that drift from the holdings."""
    account = memory.Account(100 * KB)
    request, work = memory.Kind.REQUEST, memory.Kind.WORK
    account.set("a", request, 30 * KB, 1.0, moved=5)
    account.set("a", work, 50 * KB, 1.0)
    check.assertFalse(account.grant("b", request, 20 * KB, 2.0))
    account.set("a", request, 40 * KB, 3.0)
    (holding,) = [h for h in account.holdings() if h.kind is request]
    check.assertEqual((holding.since, holding.moved_at, holding.moved), (1.0, 1.0, 5))
    account.set("b", request, 15 * KB, 3.0)
    check.assertEqual((account.held, account.excess), (105 * KB, 5 * KB))
    for kind in (request, work):
        account.set("a", kind, 0, 4.0)
    check.assertEqual((account.held, len(account.holdings())), (15 * KB, 1))


def test_a_body_of_a_target_waits_for_memory_that_clients_hold():
    """Guards against answers that are lost as soon as the limit is reached."""
    account = memory.Account(400 * KB)
    bodies = _body_memory.BodyMemory()
    bodies.account = account
    account.set("client", memory.Kind.RESPONSE, 390 * KB, 0.0)
    timer = threading.Timer(0.2, account.set, ("client", memory.Kind.RESPONSE, 0, 1.0))
    timer.start()
    with bodies.reservation() as reservation:
        reservation.grow_to(100 * KB)
        check.assertEqual(account.held, 100 * KB)
        account.set("client", memory.Kind.RESPONSE, 290 * KB, 2.0)
        with check.assertRaises(errors.AnswerLostError):
            reservation.grow_to(200 * KB)
    check.assertEqual(account.held, 290 * KB)
