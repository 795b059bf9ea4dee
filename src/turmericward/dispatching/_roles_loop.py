"""Loop that changes the roles of engines while it holds a lease."""

import collections
from collections.abc import Callable
from concurrent import futures
from typing import Protocol

import attrs
from absl import logging

from turmericward import authority, fleet, positions, runtime, telemetry
from turmericward.adapters import errors
from turmericward.dispatching import _dispatch_task, _messages, _standing_lease

POLL_INTERVAL_S = 0.5
INACTIVE_POLL_INTERVAL_S = 2.0
DISPATCH_TIMEOUT_S = 2.0
# How long fronts wait for the one with the lowest name to send a due order.
FOLLOWER_DELAY_S = 4.0
# Fronts send a target no calls for this long, or until it announces the new role.
TARGET_HOLD_S = 8.0
# Delay between a hold and its order, so that the peers receive the hold first.
HOLD_PROPAGATION_S = 0.05
# Remaining term of the lease that an order needs.
ORDER_DURATION_S = 1.0


@attrs.frozen(kw_only=True)
class RoleState:
    """Reported state of an engine; `sequence` counts the orders it accepted."""

    role: fleet.EngineRole
    busy: bool
    sequence: int


class LeaseLog(Protocol):
    """Log that stores the lease."""

    def read(self) -> tuple[positions.Position, authority.Record | None]:
        """Returns the log's end and its newest record.

        Raises:
            LogUnavailableError: there is no valid answer.
        """

    def append(self, claim: authority.Claim) -> positions.Position | None:
        """Appends a claim; returns its position, or None if the log has grown.

        Raises:
            LogUnavailableError: it isn't known whether the claim was appended.
        """


class Orders(Protocol):
    """Sends orders to engines."""

    def state(self, target: fleet.Target) -> RoleState:
        """Requests an engine's state.

        Raises:
            AdapterError: there is no valid answer.
        """

    def order(
        self, change: fleet.RoleChange, sequence: int, held: authority.Authority
    ) -> bool:
        """Orders a change if the engine's sequence is still the given one.

        Returns:
            Whether the engine accepted the order.

        Raises:
            AuthorityLapsedError: the order wasn't sent completely.
            AdapterError: it isn't known whether the engine accepted it.
        """


class RolesLoop(runtime.Loop):
    """Keeps each service's engines near the wanted mix of roles."""

    # Each iteration asks the lease anew, and engines keep the roles that they have.
    tolerated_failures = runtime.MAX_FAILURES_IN_A_ROW

    def __init__(
        self,
        dispatch: _dispatch_task.DispatchTask,
        lease: authority.OnDemandLease,
        log: LeaseLog,
        orders: Orders,
        eras: positions.Eras,
        enabled: Callable[[], bool] = lambda: True,
        standing: _standing_lease.StandingLease | None = None,
        orders_replicas: bool = False,
    ) -> None:
        """Creates the loop.

        Args:
            dispatch: provides the engines and holds back their calls.
            lease: lease protocol of this process.
            log: stores the lease; used by this loop only.
            orders: sends orders to engines.
            eras: the known era of the log.
            enabled: returns whether this front takes part; in a large fleet only a
                few do, and none that is stopping. One that no longer does releases
                the lease.
            standing: the lease of a front with duties, which orders need then in place
                of `lease`.
            orders_replicas: whether fronts order replicas of scalable services.
        """
        super().__init__()
        self._dispatch = dispatch
        self._lease = lease
        self._log = log
        self._orders = orders
        self._eras = eras
        self._enabled = enabled
        self._standing = standing
        self._orders_replicas = orders_replicas
        self._planners: dict[str, fleet.RolePlanner] = collections.defaultdict(
            fleet.RolePlanner
        )
        self._due_since: float | None = None
        self._ordered_at = 0.0

    def run_once(self) -> None:
        """Sends at most one role order."""
        if not self._enabled():
            self._due_since = None
            self._run_safely(self._release)
            self.pause(INACTIVE_POLL_INTERVAL_S)
            return
        try:
            view = self._dispatch.ask(_messages.GetEngines()).result(DISPATCH_TIMEOUT_S)
        except futures.TimeoutError:
            logging.warning("dispatcher did not return the engines in time")
            return
        change = self._due_change(view)
        if change is None:
            self._run_safely(self._release)
        else:
            self._run_safely(lambda: self._execute(change))
        self.pause(POLL_INTERVAL_S)

    def _run_safely(self, step: Callable[[], None]) -> None:
        try:
            step()
        except (errors.AdapterError, authority.AuthorityError) as exc:
            logging.warning("role change postponed: %s", exc)

    def _due_change(self, view: _messages.EnginesView) -> fleet.RoleChange | None:
        now = runtime.now()
        changes = []
        for service, targets in view.engines.items():
            planner = self._planners[service]
            planner.scaled = self._orders_replicas and service in view.scalable
            planner.observe(targets, now, view.loads)
            changes.append(planner.plan(targets, view.loads, now))
        due = [change for change in changes if change is not None]
        if not due:
            self._due_since = None
            return None
        if self._due_since is None:
            self._due_since = now
        if self._follows(view) and now - self._due_since < FOLLOWER_DELAY_S:
            return None
        return due[0]

    def _follows(self, view: _messages.EnginesView) -> bool:
        """Returns whether another front is to send the order first."""
        if self._standing is not None:
            return self._held() is None
        return not view.has_lowest_name

    def _execute(self, change: fleet.RoleChange) -> None:
        held = self._held() or self._acquire()
        if held is None:
            return
        state = self._orders.state(change.target)
        if state.busy or state.role is change.role:
            return
        self._dispatch.post(
            _messages.HoldTarget(name=change.target.name, duration_s=TARGET_HOLD_S)
        )
        self.pause(HOLD_PROPAGATION_S)
        self._send_order(change, state, held)

    def _held(self) -> authority.Authority | None:
        if self._standing is not None:
            return self._standing.authority()
        return self._lease.authority(runtime.now(), self._eras.current)

    def _send_order(self, change, state: RoleState, held: authority.Authority) -> None:
        now = runtime.now()
        if self._held() is None or not held.allows(now, ORDER_DURATION_S):
            return
        self._planners[change.target.service].ordered(change, now)
        self._ordered_at = now
        if self._standing is not None:
            self._standing.note_sent()
        outcome = "unknown"
        try:
            accepted = self._orders.order(change, state.sequence, held)
            outcome = "taken" if accepted else "refused"
        finally:
            telemetry.log_event(
                "order",
                target=change.target.name,
                role=change.role.value,
                token=held.token,
                sequence=state.sequence,
                outcome=outcome,
            )

    def _acquire(self) -> authority.Authority | None:
        if self._standing is not None:
            return None
        end, record = self._log.read()
        self._lease.record_log_end(runtime.now(), end, record, self._eras.since)
        sent_at = runtime.now()
        claim = self._lease.acquire(sent_at)
        if claim is None:
            return None
        position = self._log.append(claim)
        if position is None:
            logging.info("lease was acquired by another front")
            return None
        self._lease.acquired(claim, sent_at, position, runtime.now())
        held = self._held()
        if held is None:
            logging.info("lease was acquired in an era that has ended")
        else:
            logging.info("lease acquired, token %d", held.token)
        return held

    def _release(self) -> None:
        now = runtime.now()
        if self._standing is not None or self._held() is None:
            return
        if now - self._ordered_at < self._lease.settle_s:
            return
        claim = self._lease.release(now, self._eras.current)
        if claim is not None:
            self._log.append(claim)
            logging.info("lease released")
