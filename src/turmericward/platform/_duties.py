"""Duties of a front on the users' platform: which ones, and the loops behind them."""

from collections.abc import Callable

import attrs
from absl import logging

from turmericward import (
    authority,
    capacity,
    dispatching,
    duties,
    metering,
    peers,
    positions,
    runtime,
)
from turmericward.platform import _duty_calls, _orders, _settings, _usage_store

# A holder that dies is replaced after term, margin and up to one poll, 7.75 s with an
# order gap of 3 s; a report is made 1.5 s after its window and due after 10 s.
TERM_S = 3.5
# Two renewals may fail, each after the store's time-out of 1 s.
RENEW_S = 1.25
POLL_S = 1.0
TICK_S = 0.2
# Beyond the order gap: bounds the drift of two clocks over one term.
MARGIN_S = 0.25
ASK_TIMEOUT_S = 0.5
USAGE = "usage"
CAPACITY = "capacity"


@attrs.frozen(kw_only=True)
class DutyContext:
    """What duties are made of: the settings and the tasks of the front."""

    settings: _settings.DutySettings
    peer_task: peers.PeerTask
    dispatch: dispatching.DispatchTask


_DUTIES: dict[str, Callable[[DutyContext], duties.Duty]] = {}


def duty(kind: str):
    """Registers the function that makes the duty of a kind in the settings."""

    def register(make):
        _DUTIES[kind] = make
        return make

    return register


@duty(USAGE)
def _usage(ctx: DutyContext) -> duties.Duty:
    def collect(window: int) -> metering.Collected:
        asked = ctx.peer_task.ask(peers.CollectUsage(window=window))
        return asked.result(ASK_TIMEOUT_S)

    return metering.UsageDuty(
        collect=collect,
        window_s=ctx.settings.usage_window_s,
        due_s=ctx.settings.usage_due_s,
    )


@duty(CAPACITY)
def _capacity(ctx: DutyContext) -> duties.Duty:
    def look() -> capacity.View | None:
        return ctx.dispatch.ask(dispatching.GetCapacity()).result(ASK_TIMEOUT_S)

    return capacity.CapacityDuty(look)


def orders_replicas(settings: _settings.DutySettings | None) -> bool:
    """Returns whether replicas of scalable services are ordered."""
    return settings is not None and CAPACITY in settings.kinds


def usage_window_s(settings: _settings.DutySettings | None) -> float | None:
    """Returns the length of the windows of metering, None without it."""
    if settings is None or USAGE not in settings.kinds:
        return None
    return settings.usage_window_s


def usage_store_loop(
    instance: _settings.InstanceSettings,
    peer_task: peers.PeerTask,
    lease: dispatching.StandingLease,
    store: _usage_store.StoredUsage,
) -> runtime.Loop:
    """Returns the loop that passes usage through the store during a cut."""
    return dispatching.UsageStoreLoop(
        instance.domain, peer_task, store, lambda: lease.authority() is not None
    )


def has_duties(settings: _settings.DutySettings | None) -> bool:
    """Returns whether the settings name any duty that this front knows."""
    return settings is not None and any(kind in _DUTIES for kind in settings.kinds)


def standing_lease(
    instance: str,
    order_gap_s: float,
    log: _orders.StoreLease,
    eras: positions.Eras,
) -> dispatching.StandingLease:
    """Returns the lease of a front with duties.

    Args:
        instance: name of the instance.
        order_gap_s: minimum time between the calls of two holders.
        log: stores the lease.
        eras: the known era of the store.
    """
    timing = authority.Timing(
        term_s=TERM_S,
        renew_s=RENEW_S,
        margin_s=order_gap_s + MARGIN_S,
        settle_s=order_gap_s + MARGIN_S,
    )
    holder = f"{instance}/{runtime.new_id()}"
    lease = authority.OnDemandLease(holder, timing, runtime.new_id)
    return dispatching.StandingLease(lease, log, eras, RENEW_S)


def loops(
    ctx: DutyContext,
    instance: str,
    lease: dispatching.StandingLease,
    drain: runtime.Drain,
    count: Callable[[str], None],
) -> list[runtime.Loop]:
    """Returns the loops that keep the lease and perform the duties.

    Args:
        ctx: what the duties are made of.
        instance: name of the instance.
        lease: the lease of this front.
        drain: the stop of the process.
        count: counts outcomes for the metrics.
    """
    unknown = [kind for kind in ctx.settings.kinds if kind not in _DUTIES]
    if unknown:
        logging.warning("duties that this version doesn't know: %s", unknown)
    known = [kind for kind in ctx.settings.kinds if kind in _DUTIES]
    return [
        dispatching.LeaseLoop(
            lease,
            # Only the relay of a domain has the usage of all.
            lambda: ctx.peer_task.reads_store and not drain.began,
            poll_s=POLL_S,
            tick_s=TICK_S,
        ),
        dispatching.DutiesLoop(
            lease,
            [_DUTIES[kind](ctx) for kind in known],
            _duty_calls.PlatformDuties(ctx.settings.address, instance),
            calls_per_s=ctx.settings.calls_per_s,
            enabled=lambda: ctx.peer_task.reads_store and not drain.began,
            count=count,
        ),
    ]
