"""Events that are queued for a group of peers."""

import collections

import attrs

from turmericward import requests
from turmericward.peers import _messages, _states

# Cache entries in one datagram, and in the queue, which drops the oldest ones.
MAX_ENTRIES_PER_DATAGRAM = 200
MAX_QUEUED_ENTRIES = 2_000
# How long a leaving target is repeated in each datagram, as datagrams may be lost.
LEAVING_REPEAT_S = 2.0


@attrs.frozen(kw_only=True)
class Events:
    """The events of one datagram; fields as in `PeerState`."""

    cache_entries: tuple[requests.CacheEntry, ...]
    held: dict[int, float]
    listed: frozenset[int]
    leaving: frozenset[_states.LeavingTarget]


class Outbox:
    """Events not yet sent to a group of peers; times are monotonic seconds."""

    def __init__(self) -> None:
        """Creates an empty outbox."""
        self._cache_entries: collections.deque[requests.CacheEntry]
        self._cache_entries = collections.deque(maxlen=MAX_QUEUED_ENTRIES)
        self._held: dict[int, float] = {}
        self._listed: frozenset[int] = frozenset()
        # Incarnations of leaving targets, with the time they were first added.
        self._leaving: dict[_states.LeavingTarget, float] = {}

    def add(self, state: _messages.LocalState | _states.PeerState, now: float) -> None:
        """Adds the events of a local state or of a peer's."""
        self._cache_entries.extend(state.cache_entries)
        self._held |= state.held
        self._listed |= state.listed
        for target in state.leaving:
            self._leaving.setdefault(target, now)

    def pop_due(self, now: float) -> Events:
        """Removes and returns the events of the next datagram."""
        count = min(len(self._cache_entries), MAX_ENTRIES_PER_DATAGRAM)
        cache_entries = tuple(self._cache_entries.popleft() for _ in range(count))
        held, self._held = self._held, {}
        listed, self._listed = self._listed, frozenset()
        return Events(
            cache_entries=cache_entries,
            held=held,
            listed=listed,
            leaving=self._leaving_now(now),
        )

    def _leaving_now(self, now: float) -> frozenset[_states.LeavingTarget]:
        # Retained for longer than sent, so that two relays don't repeat each other's
        # events forever.
        self._leaving = {
            target: since
            for target, since in self._leaving.items()
            if now - since <= 2 * LEAVING_REPEAT_S
        }
        return frozenset(
            target
            for target, since in self._leaving.items()
            if now - since <= LEAVING_REPEAT_S
        )
