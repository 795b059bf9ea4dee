"""Counts of this front and of others, merged so that lost messages don't matter."""

import collections
from collections.abc import Mapping

from turmericward.metering import _usage

Counts = dict[str, int]
# Names a front since one of its starts.
Incarnation = tuple[str, int]


def _merge(counts: Counts, others: Mapping[str, int]) -> bool:
    """Raises counts to those of others; returns whether that changed any."""
    changed = False
    for workspace, count in others.items():
        if count > counts.get(workspace, 0):
            counts[workspace] = count
            changed = True
    return changed


class Ledger:
    """Cumulative counts by window and incarnation of a front, or by domain.

    Counts of one source only rise, so the maximum of what it has sent is the newest:
    repeated, lost and reordered messages change nothing. Those of fronts that died
    stay until the window is dropped.
    """

    def __init__(self, domain: str, own: Incarnation) -> None:
        """Starts without counts.

        Args:
            domain: failure domain of this front.
            own: this front.
        """
        self._domain = domain
        self._own = own
        self._fronts: dict[int, dict[Incarnation, Counts]] = {}
        self._domains: dict[int, dict[str, Counts]] = {}
        # Highest total that a front or a domain has told, by window.
        self._totals: dict[int, dict[Incarnation | str, int]] = {}
        # Domains of the fronts that have sent counts.
        self._domain_of: dict[Incarnation, str] = {own: domain}

    def count(self, window: int, workspace: str) -> None:
        """Counts a call of this front."""
        counts = self._front_counts(window, self._own)
        counts[workspace] = counts.get(workspace, 0) + 1

    def _front_counts(self, window: int, front: Incarnation) -> Counts:
        return self._fronts.setdefault(window, {}).setdefault(front, {})

    def receive(
        self, front: Incarnation, domain: str, usage: _usage.WindowUsage
    ) -> bool:
        """Merges what a front has sent; returns whether that changed anything."""
        source = domain if usage.domain else front
        totals = self._totals.setdefault(usage.window, {})
        totals[source] = max(usage.total, totals.get(source, 0))
        if usage.domain:
            sums = self._domains.setdefault(usage.window, {}).setdefault(domain, {})
            return _merge(sums, usage.counts)
        self._domain_of[front] = domain
        return _merge(self._front_counts(usage.window, front), usage.counts)

    def own(self, window: int) -> Counts:
        """Returns the counts of this front."""
        return dict(self._fronts.get(window, {}).get(self._own, {}))

    def domain_sum(self, window: int, domain: str | None = None) -> Counts:
        """Returns the counts of a domain, by default of this front's."""
        domain = domain or self._domain
        total: collections.Counter[str] = collections.Counter()
        for front, counts in self._fronts.get(window, {}).items():
            if self._domain_of[front] == domain:
                total.update(counts)
        sums = dict(total)
        # What an earlier relay of the domain has told may contain more.
        _merge(sums, self._domains.get(window, {}).get(domain, {}))
        return sums

    def total(self, window: int) -> Counts:
        """Returns the counts of all domains."""
        domains = {self._domain_of[f] for f in self._fronts.get(window, {})}
        domains |= self._domains.get(window, {}).keys()
        total: collections.Counter[str] = collections.Counter()
        for domain in domains:
            total.update(self.domain_sum(window, domain))
        return dict(total)

    def is_whole(self, window: int) -> bool:
        """Returns whether all counts that were told of have been received."""
        received: dict[Incarnation | str, Counts] = {
            **self._fronts.get(window, {}),
            **self._domains.get(window, {}),
        }
        return all(
            sum(received.get(source, {}).values()) >= total
            for source, total in self._totals.get(window, {}).items()
        )

    def windows(self) -> list[int]:
        """Returns the windows that have counts."""
        return sorted(self._fronts.keys() | self._domains.keys())

    def drop_before(self, window: int) -> None:
        """Drops the counts of earlier windows."""
        for table in (self._fronts, self._domains, self._totals):
            for old in [w for w in table if w < window]:
                del table[old]
        live = {front for fronts in self._fronts.values() for front in fronts}
        self._domain_of = {
            front: domain
            for front, domain in self._domain_of.items()
            if front in live or front == self._own
        }
