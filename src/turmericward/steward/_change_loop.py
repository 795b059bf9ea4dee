"""Loop in which the lease holder changes engines' state, one engine at a time."""

import enum
import random
import time
from concurrent import futures

from absl import logging

from turmericward import authority, runtime
from turmericward.adapters import engine_control, errors, steward
from turmericward.steward import _messages
from turmericward.wire import ttypes

POLL_INTERVAL_S = 0.2
SETTLE_POLL_INTERVAL_S = 0.05
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.5
HOLD_TIMEOUT_S = 2.0
MAX_DRAIN_S = 900.0
ASK_TIMEOUT_S = 10.0
HOLD_THREADS = 8


class _HoldResult(enum.Enum):
    """Result of placing a hold at one instance, or at all that have entries."""

    CONFIRMED = "confirmed"
    WAITING = "waiting"
    REFUSED = "refused"


class ChangeLoop(runtime.Loop):
    """Drains an engine, orders its desired state and records the outcome.

    Each step runs only while the lease is held. An engine whose order has no
    outcome yet is observed before it gets another order.
    """

    def __init__(self, cfg, authority_task: runtime.Task) -> None:
        """Creates the loop; it gets the lease and the plan from `authority_task`."""
        super().__init__()
        self._cfg = cfg
        self._authority = authority_task
        self._next_index = 0
        self._deliverable_until: dict[str, float] = {}
        self._random = random.Random(cfg.instance.name)
        self._executor = futures.ThreadPoolExecutor(
            max_workers=HOLD_THREADS, thread_name_prefix="hold"
        )

    def run_once(self) -> None:
        """Settles open orders and changes at most one engine, if it holds the lease."""
        plan = self._plan()
        if plan.held is None or not plan.held.allows(time.monotonic()):
            self.pause(POLL_INTERVAL_S)
            return
        for name, order in plan.outstanding.items():
            self._hold(name, [])
            self._settle(plan.engines[name], order)
        settled = [e for n, e in plan.engines.items() if n not in plan.outstanding]
        if settled:
            self._next_index = (self._next_index + 1) % len(settled)
            self._change(settled[self._next_index])
        self.pause(POLL_INTERVAL_S)

    def _plan(self) -> _messages.Plan:
        return self._authority.ask(_messages.GetPlan()).result(ASK_TIMEOUT_S)

    def _control(
        self, desired: _messages.DesiredEngine
    ) -> engine_control.EngineControl:
        return engine_control.EngineControl(
            desired.address, self._cfg.steward.order_timeout_s
        )

    def _observe(self, desired) -> authority.EngineState | None:
        control = self._control(desired)
        try:
            return control.state()
        except errors.AdapterError as exc:
            logging.debug("engine %s: %s", desired.name, exc)
            return None
        finally:
            control.close()

    def _settle(self, desired, order: authority.Order) -> bool:
        """Records an order's outcome; returns whether the engine reported its state."""
        state = self._observe(desired)
        if state is None:
            return False
        phase = authority.observed_phase(order, state)
        if phase is None or self._may_still_arrive(order, phase):
            return True
        outcome = _messages.AppendOutcome(order=order, phase=phase)
        if self._authority.ask(outcome).result(ASK_TIMEOUT_S):
            self._deliverable_until.pop(order.id, None)
            logging.info("order %s of %s: %s", order.id, order.engine, phase.value)
        return True

    def _may_still_arrive(self, order, phase: authority.OrderPhase) -> bool:
        """Returns whether the order may still be in transit.

        A request whose response was lost may sit in kernel buffers; a next order
        could then overtake it.
        """
        until = self._deliverable_until.get(order.id, 0.0)
        return phase is authority.OrderPhase.VOID and time.monotonic() < until

    @property
    def order_in_transit(self) -> bool:
        """Whether an order may still arrive at its engine."""
        now = time.monotonic()
        return any(until > now for until in self._deliverable_until.values())

    def _change(self, desired) -> None:
        state = self._observe(desired)
        if state is None or state.changing or state.spec == desired.spec:
            return
        hold_ids: list[str] = []
        try:
            if self._drain_and_order(desired, hold_ids):
                self._await_change(desired, hold_ids)
        finally:
            self._release(hold_ids)

    def _drain_and_order(self, desired, hold_ids: list[str]) -> bool:
        """Holds the engine until it is idle, then orders the change.

        Returns:
            Whether there is an order whose outcome to await.
        """
        deadline = time.monotonic() + MAX_DRAIN_S
        while time.monotonic() < deadline and not self.stopping:
            plan = self._plan()
            if plan.held is None or plan.engines.get(desired.name) != desired:
                return False
            held_until = time.monotonic() + self._cfg.steward.hold_ttl_s
            result = self._hold(desired.name, hold_ids)
            if result is _HoldResult.REFUSED:
                # The holds already placed block the engine: release them and
                # retry after a backoff.
                self.pause(self._random.uniform(MIN_BACKOFF_S, MAX_BACKOFF_S))
                return False
            if result is _HoldResult.CONFIRMED and self._idle(desired):
                return self._order(desired, held_until)
            self.pause(POLL_INTERVAL_S)
        return False

    def _await_change(self, desired, hold_ids: list[str]) -> None:
        """Renews the hold until the order is settled or the engine stops responding."""
        next_hold_at = time.monotonic()
        unresponsive_at = time.monotonic() + self._cfg.steward.hold_ttl_s
        while time.monotonic() < unresponsive_at and not self.stopping:
            plan = self._plan()
            order = plan.outstanding.get(desired.name)
            if plan.held is None or order is None:
                return
            if time.monotonic() >= next_hold_at:
                self._hold(desired.name, hold_ids)
                next_hold_at = time.monotonic() + self._cfg.steward.hold_ttl_s / 2
            if self._settle(desired, order):
                unresponsive_at = time.monotonic() + self._cfg.steward.hold_ttl_s
            self.pause(SETTLE_POLL_INTERVAL_S)

    def _idle(self, desired) -> bool:
        state = self._observe(desired)
        return state is not None and not state.changing and state.running == 0

    def _order(self, desired, held_until: float) -> bool:
        """Appends an intent, sends its order; returns whether to await an outcome."""
        intent = _messages.AppendIntent(engine=desired.name, spec=desired.spec)
        if not self._authority.ask(intent).result(ASK_TIMEOUT_S):
            return False
        plan = self._plan()
        order = plan.outstanding.get(desired.name)
        order_timeout_s = self._cfg.steward.order_timeout_s
        if order is None or plan.held is None or order.token != plan.held.token:
            return False
        if time.monotonic() + order_timeout_s > held_until:
            logging.warning("hold on %s ends too early for an order", desired.name)
            return True
        self._deliverable_until[order.id] = plan.held.until
        try:
            accepted = self._control(desired).order(order.id, desired.spec, plan.held)
            # An order that was answered has arrived.
            self._deliverable_until.pop(order.id, None)
            logging.info(
                "order %s to %s accepted: %s", order.id, desired.name, accepted
            )
        except errors.AdapterError as exc:
            logging.warning("order %s to %s: %s", order.id, desired.name, exc)
        return True

    def _hold(self, name: str, hold_ids: list[str]) -> "_HoldResult":
        """Places a new hold at every member and adds its id to `hold_ids`.

        Each call uses a new id. A confirmation of an earlier hold proves nothing
        about an entry that was paused until after that hold had expired.
        """
        members = self._plan().members
        hold_ids.append(runtime.new_id())
        ttl_ms = int(self._cfg.steward.hold_ttl_s * 1000)
        hold = ttypes.Hold(engine=name, hold_id=hold_ids[-1], ttl_ms=ttl_ms)
        futs = [self._executor.submit(self._hold_at, m, hold) for m in members]
        results = {fut.result() for fut in futs}
        if not results or _HoldResult.REFUSED in results:
            return _HoldResult.REFUSED
        return (
            _HoldResult.WAITING
            if _HoldResult.WAITING in results
            else _HoldResult.CONFIRMED
        )

    def _release(self, hold_ids: list[str]) -> None:
        for member in self._plan().members:
            self._executor.submit(self._release_at, member, hold_ids)

    def _release_at(self, member, hold_ids: list[str]) -> None:
        try:
            with steward.open_client(self._address(member), HOLD_TIMEOUT_S) as client:
                client.release(hold_ids)
        except errors.StewardUnavailableError as exc:
            logging.info("release failed, holds expire by their TTL: %s", exc)

    def _address(self, member) -> str:
        return f"{member.address}:{self._cfg.steward.port}"

    def _hold_at(self, member, hold: ttypes.Hold) -> "_HoldResult":
        try:
            with steward.open_client(self._address(member), HOLD_TIMEOUT_S) as client:
                answer = client.hold(hold)
        except errors.StewardUnavailableError as exc:
            logging.info("hold on %s postponed: %s", hold.engine, exc)
            return _HoldResult.REFUSED
        if answer.refused:
            logging.info("hold on %s postponed: %s", hold.engine, answer.refused)
            return _HoldResult.REFUSED
        if not answer.confirmed:
            logging.debug("hold on %s waits for %s", hold.engine, answer.missing)
            return _HoldResult.WAITING
        return _HoldResult.CONFIRMED

    def release_resources(self) -> None:
        """Shuts the executor down without waiting for calls in progress."""
        self._executor.shutdown(wait=False)
