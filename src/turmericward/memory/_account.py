"""Account of the memory that a process holds for its clients and targets."""

import math
import threading
from collections.abc import Callable, Hashable

import attrs

from turmericward.memory import _decisions

Kind = _decisions.Kind
Holding = _decisions.Holding


class Account:
    """Counts the bytes of each holding; thread-safe.

    Times are given by the caller and are of one clock.
    """

    def __init__(
        self,
        limit_bytes: float = math.inf,
        count: Callable[[str], None] = lambda name: None,
    ) -> None:
        """Creates the account, without holdings.

        Args:
            limit_bytes: the limit of all holdings together.
            count: adds one to the counter with this name.
        """
        self.bounds = _decisions.Bounds.of(limit_bytes)
        self.count = count
        self._changed = threading.Condition()
        self._holdings: dict[tuple[Hashable, Kind], Holding] = {}
        self._held = 0
        self._wanted = 0

    @property
    def wanted(self) -> int:
        """Bytes that threads are waiting for."""
        return self._wanted

    @property
    def excess(self) -> int:
        """Bytes held beyond the limit."""
        if self._held <= self.bounds.total:
            return 0
        with self._changed:
            largest = max((h.size for h in self._holdings.values()), default=0)
            return _decisions.excess(self.bounds, self._held, largest)

    @property
    def held(self) -> int:
        """Bytes of all holdings."""
        return self._held

    def holdings(self) -> list[Holding]:
        """Returns all holdings."""
        with self._changed:
            return list(self._holdings.values())

    def set(
        self, owner: Hashable, kind: Kind, size: int, now: float, moved: int = 0
    ) -> None:
        """Sets what is held for one purpose; nothing is refused.

        Args:
            owner: who holds it.
            kind: the purpose.
            size: bytes, 0 to end the holding.
            now: time.
            moved: bytes that were received or sent since the last call.
        """
        with self._changed:
            self._set(owner, kind, size, now, moved)

    def grant(
        self, owner: Hashable, kind: Kind, size: int, now: float, wait_s: float = 0.0
    ) -> bool:
        """Lets a holding grow if there is memory; returns whether there is.

        Args:
            owner: who holds it.
            kind: the purpose.
            size: bytes that it is to hold.
            now: time.
            wait_s: how long memory is waited for.
        """
        with self._changed:
            if not (
                self._has_room(owner, kind, size)
                or (wait_s and self._wait_for_room(owner, kind, size, wait_s))
            ):
                return False
            self._set(owner, kind, size, now, 0)
            return True

    def _wait_for_room(self, owner, kind: Kind, size: int, wait_s: float) -> bool:
        self._wanted += size
        try:
            return self._changed.wait_for(
                lambda: self._has_room(owner, kind, size), wait_s
            )
        finally:
            self._wanted -= size

    def _has_room(self, owner: Hashable, kind: Kind, size: int) -> bool:
        old = self._holdings.get((owner, kind))
        own = old.size if old else 0
        return _decisions.may_grant(self.bounds, self._held, own, size)

    def _set(self, owner, kind: Kind, size: int, now: float, moved: int) -> None:
        key = (owner, kind)
        old = self._holdings.get(key)
        self._held += size - (old.size if old else 0)
        if not size:
            self._holdings.pop(key, None)
        elif old is None:
            self._holdings[key] = Holding(
                owner=owner, kind=kind, size=size, since=now, moved_at=now, moved=moved
            )
        else:
            self._holdings[key] = attrs.evolve(
                old,
                size=size,
                moved_at=now if moved else old.moved_at,
                moved=old.moved + moved,
            )
        if old is not None and size < old.size:
            self._changed.notify_all()
