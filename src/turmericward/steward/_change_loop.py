"""Loop in which the holder carries out changes of engines, one at a time."""

import enum
import random
import time
from concurrent import futures

from absl import logging

from turmericward import authority, runtime
from turmericward.adapters import engine, errors, steward
from turmericward.steward import _messages
from turmericward.wire import ttypes

IDLE_S = 0.2
SETTLE_S = 0.05
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.5
HOLD_CALL_S = 2.0
DRAIN_LIMIT_S = 900.0
ASK_S = 10.0
HOLD_THREADS = 8


class _Held(enum.Enum):
    """What became of a hold at the members."""

    CONFIRMED = "confirmed"
    WAITING = "waiting"
    REFUSED = "refused"


class ChangeLoop(runtime.Loop):
    """Drains an engine, orders it into its state and settles the outcome.

    Each step is taken only while the lease is held; an engine whose order has
    no outcome yet is observed before anything else is ordered.
    """

    def __init__(self, cfg, authority_task: runtime.Task) -> None:
        """Creates the loop."""
        super().__init__()
        self._cfg = cfg
        self._authority = authority_task
        self._next = 0
        self._deliverable_until: dict[str, float] = {}
        self._random = random.Random(cfg.instance.name)
        self._executor = futures.ThreadPoolExecutor(
            max_workers=HOLD_THREADS, thread_name_prefix="hold"
        )

    def step(self) -> None:
        """Looks after one engine of the domain, if this process holds the lease."""
        plan = self._plan()
        if plan.held is None or not plan.held.allows(time.monotonic()):
            self.pause(IDLE_S)
            return
        for name, order in plan.outstanding.items():
            self._hold(name, [])
            self._settle(plan.engines[name], order)
        free = [e for n, e in plan.engines.items() if n not in plan.outstanding]
        if free:
            self._next = (self._next + 1) % len(free)
            self._change(free[self._next])
        self.pause(IDLE_S)

    def _plan(self) -> _messages.Plan:
        return self._authority.ask(_messages.GetPlan()).result(ASK_S)

    def _control(self, desired: _messages.DesiredEngine) -> engine.EngineControl:
        return engine.EngineControl(desired.address, self._cfg.steward.order_timeout_s)

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
        """Concludes an order from the engine's state; tells whether it has one."""
        state = self._observe(desired)
        if state is None:
            return False
        phase = authority.phase_of(order, state)
        if phase is None or self._may_still_arrive(order, phase):
            return True
        conclude = _messages.Conclude(order=order, phase=phase)
        if self._authority.ask(conclude).result(ASK_S):
            self._deliverable_until.pop(order.id, None)
            logging.info("order %s of %s: %s", order.id, order.engine, phase.value)
        return True

    def _may_still_arrive(self, order, phase: authority.OrderPhase) -> bool:
        """Tells whether the kernel may yet deliver it: another could cross it."""
        until = self._deliverable_until.get(order.id, 0.0)
        return phase is authority.OrderPhase.VOID and time.monotonic() < until

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
        """Holds the engine until it is idle and orders it; tells whether it did."""
        give_up = time.monotonic() + DRAIN_LIMIT_S
        while time.monotonic() < give_up and not self.stopping:
            plan = self._plan()
            if plan.held is None or plan.engines.get(desired.name) != desired:
                return False
            held_until = time.monotonic() + self._cfg.steward.hold_ttl_s
            held = self._hold(desired.name, hold_ids)
            if held is _Held.REFUSED:
                # Nobody may use the engine while it is held: come back later.
                self.pause(self._random.uniform(MIN_BACKOFF_S, MAX_BACKOFF_S))
                return False
            if held is _Held.CONFIRMED and self._idle(desired):
                return self._order(desired, held_until)
            self.pause(IDLE_S)
        return False

    def _await_change(self, desired, hold_ids: list[str]) -> None:
        """Keeps the engine held until its order is settled or it goes silent."""
        hold_again = time.monotonic()
        silent_at = time.monotonic() + self._cfg.steward.hold_ttl_s
        while time.monotonic() < silent_at and not self.stopping:
            plan = self._plan()
            order = plan.outstanding.get(desired.name)
            if plan.held is None or order is None:
                return
            if time.monotonic() >= hold_again:
                self._hold(desired.name, hold_ids)
                hold_again = time.monotonic() + self._cfg.steward.hold_ttl_s / 2
            if self._settle(desired, order):
                silent_at = time.monotonic() + self._cfg.steward.hold_ttl_s
            self.pause(SETTLE_S)

    def _idle(self, desired) -> bool:
        state = self._observe(desired)
        return state is not None and not state.changing and state.running == 0

    def _order(self, desired, held_until: float) -> bool:
        """Logs the intent and sends the order; tells whether it may have."""
        intend = _messages.Intend(engine=desired.name, spec=desired.spec)
        if not self._authority.ask(intend).result(ASK_S):
            return False
        plan = self._plan()
        order = plan.outstanding.get(desired.name)
        need_s = self._cfg.steward.order_timeout_s
        if order is None or plan.held is None or order.token != plan.held.token:
            return False
        if time.monotonic() + need_s > held_until:
            logging.warning("hold on %s ends too early for an order", desired.name)
            return True
        self._deliverable_until[order.id] = plan.held.until
        try:
            taken = self._control(desired).order(order.id, desired.spec, plan.held)
            logging.info("order %s to %s taken: %s", order.id, desired.name, taken)
        except errors.AdapterError as exc:
            logging.warning("order %s to %s: %s", order.id, desired.name, exc)
        return True

    def _hold(self, name: str, hold_ids: list[str]) -> "_Held":
        """Places a new hold at every member and adds its id to `hold_ids`.

        Each round is a new hold: a confirmation of an older one says nothing
        about an entry that was paused until after the older one had ended.
        """
        members = self._plan().members
        hold_ids.append(runtime.new_id())
        ttl_ms = int(self._cfg.steward.hold_ttl_s * 1000)
        hold = ttypes.Hold(engine=name, hold_id=hold_ids[-1], ttl_ms=ttl_ms)
        futs = [self._executor.submit(self._hold_at, m, hold) for m in members]
        found = {fut.result() for fut in futs}
        if not found or _Held.REFUSED in found:
            return _Held.REFUSED
        return _Held.WAITING if _Held.WAITING in found else _Held.CONFIRMED

    def _release(self, hold_ids: list[str]) -> None:
        for member in self._plan().members:
            self._executor.submit(self._release_at, member, hold_ids)

    def _release_at(self, member, hold_ids: list[str]) -> None:
        try:
            with steward.connected(self._address(member), HOLD_CALL_S) as client:
                client.release(hold_ids)
        except errors.StewardUnavailableError as exc:
            logging.info("holds end by their time: %s", exc)

    def _address(self, member) -> str:
        return f"{member.address}:{self._cfg.steward.port}"

    def _hold_at(self, member, hold: ttypes.Hold) -> "_Held":
        try:
            with steward.connected(self._address(member), HOLD_CALL_S) as client:
                answer = client.hold(hold)
        except errors.StewardUnavailableError as exc:
            logging.info("hold on %s postponed: %s", hold.engine, exc)
            return _Held.REFUSED
        if answer.refused:
            logging.info("hold on %s postponed: %s", hold.engine, answer.refused)
            return _Held.REFUSED
        if not answer.confirmed:
            logging.debug("hold on %s waits for %s", hold.engine, answer.missing)
            return _Held.WAITING
        return _Held.CONFIRMED

    def closed(self) -> None:
        """Ends the executor's threads."""
        self._executor.shutdown(wait=False)
