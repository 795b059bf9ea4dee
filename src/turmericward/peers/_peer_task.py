"""The task that sends this front's state to its peers and relays theirs."""

import functools
import socket
import time
from collections.abc import Callable, Mapping

import attrs
from absl import logging

from turmericward import feeds, metering, runtime
from turmericward.peers import (
    _codec,
    _deltas,
    _members,
    _messages,
    _peer_group,
    _received_states,
    _record_exchange,
    _reports,
    _state_builder,
    _states,
    _usage_exchange,
    _work_exchange,
)

IDLE_PERIOD_S = 0.25
# Longest time between two states where every front sends to every other one.
DIRECT_HEARTBEAT_S = 0.25
# Shortest and longest time between two states of a front that uses or is a relay.
RELAYED_INTERVAL_S = 0.1
RELAYED_HEARTBEAT_S = 0.5
# Ranks a draining front below all others when a relay is chosen.
DRAINING_CAPACITY = -1
MAX_DATAGRAM_BYTES = 60_000
WARNING_INTERVAL_S = 10.0


class PeerTask(runtime.Task):
    """Sends the local state to peers and, as a relay, the sum of several fronts."""

    period_s = IDLE_PERIOD_S
    foreign = (_messages.Announced, _messages.StateReceived)

    def __init__(
        self,
        front: str,
        domain: str,
        port: int,
        sock: socket.socket,
        deliver: Callable[[_states.PeerState | _messages.Members], None],
        *,
        capacity: int = 0,
        fresh_s: Mapping[feeds.Topic, float] | None = None,
        usage_window_s: float | None = None,
        clock: Callable[[], float] = runtime.now,
        time_of_day: Callable[[], float] = time.time,
    ) -> None:
        """Creates the task without peers.

        Args:
            front: name of this front.
            domain: its failure domain.
            port: port that all fronts receive on.
            sock: bound socket, shared with the receive loop.
            deliver: called with each state that a peer sends, without the local load,
                and with the known fronts when they change.
            capacity: capacity of the instance; the highest one becomes the relay.
            fresh_s: topics that fronts forward, each with the maximum age of the
                last read that is forwarded.
            usage_window_s: length of the windows of metering; None without it.
            clock: returns monotonic seconds.
            time_of_day: returns the Unix time of the instance.
        """
        super().__init__()
        self._front = front
        self._domain = domain
        self._port = port
        self._sock = sock
        self._forward = deliver
        self._clock = clock
        self._peers = _peer_group.PeerGroup(front, domain, capacity)
        self._local = _messages.LocalState(loads={})
        self._reports = _reports.StateReports()
        self._known_fronts = _members.KnownFronts()
        self._received = _received_states.ReceivedStates(domain, self._peers)
        self._records = _record_exchange.RecordExchange(fresh_s or {})
        self._work = _work_exchange.WorkExchange()
        self._builder = _state_builder.StateBuilder(
            front, domain, self._peers, self._records
        )
        self._usage: _usage_exchange.UsageExchange | None = None
        if usage_window_s is not None:
            self._peers.greets_relays = True
            self._usage = _usage_exchange.UsageExchange(
                front,
                domain,
                self._builder.boot,
                usage_window_s,
                clock(),
                time_of_day,
            )
        self._sent_loads: _deltas.Loads = {}
        self._sent_at = float("-inf")
        self._changed = False
        # Read by any thread: whether peers rely on what this front reads of the
        # store, and whether it queries targets itself or relies on its relay for that.
        self.reads_store = True
        self.polls_targets = True

    def publish_state(self, state: _messages.LocalState) -> None:
        """Sends a changed local state to the peers; called by any thread."""
        self.post(state)

    def publish_range(self, topic_range: feeds.TopicRange) -> None:
        """Forwards a range of a topic to the peers; called by any thread."""
        self.post(topic_range)

    def subscribe(
        self, topic: feeds.Topic, on_batch: Callable[[feeds.RecordBatch], None]
    ) -> None:
        """Passes peers' record batches of a topic to `on_batch`; call before start."""
        self._records.subscribe(topic, on_batch)

    @functools.singledispatchmethod
    def handle(self, message: object) -> object:
        """Acts on one message."""
        return super().handle(message)

    @handle.register
    def _(self, message: _messages.Announced) -> None:
        self._peers.record_announcement(
            message.front, message.host, message.domain, self._clock(), message.capacity
        )

    @handle.register
    def _(self, message: _messages.FrontsListed) -> None:
        self._known_fronts.record_listing(self._clock())
        self._forward_members()

    def _forward_members(self) -> None:
        """Passes the names of the known fronts on if they have changed."""
        names = self._peers.names() | {self._front}
        if self._known_fronts.changed(names):
            self._forward(_messages.Members(names=names))

    @handle.register
    def _(self, message: _messages.StateReceived) -> None:
        state = message.state
        now = self._clock()
        if state.front == self._front:
            return
        if self._peers.record_datagram(
            state.front, message.host, state.domain, now, state.capacity
        ):
            logging.info("peer %s at %s is known", state.front, message.host)
            self._forward_members()
        if self._usage is not None:
            relay = not self._peers.direct and state.domain == self._domain
            follows = relay and not self._peers.is_relay(now)
            self._usage.receive(state, now, relay=follows)
        state = self._received.record(state, now)
        self._work.receive(state, now)
        if self._peers.is_relay(now):
            self._builder.add_relayed(state, now)
            self._changed = True
            self._send_if_due(now)
        asking = self._records.receive(state)
        if asking and self._peers.answers(
            state.front, state.domain, state.sequence, now
        ):
            self._send_batches(
                self._records.answers(asking, now), state.front, message.host
            )
        if state.domain == self._domain and state.needs_full_batches:
            self._send_full_batches(state.front, message.host, now)
        self._forward(self._without_local_load(state))

    def _send_full_batches(self, front: str, host: str, now: float) -> None:
        """Sends the newest record of every key to a front that can't read the store."""
        if self._peers.relay_of(self._domain, now, exclude=front) != self._front:
            return
        self._send_batches(self._records.pop_full(now), front, host)

    def _send_batches(
        self, batches: _record_exchange.Batches, front: str, host: str
    ) -> None:
        """Sends a front the batches that it asks for."""
        if not batches:
            return
        data = _codec.encode(
            attrs.evolve(self._builder.empty(), record_batches=batches)
        )
        if len(data) > MAX_DATAGRAM_BYTES:
            logging.warning("%s asks for %d bytes, too much", front, len(data))
            return
        if any(batch.full for batch in batches):
            logging.info("%s is told what the store holds, %d bytes", front, len(data))
        self._send_to(host, data)

    def _without_local_load(self, state: _states.PeerState) -> _states.PeerState:
        """Subtracts the local load from a relay's sum."""
        if state.fronts == 1 or state.domain != self._domain:
            return state
        return self._work.without_own(state).without(self._sent_loads)

    @handle.register
    def _(self, message: feeds.TopicRange) -> None:
        now = self._clock()
        if self._records.add(message, now) and self.reads_store:
            self._records.set_due()
            self._changed = True
            self._send_if_due(now)

    @handle.register
    def _(self, message: _messages.LocalState) -> None:
        now = self._clock()
        self._local = message
        self._reports.replace(message, now)
        self._work.set_local(message, now)
        self._builder.add_local(message, now)
        self._changed = True
        self._send_if_due(now)

    @handle.register
    def _(self, message: _messages.CallsBegan) -> None:
        if self._usage is not None:
            self._usage.count(message)

    @handle.register
    def _(self, message: _messages.CollectUsage) -> metering.Collected:
        return self._usage.collect(message.window, self._clock())

    @handle.register
    def _(self, message: _messages.GetSilentDomains) -> _messages.SilentDomains:
        return self._usage.silent_domains(self._clock())

    @handle.register
    def _(self, message: _messages.StoredUsage) -> None:
        self._usage.receive_stored(message, self._clock())

    @handle.register
    def _(self, message: _messages.Drain) -> None:
        self._peers.capacity = DRAINING_CAPACITY
        self._send(self._clock())

    def run_periodic(self) -> None:
        """Sends pending changes, and repeats an unchanged state as a heartbeat."""
        now = self._clock()
        self._expire_peers(now)
        self._update_role(now)
        if self._usage is not None:
            self._usage.run_periodic(now)
        self._send_if_due(now)

    def _expire_peers(self, now: float) -> None:
        if not self._known_fronts.may_drop(now):
            return
        expired = self._peers.expire(now)
        for front in expired:
            self._received.drop(front)
            logging.info("peer %s expired", front)
        if expired:
            self._forward_members()

    def _update_role(self, now: float) -> None:
        is_reader = self._peers.is_reader(now)
        if is_reader != self.reads_store:
            logging.info(
                "this front %s for its domain", "reads" if is_reader else "rests"
            )
        self.reads_store = is_reader
        self.polls_targets = is_reader or self._peers.direct

    def release_resources(self) -> None:
        """Sends a last state without load, and all usage."""
        self._local = _messages.LocalState(loads={})
        if self._usage is not None:
            self._usage.send_all()
        self._send(self._clock())

    # Sending.

    def _send_if_due(self, now: float) -> None:
        min_s, max_s = self._intervals()
        elapsed_s = now - self._sent_at
        if elapsed_s >= max_s or (self._changed and elapsed_s >= min_s):
            self._send(now)
        self.period_s = min_s if self._changed else IDLE_PERIOD_S

    def _intervals(self) -> tuple[float, float]:
        """Returns the shortest and the longest time between two states."""
        if self._peers.direct:
            return 0.0, DIRECT_HEARTBEAT_S
        return RELAYED_INTERVAL_S, RELAYED_HEARTBEAT_S

    def _send(self, now: float) -> None:
        self._sent_at = now
        self._changed = False
        recipients = self._peers.recipients(now)
        self._builder.track_recipients(recipients)
        reports = self._reports.pop_due(now)
        batches, asking = self._records.pop_due(now), self._records.requests(now)
        self._work.begin_datagrams(now)
        for scope in _peer_group.LoadScope:
            group = [r for r in recipients if r.scope is scope]
            if group:
                self._send_scope(scope, group, (batches, asking), reports, now)
        self._sent_loads = self._local.loads
        if not self._peers.is_relay(now):
            self._builder.discard_remote(now)

    def _send_scope(
        self,
        scope: _peer_group.LoadScope,
        group: list[_peer_group.Recipient],
        records: tuple[_record_exchange.Batches, _record_exchange.Batches],
        reports: _reports.DueReports,
        now: float,
    ) -> None:
        relayed = self._received.relayed(scope, now)
        state = self._builder.build(scope, self._local.loads, relayed, now)
        state = attrs.evolve(state, limits=reports.limits, outcomes=reports.outcomes)
        if self._usage is not None:
            state = attrs.evolve(state, usage=self._usage.pop_due(scope, now))
        state = self._work.add_due(state, relayed, now)
        encoded: dict[bool, bytes] = {}
        for recipient in group:
            if recipient.gets_records not in encoded:
                batches, asking = records
                sent = batches + asking if recipient.gets_records else asking
                encoded[recipient.gets_records] = self._encode(state, sent)
            self._send_to(recipient.host, encoded[recipient.gets_records])

    def _encode(
        self, state: _states.PeerState, batches: _record_exchange.Batches
    ) -> bytes:
        """Returns the datagram of a state, without the batches if it is too long.

        Peers read from the store what they aren't sent.
        """
        data = _codec.encode(attrs.evolve(state, record_batches=batches))
        if len(data) <= MAX_DATAGRAM_BYTES or not batches:
            return data
        logging.log_every_n_seconds(
            logging.WARNING,
            "records are not forwarded: the datagram has %d bytes",
            WARNING_INTERVAL_S,
            len(data),
        )
        return _codec.encode(state)

    def _send_to(self, host: str, data: bytes) -> None:
        try:
            self._sock.sendto(data, (host, self._port))
        # Text that is no address raises errors of several types.
        except Exception as exc:
            # Datagrams may be lost anyway; the next one repeats the state.
            logging.debug("can't send a datagram to peer at %s: %s", host, exc)
