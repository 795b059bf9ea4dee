"""Groups calls that were late or lost by outcome and first cause.

A cause is a named rule on the trace of one call. The first rule that matches counts,
so rules about early events come before rules about their consequences.
"""

import collections
from collections.abc import Callable, Iterable

import attrs

from turmericward.programs import _traces

# A first output counts as slow from this multiple of the expected delay.
SLOW_FACTOR = 1.5
OTHER = "other"
UNREADABLE_CAUSE = "malformed log line"

_Rule = Callable[[_traces.CallTrace], bool]
_CAUSES: dict[str, _Rule] = {}


def _cause(name: str):
    """Registers a rule under `name`; rules apply in the order of this module."""

    def register(rule: _Rule) -> _Rule:
        _CAUSES[name] = rule
        return rule

    return register


@_cause("retry budget empty")
def _retry_budget_empty(trace: _traces.CallTrace) -> bool:
    return trace.reply.get("stopped") == "retry_budget"


@_cause("target silent")
def _target_silent(trace: _traces.CallTrace) -> bool:
    return bool(trace.events("attempt_late"))


@_cause("target failed")
def _target_failed(trace: _traces.CallTrace) -> bool:
    return any(line["outcome"] == "failed" for line in trace.events("attempt"))


@_cause("target not reached")
def _not_reached(trace: _traces.CallTrace) -> bool:
    return any(line["outcome"] == "not_reached" for line in trace.events("attempt"))


@_cause("target refused")
def _target_refused(trace: _traces.CallTrace) -> bool:
    return any(line["outcome"] == "refused" for line in trace.events("attempt"))


@_cause("no target")
def _no_target(trace: _traces.CallTrace) -> bool:
    return trace.reply.get("reason") in ("no_target", "targets_rest")


@_cause("limits used up")
def _limits_used_up(trace: _traces.CallTrace) -> bool:
    return trace.reply.get("reason") == "targets_limited"


@_cause("above its share")
def _above_share(trace: _traces.CallTrace) -> bool:
    return trace.reply.get("reason") == "above_share"


@_cause("expected wait")
def _overloaded(trace: _traces.CallTrace) -> bool:
    return trace.reply.get("reason") == "overloaded"


@_cause("front's log ends")
def _log_ends(trace: _traces.CallTrace) -> bool:
    return trace.outcome is _traces.Outcome.INCOMPLETE_LOG


@_cause("pause between events")
def _late_event(trace: _traces.CallTrace) -> bool:
    return trace.outcome is _traces.Outcome.LATE and not trace.first_late


@_cause("deferred")
def _deferred(trace: _traces.CallTrace) -> bool:
    return any(line.get("deferred") for line in trace.events("placed"))


@_cause("waited at a limited target")
def _waited_at_limited_target(trace: _traces.CallTrace) -> bool:
    return any(line.get("start_after_s") for line in trace.events("placed"))


@_cause("hand-over waited")
def _slow_hand_off(trace: _traces.CallTrace) -> bool:
    placed, began = trace.events("placed"), trace.events("began")
    separate_prefill = bool(placed) and bool(placed[0].get("prefill_only"))
    if not separate_prefill or not began or _is_slow(placed[0], began[0]):
        return False
    return len(began) < 2 or _is_slow(placed[1], began[1])


@_cause("slower than expected")
def _slower_than_expected(trace: _traces.CallTrace) -> bool:
    placed, began = trace.events("placed"), trace.events("began")
    if len(began) < len(placed):
        return True
    return any(map(_is_slow, placed, began))


def _is_slow(placed: dict, began: dict) -> bool:
    return began["took_s"] > SLOW_FACTOR * placed["expected_s"]


def first_cause(trace: _traces.CallTrace) -> str:
    """Returns the name of the first matching cause."""
    return next((name for name, rule in _CAUSES.items() if rule(trace)), OTHER)


@attrs.frozen(kw_only=True, order=True)
class Group:
    """Calls with the same route, domain, outcome and first cause."""

    route: str
    domain: str
    outcome: str
    cause: str


@attrs.define(kw_only=True)
class Losses:
    """Number of all calls by route, and of late or lost ones by group and by second."""

    calls_by_route: collections.Counter[str] = attrs.field(factory=collections.Counter)
    groups: collections.Counter[Group] = attrs.field(factory=collections.Counter)
    seconds: collections.Counter[tuple[int, str]] = attrs.field(
        factory=collections.Counter
    )


def count_losses(lines: Iterable[str]) -> Losses:
    """Counts the calls in the logs of many fronts by how they ended."""
    losses = Losses()
    for trace in _traces.call_traces(lines):
        route = str(trace.route)
        losses.calls_by_route[route] += 1
        outcome, cause = _classify(trace)
        if outcome is _traces.Outcome.ON_TIME:
            continue
        group = Group(
            route=route,
            domain=str(trace.domain),
            outcome=outcome.value,
            cause=cause,
        )
        losses.groups[group] += 1
        losses.seconds[trace.second, outcome.value] += 1
    return losses


def _classify(trace: _traces.CallTrace) -> tuple[_traces.Outcome, str]:
    """Returns outcome and first cause of a call."""
    try:
        outcome = trace.outcome
        if outcome is _traces.Outcome.ON_TIME:
            return outcome, ""
        return outcome, first_cause(trace)
    # The lines may come from another program, or from another version of this one.
    except Exception:
        return _traces.Outcome.UNREADABLE, UNREADABLE_CAUSE


def as_json(losses: Losses) -> dict:
    """Returns the losses as a JSON-serializable dictionary."""
    return {
        "asked": dict(losses.calls_by_route),
        "groups": [
            attrs.asdict(group) | {"calls": count}
            for group, count in sorted(losses.groups.items())
        ],
        "seconds": [
            {"second": second, "outcome": outcome, "calls": count}
            for (second, outcome), count in sorted(losses.seconds.items())
        ],
    }


def table(losses: Losses, *, by_domain: bool = False) -> list[str]:
    """Returns a line for each group of calls, the largest first.

    Args:
        losses: counts to print.
        by_domain: whether failure domains are counted separately.
    """
    counts: collections.Counter[Group] = collections.Counter()
    for group, count in losses.groups.items():
        domain = group.domain if by_domain else "all"
        counts[attrs.evolve(group, domain=domain)] += count
    rows = [f"{'calls':>6} {'of route':>8}  outcome, first cause, route, domain"]
    for group, count in counts.most_common():
        share = count / losses.calls_by_route[group.route]
        rows.append(
            f"{count:>6} {share:>8.3f}  {group.outcome}, {group.cause}, "
            f"{group.route or '?'}, {group.domain or '?'}"
        )
    return rows
