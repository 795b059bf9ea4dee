"""Fronts tell each other their load in datagrams, so that none chooses blindly."""

from turmericward.peers._circle import Circle, Content, Recipient
from turmericward.peers._codec import (
    LeavingTarget,
    MalformedStateError,
    PeerState,
    decode,
    encode,
)
from turmericward.peers._tasks import (
    Announced,
    Heard,
    PeerTask,
    ReceiveLoop,
    Tell,
    open_socket,
)

__all__ = [
    "Announced",
    "Circle",
    "Content",
    "Heard",
    "LeavingTarget",
    "MalformedStateError",
    "PeerState",
    "PeerTask",
    "ReceiveLoop",
    "Recipient",
    "Tell",
    "decode",
    "encode",
    "open_socket",
]
