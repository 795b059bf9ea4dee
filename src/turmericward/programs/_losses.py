"""Sorts the calls that earned less than they could by outcome and first cause.

A cause is a rule on one call's trail, registered by name; the first that holds
counts, so that rules on what happened early go before those on what followed.
"""

import collections
from collections.abc import Callable, Iterable

import attrs

from turmericward.programs import _trails

# A wait that was this much longer than expected was not foreseen.
UNFORESEEN = 1.5
OTHER = "other"

_Rule = Callable[[_trails.Trail], bool]
_CAUSES: dict[str, _Rule] = {}


def _cause(name: str):
    """Registers a rule; rules are tried in the order of this module."""

    def register(rule: _Rule) -> _Rule:
        _CAUSES[name] = rule
        return rule

    return register


@_cause("retry budget empty")
def _no_retry(trail: _trails.Trail) -> bool:
    return trail.reply.get("stopped") == "retry_budget"


@_cause("target failed")
def _target_failed(trail: _trails.Trail) -> bool:
    return any(line["outcome"] == "failed" for line in trail.named("attempt"))


@_cause("target not reached")
def _not_reached(trail: _trails.Trail) -> bool:
    return any(line["outcome"] == "not_reached" for line in trail.named("attempt"))


@_cause("target refused")
def _target_refused(trail: _trails.Trail) -> bool:
    return any(line["outcome"] == "refused" for line in trail.named("attempt"))


@_cause("no target")
def _no_target(trail: _trails.Trail) -> bool:
    return trail.reply.get("reason") in ("no_target", "targets_rest")


@_cause("expected wait")
def _overloaded(trail: _trails.Trail) -> bool:
    return trail.reply.get("reason") == "overloaded"


@_cause("front's log ends")
def _log_ends(trail: _trails.Trail) -> bool:
    return trail.outcome is _trails.Outcome.CUT


@_cause("pause between events")
def _pause(trail: _trails.Trail) -> bool:
    return trail.outcome is _trails.Outcome.LATE and not trail.first_late


@_cause("deferred")
def _deferred(trail: _trails.Trail) -> bool:
    return any(line.get("deferred") for line in trail.named("placed"))


@_cause("hand-over waited")
def _hand_over(trail: _trails.Trail) -> bool:
    placed, began = trail.named("placed"), trail.named("began")
    read_apart = bool(placed) and bool(placed[0].get("prefill_only"))
    if not read_apart or not began or _took_long(placed[0], began[0]):
        return False
    return len(began) < 2 or _took_long(placed[1], began[1])


@_cause("slower than expected")
def _unforeseen(trail: _trails.Trail) -> bool:
    placed, began = trail.named("placed"), trail.named("began")
    if len(began) < len(placed):
        return True
    return any(map(_took_long, placed, began))


def _took_long(placed: dict, began: dict) -> bool:
    return began["took_s"] > UNFORESEEN * placed["expected_s"]


def first_cause(trail: _trails.Trail) -> str:
    """Returns the name of the first cause that holds."""
    return next((name for name, rule in _CAUSES.items() if rule(trail)), OTHER)


@attrs.frozen(kw_only=True, order=True)
class Group:
    """Calls with the same fate."""

    route: str
    domain: str
    outcome: str
    cause: str


@attrs.define(kw_only=True)
class Losses:
    """Calls by route, and those that weren't on time by group and second."""

    asked: collections.Counter[str] = attrs.field(factory=collections.Counter)
    groups: collections.Counter[Group] = attrs.field(factory=collections.Counter)
    seconds: collections.Counter[tuple[int, str]] = attrs.field(
        factory=collections.Counter
    )


def losses(lines: Iterable[str]) -> Losses:
    """Returns what became of all calls in the logs of many fronts."""
    found = Losses()
    for trail in _trails.trails(lines):
        found.asked[trail.route] += 1
        outcome = trail.outcome
        if outcome is _trails.Outcome.ON_TIME:
            continue
        group = Group(
            route=trail.route,
            domain=trail.domain,
            outcome=outcome.value,
            cause=first_cause(trail),
        )
        found.groups[group] += 1
        found.seconds[trail.second, outcome.value] += 1
    return found


def as_json(found: Losses) -> dict:
    """Returns the losses as values that JSON can hold."""
    return {
        "asked": dict(found.asked),
        "groups": [
            attrs.asdict(group) | {"calls": count}
            for group, count in sorted(found.groups.items())
        ],
        "seconds": [
            {"second": second, "outcome": outcome, "calls": count}
            for (second, outcome), count in sorted(found.seconds.items())
        ],
    }


def table(found: Losses, *, by_domain: bool = False) -> list[str]:
    """Returns a line for each group of calls, the largest first.

    Args:
        found: the losses.
        by_domain: whether failure domains are told apart.
    """
    counts: collections.Counter[Group] = collections.Counter()
    for group, count in found.groups.items():
        domain = group.domain if by_domain else "all"
        counts[attrs.evolve(group, domain=domain)] += count
    rows = [f"{'calls':>6} {'of route':>8}  outcome, first cause, route, domain"]
    for group, count in counts.most_common():
        share = count / found.asked[group.route]
        rows.append(
            f"{count:>6} {share:>8.3f}  {group.outcome}, {group.cause}, "
            f"{group.route or '?'}, {group.domain or '?'}"
        )
    return rows
