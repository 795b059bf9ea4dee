"""Fronts tell each other their load in datagrams, so that none chooses blindly."""

from turmericward.peers._announce_loop import AnnounceLoop, Announcement
from turmericward.peers._circle import Circle, Content, Recipient
from turmericward.peers._codec import (
    LeavingTarget,
    MalformedStateError,
    PeerState,
    decode,
    encode,
)
from turmericward.peers._messages import Announced, Drain, Heard, Tell
from turmericward.peers._peer_task import PeerTask
from turmericward.peers._receive_loop import ReceiveLoop, open_socket

__all__ = [
    "AnnounceLoop",
    "Announced",
    "Announcement",
    "Circle",
    "Content",
    "Drain",
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
