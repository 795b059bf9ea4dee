"""What the status page shows of a target."""

from turmericward import fleet, requests
from turmericward.delivery import _messages


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
