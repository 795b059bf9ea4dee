"""In-memory copy of all resources, with the change history that watches read."""

import collections
import threading

from turmericward import configuration

MAX_HISTORY_EVENTS = 4096


class Mirror:
    """Resources as of offset `applied`; written by one thread, read by many."""

    def __init__(self) -> None:
        """Creates an empty mirror at offset 0."""
        self._changed = threading.Condition()
        self._resources: dict[tuple[str, str], configuration.Resource] = {}
        self._history: collections.deque[configuration.Resource] = collections.deque()
        self._compacted_version = 0
        self.applied = 0

    def update(
        self,
        applied: int,
        resources: list[configuration.Resource],
        *,
        is_snapshot: bool,
    ) -> bool:
        """Applies ordered changes or a full snapshot; ignores an older update.

        Returns:
            Whether the update was applied.
        """
        with self._changed:
            if applied < self.applied:
                return False
            if is_snapshot:
                self._resources = {}
                self._history.clear()
                self._compacted_version = applied
            for res in resources:
                self._apply(res, is_snapshot)
            self.applied = applied
            self._changed.notify_all()
        return True

    def _apply(self, res: configuration.Resource, is_snapshot: bool) -> None:
        if res.value is None:
            self._resources.pop((res.kind, res.name), None)
        else:
            self._resources[res.kind, res.name] = res
        if not is_snapshot:
            self._history.append(res)
        if len(self._history) > MAX_HISTORY_EVENTS:
            self._compacted_version = self._history.popleft().version

    def all_resources(self) -> list[configuration.Resource]:
        """Returns the current resources of every kind."""
        with self._changed:
            return list(self._resources.values())

    def get(self, kind: str, name: str) -> configuration.Resource | None:
        """Returns the resource, or None if it does not exist."""
        with self._changed:
            return self._resources.get((kind, name))

    def changes_since(
        self, kind: str, version: int, wait_s: float
    ) -> tuple[int, list[configuration.Resource]] | None:
        """Returns the changes of a kind after `version`.

        If nothing newer has been applied, waits for an update for up to `wait_s`.

        Returns:
            The offset up to which the changes are complete and the changes in
            order, or None if `version` is older than the history.
        """
        with self._changed:
            if version >= self.applied:
                self._changed.wait(wait_s)
            if version < self._compacted_version:
                return None
            newer = [r for r in self._history if r.version > version]
            return self.applied, [r for r in newer if r.kind == kind]

    def wait_applied(self, version: int, wait_s: float) -> bool:
        """Waits until `version` is applied; returns False on timeout."""
        with self._changed:
            return self._changed.wait_for(lambda: self.applied >= version, wait_s)
