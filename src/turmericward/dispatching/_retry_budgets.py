"""This front's share of the retries that all fronts may send together."""

import collections

from turmericward import requests
from turmericward.dispatching import _messages

# Assumed number of fronts until a report of a peer has been received.
ASSUMED_FLEET_SIZE = 16
# Fraction of the retry bounds that is used, since windows slide and restarted
# fronts begin with full budgets.
RETRY_SAFETY_FACTOR = 0.7


class RetryBudgets:
    """Retry budgets by service, scaled by the number of fronts."""

    def __init__(self, bounds: _messages.RetryBounds) -> None:
        """Starts with the assumed number of fronts."""
        self._bounds = bounds
        self._max_live_peers = 0
        self._budgets: dict[str, requests.RetryBudget] = collections.defaultdict(
            self._new_budget
        )

    def for_service(self, service: str) -> requests.RetryBudget:
        """Returns the budget of a service."""
        return self._budgets[service]

    def available(self) -> dict[str, float]:
        """Returns the retries that may be sent now, by service."""
        return {name: budget.saved for name, budget in self._budgets.items()}

    def set_bounds(self, bounds: _messages.RetryBounds) -> None:
        """Sets the retry bounds of all fronts together."""
        self._bounds = bounds
        self._apply_bounds()

    def update_peer_count(self, live_peers: int) -> None:
        """Divides the slack by the highest number of fronts seen at a time.

        The highest number is used so that a partitioned front, which sees no peers,
        doesn't take over their shares.
        """
        if live_peers <= self._max_live_peers:
            return
        self._max_live_peers = live_peers
        self._apply_bounds()

    def _apply_bounds(self) -> None:
        for budget in self._budgets.values():
            budget.set_bounds(
                RETRY_SAFETY_FACTOR * self._bounds.share, self._max_saved()
            )

    def _new_budget(self) -> requests.RetryBudget:
        return requests.RetryBudget(
            share=RETRY_SAFETY_FACTOR * self._bounds.share, max_saved=self._max_saved()
        )

    def _max_saved(self) -> float:
        fronts = (
            self._max_live_peers + 1 if self._max_live_peers else ASSUMED_FLEET_SIZE
        )
        return RETRY_SAFETY_FACTOR * self._bounds.slack / fronts
