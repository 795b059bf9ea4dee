"""Messages between a steward's tasks."""

import attrs

from turmericward import authority, calls, fleet, membership
from turmericward.adapters import instances, log


@attrs.frozen(kw_only=True)
class LogRead:
    """Records of a stream; the read was answered at `at` (monotonic seconds)."""

    stream: str
    records: list[log.Record]
    following: int
    first: int
    at: float


@attrs.frozen(kw_only=True)
class LogLost:
    """A read of the stream failed."""

    stream: str


@attrs.frozen(kw_only=True)
class LogExpired:
    """The stream's next offset has expired; it is read from `first` anew."""

    stream: str
    first: int


@attrs.frozen(kw_only=True)
class Append:
    """Appends `value` to a stream, again and again until `until` (monotonic).

    Urgent records go before those that wait.
    """

    stream: str
    value: dict
    until: float
    urgent: bool = False


@attrs.frozen(kw_only=True)
class Follow:
    """An entry's poll for changes after the offset `applied`."""

    entry: str
    applied: int
    fleet_version: int
    drained: list[str]
    until: float


@attrs.frozen(kw_only=True)
class Propose:
    """A change of one resource that an operator asks for.

    `expected` is the version it replaces; ANY_VERSION replaces the present
    one, NO_VERSION only creates.
    """

    kind: str
    name: str
    expected: int
    value: dict | None
    producer: str


@attrs.frozen(kw_only=True)
class PlaceHold:
    """Places a hold; answered with a HoldStanding.

    The answer comes when all have confirmed, at the latest at `until`.
    """

    hold: membership.Hold
    until: float


@attrs.frozen(kw_only=True)
class HoldStanding:
    """The entries that have yet to confirm a hold, or why it was not placed."""

    missing: frozenset[str] = frozenset()
    refused: str = ""


@attrs.frozen(kw_only=True)
class ReleaseHolds:
    """Ends holds before their time."""

    hold_ids: list[str]


@attrs.frozen(kw_only=True)
class Restore:
    """Offers a peer's state to a task that has none or an older one."""

    state: dict


@attrs.frozen(kw_only=True)
class GetState:
    """Asks for the whole configuration state."""


@attrs.frozen(kw_only=True)
class GetStatus:
    """Asks for figures about the task."""


@attrs.frozen(kw_only=True)
class FleetRead:
    """The instance list and the load reports as they are known now."""

    instances: list[instances.Instance]
    loads: dict[str, fleet.LoadView]


@attrs.frozen(kw_only=True)
class MakeClaim:
    """A keyed call that an entry wants to run."""

    scope: str
    key: str
    attempt: str
    fingerprint: str


@attrs.frozen(kw_only=True)
class EndClaim:
    """The end of an attempt."""

    settle: calls.Settle


@attrs.frozen(kw_only=True)
class Resign:
    """Asks the holder to release its lease."""


@attrs.frozen(kw_only=True)
class Desired:
    """The states that the configuration asks of the domain's engines."""

    engines: dict[str, "DesiredEngine"]


@attrs.frozen(kw_only=True)
class DesiredEngine:
    """Where an engine is and which state the configuration asks of it."""

    name: str
    address: str
    spec: authority.Spec


@attrs.frozen(kw_only=True)
class GetPlan:
    """Asks the authority task for the domain's engines and open orders."""


@attrs.frozen(kw_only=True)
class Plan:
    """What the holder has to look after; `held` is None for a follower."""

    held: authority.Authority | None
    engines: dict[str, DesiredEngine]
    outstanding: dict[str, authority.Order]
    members: list[instances.Instance]


@attrs.frozen(kw_only=True)
class Intend:
    """Asks for an intent on the log; answered with the order or None."""

    engine: str
    spec: authority.Spec


@attrs.frozen(kw_only=True)
class Conclude:
    """Asks for an order's outcome on the log; answered with whether it stands."""

    order: authority.Order
    phase: authority.OrderPhase
