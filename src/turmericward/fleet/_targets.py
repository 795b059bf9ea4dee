"""Announced targets, and when one whose announcement is missing is removed."""

import collections
import enum
import functools
import zlib
from collections.abc import Collection

import attrs

# Limit on incarnations that are remembered as leaving, since announcements of them
# may be received late.
MAX_LEAVING_INCARNATIONS = 10_000


@functools.lru_cache(maxsize=20_000)
def target_hash(name: str) -> int:
    """Returns the number that identifies a target between fronts."""
    return zlib.crc32(name.encode()) & 0x7FFFFFFF


class EngineRole(enum.Enum):
    """Whether an engine only prefills prompts, or decodes (and may prefill) too."""

    PREFILL = "prefill"
    DECODE = "decode"


@attrs.frozen(kw_only=True)
class Target:
    """An engine or a replica of a plain service; `role` is None for the latter.

    `started_ms` distinguishes the incarnations of one name. A `spot` replica is cheaper
    and may be reclaimed by the platform.
    """

    name: str
    service: str
    address: str
    domain: str
    slots: int
    role: EngineRole | None = None
    leaving: bool = False
    started_ms: int = 0
    spot: bool = False

    @property
    def can_decode(self) -> bool:
        """Whether it decodes, rather than only prefilling for other engines."""
        return self.role is not EngineRole.PREFILL


class Directory:
    """The targets of all services, by name; times are monotonic seconds.

    After an outage of the store, a target without announcement is retained for
    `grace_s`: its announcement may have expired during the outage.
    """

    def __init__(self, grace_s: float) -> None:
        """Starts without targets.

        Args:
            grace_s: grace period for missing targets after an outage.
        """
        self._grace_s = grace_s
        self._targets: dict[str, Target] = {}
        self._names_by_hash: dict[int, str] = {}
        self._missing: dict[str, float] = {}
        self._grace_until = 0.0
        # Cache by service, cleared when a target changes.
        self._usable: dict[str, tuple[Target, ...]] = {}
        # Name and start of leaving incarnations, oldest first.
        self._leaving: collections.OrderedDict[tuple[str, int], None]
        self._leaving = collections.OrderedDict()

    def store_recovered(self, now: float) -> None:
        """Starts the grace period: announcements are read again after an outage."""
        self._grace_until = now + self._grace_s

    def put(self, target: Target) -> bool:
        """Adds a target or replaces the one of its name.

        Announcements may be written late: those of an earlier incarnation are
        ignored, and so are those that would bring a leaving incarnation back.
        Returns whether the announcement was applied.
        """
        known = self._targets.get(target.name)
        if known is not None and target.started_ms < known.started_ms:
            return False
        if target.leaving:
            self._record_leaving(target)
        elif (target.name, target.started_ms) in self._leaving:
            return False
        self._targets[target.name] = target
        self._names_by_hash[target_hash(target.name)] = target.name
        self._usable.clear()
        self._missing.pop(target.name, None)
        return True

    def leave(self, name: str, started_ms: int) -> bool:
        """Marks the incarnation of a target that started at `started_ms` as leaving.

        Returns whether it was in use. Later announcements of that incarnation don't
        bring it back.
        """
        known = self._targets.get(name)
        if known is None or known.started_ms != started_ms or known.leaving:
            return False
        self._targets[name] = attrs.evolve(known, leaving=True)
        self._usable.clear()
        self._record_leaving(known)
        return True

    def _record_leaving(self, target: Target) -> None:
        self._leaving[target.name, target.started_ms] = None
        while len(self._leaving) > MAX_LEAVING_INCARNATIONS:
            self._leaving.popitem(last=False)

    def remove(self, name: str, now: float) -> bool:
        """Removes a target, or in the grace period schedules its removal.

        Returns whether it is removed already. Leaving targets get no grace period.
        """
        if name not in self._targets:
            return False
        if now < self._grace_until and not self._targets[name].leaving:
            self._missing.setdefault(name, self._grace_until)
            return False
        self._drop(name)
        return True

    def keep_only(self, names: Collection[str], now: float) -> list[str]:
        """Removes the targets not named in a full list; returns the removed names."""
        unnamed = [name for name in self._targets if name not in names]
        return [name for name in unnamed if self.remove(name, now)]

    def expire(self, now: float) -> list[str]:
        """Drops missing targets at the end of the grace period; returns their names."""
        expired = [name for name, until in self._missing.items() if until <= now]
        for name in expired:
            self._drop(name)
        return expired

    def _drop(self, name: str) -> None:
        self._targets.pop(name, None)
        self._names_by_hash.pop(target_hash(name), None)
        self._usable.clear()
        self._missing.pop(name, None)

    def usable(self, service: str) -> tuple[Target, ...]:
        """Returns the service's targets that may get new calls.

        The same object is returned until a target changes.
        """
        if service not in self._usable:
            self._usable[service] = tuple(
                target
                for target in self._targets.values()
                if target.service == service and not target.leaving
            )
        return self._usable[service]

    def all(self) -> list[Target]:
        """Returns all targets, including leaving ones."""
        return list(self._targets.values())

    def get(self, name: str) -> Target | None:
        """Returns the target with this name, if any."""
        return self._targets.get(name)

    def contains(self, name: str) -> bool:
        """Returns whether a target with this name is known."""
        return name in self._targets

    def find(self, target: int, started_ms: int) -> Target | None:
        """Returns an incarnation of a target, given by the hash of its name."""
        known = self._targets.get(self._names_by_hash.get(target, ""))
        return known if known and known.started_ms == started_ms else None

    def __len__(self) -> int:
        """Returns the number of targets."""
        return len(self._targets)
