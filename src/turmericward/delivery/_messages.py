"""Messages to the task that chooses targets."""

import attrs

from turmericward import fleet, requests
from turmericward.delivery import _calls, _routes


@attrs.frozen(kw_only=True)
class SetTable:
    """A configuration version that has become known."""

    table: _routes.RoutingTable


@attrs.frozen(kw_only=True)
class RetryBounds:
    """What all fronts together may send beyond the first arrival of each call.

    In any window: `share` of the calls, and `slack` calls more. As a message, the
    bounds from now on.
    """

    share: float
    slack: float


@attrs.frozen(kw_only=True)
class PutTargets:
    """Targets that were announced, and names whose announcement went."""

    targets: tuple[fleet.Target, ...] = ()
    gone: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class ReplaceTargets:
    """The whole list of announced targets.

    `kept` names targets whose announcement can't be decoded.
    """

    targets: tuple[fleet.Target, ...]
    kept: frozenset[str] = frozenset()


@attrs.frozen(kw_only=True)
class TargetNotice:
    """What a target said of itself in an answer.

    `leaving` holds for the life in which it answered; for `rest_s` seconds it wants
    no calls of this front.
    """

    target: fleet.Target
    leaving: bool = False
    rest_s: float = 0.0


@attrs.frozen(kw_only=True)
class SourceReturned:
    """Announcements are read again after an outage."""


@attrs.frozen(kw_only=True)
class GetEngines:
    """Asks for the engines in use; answered with an `EnginesView`."""


@attrs.frozen(kw_only=True)
class EnginesView:
    """Engines by service, and the work of all fronts by engine.

    `first` tells whether this front goes before all that it hears; `listed` names
    engines of which it is known what they kept when this front began.
    """

    engines: dict[str, list[fleet.Target]]
    loads: dict[str, fleet.EngineLoad]
    first: bool
    listed: frozenset[str]


@attrs.frozen(kw_only=True)
class GetStatus:
    """Asks for what the dispatcher believes; answered with a `Status`."""


@attrs.frozen(kw_only=True)
class TargetStatus:
    """A target, and the work of all fronts there.

    For `rests_s` seconds it wants no calls of this front; `failure_share` of the
    calls that all fronts lately sent there failed.
    """

    name: str
    service: str
    address: str
    domain: str
    role: str
    leaving: bool
    held: bool
    rests_s: float
    usable: bool
    failure_share: float
    urgent_tokens: int
    deferred_tokens: int
    open_calls: int


@attrs.frozen(kw_only=True)
class Status:
    """What a front believes; `version` is None before the first configuration.

    `peer_ages_s` tells for each front that is heard how long ago that was,
    `retries_left` for each service what this front may still send again.
    """

    front: str
    domain: str
    version: int | None
    targets: tuple[TargetStatus, ...]
    peer_ages_s: dict[str, float]
    retries_left: dict[str, float]


@attrs.frozen(kw_only=True)
class EngineKeeps:
    """What an engine says that it keeps: numbers of parts, with their tokens."""

    target: fleet.Target
    parts: tuple[tuple[int, int], ...]


@attrs.frozen(kw_only=True)
class HoldTarget:
    """A target gets no new calls from any front for `until_s` seconds."""

    name: str
    until_s: float


@attrs.frozen(kw_only=True)
class Place:
    """Asks for a target; answered with a Result of Placement or Refusal.

    `read` tells that the prompt's KV cache lies ready elsewhere, in the failure
    domain `read_in` if that is known; `retry` that an earlier attempt of the call
    has reached the service.
    """

    call: _calls.Call
    service: str
    excluded: frozenset[str]
    retry: bool = False
    read: bool = False
    read_in: str = ""


@attrs.frozen(kw_only=True)
class Began:
    """The first token came, or a prefill ended, `took_s` after it was sent."""

    placement: requests.Placement
    prompt: requests.Prompt | None
    took_s: float


@attrs.frozen(kw_only=True)
class Ended:
    """A placement has ended; `streamed` holds when its answer ended whole."""

    placement: requests.Placement
    prompt: requests.Prompt | None
    ending: requests.Ending
    streamed: bool = False
