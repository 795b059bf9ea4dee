"""Limits retries to a share of the requests, so that they can't amplify an outage."""

RETRY_SHARE = 0.1
MAX_SAVED_RETRIES = 10.0
# Share of the most that was saved that is kept for calls that have lost their target;
# with that much there is a retry to spare in any case, or fronts with a small share
# would have none.
RESERVED_SHARE = 0.5


class RetryBudget:
    """A token bucket: each request adds a share of a retry, each retry takes one."""

    def __init__(
        self,
        share: float = RETRY_SHARE,
        max_saved: float = MAX_SAVED_RETRIES,
        saved: float | None = None,
    ) -> None:
        """Creates the bucket.

        Args:
            share: retries that one request adds.
            max_saved: size of the bucket in retries.
            saved: retries that it begins with, None for a full bucket.
        """
        self._share = share
        self._max_saved = max_saved
        self._saved = max_saved if saved is None else min(saved, max_saved)
        # Most that was saved at a time, within the size.
        self._peak = self._saved

    def earn(self) -> None:
        """Adds the share of a first attempt."""
        self._add(self._share)

    def refund(self) -> None:
        """Returns a retry that reached no target."""
        self._add(1.0)

    def _add(self, retries: float) -> None:
        self._saved = min(self._max_saved, self._saved + retries)
        self._peak = max(self._peak, self._saved)

    def set_bounds(self, share: float, max_saved: float) -> None:
        """Changes the share of a request, and the size of the bucket."""
        self._share = share
        self._max_saved = max_saved
        self._saved = min(self._saved, max_saved)
        self._peak = min(self._peak, max_saved)

    @property
    def saved(self) -> float:
        """Number of retries that may be sent now."""
        return self._saved

    def has_spare(self, kept: float) -> bool:
        """Returns whether a call that may be answered without a retry may take one.

        Args:
            kept: retries that have to be left in any case.
        """
        reserve = min(RESERVED_SHARE * self._peak, self._peak - 1.0)
        return self._saved - 1.0 >= max(kept, reserve)

    @property
    def has_retry(self) -> bool:
        """Whether a whole retry is left."""
        return self._saved >= 1.0

    def spend(self) -> bool:
        """Takes one retry; returns False if none is left."""
        if not self.has_retry:
            return False
        self._saved -= 1.0
        return True
