"""Work at targets: own, and what the other fronts tell of theirs."""

from collections.abc import Iterable, Mapping

import attrs

from turmericward.requests import _outcomes

# A front that hasn't been heard for this long is taken to have no work.
PEER_LEASE_S = 1.5
# What is left, at most, of a deferred call that is being read: it isn't interrupted.
BEING_READ_TOKENS = 15_000.0


@attrs.frozen(kw_only=True)
class TargetLoad:
    """Work of one front, or of several, at one target.

    Urgent tokens belong to calls that should be on time, deferred ones to calls
    that are late already and go behind. Calls that ended and those of them
    that failed are counted since the front began.
    """

    urgent_tokens: float = 0.0
    deferred_tokens: float = 0.0
    open_calls: int = 0
    ended_calls: int = 0
    failed_calls: int = 0

    def __add__(self, other: "TargetLoad") -> "TargetLoad":
        """Returns the work of both."""
        return TargetLoad(
            urgent_tokens=self.urgent_tokens + other.urgent_tokens,
            deferred_tokens=self.deferred_tokens + other.deferred_tokens,
            open_calls=self.open_calls + other.open_calls,
            ended_calls=self.ended_calls + other.ended_calls,
            failed_calls=self.failed_calls + other.failed_calls,
        )

    def without(self, other: "TargetLoad") -> "TargetLoad":
        """Returns the work that isn't the other's."""
        return TargetLoad(
            urgent_tokens=max(0.0, self.urgent_tokens - other.urgent_tokens),
            deferred_tokens=max(0.0, self.deferred_tokens - other.deferred_tokens),
            open_calls=max(0, self.open_calls - other.open_calls),
            ended_calls=max(0, self.ended_calls - other.ended_calls),
            failed_calls=max(0, self.failed_calls - other.failed_calls),
        )

    def tokens_ahead(self, *, deferred: bool) -> float:
        """Returns the tokens that are read before a new call's."""
        if deferred:
            return self.urgent_tokens + self.deferred_tokens
        return self.urgent_tokens + min(self.deferred_tokens, BEING_READ_TOKENS)


NO_LOAD = TargetLoad()


def sum_loads(states: Iterable[Mapping[int, TargetLoad]]) -> dict[int, TargetLoad]:
    """Returns the work of several fronts by target."""
    total: dict[int, TargetLoad] = {}
    for loads in states:
        for target, load in loads.items():
            total[target] = total[target] + load if target in total else load
    return total


@attrs.frozen(kw_only=True)
class _Told:
    """What a peer told at `at`, of itself or of several fronts."""

    at: float
    loads: Mapping[int, TargetLoad]
    fronts: int


class PeerLoads:
    """Latest loads told by each peer; times are monotonic seconds."""

    def __init__(self, outcomes: _outcomes.Outcomes) -> None:
        """Creates the state without peers.

        Args:
            outcomes: takes how the peers' calls ended.
        """
        self._outcomes = outcomes
        self._peers: dict[str, _Told] = {}
        self._sums: dict[int, TargetLoad] | None = None

    def take(
        self, peer: str, loads: dict[int, TargetLoad], now: float, fronts: int = 1
    ) -> None:
        """Replaces what one peer told, of itself or of several fronts."""
        known = self._peers.get(peer)
        if known is not None:
            self._note_growth(known.loads, loads, now)
        self._peers[peer] = _Told(at=now, loads=loads, fronts=fronts)
        self._sums = None

    def _note_growth(self, before, loads, now: float) -> None:
        for target, load in loads.items():
            known = before.get(target, NO_LOAD)
            # The counts of a front that began anew start at 0.
            ended = load.ended_calls - known.ended_calls
            failed = max(0, load.failed_calls - known.failed_calls)
            if ended > 0:
                self._outcomes.ended(target, ended, min(ended, failed), now)

    def expire(self, now: float) -> list[str]:
        """Forgets silent peers; returns their names."""
        gone = [p for p, t in self._peers.items() if t.at + PEER_LEASE_S < now]
        for peer in gone:
            del self._peers[peer]
            self._sums = None
        return gone

    def live(self) -> int:
        """Returns the number of other fronts whose load is known."""
        # A relay's sum counts this front too.
        return sum(told.fronts - (told.fronts > 1) for told in self._peers.values())

    def names(self) -> list[str]:
        """Returns the peers that are heard."""
        return list(self._peers)

    def ages(self, now: float) -> dict[str, float]:
        """Returns by peer for how long it hasn't been heard."""
        return {peer: now - told.at for peer, told in self._peers.items()}

    def at(self, target: int) -> TargetLoad:
        """Returns the work of all peers at a target."""
        if self._sums is None:
            self._sums = sum_loads(told.loads for told in self._peers.values())
        return self._sums.get(target, NO_LOAD)
