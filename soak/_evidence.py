"""What clients, replicas and the operator saw in a run; times are monotonic seconds."""

import collections
import math
import threading

import attrs

from standins import caller

# How long a disruption still excuses what follows it.
SETTLING_S = 2.0
STORE = "store"
# The soak itself, whose threads run late.
SOAK = "soak"


@attrs.frozen(kw_only=True)
class Sent:
    """A call, and the incarnation of the front that it was sent to."""

    front: str
    boot: int
    outcome: caller.Outcome


@attrs.define(kw_only=True)
class Disruption:
    """Unplanned trouble of a front, a replica or the store."""

    kind: str
    subject: str
    began: float
    ended: float = math.inf


@attrs.frozen(kw_only=True)
class Stop:
    """A planned stop; `exit_status` is negative if the process was killed."""

    front: str
    boot: int
    began: float
    ended: float
    exit_status: int


@attrs.frozen(kw_only=True)
class Leaving:
    """The time from a replica's announcement that it leaves to its return."""

    replica: str
    began: float
    ended: float


@attrs.frozen(kw_only=True)
class Silence:
    """A pause of a sound replica, which excuses nothing."""

    replica: str
    began: float
    ended: float


@attrs.frozen(kw_only=True)
class MemoryPeak:
    """The most memory that a front's process has held until a time, in MB."""

    front: str
    mb: float


@attrs.frozen(kw_only=True)
class Crowded:
    """Calls of ordinary clients beside a crowd that holds a front's connections.

    `answered` has an item for each call.
    """

    front: str
    answered: list[bool] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class DeadlyRequest:
    """A request that crashed replicas, and the fronts that its sendings went to."""

    caller: str
    crashed_at: list[float] = attrs.field(factory=list)
    fronts: dict[str, str] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class Evidence:
    """Everything that was seen in one run; may be added to from any thread."""

    grace_s: float
    leaving_s: float
    configuration_s: float
    sent: list[Sent] = attrs.field(factory=list)
    stops: list[Stop] = attrs.field(factory=list)
    disruptions: list[Disruption] = attrs.field(factory=list)
    # When each version of the configuration was written.
    versions: dict[int, float] = attrs.field(factory=dict)
    leaving: list[Leaving] = attrs.field(factory=list)
    silences: list[Silence] = attrs.field(factory=list)
    deadly: list[DeadlyRequest] = attrs.field(factory=list)
    crowded: list[Crowded] = attrs.field(factory=list)
    memory_peaks: list[MemoryPeak] = attrs.field(factory=list)
    # Fronts that ended by themselves.
    exits: list[str] = attrs.field(factory=list)
    # Fault injected, and how often.
    injected: dict[str, int] = attrs.field(factory=dict)
    healed_at: float = math.inf
    # Bound on the repeats of all fronts, besides a share of the calls.
    retry_slack: float = math.inf
    # Retries that fronts logged as granted, by call; None if their logs were not read.
    granted: collections.Counter | None = None
    replicas: dict = attrs.field(factory=dict)
    _lock: threading.Lock = attrs.field(factory=threading.Lock)

    def count_fault(self, name: str) -> None:
        """Counts a fault that took place."""
        with self._lock:
            self.injected[name] = self.injected.get(name, 0) + 1

    def disrupt(self, kind: str, subject: str, now: float) -> Disruption:
        """Records the beginning of unplanned trouble; its end is set by the caller."""
        disruption = Disruption(kind=kind, subject=subject, began=now)
        self.disruptions.append(disruption)
        return disruption

    def disrupted(
        self, subjects: set[str], began: float, ended: float, kind: str = ""
    ) -> bool:
        """Returns whether any subject was in, or just after, unplanned trouble.

        Args:
            subjects: names of fronts, replicas and other things.
            began: beginning of the time that is asked for.
            ended: its end.
            kind: the only kind of trouble that counts, empty for all.
        """
        return any(
            d.subject in subjects
            and kind in ("", d.kind)
            and d.began <= ended
            and d.ended + SETTLING_S >= began
            for d in self.disruptions
        )

    def silent(self, replicas: set[str], began: float, ended: float) -> list[str]:
        """Returns which sound replicas were silent in a time, and for how long."""
        return [
            f"{s.replica} silent {s.ended - s.began:.1f} s"
            for s in self.silences
            if s.replica in replicas and s.began <= ended and s.ended >= began
        ]

    def runs(self) -> dict[str, list[str]]:
        """Returns the replicas that ran each call, once for each run."""
        runs: dict[str, list[str]] = {}
        for name, replica in self.replicas.items():
            for call in replica.calls:
                if call.ran and "Turmericward-Serving-Stage" not in call.headers:
                    runs.setdefault(call.call_id, []).append(name)
        return runs

    def arrivals(self) -> dict[str, set[str]]:
        """Returns the replicas that each call reached, whether or not it ran."""
        reached: dict[str, set[str]] = {}
        for name, replica in self.replicas.items():
            for call in replica.calls:
                reached.setdefault(call.call_id, set()).add(name)
        return reached

    def work_ended(self) -> dict[str, float]:
        """Returns when the last work on each call ended."""
        ended: dict[str, float] = {}
        for replica in self.replicas.values():
            for call_id, at in replica.ended:
                ended[call_id] = max(at, ended.get(call_id, at))
        return ended
