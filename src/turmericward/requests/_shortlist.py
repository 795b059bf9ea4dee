"""The engines that a choice looks at closely, so that its cost stays bounded.

Load pattern that it answers: hundreds of engines and a choice for each of
hundreds of prompts a second, where looking at every engine takes longer than a
short prompt does.
"""

import heapq
from collections.abc import Callable, Sequence

import attrs

from turmericward import fleet

# With fewer engines all of them are looked at.
MAX_WHOLE = 24
# The least loaded engines of each role, anywhere and in the own domain.
PER_ROLE = 8
PER_ROLE_NEAR = 3
# How long the order by load is relied on.
MAX_AGE_S = 0.1

Wait = Callable[[fleet.Target], float]


@attrs.frozen
class _Picked:
    """A shortlist, the list it was picked from, and when."""

    targets: Sequence[fleet.Target]
    chosen: tuple[fleet.Target, ...]
    at: float


class Shortlist:
    """The least loaded engines of a list; times are steady seconds."""

    def __init__(self, domain: str) -> None:
        """Creates the shortlists of a front.

        Args:
            domain: its failure domain, of which some engines are always listed.
        """
        self._domain = domain
        self._picked: dict[bool, _Picked] = {}

    def pick(
        self,
        targets: Sequence[fleet.Target],
        wait: Wait,
        now: float,
        *,
        answering: bool = False,
    ) -> Sequence[fleet.Target]:
        """Returns the engines to look at.

        Args:
            targets: all engines; a list that is the same object has not changed.
            wait: what a call has to wait for at an engine, in seconds.
            now: steady seconds.
            answering: whether engines that only read prompts are left out.
        """
        if len(targets) <= MAX_WHOLE:
            return targets
        last = self._picked.get(answering)
        if last and last.targets is targets and 0 <= now - last.at < MAX_AGE_S:
            return last.chosen
        chosen = tuple(self._least_loaded(targets, wait, answering=answering))
        self._picked[answering] = _Picked(targets, chosen, now)
        return chosen

    def _least_loaded(self, targets, wait: Wait, *, answering: bool):
        by_role: dict[object, list[fleet.Target]] = {}
        for target in targets:
            by_role.setdefault(target.role, []).append(target)
        if answering:
            by_role.pop(fleet.EngineRole.PREFILL, None)
        found: dict[str, fleet.Target] = {}
        for of_role in by_role.values():
            near = [t for t in of_role if t.domain == self._domain]
            for group, count in ((of_role, PER_ROLE), (near, PER_ROLE_NEAR)):
                best = heapq.nsmallest(count, group, key=wait)
                found |= {t.name: t for t in best}
        return found.values()
