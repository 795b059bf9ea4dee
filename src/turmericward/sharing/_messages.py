"""What is asked of the shares, and what they decide."""

import attrs

from turmericward import requests

# Reason of refusals by share.
ABOVE_SHARE = "above_share"


@attrs.frozen(kw_only=True)
class Offer:
    """An attempt of a workspace's call; `work` is what it is expected to take.

    A call that isn't `refusable` has begun already, or can't be given up any more.
    """

    service: str
    workspace: str
    priority: int
    work: float
    refusable: bool = True


@attrs.frozen(kw_only=True)
class Verdict:
    """What follows from a workspace's share for a call.

    `ranks` are those by which it goes behind calls of the same priority. `demand` is
    the work per second that the workspace asks for at all fronts, `share` the most
    that it may get, None if the service isn't saturated; `age_s` the age of the
    peers' part of both, None if only this front's work is known.
    """

    ranks: int = 0
    refusal: requests.Refusal | None = None
    demand: float = 0.0
    share: float | None = None
    age_s: float | None = None


WITHIN_SHARE = Verdict()


@attrs.frozen(kw_only=True)
class WorkspaceStatus:
    """A workspace's use of a service, per second, for the status page.

    `share` is None if the service isn't saturated or the share isn't bounded.
    """

    service: str
    workspace: str
    work_per_s: float
    share_per_s: float | None
    peers_age_s: float | None
