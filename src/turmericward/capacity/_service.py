"""The capacity of one service in the term of one holder."""

import collections
import math

import attrs

from turmericward import duties, telemetry
from turmericward.capacity import _demand, _mix, _orders, _steps, _view

# Time constant with which the number of replicas follows a lower load: what prompts
# share is cached at fewer engines then, so that the load of the rest rises.
SHRINK_S = 500.0
# Beyond the boot time, what a previous holder ordered may take so long to be announced.
HANDOVER_S = 1.0
# How long the return of replicas waits for roles to be changed.
MAX_ROLE_WAIT_S = 20.0


class ServiceCapacity:
    """What the holder knows of a service; times are monotonic seconds."""

    def __init__(self, name: str, since: float, *, handed_over: bool = True) -> None:
        """Starts without knowledge.

        Args:
            name: name of the service.
            since: when the term began, or the service was first seen in it.
            handed_over: whether replicas ordered by a previous holder may follow.
        """
        self._handed_over = handed_over
        self._name = name
        self._since = since
        self._demand = _demand.DemandTracker()
        self._states: collections.defaultdict[_mix.Pool, _orders.OrderState]
        self._states = collections.defaultdict(_orders.OrderState)
        self._live: collections.Counter[_mix.Pool] = collections.Counter()
        self._view: _view.ServiceView | None = None
        self._boot_s = 0.0
        # Replicas needed: at first those found, kept until the load is known.
        self._total = 0.0
        self._observed_at = since
        self._fell_at: dict[str, float] = {}
        self._roles_wait_since: float | None = None
        # Share of prefill engines when the replicas were last as planned.
        self._prefill_share: float | None = None
        self._sample = _demand.Sample(slots=0.0, prefill=0.0, late_s=0.0)
        self._need = _mix.Need(total=0)

    def observe(self, view: _view.ServiceView, now: float) -> None:
        """Takes the announced replicas and their load."""
        self._view = view
        self._boot_s = view.scaling.boot_s
        self._sample = _demand.sample(view)
        live = collections.Counter(
            _mix.Pool(domain=r.target.domain, spot=r.target.spot) for r in view.serving
        )
        self._demand.observe(
            self._sample,
            view.scaling.boot_s,
            now,
            is_short=live.total() < self._need.total,
        )
        if any(self._states[pool].is_unknown(live[pool]) for pool in live):
            # Not all replicas were known yet; the front may have just started.
            self._since = now
        if self._may_others_follow(now):
            self._total = max(self._total, _carrying(live))
        for pool in {*self._live, *live}:
            found = self._states[pool].check(self._live[pool], live[pool], now)
            if found:
                self._log_short(pool, found, live[pool])
        self._live = live
        self._need = self._needed(now)

    def _may_others_follow(self, now: float) -> bool:
        """Returns whether replicas may still appear that this holder didn't order."""
        wait_s = HANDOVER_S
        if self._handed_over:
            wait_s += self._boot_s
        return now - self._since < wait_s

    def _log_short(self, pool: _mix.Pool, found: str, live: int) -> None:
        telemetry.log_event(
            "capacity_short",
            service=self._name,
            domain=pool.domain,
            spot=pool.spot,
            found=found,
            before=self._live[pool],
            live=live,
        )

    def forget_view(self) -> None:
        """Stops orders until the next `observe`."""
        self._view = None

    def _needed(self, now: float) -> _mix.Need:
        busy = self._demand.busy_replicas
        if self._demand.is_known(now):
            self._total *= math.exp((self._observed_at - now) / SHRINK_S)
        self._observed_at = now
        need = _mix.Need.of_load(busy, self._total)
        self._total = max(self._total, busy / _mix.UTILIZATION)
        return need

    def next_step(self, now: float) -> _steps.Step | None:
        """Returns the order that is due, None if there is none."""
        view = self._view
        if view is None or self._may_others_follow(now):
            return None
        if not self._states:
            # No replica has ever been announced: the directory isn't known.
            return None
        situation = self._situation(view, now)
        step = _steps.next_step(situation, now)
        if step is None:
            step = self._step_without_roles(situation, now)
        else:
            self._roles_wait_since = None
        if step is not None and step.count < step.before:
            self._fell_at[step.pool.domain] = now
        return step

    def _step_without_roles(
        self, situation: _steps.Situation, now: float
    ) -> _steps.Step | None:
        """Returns the order that has waited too long for engines to change roles."""
        step = _steps.next_step(attrs.evolve(situation, check_roles=False), now)
        if step is None:
            self._roles_wait_since = None
            return None
        if self._roles_wait_since is None:
            self._roles_wait_since = now
        return step if now - self._roles_wait_since >= MAX_ROLE_WAIT_S else None

    def _situation(self, view: _view.ServiceView, now: float) -> _steps.Situation:
        domains = set(view.scaling.domain_prices)
        domains |= {s.domain for s in self._states}
        pools = [_mix.Pool(domain=d, spot=s) for d in domains for s in (True, False)]
        limits = {s: self._live[s] for s in pools if self._states[s].is_limited(now)}
        planned = _mix.plan(self._need, view.scaling, domains, limits)
        engines = tuple(r.target for r in view.serving if r.target.role)
        as_planned = all(self._live[s] == count for s, count in planned.items())
        if engines and (as_planned or self._prefill_share is None):
            self._prefill_share = sum(not t.can_decode for t in engines) / len(engines)
        return _steps.Situation(
            scaling=view.scaling,
            live={s: self._live[s] for s in planned},
            planned=planned,
            states=self._states,
            engines=engines,
            prefill_share=self._prefill_share or 0.0,
            fell_at=self._fell_at,
            gentle=self._demand.has_traffic,
        )

    def inputs(self) -> dict[str, float]:
        """Returns what the latest decision was based on, for the log."""
        return {
            "slots": round(self._sample.slots, 2),
            "prefill": round(self._sample.prefill, 2),
            "late_s": round(self._sample.late_s, 3),
            "busy": round(self._demand.busy_replicas, 2),
            "correction": round(self._demand.correction, 2),
            "live": self._live.total(),
            "needed": self._need.total,
        }

    def record_outcome(
        self, call: duties.CapacityOrder, outcome: duties.Outcome, now: float
    ) -> None:
        """Records what became of an order."""
        pool = _mix.Pool(domain=call.domain, spot=call.spot)
        self._states[pool].record(call.count, outcome, self._boot_s, now)


def _carrying(live: collections.Counter[_mix.Pool]) -> int:
    """Returns how many of the replicas found at the start of a term are needed.

    The previous holder may have been replacing them: then most are there twice. If it
    ordered others since there were no spot replicas, the load alone shows the need.
    """
    spot = sum(count for pool, count in live.items() if pool.spot)
    steady = live.total() - spot
    domains = len({pool.domain for pool in live})
    kept = max(domains, int(_mix.STEADY_SHARE * spot))
    return max(steady, spot + min(steady, kept))
