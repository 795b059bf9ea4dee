"""What duties ask of the platform, and what became of it."""

import enum
from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class UsageReport:
    """The calls of each workspace that began to run in one window.

    Window `window` begins `window` times the window's length after the Unix epoch.
    """

    window: int
    counts: Mapping[str, int]

    def log_fields(self) -> dict[str, object]:
        """Returns what the log line of the call says of it."""
        return {
            "window": self.window,
            "workspaces": len(self.counts),
            "calls": sum(self.counts.values()),
        }


@attrs.frozen(kw_only=True)
class CapacityOrder:
    """Orders `count` replicas of one kind of a service in a failure domain."""

    service: str
    domain: str
    count: int
    spot: bool

    def log_fields(self) -> dict[str, object]:
        """Returns what the log line of the call says of it."""
        return attrs.asdict(self)


class Outcome(enum.Enum):
    """What became of a call to the platform."""

    ACCEPTED = "accepted"
    # None are available there at the moment.
    UNAVAILABLE = "unavailable"
    # More calls than the platform takes; it did nothing.
    THROTTLED = "throttled"
    REJECTED = "rejected"
    # There was no answer: the call may have taken effect, or still will.
    UNKNOWN = "unknown"
