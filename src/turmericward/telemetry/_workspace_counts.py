"""Counts by workspace, bounded in memory and in lines on the metrics page."""

import collections

# A name and its counts take about 0.3 KB: 1.2 MB at most.
MAX_NAMES = 4096
MAX_SHOWN = 50
# Stands for the workspaces that aren't shown or no longer counted apart.
OTHERS = "(others)"


class WorkspaceCounts:
    """How often the calls of each workspace ended in which way.

    Names of workspaces that are gone stay until the process ends.
    """

    def __init__(self) -> None:
        """Starts without counts."""
        self._counts: dict[str, collections.Counter[str]] = {}

    def add(self, workspace: str, outcome: str) -> None:
        """Counts one call; beyond `MAX_NAMES`, new names are counted together."""
        if workspace not in self._counts and len(self._counts) >= MAX_NAMES:
            workspace = OTHERS
        self._counts.setdefault(workspace, collections.Counter())[outcome] += 1

    def rows(self) -> list[tuple[str, str, int]]:
        """Returns workspace, outcome and count, by name.

        The `MAX_SHOWN` with most calls are shown; the sums of the others follow.
        """
        ranked = sorted(
            self._counts.items(),
            key=lambda item: (item[0] == OTHERS, -item[1].total(), item[0]),
        )
        rest: collections.Counter[str] = collections.Counter()
        for _, counts in ranked[MAX_SHOWN:]:
            rest.update(counts)
        shown = [*sorted(ranked[:MAX_SHOWN]), *([(OTHERS, rest)] if rest else ())]
        return [
            (name, outcome, count)
            for name, counts in shown
            for outcome, count in sorted(counts.items())
        ]
