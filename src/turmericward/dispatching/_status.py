"""What the status page and the decisions on roles and capacity are told of targets."""

import collections
from collections.abc import Set

from turmericward import capacity, fleet, requests, routing
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
    table: routing.RoutingTable | None,
) -> _messages.EnginesView:
    """Returns the engines in use.

    Args:
        front: name of this front.
        directory: the known targets.
        placer: knows the load of all fronts.
        listed_engines: hashes of the engines whose cache contents were listed.
        table: the configuration in force, if any.
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
        scalable=frozenset(_scalings(table)),
    )


def _scalings(table: routing.RoutingTable | None) -> dict[str, routing.Scaling]:
    """Returns the scaling of each service that has one."""
    services = {} if table is None else table.services
    return {s.name: s.scaling for s in services.values() if s.scaling is not None}


def capacity_view(
    directory: fleet.Directory,
    placer: requests.Placer,
    table: routing.RoutingTable | None,
    now: float,
) -> capacity.View | None:
    """Returns the scalable services with their replicas and the load of all fronts.

    It is None before the first configuration.
    """
    if table is None:
        return None
    replicas = collections.defaultdict(list)
    scalings = _scalings(table)
    for target in directory.all():
        if target.service in scalings:
            replicas[target.service].append(_replica(target, placer))
    return capacity.View(
        services=tuple(
            capacity.ServiceView(
                name=name, scaling=scaling, replicas=tuple(replicas[name])
            )
            for name, scaling in sorted(scalings.items())
        ),
        age_s=max(placer.peers.ages(now).values(), default=0.0),
    )


def _replica(target: fleet.Target, placer: requests.Placer) -> capacity.Replica:
    load = placer.load(target.name)
    per_token_s = placer.seconds_per_token(target)
    return capacity.Replica(
        target=target,
        open_calls=load.open_calls,
        queued_s=(load.urgent_tokens + load.deferred_tokens) * per_token_s,
        late_s=load.deferred_tokens * per_token_s,
    )


def _engine_load(load: requests.TargetLoad) -> fleet.EngineLoad:
    return fleet.EngineLoad(
        open_calls=load.open_calls,
        queued_tokens=load.urgent_tokens + load.deferred_tokens,
    )
