"""Preselects the engines for which a placement is evaluated, to bound its cost.

Load pattern handled: hundreds of engines and hundreds of prompts a second, where
evaluating every engine takes longer than a short prompt does.
"""

import heapq
from collections.abc import Callable, Sequence

import attrs

from turmericward import fleet

# Up to this many engines all of them are candidates.
MAX_UNFILTERED_ENGINES = 24
# Numbers of candidates per role: the least loaded engines of all domains, and those
# of the front's domain.
CANDIDATES_PER_ROLE = 8
LOCAL_CANDIDATES_PER_ROLE = 3
# How long a shortlist is reused.
MAX_AGE_S = 0.1

QueueDelay = Callable[[fleet.Target], float]


@attrs.frozen
class _CachedShortlist:
    """A shortlist, the list it was picked from, and when."""

    targets: Sequence[fleet.Target]
    candidates: tuple[fleet.Target, ...]
    at: float


class Shortlist:
    """Picks the least loaded engines of a list; times are monotonic seconds."""

    def __init__(self, domain: str) -> None:
        """Starts without cached shortlists.

        Args:
            domain: the front's failure domain, some engines of which are always
                candidates.
        """
        self._domain = domain
        self._cached: dict[bool, _CachedShortlist] = {}

    def pick(
        self,
        targets: Sequence[fleet.Target],
        queue_delay: QueueDelay,
        now: float,
        *,
        decode: bool = False,
    ) -> Sequence[fleet.Target]:
        """Returns the candidates.

        Args:
            targets: all engines; if it is the same object again, it has not changed.
            queue_delay: returns the queue delay at an engine in seconds.
            now: monotonic seconds.
            decode: whether to leave out engines that only prefill.
        """
        if len(targets) <= MAX_UNFILTERED_ENGINES:
            return targets
        last = self._cached.get(decode)
        if last and last.targets is targets and 0 <= now - last.at < MAX_AGE_S:
            return last.candidates
        candidates = tuple(self._least_loaded(targets, queue_delay, decode=decode))
        self._cached[decode] = _CachedShortlist(targets, candidates, now)
        return candidates

    def _least_loaded(self, targets, queue_delay: QueueDelay, *, decode: bool):
        by_role: dict[object, list[fleet.Target]] = {}
        for target in targets:
            by_role.setdefault(target.role, []).append(target)
        if decode:
            by_role.pop(fleet.EngineRole.PREFILL, None)
        found: dict[str, fleet.Target] = {}
        for engines in by_role.values():
            local = [t for t in engines if t.domain == self._domain]
            for group, count in (
                (engines, CANDIDATES_PER_ROLE),
                (local, LOCAL_CANDIDATES_PER_ROLE),
            ):
                best = heapq.nsmallest(count, group, key=queue_delay)
                found |= {t.name: t for t in best}
        return found.values()
