"""Utilization of the domains from the loads of their targets."""

import collections
from collections.abc import Iterable

import attrs

from turmericward.transfer import _decision

# Average prefill queue at which the engines of a role count as full. A single long
# prompt with a cached prefix takes about 0.1 s, one without 0.35 s. With 0.4 s, a tenth
# of the long prompts that are on time without transfer are late in an overload.
FULL_QUEUE_S = 1.0


@attrs.frozen(kw_only=True)
class TargetUse:
    """Load of a target that may get calls; `role` groups those that do the same work.

    `queue_s` is the time to prefill the queued tokens at the target's speed.
    """

    domain: str
    role: str
    slots: int
    open_calls: int
    queue_s: float = 0.0


def domains_of(
    uses: Iterable[TargetUse], hold_s: float, heard: frozenset[str]
) -> list[_decision.Domain]:
    """Returns the state of each domain that has targets, in order of their names.

    Args:
        uses: load of all targets of a service that may get calls.
        hold_s: how long a call takes a slot.
        heard: domains that are heard from.
    """
    groups: dict[str, dict[str, list[TargetUse]]] = collections.defaultdict(dict)
    for use in uses:
        groups[use.domain].setdefault(use.role, []).append(use)
    return [
        _domain(name, roles, hold_s, heard=name in heard)
        for name, roles in sorted(groups.items())
    ]


def _domain(name: str, roles, hold_s: float, *, heard: bool) -> _decision.Domain:
    queues_s = [sum(u.queue_s for u in uses) / len(uses) for uses in roles.values()]
    slots = {role: sum(u.slots for u in uses) for role, uses in roles.items()}
    taken = [
        sum(u.open_calls for u in uses) / max(1, slots[role])
        for role, uses in roles.items()
    ]
    return _decision.Domain(
        name=name,
        utilization=max(*taken, max(queues_s) / FULL_QUEUE_S),
        slots=sum(slots.values()),
        hold_s=hold_s,
        queue_s=min(queues_s),
        heard=heard,
    )
