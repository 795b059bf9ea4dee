"""Targets as they announce themselves, and when an absent one counts as gone."""

import collections
import enum
from collections.abc import Collection

import attrs

# Lives that are remembered as leaving after their announcement went.
MAX_LEFT_LIVES = 10_000


class EngineRole(enum.Enum):
    """What a model engine does: read prompts only, or answer requests."""

    PREFILL = "prefill"
    DECODE = "decode"


@attrs.frozen(kw_only=True)
class Target:
    """An engine or a replica of a plain service; `role` is None for the latter.

    `started_ms` tells two lives under one name apart.
    """

    name: str
    service: str
    address: str
    domain: str
    slots: int
    role: EngineRole | None = None
    leaving: bool = False
    started_ms: int = 0

    @property
    def answers(self) -> bool:
        """Whether it does more than read prompts for others."""
        return self.role is not EngineRole.PREFILL


class Directory:
    """The targets of all services, by name; times are monotonic seconds.

    After the source of announcements was away, a missing target is kept for
    `grace_s`: its announcement may have expired without its fault.
    """

    def __init__(self, grace_s: float) -> None:
        """Creates an empty directory."""
        self._grace_s = grace_s
        self._targets: dict[str, Target] = {}
        self._missing: dict[str, float] = {}
        self._grace_until = 0.0
        # By service, until a target changes.
        self._usable: dict[str, tuple[Target, ...]] = {}
        # Name and start of lives that leave, oldest first.
        self._left: collections.OrderedDict[tuple[str, int], None]
        self._left = collections.OrderedDict()

    def source_returned(self, now: float) -> None:
        """Notes that announcements are read again after an outage."""
        self._grace_until = now + self._grace_s

    def put(self, target: Target) -> bool:
        """Adds a target or replaces the one of its name.

        An announcement of an earlier life is ignored, and within one life a
        target that leaves goes on leaving: announcements may be written late.
        Tells whether the announcement was taken.
        """
        known = self._targets.get(target.name)
        if known is not None and target.started_ms < known.started_ms:
            return False
        if target.leaving:
            self._note_left(target)
        elif (target.name, target.started_ms) in self._left:
            return False
        self._targets[target.name] = target
        self._usable.clear()
        self._missing.pop(target.name, None)
        return True

    def leave(self, name: str, started_ms: int) -> bool:
        """Notes that a target leaves in the life that began at `started_ms`.

        Tells whether it was in use. An announcement of that life that comes later
        doesn't bring it back.
        """
        known = self._targets.get(name)
        if known is None or known.started_ms != started_ms or known.leaving:
            return False
        self._targets[name] = attrs.evolve(known, leaving=True)
        self._usable.clear()
        self._note_left(known)
        return True

    def _note_left(self, target: Target) -> None:
        self._left[target.name, target.started_ms] = None
        while len(self._left) > MAX_LEFT_LIVES:
            self._left.popitem(last=False)

    def remove(self, name: str, now: float) -> bool:
        """Takes a target out, within the grace period only at its end.

        Tells whether it is out now.
        """
        if name not in self._targets:
            return False
        if now < self._grace_until and not self._targets[name].leaving:
            self._missing.setdefault(name, self._grace_until)
            return False
        self._drop(name)
        return True

    def keep_only(self, names: Collection[str], now: float) -> list[str]:
        """Takes out what a whole list doesn't name; returns the names of those out."""
        unnamed = [name for name in self._targets if name not in names]
        return [name for name in unnamed if self.remove(name, now)]

    def expire(self, now: float) -> list[str]:
        """Drops the missing targets whose grace has ended; returns their names."""
        gone = [name for name, until in self._missing.items() if until <= now]
        for name in gone:
            self._drop(name)
        return gone

    def _drop(self, name: str) -> None:
        self._targets.pop(name, None)
        self._usable.clear()
        self._missing.pop(name, None)

    def usable(self, service: str) -> tuple[Target, ...]:
        """Returns the service's targets that may get new work.

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
        """Returns every target, leaving ones too."""
        return list(self._targets.values())

    def get(self, name: str) -> Target | None:
        """Returns the target of this name."""
        return self._targets.get(name)

    def __len__(self) -> int:
        """Returns the number of targets."""
        return len(self._targets)
