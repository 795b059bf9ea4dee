"""What requests to replicas, and the headers of their responses, report."""

import contextlib

from standins import platform_replica
from tests import fixtures, test_adapters
from turmericward import dispatching, fleet
from turmericward.adapters import errors
from turmericward.platform import _cache_listing, _notices, _orders, _transport

check = fixtures.check


def _target(address: str) -> fleet.Target:
    return fleet.Target(
        name="m1",
        service="model",
        address=address,
        domain="a",
        slots=8,
        role=fleet.EngineRole.DECODE,
    )


def _requests_counted(limited: set[str]) -> tuple[list, str]:
    """Sends one request of each kind that isn't a call; returns the messages."""
    posted = []
    notices = _notices.NoticeReader(posted.append, lambda: limited)
    replica = platform_replica.Replica("m1")
    with test_adapters.serve_app(replica) as address:
        target = _target(address)
        _cache_listing.ReplicaCacheLister(notices).cached_segments(target)
        with_orders = _orders.ReplicaOrders("front-1", notices)
        # The stand-in reports no state, but the request has reached it.
        with contextlib.suppress(errors.AdapterError):
            with_orders.state(target)
        _transport.ReplicaTransport(notices).release(f"{address}/h1")
    return posted, address


def test_requests_besides_calls_are_counted_while_a_target_is_limited():
    posted, address = _requests_counted({"m1"})
    check.assertEqual(posted, [dispatching.RequestSent(address=address)] * 3)
    posted, _ = _requests_counted(set())
    check.assertEqual(posted, [])


class _Response:
    """The head of a response."""

    def __init__(self, *headers: tuple[str, str], status: int = 200) -> None:
        self.status = status
        self._headers = dict(headers)

    def getheader(self, name: str, default=None):
        return self._headers.get(name, default)


def test_an_answer_that_is_read_late_does_not_end_a_limit_named_since():
    posted = []
    notices = _notices.NoticeReader(posted.append, lambda: {"m1"})
    target = _target("10.0.0.1:1")
    notices.read(_Response(("Server-Limit", "3")), target)
    named = posted[-1].limit
    limits = fleet.RateLimits("front-1")
    check.assertTrue(limits.record(target, named, named.observed_at))
    notices.read(_Response(), target, served_after=named.observed_at - 2.0)
    check.assertFalse(limits.record(target, posted[-1].limit, named.observed_at))
    notices.read(_Response(), target, served_after=named.observed_at + 0.1)
    check.assertTrue(limits.record(target, posted[-1].limit, named.observed_at))


def test_refusals_and_other_requests_do_not_end_a_limit():
    posted = []
    notices = _notices.NoticeReader(posted.append, lambda: {"m1"})
    target = _target("10.0.0.1:1")
    notices.read(_Response(status=503), target)
    notices.read(_Response(("Server-Limit", "3")), target, from_target=False)
    notices.read(_Response(("Server-Limit", "3"), status=421), target)
    check.assertEqual(posted, [])
