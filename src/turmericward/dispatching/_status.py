"""What the status page and the role planner are told of the targets."""

import collections
from collections.abc import Set

from turmericward import fleet, requests
from turmericward.dispatching import _messages


def target_status(
    target: fleet.Target,
    admission: fleet.Admission,
    placer: requests.Placer,
    now: float,
) -> _messages.TargetStatus:
    """Returns the status of a target at `now` (monotonic seconds)."""
    load = placer.load(target.name)
    share = admission.limits.share(target.name)
    return _messages.TargetStatus(
        name=target.name,
        service=target.service,
        address=target.address,
        domain=target.domain,
        role=target.role.value if target.role else "",
        leaving=target.leaving,
        held=admission.is_held(target.name, now),
        rests_s=round(admission.backoffs.remaining_s(target.name, now), 3),
        limit_per_s=admission.limits.per_s(target.name),
        limit_share_per_s=None if share is None else share.per_s,
        usable=placer.health.usable(target.name, now),
        failure_share=round(placer.failure_share(target.name, now), 3),
        urgent_tokens=int(load.urgent_tokens),
        deferred_tokens=int(load.deferred_tokens),
        open_calls=load.open_calls,
    )


def engines_view(
    front: str,
    directory: fleet.Directory,
    placer: requests.Placer,
    listed_engines: Set[int],
) -> _messages.EnginesView:
    """Returns the engines in use.

    Args:
        front: name of this front.
        directory: the known targets.
        placer: knows the load of all fronts.
        listed_engines: hashes of the engines whose cache contents were listed.
    """
    targets = [t for t in directory.all() if t.role and not t.leaving]
    engines = collections.defaultdict(list)
    for target in targets:
        engines[target.service].append(target)
    return _messages.EnginesView(
        engines=dict(engines),
        loads={t.name: _engine_load(placer.load(t.name)) for t in targets},
        has_lowest_name=all(front < peer for peer in placer.peers.names()),
        listed=frozenset(
            t.name for t in targets if fleet.target_hash(t.name) in listed_engines
        ),
    )


def _engine_load(load: requests.TargetLoad) -> fleet.EngineLoad:
    return fleet.EngineLoad(
        open_calls=load.open_calls,
        queued_tokens=load.urgent_tokens + load.deferred_tokens,
    )
