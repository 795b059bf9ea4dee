"""Messages to the peer task."""

import attrs

from turmericward import metering, requests, sharing
from turmericward.peers import _states


@attrs.frozen(kw_only=True)
class Announced:
    """A front is announced in the store, with its IP address and failure domain."""

    front: str
    host: str
    domain: str
    capacity: int = 0


@attrs.frozen(kw_only=True)
class FrontsListed:
    """All fronts that the store lists have been announced."""


@attrs.frozen(kw_only=True)
class StateReceived:
    """A state was received from `host`."""

    state: _states.PeerState
    host: str


@attrs.frozen(kw_only=True)
class LocalState:
    """The local state has changed; fields as in `PeerState`.

    `limits` holds all that are known, `outcomes` all that peers should know.
    """

    loads: dict[int, requests.TargetLoad]
    cache_entries: tuple[requests.CacheEntry, ...] = ()
    held: dict[int, float] = attrs.field(factory=dict)
    listed: frozenset[int] = frozenset()
    leaving: frozenset[_states.LeavingTarget] = frozenset()
    limits: tuple[_states.TargetLimit, ...] = ()
    outcomes: tuple[requests.KeyOutcome, ...] = ()
    work: sharing.Work | None = None


@attrs.frozen(kw_only=True)
class Members:
    """The names of all fronts that this one knows, itself included."""

    names: frozenset[str]


@attrs.frozen(kw_only=True)
class Drain:
    """This front is shutting down: another one has to become the domain's relay."""


@attrs.frozen(kw_only=True)
class CallsBegan:
    """Calls of this front that began to run: workspace, and when in monotonic s."""

    calls: tuple[tuple[str, float], ...]


@attrs.frozen(kw_only=True)
class CollectUsage:
    """Requests the usage of a window; answered with `metering.Collected`."""

    window: int


@attrs.frozen(kw_only=True)
class GetSilentDomains:
    """Asks which domains aren't heard of now; answered with `SilentDomains`."""


@attrs.frozen(kw_only=True)
class SilentDomains:
    """Domains that were heard of but aren't now, and the sums of this front's own."""

    domains: frozenset[str]
    sums: metering.Usage


@attrs.frozen(kw_only=True)
class StoredUsage:
    """What a domain has stored of its usage."""

    domain: str
    usage: metering.Usage
