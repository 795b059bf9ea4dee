"""Bounds retries to a share of requests, so that they can't multiply a failure."""

RETRY_SHARE = 0.1
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Each request earns a share of a retry; each retry spends a whole one."""

    def __init__(
        self, share: float = RETRY_SHARE, most: float = MAX_SAVED_RETRIES
    ) -> None:
        """Creates the budget with all that can be saved.

        Args:
            share: retries that one request earns.
            most: retries that can be saved.
        """
        self._share = share
        self._most = most
        self._saved = most

    def earn(self) -> None:
        """Notes a first attempt."""
        self._saved = min(self._most, self._saved + self._share)

    def set_bounds(self, share: float, most: float) -> None:
        """Changes what a request earns, and how many retries can be saved."""
        self._share = share
        self._most = most
        self._saved = min(self._saved, most)

    @property
    def saved(self) -> float:
        """Retries that may be sent now."""
        return self._saved

    def spend(self) -> bool:
        """Takes one retry from the budget; tells whether there was one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
