"""Exchange of loads between fronts by datagram, for the choice of targets."""

from turmericward.peers._announce_loop import AnnounceLoop, Announcement
from turmericward.peers._codec import decode, encode
from turmericward.peers._fields import MalformedStateError
from turmericward.peers._messages import (
    Announced,
    CallsBegan,
    CollectUsage,
    Drain,
    FrontsListed,
    GetSilentDomains,
    LocalState,
    Members,
    SilentDomains,
    StateReceived,
    StoredUsage,
)
from turmericward.peers._peer_group import LoadScope, PeerGroup, Recipient
from turmericward.peers._peer_task import PeerTask
from turmericward.peers._receive_loop import ReceiveLoop, open_socket
from turmericward.peers._states import LeavingTarget, PeerState, TargetLimit

__all__ = [
    "AnnounceLoop",
    "Announced",
    "Announcement",
    "CallsBegan",
    "CollectUsage",
    "Drain",
    "FrontsListed",
    "GetSilentDomains",
    "LeavingTarget",
    "LoadScope",
    "MalformedStateError",
    "Members",
    "PeerGroup",
    "PeerState",
    "PeerTask",
    "ReceiveLoop",
    "Recipient",
    "SilentDomains",
    "StateReceived",
    "StoredUsage",
    "TargetLimit",
    "LocalState",
    "decode",
    "encode",
    "open_socket",
]
