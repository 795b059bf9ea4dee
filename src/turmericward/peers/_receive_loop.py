"""The socket for datagrams between fronts, and the loop that receives them."""

import socket

from absl import logging

from turmericward import runtime, telemetry
from turmericward.peers import _codec, _fields, _messages, _peer_task

RECEIVE_TIMEOUT_S = 0.5


def open_socket(host: str, port: int) -> socket.socket:
    """Binds the datagram socket, which is used both to send and to receive."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((host, port))
    sock.settimeout(RECEIVE_TIMEOUT_S)
    return sock


class ReceiveLoop(runtime.Loop):
    """Receives peers' states; drops duplicates and outdated ones of the same boot."""

    def __init__(
        self,
        sock: socket.socket,
        task: _peer_task.PeerTask,
        rejections: telemetry.Rejections | None = None,
    ) -> None:
        """Creates the loop.

        Args:
            sock: bound socket with a timeout, shared with the task.
            task: gets a message for each state.
            rejections: gets the datagrams that can't be used.
        """
        super().__init__()
        self._rejections = rejections or telemetry.Rejections()
        self._sock = sock
        self._task = task
        self._latest: dict[str, tuple[int, int]] = {}

    def run_once(self) -> None:
        """Receives one datagram, or returns after `RECEIVE_TIMEOUT_S`."""
        try:
            data, (host, _) = self._sock.recvfrom(_peer_task.MAX_DATAGRAM_BYTES)
        except TimeoutError:
            return
        except OSError as exc:
            logging.warning("can't receive datagrams: %s", exc)
            self.pause(RECEIVE_TIMEOUT_S)
            return
        try:
            state = _codec.decode(data)
        except _fields.MalformedStateError as exc:
            self._rejections.add("datagrams", host, str(exc))
            return
        boot, sequence = self._latest.get(state.front, (0, 0))
        if state.boot == boot and state.sequence <= sequence:
            return
        self._latest[state.front] = (state.boot, state.sequence)
        self._task.post(_messages.StateReceived(state=state, host=host))
