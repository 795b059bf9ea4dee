"""Events that wait to be told to a group of peers."""

import collections

import attrs

from turmericward import requests
from turmericward.peers import _codec, _messages

# Notes of kept prompts in one datagram, and those that wait; older ones are dropped.
MAX_TOLD_NOTES = 200
MAX_WAITING_NOTES = 2_000
# A target that leaves is told again and again for so long: datagrams get lost.
LEAVING_TOLD_S = 2.0


@attrs.frozen(kw_only=True)
class Events:
    """What one datagram tells besides the load; fields as in `PeerState`."""

    kept: tuple[requests.KeptNote, ...]
    held: dict[int, float]
    listed: frozenset[int]
    leaving: frozenset[_codec.LeavingTarget]


class Outbox:
    """What a group of peers hasn't been told; times are steady seconds."""

    def __init__(self) -> None:
        """Creates the outbox with nothing to tell."""
        self._kept: collections.deque[requests.KeptNote]
        self._kept = collections.deque(maxlen=MAX_WAITING_NOTES)
        self._held: dict[int, float] = {}
        self._listed: frozenset[int] = frozenset()
        # Since when lives of targets that leave are known.
        self._leaving: dict[_codec.LeavingTarget, float] = {}

    def add(self, told: _messages.Tell | _codec.PeerState, now: float) -> None:
        """Adds what happened here or what a peer told."""
        self._kept.extend(told.kept)
        self._held |= told.held
        self._listed |= told.listed
        for life in told.leaving:
            self._leaving.setdefault(life, now)

    def take(self, now: float) -> Events:
        """Returns what the next datagram tells."""
        count = min(len(self._kept), MAX_TOLD_NOTES)
        kept = tuple(self._kept.popleft() for _ in range(count))
        held, self._held = self._held, {}
        listed, self._listed = self._listed, frozenset()
        return Events(kept=kept, held=held, listed=listed, leaving=self._told(now))

    def _told(self, now: float) -> frozenset[_codec.LeavingTarget]:
        # Remembered for longer than told, so that two relays don't repeat for ever
        # what each hears from the other.
        self._leaving = {
            life: since
            for life, since in self._leaving.items()
            if now - since <= 2 * LEAVING_TOLD_S
        }
        return frozenset(
            life
            for life, since in self._leaving.items()
            if now - since <= LEAVING_TOLD_S
        )
