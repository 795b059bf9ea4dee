"""Builds the states that a front sends."""

import secrets

import attrs

from turmericward import requests
from turmericward.peers import (
    _deltas,
    _messages,
    _outbox,
    _peer_group,
    _record_exchange,
    _states,
)

BOOT_ID_BITS = 62


class StateBuilder:
    """Numbers the states, leaves out unchanged loads, and keeps events until sent."""

    def __init__(
        self,
        front: str,
        domain: str,
        peers: _peer_group.PeerGroup,
        records: _record_exchange.RecordExchange,
    ) -> None:
        """Starts without events.

        Args:
            front: name of this front.
            domain: its failure domain.
            peers: the fronts that it knows.
            records: the records that it forwards.
        """
        self._front = front
        self._domain = domain
        self._peers = peers
        self._records = records
        self._boot = secrets.randbits(BOOT_ID_BITS)
        self._sequence = 0
        # Events for the peers of this domain and for those of other domains.
        self._local_outbox = _outbox.Outbox()
        self._remote_outbox = _outbox.Outbox()
        self._encoders = {
            scope: _deltas.DeltaEncoder(exact=scope is _peer_group.LoadScope.LOCAL)
            for scope in _peer_group.LoadScope
        }
        self._last_recipients: frozenset[str] = frozenset()

    @property
    def boot(self) -> int:
        """The number of this start of the front."""
        return self._boot

    def add_local(self, state: _messages.LocalState, now: float) -> None:
        """Queues the events of this front's own state."""
        self._local_outbox.add(state, now)
        self._remote_outbox.add(state, now)

    def add_relayed(self, state: _states.PeerState, now: float) -> None:
        """Queues the events of a peer's state, which a relay passes on."""
        self._local_outbox.add(state, now)
        # A relay of another domain sends its events to the other domains itself.
        if state.domain == self._domain:
            self._remote_outbox.add(state, now)

    def discard_remote(self, now: float) -> None:
        """Drops the events for other domains: only a relay sends to them."""
        self._remote_outbox.pop_due(now)

    def track_recipients(self, recipients: list[_peer_group.Recipient]) -> None:
        """Makes the next states complete if a recipient is new."""
        fronts = frozenset(r.front for r in recipients)
        if fronts - self._last_recipients:
            for encoder in self._encoders.values():
                encoder.reset()
        self._last_recipients = fronts

    def empty(self) -> _states.PeerState:
        """Returns a state that leaves the loads sent before unchanged."""
        self._sequence += 1
        return _states.PeerState(
            front=self._front,
            boot=self._boot,
            sequence=self._sequence,
            loads={},
            partial=True,
            domain=self._domain,
            capacity=self._peers.capacity,
            needs_full_batches=self._records.needs_full_batches,
        )

    def build(
        self,
        scope: _peer_group.LoadScope,
        local: _deltas.Loads,
        relayed: list[_states.PeerState],
        now: float,
    ) -> _states.PeerState:
        """Returns the next state for recipients of a scope, with its queued events.

        Args:
            scope: whose loads the recipients get.
            local: this front's loads.
            relayed: the peers' states that are added.
            now: monotonic seconds.
        """
        loads = requests.sum_loads([local, *(state.loads for state in relayed)])
        if self._peers.direct:
            update = _deltas.Update(rows=loads, partial=False)
        else:
            update = self._encoders[scope].next_update(loads, now)
        remote = scope is _peer_group.LoadScope.DOMAIN
        outbox = self._remote_outbox if remote else self._local_outbox
        events = outbox.pop_due(now)
        return attrs.evolve(
            self.empty(),
            loads=update.rows,
            partial=update.partial,
            cache_entries=events.cache_entries,
            held=events.held,
            listed=events.listed,
            leaving=events.leaving,
            fronts=1 + sum(state.fronts for state in relayed),
        )
