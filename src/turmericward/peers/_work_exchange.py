"""Work of workspaces that is sent to the peers, and that relays sum up."""

import attrs

from turmericward import requests, sharing
from turmericward.peers import _messages, _states

# Less often than the loads: a share changes over seconds, and the rows of 64
# workspaces are longer than those of the targets that changed.
SEND_INTERVAL_S = 0.5


@attrs.frozen(kw_only=True)
class _Told:
    at: float
    work: sharing.Work


class WorkExchange:
    """The latest work of this front and of its peers; times are monotonic seconds."""

    def __init__(self) -> None:
        """Starts without work."""
        self._local: _Told | None = None
        self._received: dict[str, _Told] = {}
        self._sent_at = float("-inf")
        self._sent: sharing.Work = {}
        self._due = False

    def set_local(self, state: _messages.LocalState, now: float) -> None:
        """Takes the work of this front, if its state has it."""
        if state.work is not None:
            self._local = _Told(at=now, work=state.work)

    def receive(self, state: _states.PeerState, now: float) -> None:
        """Takes the work of a peer, if its state has it."""
        if state.work:
            self._received[state.front] = _Told(at=now, work=state.work)
        elif state.work is not None:
            self._received.pop(state.front, None)

    def begin_datagrams(self, now: float) -> None:
        """Decides whether the datagrams that are sent now have the work."""
        self._received = {f: t for f, t in self._received.items() if _is_fresh(t, now)}
        own = self._own(now)
        known = bool(own or self._received or self._sent)
        self._due = known and now - self._sent_at >= SEND_INTERVAL_S
        if self._due:
            self._sent_at = now
            self._sent = own

    def add_due(
        self,
        state: _states.PeerState,
        relayed: list[_states.PeerState],
        now: float,
    ) -> _states.PeerState:
        """Returns a state with the work of this front and the relayed ones, if due."""
        if not self._due:
            return state
        told = [self._received.get(s.front) for s in relayed]
        works = [t.work for t in told if t is not None]
        return attrs.evolve(state, work=sharing.sum_work([self._own(now), *works]))

    def _own(self, now: float) -> sharing.Work:
        if self._local is None or not _is_fresh(self._local, now):
            return {}
        return self._local.work

    def without_own(self, state: _states.PeerState) -> _states.PeerState:
        """Returns a relay's state without this front's part of the work."""
        if not state.work:
            return state
        return attrs.evolve(state, work=sharing.without(state.work, self._sent))


def _is_fresh(told: _Told, now: float) -> bool:
    return now - told.at <= requests.PEER_TIMEOUT_S
