"""Fronts tell each other their load in datagrams, so that none chooses blindly."""

from turmericward.peers._codec import MalformedStateError, PeerState, decode, encode
from turmericward.peers._tasks import Announced, PeerTask, ReceiveLoop, open_socket

__all__ = [
    "Announced",
    "MalformedStateError",
    "PeerState",
    "PeerTask",
    "ReceiveLoop",
    "decode",
    "encode",
    "open_socket",
]
