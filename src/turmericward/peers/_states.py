"""What fronts tell each other: the state of one, or the sum of several."""

from collections.abc import Mapping

import attrs

from turmericward import feeds, metering, requests, sharing


@attrs.frozen(kw_only=True)
class LeavingTarget:
    """An incarnation of a target that leaves: hash of its name, and its start time."""

    target: int
    started_ms: int


@attrs.frozen(kw_only=True)
class TargetLimit:
    """The rate limit that an incarnation of a target named `age_s` ago.

    `target` is the hash of its name; `per_s` counts requests a second from all fronts
    together, None without a limit.
    """

    target: int
    started_ms: int
    per_s: float | None
    age_s: float


@attrs.frozen(kw_only=True)
class PeerState:
    """State of a front, or the sum of several: loads and cached prefixes by target.

    With `fronts` above 1, `loads` is the sum over that many fronts.
    `held` are targets that should get no new calls for that many seconds; `listed`
    ones have reported their cache, whose entries are in `cache_entries` of this state
    or of a recent one. `leaving` are incarnations of targets that announced that they
    leave, `limits` the rates that others named, `outcomes` what became of calls that
    may crash targets. `capacity` is that of the front's
    instance; `record_batches` holds records of the store's topics. In a `partial`
    state, targets without a row keep the loads sent before; limits that aren't in a
    state are unchanged. A front that `needs_full_batches` could not read the topics.
    `usage` is set now and then by fronts that meter.
    `work` is that of workspaces, by service; None if it is as told before.
    `sequence` orders the states of one `boot`, a random number chosen at each start.
    """

    front: str
    boot: int
    sequence: int
    loads: dict[int, requests.TargetLoad]
    cache_entries: tuple[requests.CacheEntry, ...] = ()
    held: dict[int, float] = attrs.field(factory=dict)
    listed: frozenset[int] = frozenset()
    leaving: frozenset[LeavingTarget] = frozenset()
    limits: tuple[TargetLimit, ...] = ()
    outcomes: tuple[requests.KeyOutcome, ...] = ()
    domain: str = ""
    fronts: int = 1
    capacity: int = 0
    record_batches: tuple[feeds.RecordBatch, ...] = ()
    partial: bool = False
    needs_full_batches: bool = False
    usage: metering.Usage | None = None
    work: sharing.Work | None = None

    def without(self, loads: Mapping[int, requests.TargetLoad]) -> "PeerState":
        """Returns the state with one front's loads subtracted from the sum."""
        remaining = {
            target: load.without(loads[target]) if target in loads else load
            for target, load in self.loads.items()
        }
        return attrs.evolve(self, loads=remaining)
