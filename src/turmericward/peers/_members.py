"""The known fronts, as far as the store has listed them."""

# How long after a listing of the fronts a silent one may be dropped.
LISTING_VALIDITY_S = 150.0


class KnownFronts:
    """When the fronts were listed, and the names that were last passed on.

    Without a recent listing a silent front may just as well be out of reach, so none
    is dropped. Times are monotonic seconds.
    """

    def __init__(self) -> None:
        """Starts before the first listing."""
        self._listed_at: float | None = None
        self._names: frozenset[str] = frozenset()

    def record_listing(self, now: float) -> None:
        """Records that all fronts which the store lists are known."""
        self._listed_at = now

    def may_drop(self, now: float) -> bool:
        """Returns whether fronts that are silent may be dropped."""
        listed_at = self._listed_at
        return listed_at is not None and now - listed_at <= LISTING_VALIDITY_S

    def changed(self, names: frozenset[str]) -> bool:
        """Returns whether these names have to be passed on, and records them so."""
        if self._listed_at is None or names == self._names:
            return False
        self._names = names
        return True
