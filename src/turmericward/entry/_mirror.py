"""The entry's copy of all resources, with the history that watches read."""

import collections
import threading

from turmericward import configuration

HISTORY_EVENTS = 4096


class Mirror:
    """Resources up to `applied`; written by one thread, read by many."""

    def __init__(self) -> None:
        """Creates an empty copy."""
        self._changed = threading.Condition()
        self._resources: dict[tuple[str, str], configuration.Resource] = {}
        self._history: collections.deque[configuration.Resource] = collections.deque()
        self._floor = 0
        self.applied = 0

    def update(
        self, applied: int, resources: list[configuration.Resource], *, whole: bool
    ) -> bool:
        """Takes changes in order, or a whole state; older ones are ignored.

        Returns:
            Whether the update was taken.
        """
        with self._changed:
            if applied < self.applied:
                return False
            if whole:
                self._resources = {}
                self._history.clear()
                self._floor = applied
            for res in resources:
                self._take(res, whole)
            self.applied = applied
            self._changed.notify_all()
        return True

    def _take(self, res: configuration.Resource, whole: bool) -> None:
        if res.value is None:
            self._resources.pop((res.kind, res.name), None)
        else:
            self._resources[res.kind, res.name] = res
        if not whole:
            self._history.append(res)
        if len(self._history) > HISTORY_EVENTS:
            self._floor = self._history.popleft().version

    def live(self) -> list[configuration.Resource]:
        """Returns all resources."""
        with self._changed:
            return list(self._resources.values())

    def get(self, kind: str, name: str) -> configuration.Resource | None:
        """Returns the resource, or None."""
        with self._changed:
            return self._resources.get((kind, name))

    def since(
        self, kind: str, version: int, wait_s: float
    ) -> tuple[int, list[configuration.Resource]] | None:
        """Returns changes of a kind after `version`, waiting for some.

        Returns:
            The offset up to which the answer is complete and the changes in
            order, or None when `version` is older than the history.
        """
        with self._changed:
            if version >= self.applied:
                self._changed.wait(wait_s)
            if version < self._floor:
                return None
            found = [r for r in self._history if r.version > version]
            return self.applied, [r for r in found if r.kind == kind]

    def wait_applied(self, version: int, wait_s: float) -> bool:
        """Waits until `version` has been applied; tells whether it has."""
        with self._changed:
            return self._changed.wait_for(lambda: self.applied >= version, wait_s)
