"""The latest state of each peer, as received."""

import attrs

from turmericward import requests
from turmericward.peers import _deltas, _peer_group, _states


class ReceivedStates:
    """States by front, of which a relay adds some to its own."""

    def __init__(self, domain: str, peers: _peer_group.PeerGroup) -> None:
        """Starts without states.

        Args:
            domain: failure domain of this front.
            peers: the fronts that it knows.
        """
        self._domain = domain
        self._peers = peers
        self._states: dict[str, tuple[float, _states.PeerState]] = {}

    def record(self, state: _states.PeerState, now: float) -> _states.PeerState:
        """Keeps a state; returns it with the loads that it left out as unchanged."""
        whole = self._with_unchanged_loads(state)
        self._states[state.front] = (now, whole)
        return whole

    def _with_unchanged_loads(self, state: _states.PeerState) -> _states.PeerState:
        if not state.partial:
            return state
        _, previous = self._states.get(state.front, (0.0, state))
        base = previous.loads if previous.boot == state.boot else {}
        return attrs.evolve(state, loads=_deltas.merge(base, state.loads))

    def drop(self, front: str) -> None:
        """Forgets a front's state."""
        self._states.pop(front, None)

    def relayed(
        self, scope: _peer_group.LoadScope, now: float
    ) -> list[_states.PeerState]:
        """Returns the peers' states that a relay adds to its own, for a scope."""
        if scope is _peer_group.LoadScope.LOCAL:
            return []
        members = set(self._peers.live_members(now))
        return [
            state
            for front, (received_at, state) in self._states.items()
            if now - received_at <= requests.PEER_TIMEOUT_S
            and (
                (front in members and state.fronts == 1)
                or (
                    scope is _peer_group.LoadScope.FLEET
                    and state.domain != self._domain
                )
            )
        ]
