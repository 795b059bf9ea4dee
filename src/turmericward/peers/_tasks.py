"""The task that tells peers and the loop that hears them."""

import functools
import secrets
import socket

import attrs
from absl import logging

from turmericward import requests, runtime
from turmericward.peers import _circle, _codec

HEARTBEAT_S = 0.5
# Least time between two states of a relay.
RELAY_INTERVAL_S = 0.1
MAX_DATAGRAM_BYTES = 60_000
# Notes of kept prompts that wait to be passed on; older ones are dropped.
MAX_WAITING_NOTES = 200
RECEIVE_TIMEOUT_S = 0.5
# A target that leaves is told again and again for so long: datagrams get lost.
LEAVING_TOLD_S = 2.0
BOOT_BITS = 62


@attrs.frozen(kw_only=True)
class Announced:
    """A front that announced itself, with its IP number and failure domain."""

    front: str
    host: str
    domain: str


@attrs.frozen(kw_only=True)
class Heard:
    """A state that came from `host`."""

    state: _codec.PeerState
    host: str


@attrs.frozen(kw_only=True)
class Tell:
    """The own state has changed."""

    loads: dict[int, requests.TargetLoad]
    kept: tuple[requests.KeptNote, ...] = ()
    held: dict[int, float] = attrs.field(factory=dict)
    listed: frozenset[int] = frozenset()
    leaving: frozenset[_codec.LeavingTarget] = frozenset()


def open_socket(host: str, port: int) -> socket.socket:
    """Binds the datagram socket that both directions use."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((host, port))
    sock.settimeout(RECEIVE_TIMEOUT_S)
    return sock


class PeerTask(runtime.Task):
    """Tells peers the own state, and as a relay the sum of several fronts."""

    tick_s = RELAY_INTERVAL_S

    def __init__(
        self,
        front: str,
        domain: str,
        port: int,
        sock: socket.socket,
        deliver,
        clock=runtime.now,
    ) -> None:
        """Creates the task without peers.

        Args:
            front: name of this front.
            domain: its failure domain.
            port: port that all fronts receive on.
            sock: bound socket, shared with the receive loop.
            deliver: called with each state that tells of others' load.
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
        self._circle = _circle.Circle(front, domain)
        self._own = Tell(loads={})
        self._heard: dict[str, tuple[float, _codec.PeerState]] = {}
        self._notes: list[requests.KeptNote] = []
        self._held: dict[int, float] = {}
        self._listed: frozenset[int] = frozenset()
        # Since when lives of targets that leave are known.
        self._leaving: dict[_codec.LeavingTarget, float] = {}
        self._told_at = 0.0

    def tell(self, state: Tell) -> None:
        """Has the peers told; called by any thread."""
        self.post(state)

    @functools.singledispatchmethod
    def handle(self, message: object) -> object:
        """Acts on one message."""
        return super().handle(message)

    @handle.register
    def _(self, message: Announced) -> None:
        now = self._clock()
        if self._circle.announced(message.front, message.host, message.domain, now):
            logging.info("peer %s at %s is known", message.front, message.host)

    @handle.register
    def _(self, message: Heard) -> None:
        state = message.state
        now = self._clock()
        if self._circle.heard(state.front, message.host, state.domain, now):
            logging.info("peer %s at %s is known", state.front, message.host)
        if state.front == self._front:
            return
        self._heard[state.front] = (now, state)
        if not self._circle.direct:
            self._note(state)
        self._pass_on(self._without_own(state))

    def _without_own(self, state: _codec.PeerState) -> _codec.PeerState:
        """Takes the own load out of a sum that a relay told."""
        if state.fronts == 1 or state.domain != self._domain:
            return state
        own = self._own.loads
        loads = {
            target: load.without(own[target]) if target in own else load
            for target, load in state.loads.items()
        }
        return attrs.evolve(state, loads=loads)

    @handle.register
    def _(self, message: Tell) -> None:
        self._own = message
        self._note(message)
        now = self._clock()
        if not self._circle.is_relay(now) or now - self._told_at >= RELAY_INTERVAL_S:
            self._send(now)

    def _note(self, told: Tell | _codec.PeerState) -> None:
        self._notes = [*self._notes, *told.kept][-MAX_WAITING_NOTES:]
        self._held |= told.held
        self._listed |= told.listed
        now = self._clock()
        for life in told.leaving:
            self._leaving.setdefault(life, now)

    def tick(self) -> None:
        """Repeats the state if nothing changed for a while."""
        now = self._clock()
        self._forget_leaving(now)
        for front in self._circle.forget(now):
            logging.info("peer %s is forgotten", front)
        interval_s = HEARTBEAT_S / 2
        if self._circle.is_relay(now):
            interval_s = RELAY_INTERVAL_S
        if now - self._told_at >= interval_s:
            self._send(now)

    def _forget_leaving(self, now: float) -> None:
        # Remembered for longer than told, so that two relays don't repeat for ever
        # what each hears from the other.
        for life, since in list(self._leaving.items()):
            if now - since > 2 * LEAVING_TOLD_S:
                del self._leaving[life]

    def closed(self) -> None:
        """Tells the peers that nothing is left here."""
        self._own = Tell(loads={})
        self._send(self._clock())

    def _send(self, now: float) -> None:
        self._told_at = now
        encoded: dict[_circle.Content, bytes] = {}
        for recipient in self._circle.recipients(now):
            content = recipient.content
            if content not in encoded:
                encoded[content] = _codec.encode(self._state(content, now))
            try:
                self._sock.sendto(encoded[content], (recipient.host, self._port))
            except OSError as exc:
                # Datagrams may be lost anyway; the next one repeats the state.
                logging.debug("peer at %s isn't told: %s", recipient.host, exc)
        self._notes = []
        self._held = {}
        self._listed = frozenset()

    def _state(self, content: _circle.Content, now: float) -> _codec.PeerState:
        self._sequence += 1
        summed = [] if content is _circle.Content.OWN else self._summed(content, now)
        return _codec.PeerState(
            front=self._front,
            boot=self._boot,
            sequence=self._sequence,
            loads=requests.sum_loads([self._own.loads, *(s.loads for s in summed)]),
            kept=tuple(self._notes),
            held=self._held,
            listed=self._listed,
            leaving=frozenset(
                life
                for life, since in self._leaving.items()
                if now - since <= LEAVING_TOLD_S
            ),
            domain=self._domain,
            fronts=1 + sum(state.fronts for state in summed),
        )

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


class ReceiveLoop(runtime.Loop):
    """Hears peers and passes their states on, the latest of each boot only."""

    def __init__(self, sock: socket.socket, tell: PeerTask) -> None:
        """Creates the loop."""
        super().__init__()
        self._sock = sock
        self._tell = tell
        self._latest: dict[str, tuple[int, int]] = {}

    def step(self) -> None:
        """Takes one datagram."""
        try:
            data, (host, _) = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
        except TimeoutError:
            return
        except OSError as exc:
            logging.warning("datagrams can't be received: %s", exc)
            self.pause(RECEIVE_TIMEOUT_S)
            return
        try:
            state = _codec.decode(data)
        except _codec.MalformedStateError as exc:
            logging.warning("datagram of %s is ignored: %s", host, exc)
            return
        boot, sequence = self._latest.get(state.front, (0, 0))
        if state.boot == boot and state.sequence <= sequence:
            return
        self._latest[state.front] = (state.boot, state.sequence)
        self._tell.post(Heard(state=state, host=host))
