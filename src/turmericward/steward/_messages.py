"""Messages between a steward's tasks."""

import attrs

from turmericward import authority, calls, fleet, membership
from turmericward.adapters import instances, log


@attrs.frozen(kw_only=True)
class LogRead:
    """Records of a stream, read at `read_at` (monotonic seconds).

    `next_offset` is the next offset to read, `first` the oldest that the log holds.
    """

    stream: str
    records: list[log.Record]
    next_offset: int
    first: int
    read_at: float


@attrs.frozen(kw_only=True)
class LogReadFailed:
    """A read of the stream failed."""

    stream: str


@attrs.frozen(kw_only=True)
class LogExpired:
    """The stream's next offset has expired; reading resumes at `first`."""

    stream: str
    first: int


@attrs.frozen(kw_only=True)
class LogEra:
    """The log is in this era; its streams are read from the beginning.

    It has returned from an older copy, or was reached for the first time. `since` is
    when this process first saw the era, in monotonic seconds.
    """

    stream: str
    era: int
    since: float


@attrs.frozen(kw_only=True)
class Append:
    """Appends `value` to a stream, with retries until `deadline` (monotonic seconds).

    The stream of an urgent record is appended to before the others. With an `era`, the
    record is dropped if the log is in a later one.
    """

    stream: str
    value: dict
    deadline: float
    urgent: bool = False
    era: int | None = None


@attrs.frozen(kw_only=True)
class Follow:
    """An entry's poll for changes after the offset `applied`.

    `drained` are the ids of the holds that the entry confirms.
    """

    entry: str
    applied: int
    fleet_version: int
    drained: list[str]
    deadline: float


@attrs.frozen(kw_only=True)
class EndPolls:
    """Answers all polls for changes at once, from now on: the process stops."""


@attrs.frozen(kw_only=True)
class Propose:
    """A change of one resource, requested by an operator.

    `expected` is the version it replaces; ANY_VERSION replaces the current
    one, NO_VERSION only creates.
    """

    kind: str
    name: str
    expected: int
    value: dict | None
    producer: str


@attrs.frozen(kw_only=True)
class PlaceHold:
    """Places a hold; answered with a HoldStatus.

    The answer comes when all entries have confirmed, at the latest at `deadline`.
    """

    hold: membership.Hold
    deadline: float


@attrs.frozen(kw_only=True)
class HoldStatus:
    """The entries that have yet to confirm a hold, or why it was not placed."""

    missing: frozenset[str] = frozenset()
    refused: str = ""


@attrs.frozen(kw_only=True)
class ReleaseHolds:
    """Ends holds before they expire."""

    hold_ids: list[str]


@attrs.frozen(kw_only=True)
class Restore:
    """Offers a peer's state, used if it is newer and the log can't be read."""

    state: dict


@attrs.frozen(kw_only=True)
class GetState:
    """Requests a snapshot of the configuration state."""


@attrs.frozen(kw_only=True)
class GetStatus:
    """Requests the task's status."""


@attrs.frozen(kw_only=True)
class FleetRead:
    """The latest instance list and load reports."""

    instances: list[instances.Instance]
    loads: dict[str, fleet.LoadView]


@attrs.frozen(kw_only=True)
class ClaimKey:
    """Claims the key of a call for one attempt."""

    scope: str
    key: str
    attempt: str
    fingerprint: str


@attrs.frozen(kw_only=True)
class SettleClaim:
    """Records the end of an attempt."""

    settle: calls.Settle


@attrs.frozen(kw_only=True)
class Resign:
    """Releases the lease if this process holds it."""


@attrs.frozen(kw_only=True)
class SetDesired:
    """Sets the desired state of the domain's engines, by engine name."""

    engines: dict[str, "DesiredEngine"]


@attrs.frozen(kw_only=True)
class DesiredEngine:
    """An engine's address and its desired state according to the configuration."""

    name: str
    address: str
    spec: authority.Spec


@attrs.frozen(kw_only=True)
class GetPlan:
    """Requests the domain's engines and outstanding orders."""


@attrs.frozen(kw_only=True)
class Plan:
    """The domain's engines and orders; `held` is None without the lease.

    `members` are the instances that have entries, of all domains.
    """

    held: authority.Authority | None
    engines: dict[str, DesiredEngine]
    outstanding: dict[str, authority.Order]
    members: list[instances.Instance]


@attrs.frozen(kw_only=True)
class AppendIntent:
    """Appends an order's intent to the log; answered with whether it was accepted."""

    engine: str
    spec: authority.Spec


@attrs.frozen(kw_only=True)
class AppendOutcome:
    """Appends an order's outcome to the log; answered with whether it was accepted."""

    order: authority.Order
    phase: authority.OrderPhase
