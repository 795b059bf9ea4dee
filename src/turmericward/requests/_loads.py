"""Work at targets: own, and what the other fronts tell of theirs."""

import attrs

# A front that hasn't been heard for this long is taken to have no work.
PEER_LEASE_S = 1.5


@attrs.frozen(kw_only=True)
class TargetLoad:
    """Work of one front, or of several, at one target.

    Urgent tokens belong to calls that should be on time, deferred ones to calls
    that are late already and go behind.
    """

    urgent_tokens: float = 0.0
    deferred_tokens: float = 0.0
    open_calls: int = 0

    def __add__(self, other: "TargetLoad") -> "TargetLoad":
        """Returns the work of both."""
        return TargetLoad(
            urgent_tokens=self.urgent_tokens + other.urgent_tokens,
            deferred_tokens=self.deferred_tokens + other.deferred_tokens,
            open_calls=self.open_calls + other.open_calls,
        )

    def without(self, other: "TargetLoad") -> "TargetLoad":
        """Returns the work that isn't the other's."""
        return TargetLoad(
            urgent_tokens=max(0.0, self.urgent_tokens - other.urgent_tokens),
            deferred_tokens=max(0.0, self.deferred_tokens - other.deferred_tokens),
            open_calls=max(0, self.open_calls - other.open_calls),
        )

    def tokens_ahead(self, *, deferred: bool) -> float:
        """Returns the tokens that are read before a new call's."""
        return self.urgent_tokens + (self.deferred_tokens if deferred else 0.0)


NO_LOAD = TargetLoad()


class PeerLoads:
    """Latest loads told by each peer; times are monotonic seconds."""

    def __init__(self) -> None:
        """Creates the state without peers."""
        self._peers: dict[str, tuple[float, dict[int, TargetLoad]]] = {}
        self._fronts: dict[str, int] = {}
        self._sums: dict[int, TargetLoad] | None = None

    def take(
        self, peer: str, loads: dict[int, TargetLoad], now: float, fronts: int = 1
    ) -> None:
        """Replaces what one peer told, of itself or of several fronts."""
        self._peers[peer] = (now, loads)
        self._fronts[peer] = fronts
        self._sums = None

    def expire(self, now: float) -> list[str]:
        """Forgets silent peers; returns their names."""
        gone = [p for p, (at, _) in self._peers.items() if at + PEER_LEASE_S < now]
        for peer in gone:
            del self._peers[peer]
            del self._fronts[peer]
            self._sums = None
        return gone

    def live(self) -> int:
        """Returns the number of other fronts whose load is known."""
        # A relay's sum counts this front too.
        return sum(n - (n > 1) for n in self._fronts.values())

    def names(self) -> list[str]:
        """Returns the peers that are heard."""
        return list(self._peers)

    def at(self, target: int) -> TargetLoad:
        """Returns the work of all peers at a target."""
        if self._sums is None:
            self._sums = {}
            for _, loads in self._peers.values():
                for key, load in loads.items():
                    self._sums[key] = self._sums.get(key, NO_LOAD) + load
        return self._sums.get(target, NO_LOAD)
