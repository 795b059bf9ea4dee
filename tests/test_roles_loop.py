"""The loop that orders role changes, with a log and engines that answer at once."""

from concurrent import futures
from unittest import mock

from benchmarks import prompt_model
from tests import fixtures
from turmericward import authority, dispatching, fleet, positions
from turmericward.dispatching import _messages

check = fixtures.check
# Without waits: the loop uses the real clock.
TIMING = authority.Timing(term_s=6.0, renew_s=6.0, margin_s=0.0, settle_s=0.0)


class _Log:
    """Accepts every claim."""

    def __init__(self) -> None:
        self.claims: list[authority.Claim] = []

    def read(self):
        return positions.Position(0, len(self.claims)), None

    def append(self, claim):
        self.claims.append(claim)
        return positions.Position(0, len(self.claims) - 1)


class _Orders:
    """Accepts every order."""

    def __init__(self) -> None:
        self.ordered: list[str] = []

    def state(self, target):
        return dispatching.RoleState(role=target.role, busy=False, sequence=0)

    def order(self, change, sequence, held) -> bool:
        self.ordered.append(change.target.name)
        return True


class _Dispatcher:
    """Has engines, one of which is to change its role."""

    def __init__(self) -> None:
        self.engines = {"model": prompt_model.targets(3, 3)}

    def ask(self, message) -> futures.Future:
        fut = futures.Future()
        fut.set_result(
            _messages.EnginesView(
                engines=self.engines,
                loads={},
                has_lowest_name=True,
                listed=frozenset(),
            )
        )
        return fut

    def post(self, message) -> None:
        pass


def _loop(log: _Log, orders: _Orders, enabled) -> dispatching.RolesLoop:
    ids = iter(range(1000))
    lease = authority.OnDemandLease("front-1", TIMING, lambda: str(next(ids)))
    loop = dispatching.RolesLoop(
        _Dispatcher(), lease, log, orders, positions.Eras(lambda: None), enabled
    )
    loop.pause = lambda seconds: None
    return loop


def test_a_front_that_stops_orders_nothing_and_releases_the_lease():
    log, orders = _Log(), _Orders()
    stopping = []
    loop = _loop(log, orders, lambda: not stopping)
    target = prompt_model.targets(3, 3)[0]
    change = fleet.RoleChange(target=target, role=fleet.EngineRole.DECODE)
    with mock.patch.object(fleet.RolePlanner, "plan", return_value=change):
        loop.run_once()
        check.assertEqual(orders.ordered, [target.name])
        check.assertEqual(len(log.claims), 1)
        stopping.append(True)
        loop.run_once()
        loop.run_once()
    check.assertEqual(orders.ordered, [target.name])
    (_, released) = log.claims
    check.assertIsInstance(released.record, authority.OnDemandRelease)


class _Standing:
    """A lease of duties that this front has, or not."""

    def __init__(self) -> None:
        self.held = None
        self.sent = 0

    def authority(self):
        return self.held

    def note_sent(self) -> None:
        self.sent += 1


def test_with_duties_the_holder_alone_orders_and_the_loop_leaves_the_lease_alone():
    # Guards against two leases at a time, and against orders that wait for the front
    # of the lowest name.
    log, orders, standing = _Log(), _Orders(), _Standing()
    loop = _loop(log, orders, lambda: True)
    loop._standing = standing
    target = prompt_model.targets(3, 3)[0]
    change = fleet.RoleChange(target=target, role=fleet.EngineRole.DECODE)
    with mock.patch.object(fleet.RolePlanner, "plan", return_value=change):
        loop.run_once()
        check.assertEqual(orders.ordered, [])
        standing.held = authority.Authority(token=7, not_before=0.0, until=float("inf"))
        loop.run_once()
    check.assertEqual(orders.ordered, [target.name])
    check.assertEqual((log.claims, standing.sent), ([], 1))
