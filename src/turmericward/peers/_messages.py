"""Messages to the task that tells peers."""

import attrs

from turmericward import requests
from turmericward.peers import _codec


@attrs.frozen(kw_only=True)
class Announced:
    """A front that announced itself, with its IP number and failure domain."""

    front: str
    host: str
    domain: str
    capacity: int = 0


@attrs.frozen(kw_only=True)
class Heard:
    """A state that came from `host`."""

    state: _codec.PeerState
    host: str


@attrs.frozen(kw_only=True)
class Tell:
    """The own state has changed; fields as in `PeerState`."""

    loads: dict[int, requests.TargetLoad]
    kept: tuple[requests.KeptNote, ...] = ()
    held: dict[int, float] = attrs.field(factory=dict)
    listed: frozenset[int] = frozenset()
    leaving: frozenset[_codec.LeavingTarget] = frozenset()


@attrs.frozen(kw_only=True)
class Drain:
    """This front is about to end: another one is to be the domain's relay."""
