"""Bounds retries to a share of requests, so that they can't multiply a failure."""

RETRY_SHARE = 0.1
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Each request earns a share of a retry; each retry spends a whole one."""

    def __init__(self) -> None:
        """Creates the budget with all that can be saved."""
        self._saved = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Notes a first attempt."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + RETRY_SHARE)

    def spend(self) -> bool:
        """Takes one retry from the budget; tells whether there was one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
