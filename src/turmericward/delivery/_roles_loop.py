"""Loop that has engines change their role, as the one holder of a lease."""

import collections
from collections.abc import Callable
from concurrent import futures
from typing import Protocol

import attrs
from absl import logging

from turmericward import authority, fleet, runtime, telemetry
from turmericward.adapters import errors
from turmericward.delivery import _dispatch_task, _messages

STEP_S = 0.5
IDLE_S = 2.0
ASK_S = 2.0
# How much longer the other fronts wait than the first one.
FOLLOWER_DELAY_S = 4.0
# Fronts send a target nothing for this long, or until it announces the role.
HOLD_S = 8.0
# For the other fronts to hear of the hold before the order is sent.
TELL_S = 0.05
ORDER_S = 1.0


@attrs.frozen(kw_only=True)
class RoleState:
    """What an engine says of itself; `sequence` counts the orders it took."""

    role: fleet.EngineRole
    busy: bool
    sequence: int


class LeaseLog(Protocol):
    """Where the lease is kept."""

    def read(self) -> tuple[int, authority.Record | None]:
        """Returns the log's end and its newest record.

        Raises:
            LogUnavailableError: no good answer came.
        """

    def append(self, claim: authority.Claim) -> int | None:
        """Appends a claim; returns its offset, None if the log went on.

        Raises:
            LogUnavailableError: it isn't known whether the claim stands.
        """


class Orders(Protocol):
    """Sends orders to engines."""

    def state(self, target: fleet.Target) -> RoleState:
        """Asks an engine for its state.

        Raises:
            AdapterError: no good answer came.
        """

    def order(
        self, change: fleet.RoleChange, sequence: int, held: authority.Authority
    ) -> bool:
        """Orders a change if the engine's sequence is still the given one.

        Returns:
            Whether the engine took the order.

        Raises:
            AuthorityLapsedError: the order wasn't sent whole.
            AdapterError: it isn't known whether the engine took it.
        """


class RolesLoop(runtime.Loop):
    """Watches the composition of each service's engines."""

    def __init__(
        self,
        dispatch: _dispatch_task.DispatchTask,
        lease: authority.BriefLease,
        log: LeaseLog,
        orders: Orders,
        asks: Callable[[], bool] = lambda: True,
    ) -> None:
        """Creates the loop.

        Args:
            dispatch: knows the targets and holds them.
            lease: the protocol of this process.
            log: where the lease is kept; used by this loop alone.
            orders: sends orders.
            asks: tells whether this front takes part; of many only few do.
        """
        super().__init__()
        self._dispatch = dispatch
        self._lease = lease
        self._log = log
        self._orders = orders
        self._asks = asks
        self._planners: dict[str, fleet.RolePlanner] = collections.defaultdict(
            fleet.RolePlanner
        )
        self._due_since: float | None = None
        self._ordered_at = 0.0

    def step(self) -> None:
        """Sends at most one order."""
        if not self._asks():
            self._due_since = None
            self.pause(IDLE_S)
            return
        try:
            view = self._dispatch.ask(_messages.GetEngines()).result(ASK_S)
        except futures.TimeoutError:
            logging.warning("dispatcher gives no view of engines")
            return
        change = self._due(view)
        try:
            if change is not None:
                self._carry_out(change)
            else:
                self._release()
        except errors.AdapterError as exc:
            logging.warning("role change is put off: %s", exc)
        self.pause(STEP_S)

    def _due(self, view: _messages.EnginesView) -> fleet.RoleChange | None:
        now = runtime.now()
        changes = []
        for service, targets in view.engines.items():
            planner = self._planners[service]
            planner.observe(targets, now, view.loads)
            changes.append(planner.plan(targets, view.loads, now))
        due = [change for change in changes if change is not None]
        if not due:
            self._due_since = None
            return None
        if self._due_since is None:
            self._due_since = now
        if not view.first and now - self._due_since < FOLLOWER_DELAY_S:
            return None
        return due[0]

    def _carry_out(self, change: fleet.RoleChange) -> None:
        held = self._lease.authority(runtime.now()) or self._acquire()
        if held is None:
            return
        state = self._orders.state(change.target)
        if state.busy or state.role is change.role:
            return
        self._dispatch.post(
            _messages.HoldTarget(name=change.target.name, until_s=HOLD_S)
        )
        self.pause(TELL_S)
        self._send(change, state, held)

    def _send(self, change, state: RoleState, held: authority.Authority) -> None:
        now = runtime.now()
        if not held.allows(now, ORDER_S):
            return
        self._planners[change.target.service].ordered(change, now)
        self._ordered_at = now
        outcome = "unknown"
        try:
            taken = self._orders.order(change, state.sequence, held)
            outcome = "taken" if taken else "refused"
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
        end, record = self._log.read()
        self._lease.read(runtime.now(), end, record)
        sent_at = runtime.now()
        claim = self._lease.acquire(sent_at)
        if claim is None:
            return None
        offset = self._log.append(claim)
        if offset is None:
            logging.info("lease was taken by another front")
            return None
        self._lease.acquired(claim, sent_at, offset, runtime.now())
        held = self._lease.authority(runtime.now())
        logging.info("lease is held, token %d", offset + 1)
        return held

    def _release(self) -> None:
        now = runtime.now()
        if self._lease.authority(now) is None:
            return
        if now - self._ordered_at < self._lease.settle_s:
            return
        claim = self._lease.release(now)
        if claim is not None:
            self._log.append(claim)
            logging.info("lease is released")
