"""The fold of configuration records: accepts or rejects each one."""

import collections
import enum

import attrs

from turmericward import positions
from turmericward.configuration import _errors, _kinds, _records

MAX_HISTORY_EVENTS = 4096
TOMBSTONE_RETENTION_OFFSETS = 100_000


class Verdict(enum.Enum):
    """Result of folding a record."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    IGNORED = "ignored"


def _own_version(res: "Resource") -> int:
    return res.version


@attrs.frozen(kw_only=True)
class Resource:
    """A resource; its version is the number of the position behind its last change.

    `origin` is the version that the change had first, if the log has lost it since.
    `value` is None for a deleted resource. It is kept as a tombstone, so that a
    delayed append of an earlier change can't create the resource again.
    """

    kind: str
    name: str
    version: int
    value: dict | None
    origin: int = attrs.field(default=attrs.Factory(_own_version, takes_self=True))


class Ledger:
    """State of all resources after folding the log up to `applied`.

    Versions and `applied` are numbers of positions, in the eras that the log's records
    name. So they rise also when a log that has returned from an older copy gives out
    offsets anew. A version is that of the position behind the change, so that 0 can
    stand for "no version".
    """

    def __init__(self) -> None:
        """Creates the state before any record has been folded."""
        self._resources: dict[tuple[str, str], Resource] = {}
        self._history: collections.deque[Resource] = collections.deque(
            maxlen=MAX_HISTORY_EVENTS
        )
        self._history_floor = 0
        self.applied = 0
        # Number up to which changes of earlier eras are confirmed in this one.
        self.confirmed = 0

    def get(self, kind: str, name: str) -> Resource | None:
        """Returns the resource, or its tombstone if it was deleted, or None."""
        return self._resources.get((kind, name))

    @property
    def end(self) -> positions.Position:
        """The position behind the last record."""
        return positions.from_number(self.applied)

    @property
    def era(self) -> int:
        """The era that the log named last."""
        return self.end.era

    def all(self) -> list[Resource]:
        """Returns all resources and tombstones."""
        return list(self._resources.values())

    def had(self, res: Resource) -> bool:
        """Returns whether the recent history has this state of a resource."""
        return any(
            r.origin == res.origin
            and (r.kind, r.name, r.value) == (res.kind, res.name, res.value)
            for r in self._history
        )

    def reaches(self, version: int) -> bool:
        """Returns whether the history goes back to a version."""
        return self._history_floor < version

    def live(self) -> list[Resource]:
        """Returns the resources that aren't deleted, sorted by kind and name."""
        keys = sorted(self._resources)
        resources = [self._resources[k] for k in keys]
        return [r for r in resources if r.value is not None]

    def expected_version(self, kind: str, name: str) -> int:
        """Returns the version that a change of the resource must state as expected."""
        current = self.get(kind, name)
        return current.version if current else 0

    def change(self, **fields) -> _records.Change:
        """Returns the record of a new change; in a log that names eras, of this era."""
        if not self.era:
            return _records.Change(**fields)
        return _records.ChangeInEra(era=self.era, **fields)

    def apply(self, offset: int, raw: object) -> Verdict:
        """Folds one record of the log.

        Args:
            offset: the record's offset; what is below `applied` is ignored.
            raw: the record as decoded JSON.

        Returns:
            The verdict, which is the same for every reader of the log.
        """
        try:
            record = _records.decode(raw)
        except _errors.MalformedRecordError:
            record = None
        era = self.era
        if isinstance(record, _records.Era) and record.era > era:
            era = record.era
            self.confirmed = 0
        position = positions.Position(era, offset)
        if position.number < self.applied:
            return Verdict.IGNORED
        self.applied = position.plus(1).number
        self._drop_expired_tombstones()
        if record is None:
            return Verdict.INVALID
        if isinstance(record, _records.Confirmation) and record.era == era:
            self.confirmed = max(self.confirmed, record.known)
        if not isinstance(record, _records.Change):
            return Verdict.IGNORED
        return self._apply_change(self.applied, record)

    def _apply_change(self, version: int, change: _records.Change) -> Verdict:
        if change.expected != self.expected_version(change.kind, change.name):
            return Verdict.CONFLICT
        in_era = isinstance(change, _records.ChangeInEra)
        if in_era and change.era != self.era:
            return Verdict.CONFLICT
        if change.value is not None:
            try:
                _kinds.parse(change.kind, change.value)
            except _errors.InvalidResourceError:
                return Verdict.INVALID
        resource = Resource(
            kind=change.kind,
            name=change.name,
            version=version,
            value=change.value,
            origin=(in_era and change.origin) or version,
        )
        self._store(resource)
        return Verdict.ACCEPTED

    def _store(self, resource: Resource) -> None:
        if len(self._history) == MAX_HISTORY_EVENTS:
            self._history_floor = self._history[0].version
        self._resources[resource.kind, resource.name] = resource
        self._history.append(resource)

    def _drop_expired_tombstones(self) -> None:
        if self.applied % TOMBSTONE_RETENTION_OFFSETS:
            return
        limit = self.applied - TOMBSTONE_RETENTION_OFFSETS
        expired = [
            key
            for key, res in self._resources.items()
            if res.value is None and res.version <= limit
        ]
        for key in expired:
            del self._resources[key]

    def since(self, version: int) -> list[Resource] | None:
        """Returns the changes after `version` in order, each exactly once.

        Returns:
            The changes, or None when `version` is older than the history or of an
            earlier era, from which the log may have lost some.
        """
        if version < self._history_floor:
            return None
        if 0 < version < positions.Position(self.era, 0).number:
            return None
        return [r for r in self._history if r.version > version]

    def snapshot(self) -> dict:
        """Returns the state as a JSON object."""
        rows = [_row(res) for res in self._resources.values()]
        return {"applied": self.applied, "resources": rows}

    @classmethod
    def restore(cls, state: dict) -> "Ledger":
        """Builds a ledger from the result of `snapshot`.

        Raises:
            MalformedRecordError: the state is malformed.
        """
        ledger = cls()
        try:
            for kind, name, version, value, *origin in state["resources"]:
                ledger._resources[kind, name] = Resource(
                    kind=kind,
                    name=name,
                    version=version,
                    value=value,
                    origin=origin[0] if origin else version,
                )
            ledger.applied = ledger.confirmed = state["applied"]
        except (KeyError, TypeError, ValueError) as exc:
            raise _errors.MalformedRecordError(f"snapshot: {exc}") from exc
        ledger._history_floor = ledger.applied
        return ledger


def _row(res: Resource) -> list:
    row = [res.kind, res.name, res.version, res.value]
    return row if res.origin == res.version else [*row, res.origin]
