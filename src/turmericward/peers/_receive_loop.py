"""The socket that fronts hear each other on, and the loop that reads it."""

import socket

from absl import logging

from turmericward import runtime
from turmericward.peers import _codec, _messages, _peer_task

RECEIVE_TIMEOUT_S = 0.5


def open_socket(host: str, port: int) -> socket.socket:
    """Binds the datagram socket that both directions use."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((host, port))
    sock.settimeout(RECEIVE_TIMEOUT_S)
    return sock


class ReceiveLoop(runtime.Loop):
    """Hears peers and passes their states on, the latest of each boot only."""

    def __init__(self, sock: socket.socket, tell: _peer_task.PeerTask) -> None:
        """Creates the loop."""
        super().__init__()
        self._sock = sock
        self._tell = tell
        self._latest: dict[str, tuple[int, int]] = {}

    def step(self) -> None:
        """Takes one datagram."""
        try:
            data, (host, _) = self._sock.recvfrom(_peer_task.MAX_DATAGRAM_BYTES)
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
        self._tell.post(_messages.Heard(state=state, host=host))
