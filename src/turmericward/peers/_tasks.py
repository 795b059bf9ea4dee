"""The task that tells peers and the loop that hears them."""

import functools
import secrets
import socket
from collections.abc import Callable

import attrs
from absl import logging

from turmericward import requests, runtime
from turmericward.peers import _codec

HEARTBEAT_S = 0.5
# A peer that was neither announced nor heard for this long is told nothing.
PEER_FORGOTTEN_S = 40.0
MAX_DATAGRAM_BYTES = 60_000
RECEIVE_TIMEOUT_S = 0.5
BOOT_BITS = 62


@attrs.frozen(kw_only=True)
class Announced:
    """A front that was announced or heard, with its IP number."""

    front: str
    host: str


@attrs.frozen(kw_only=True)
class Tell:
    """The own state has changed."""

    loads: dict[int, requests.TargetLoad]
    kept: tuple[requests.KeptNote, ...] = ()
    held: dict[int, float] = attrs.field(factory=dict)


def open_socket(host: str, port: int) -> socket.socket:
    """Binds the datagram socket that both directions use."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((host, port))
    sock.settimeout(RECEIVE_TIMEOUT_S)
    return sock


class PeerTask(runtime.Task):
    """Tells every known peer the own state: at each change, and as a heartbeat."""

    tick_s = HEARTBEAT_S

    def __init__(self, front: str, port: int, sock: socket.socket) -> None:
        """Creates the task without peers.

        Args:
            front: name of this front.
            port: port that all fronts receive on.
            sock: bound socket, shared with the receive loop.
        """
        super().__init__()
        self._front = front
        self._port = port
        self._sock = sock
        self._boot = secrets.randbits(BOOT_BITS)
        self._sequence = 0
        self._peers: dict[str, tuple[str, float]] = {}
        self._last = Tell(loads={})
        self._told_at = 0.0

    def tell(self, loads, kept, held) -> None:
        """Has the peers told; called by any thread."""
        self.post(Tell(loads=loads, kept=tuple(kept), held=held))

    @functools.singledispatchmethod
    def handle(self, message: object) -> object:
        """Acts on one message."""
        return super().handle(message)

    @handle.register
    def _(self, message: Announced) -> None:
        if message.front == self._front:
            return
        if message.front not in self._peers:
            logging.info("peer %s at %s is known", message.front, message.host)
        self._peers[message.front] = (message.host, runtime.now())

    @handle.register
    def _(self, message: Tell) -> None:
        self._last = message
        self._send(message)

    def tick(self) -> None:
        """Repeats the state if nothing changed for a while."""
        now = runtime.now()
        for front, (_, at) in list(self._peers.items()):
            if now - at > PEER_FORGOTTEN_S:
                del self._peers[front]
                logging.info("peer %s is forgotten", front)
        if now - self._told_at >= HEARTBEAT_S / 2:
            self._send(attrs.evolve(self._last, kept=(), held={}))

    def closed(self) -> None:
        """Tells the peers that nothing is left here."""
        self._send(Tell(loads={}))

    def _send(self, message: Tell) -> None:
        self._told_at = runtime.now()
        self._sequence += 1
        state = _codec.PeerState(
            front=self._front,
            boot=self._boot,
            sequence=self._sequence,
            loads=message.loads,
            kept=message.kept,
            held=message.held,
        )
        data = _codec.encode(state)
        for host, _ in self._peers.values():
            try:
                self._sock.sendto(data, (host, self._port))
            except OSError as exc:
                # Datagrams may be lost anyway; the next one repeats the state.
                logging.debug("peer at %s isn't told: %s", host, exc)


class ReceiveLoop(runtime.Loop):
    """Hears peers and passes their states on, the latest of each boot only."""

    def __init__(
        self,
        sock: socket.socket,
        tell: PeerTask,
        deliver: Callable[[_codec.PeerState], None],
    ) -> None:
        """Creates the loop."""
        super().__init__()
        self._sock = sock
        self._tell = tell
        self._deliver = deliver
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
        self._tell.post(Announced(front=state.front, host=host))
        boot, sequence = self._latest.get(state.front, (0, 0))
        if state.boot == boot and state.sequence <= sequence:
            return
        self._latest[state.front] = (state.boot, state.sequence)
        self._deliver(state)
