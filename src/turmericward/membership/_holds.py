"""Holds: for a bounded time, entries send no new requests to an engine."""

import attrs


@attrs.frozen(kw_only=True)
class Hold:
    """A hold on an engine, in force until `until` in local monotonic seconds."""

    engine: str
    hold_id: str
    until: float


class HoldTable:
    """A steward's holds, and the entries of its instance that confirmed them.

    Every configured entry has to confirm: an entry that doesn't answer may be
    paused and send a request to the engine when it resumes.
    """

    def __init__(self, entries: frozenset[str]) -> None:
        """Creates an empty table for the instance's configured entries."""
        self._entries = entries
        self._holds: dict[str, Hold] = {}
        self._confirmed: dict[str, set[str]] = {}
        self._released: dict[str, float] = {}

    def place(self, hold: Hold) -> None:
        """Adds a hold, or extends the one with the same id."""
        self._holds[hold.hold_id] = hold
        self._confirmed.setdefault(hold.hold_id, set())

    def release(self, hold_ids: list[str]) -> None:
        """Ends holds early; `released` lists them until they would have expired."""
        for hold_id in hold_ids:
            hold = self._holds.pop(hold_id, None)
            if hold is not None:
                del self._confirmed[hold_id]
                self._released[hold_id] = hold.until

    def released(self, now: float) -> list[str]:
        """Returns the ids of holds that were ended early and haven't expired."""
        self._released = {
            i: until for i, until in self._released.items() if until > now
        }
        return list(self._released)

    def confirm(self, entry: str, hold_ids: list[str]) -> None:
        """Records that `entry` sends no new requests to the engines of these holds."""
        for hold_id in hold_ids:
            if hold_id in self._confirmed:
                self._confirmed[hold_id].add(entry)

    def unconfirmed(self, hold_id: str) -> frozenset[str]:
        """Returns the entries that have not confirmed yet."""
        return self._entries - self._confirmed.get(hold_id, set())

    def active(self, now: float) -> list[Hold]:
        """Returns the holds in force and drops expired ones."""
        expired = [i for i, hold in self._holds.items() if hold.until <= now]
        for hold_id in expired:
            del self._holds[hold_id]
            del self._confirmed[hold_id]
        return list(self._holds.values())


class EntryHolds:
    """An entry's holds: engines to which it sends no new requests."""

    def __init__(self) -> None:
        """Creates an empty set of holds."""
        self._holds: dict[str, Hold] = {}

    def update(self, holds: list[Hold], released: list[str]) -> None:
        """Adds holds and drops the released ones.

        A hold that is missing in `holds` stays in force until it expires, since the
        steward may have restarted.
        """
        for hold in holds:
            self._holds[hold.hold_id] = hold
        for hold_id in released:
            self._holds.pop(hold_id, None)

    def all(self) -> list[Hold]:
        """Returns all holds that were not dropped yet."""
        return list(self._holds.values())

    def held(self, now: float) -> frozenset[str]:
        """Returns the engines that are held at `now` and drops expired holds."""
        self._holds = {i: h for i, h in self._holds.items() if h.until > now}
        return frozenset(hold.engine for hold in self._holds.values())
