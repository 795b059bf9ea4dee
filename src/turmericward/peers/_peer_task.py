"""The task that tells peers what this front does and knows."""

import functools
import secrets
import socket
from collections.abc import Callable, Mapping

import attrs
from absl import logging

from turmericward import feeds, requests, runtime
from turmericward.peers import _circle, _codec, _deltas, _messages, _outbox

BOOT_BITS = 62
IDLE_TICK_S = 0.25
# Longest time between two states of a front that tells every other one.
DIRECT_HEARTBEAT_S = 0.25
# Least and longest time between two states where a relay passes them on.
RELAYED_INTERVAL_S = 0.1
RELAYED_HEARTBEAT_S = 0.5
# How often a reader says that nothing else was changed.
NEWS_HEARTBEAT_S = 0.4
NO_CAPACITY = -1
# Between two fronts that are told all that the store holds.
ANSWER_INTERVAL_S = 0.2
MAX_DATAGRAM_BYTES = 60_000


class PeerTask(runtime.Task):
    """Tells peers the own state, and as a relay the sum of several fronts."""

    tick_s = IDLE_TICK_S

    def __init__(
        self,
        front: str,
        domain: str,
        port: int,
        sock: socket.socket,
        deliver: Callable[[_codec.PeerState], None],
        *,
        capacity: int = 0,
        fresh_s: Mapping[feeds.Topic, float] | None = None,
        clock: Callable[[], float] = runtime.now,
    ) -> None:
        """Creates the task without peers.

        Args:
            front: name of this front.
            domain: its failure domain.
            port: port that all fronts receive on.
            sock: bound socket, shared with the receive loop.
            deliver: called with each state that tells of others' load.
            capacity: what its instance can carry; the ablest is the relay.
            fresh_s: topics that fronts tell each other of, and how old news may be.
            clock: returns steady seconds.
        """
        super().__init__()
        self._front = front
        self._domain = domain
        self._port = port
        self._sock = sock
        self._pass_on = deliver
        self._clock = clock
        self._boot = secrets.randbits(BOOT_BITS)
        self._sequence = 0
        self._circle = _circle.Circle(front, domain, capacity)
        self._own = _messages.Tell(loads={})
        self._heard: dict[str, tuple[float, _codec.PeerState]] = {}
        self._fresh_s = dict(fresh_s or {})
        self._histories = {topic: feeds.History(topic) for topic in self._fresh_s}
        self._followers: dict[feeds.Topic, Callable[[feeds.News], None]] = {}
        # Of the own domain and of the others, by what is told there.
        self._near = _outbox.Outbox()
        self._far = _outbox.Outbox()
        self._deltas = {
            content: _deltas.Deltas(exact=content is _circle.Content.OWN)
            for content in _circle.Content
        }
        self._told_loads: _deltas.Loads = {}
        self._told_to: frozenset[str] = frozenset()
        self._told_at = float("-inf")
        self._news_at = float("-inf")
        self._news_due = False
        self._answered_at = float("-inf")
        self._changed = False
        # Any thread may read these. Whether others rely on what this front reads of
        # the store, and whether it asks targets itself or is told by its relay.
        self.reads = True
        self.asks = True

    def tell(self, state: _messages.Tell) -> None:
        """Has the peers told; called by any thread."""
        self.post(state)

    def followed(self, stretch: feeds.Followed) -> None:
        """Takes what was read of a topic, for the peers; called by any thread."""
        self.post(stretch)

    def follow(self, topic: feeds.Topic, hear: Callable[[feeds.News], None]) -> None:
        """Has peers' news of a topic handed to `hear`; called before the start."""
        self._followers[topic] = hear

    @functools.singledispatchmethod
    def handle(self, message: object) -> object:
        """Acts on one message."""
        return super().handle(message)

    @handle.register
    def _(self, message: _messages.Announced) -> None:
        self._circle.announced(
            message.front, message.host, message.domain, self._clock(), message.capacity
        )

    @handle.register
    def _(self, message: _messages.Heard) -> None:
        state = message.state
        now = self._clock()
        if state.front == self._front:
            return
        if self._circle.heard(
            state.front, message.host, state.domain, now, state.capacity
        ):
            logging.info("peer %s at %s is known", state.front, message.host)
        state = self._whole(state)
        self._heard[state.front] = (now, state)
        if self._circle.is_relay(now):
            self._note(state, now)
            self._changed = True
            self._tell_due(now)
        self._take_news(state)
        if state.asks and state.domain == self._domain:
            self._answer(state.front, message.host, now)
        self._pass_on(self._without_own(state))

    def _whole(self, state: _codec.PeerState) -> _codec.PeerState:
        """Returns a state with the loads that it doesn't repeat."""
        if not state.partial:
            return state
        _, known = self._heard.get(state.front, (0.0, state))
        base = known.loads if known.boot == state.boot else {}
        return attrs.evolve(state, loads=_deltas.merged(base, state.loads))

    def _note(self, state: _codec.PeerState, now: float) -> None:
        self._near.add(state, now)
        # Another domain's relay has told the other domains itself.
        if state.domain == self._domain:
            self._far.add(state, now)

    def _take_news(self, state: _codec.PeerState) -> None:
        if state.domain != self._domain:
            return
        for news in state.news:
            if news.topic in self._followers:
                self._followers[news.topic](news)

    def _answer(self, front: str, host: str, now: float) -> None:
        """Tells a front that can't read the store all that this one knows."""
        if self._circle.relay_of(self._domain, now, without=front) != self._front:
            return
        if now - self._answered_at < ANSWER_INTERVAL_S:
            return
        found = [history.whole(now) for history in self._histories.values()]
        news = tuple(whole for whole in found if whole is not None)
        if not news:
            return
        self._answered_at = now
        data = _codec.encode(attrs.evolve(self._empty_state(), news=news))
        if len(data) > MAX_DATAGRAM_BYTES:
            logging.warning("%s asks for %d bytes, too much", front, len(data))
            return
        logging.info("%s is told what the store holds, %d bytes", front, len(data))
        self._send_to(host, data)

    def _without_own(self, state: _codec.PeerState) -> _codec.PeerState:
        """Takes the own load out of a sum that a relay told."""
        if state.fronts == 1 or state.domain != self._domain:
            return state
        return state.without(self._told_loads)

    @handle.register
    def _(self, message: feeds.Followed) -> None:
        now = self._clock()
        if self._histories[message.topic].take(message, now) and self.reads:
            self._changed = self._news_due = True
            self._tell_due(now)

    @handle.register
    def _(self, message: _messages.Tell) -> None:
        now = self._clock()
        self._own = message
        self._near.add(message, now)
        self._far.add(message, now)
        self._changed = True
        self._tell_due(now)

    @handle.register
    def _(self, message: _messages.Drain) -> None:
        self._circle.capacity = NO_CAPACITY
        self._send(self._clock())

    def tick(self) -> None:
        """Tells what waits, and repeats the state if nothing changed for a while."""
        now = self._clock()
        for front in self._circle.forget(now):
            self._heard.pop(front, None)
            logging.info("peer %s is forgotten", front)
        self._note_role(now)
        self._tell_due(now)

    def _note_role(self, now: float) -> None:
        reads = self._circle.is_reader(now)
        if reads != self.reads:
            logging.info("this front %s for its domain", "reads" if reads else "rests")
        self.reads = reads
        self.asks = reads or self._circle.direct

    def closed(self) -> None:
        """Tells the peers that nothing is left here."""
        self._own = _messages.Tell(loads={})
        self._send(self._clock())

    # Sending.

    def _tell_due(self, now: float) -> None:
        least_s, longest_s = self._intervals()
        silent_s = now - self._told_at
        if silent_s >= longest_s or (self._changed and silent_s >= least_s):
            self._send(now)
        self.tick_s = least_s if self._changed else IDLE_TICK_S

    def _intervals(self) -> tuple[float, float]:
        """Returns the least and the longest time between two states."""
        if self._circle.direct:
            return 0.0, DIRECT_HEARTBEAT_S
        return RELAYED_INTERVAL_S, RELAYED_HEARTBEAT_S

    def _send(self, now: float) -> None:
        self._told_at = now
        self._changed = False
        recipients = self._circle.recipients(now)
        self._note_recipients(recipients)
        news = self._news(now)
        for content in _circle.Content:
            group = [r for r in recipients if r.content is content]
            if group:
                self._send_content(content, group, news, now)
        self._told_loads = self._own.loads
        if not self._circle.is_relay(now):
            # Nobody is told what only a relay tells.
            self._far.take(now)

    def _note_recipients(self, recipients: list[_circle.Recipient]) -> None:
        told_to = frozenset(r.front for r in recipients)
        if told_to - self._told_to:
            for deltas in self._deltas.values():
                deltas.reset()
        self._told_to = told_to

    def _send_content(
        self,
        content: _circle.Content,
        group: list[_circle.Recipient],
        news: tuple[feeds.News, ...],
        now: float,
    ) -> None:
        far = content is _circle.Content.DOMAIN
        state = self._state(content, self._far if far else self._near, now)
        encoded: dict[bool, bytes] = {}
        for recipient in group:
            if recipient.news not in encoded:
                told = news if recipient.news else ()
                encoded[recipient.news] = _codec.encode(attrs.evolve(state, news=told))
            self._send_to(recipient.host, encoded[recipient.news])

    def _send_to(self, host: str, data: bytes) -> None:
        try:
            self._sock.sendto(data, (host, self._port))
        except OSError as exc:
            # Datagrams may be lost anyway; the next one repeats the state.
            logging.debug("peer at %s isn't told: %s", host, exc)

    def _empty_state(self) -> _codec.PeerState:
        """Returns a state that changes nothing of what was told before."""
        self._sequence += 1
        return _codec.PeerState(
            front=self._front,
            boot=self._boot,
            sequence=self._sequence,
            loads={},
            partial=True,
            domain=self._domain,
            capacity=self._circle.capacity,
            asks=not all(history.known for history in self._histories.values()),
        )

    def _state(self, content, outbox: _outbox.Outbox, now: float) -> _codec.PeerState:
        summed = [] if content is _circle.Content.OWN else self._summed(content, now)
        loads = requests.sum_loads([self._own.loads, *(s.loads for s in summed)])
        if self._circle.direct:
            update = _deltas.Update(rows=loads, partial=False)
        else:
            update = self._deltas[content].next(loads, now)
        events = outbox.take(now)
        return attrs.evolve(
            self._empty_state(),
            loads=update.rows,
            partial=update.partial,
            kept=events.kept,
            held=events.held,
            listed=events.listed,
            leaving=events.leaving,
            fronts=1 + sum(state.fronts for state in summed),
        )

    def _news(self, now: float) -> tuple[feeds.News, ...]:
        if not self._news_due and now - self._news_at < NEWS_HEARTBEAT_S:
            return ()
        self._news_at = now
        self._news_due = False
        found = [
            history.news(now, self._fresh_s[topic])
            for topic, history in self._histories.items()
        ]
        return tuple(news for news in found if news is not None)

    def _summed(self, content, now: float) -> list[_codec.PeerState]:
        """Returns the states of others that a relay sums up."""
        members = set(self._circle.members(now))
        return [
            state
            for front, (at, state) in self._heard.items()
            if now - at <= requests.PEER_LEASE_S
            and (
                (front in members and state.fronts == 1)
                or (content is _circle.Content.FLEET and state.domain != self._domain)
            )
        ]
