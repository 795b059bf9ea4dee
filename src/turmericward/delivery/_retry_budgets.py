"""This front's share of the retries that all fronts may send together."""

import collections

from turmericward import requests
from turmericward.delivery import _messages

# Taken for the number of fronts until peers are heard.
UNKNOWN_FLEET_SIZE = 16
# Part of the bounds on retries that is used: windows slide, fronts restart.
RETRY_MARGIN = 0.7


class RetryShares:
    """A retry budget for each service, by the size of the fleet."""

    def __init__(self, bounds: _messages.RetryBounds) -> None:
        """Creates the budgets of a front that has heard of no other."""
        self._bounds = bounds
        self._most_peers = 0
        self._budgets: dict[str, requests.RetryBudget] = collections.defaultdict(
            self._new_budget
        )

    def of(self, service: str) -> requests.RetryBudget:
        """Returns the budget of a service."""
        return self._budgets[service]

    def left(self) -> dict[str, float]:
        """Returns by service how many retries may be sent now."""
        return {name: budget.saved for name, budget in self._budgets.items()}

    def set_bounds(self, bounds: _messages.RetryBounds) -> None:
        """Changes what all fronts together may send."""
        self._bounds = bounds
        self._share()

    def count_peers(self, live: int) -> None:
        """Shares the slack among as many fronts as were ever heard at a time.

        A front that is cut off from the others mustn't take their shares.
        """
        if live <= self._most_peers:
            return
        self._most_peers = live
        self._share()

    def _share(self) -> None:
        for budget in self._budgets.values():
            budget.set_bounds(RETRY_MARGIN * self._bounds.share, self._saved())

    def _new_budget(self) -> requests.RetryBudget:
        return requests.RetryBudget(
            share=RETRY_MARGIN * self._bounds.share, most=self._saved()
        )

    def _saved(self) -> float:
        fronts = self._most_peers + 1 if self._most_peers else UNKNOWN_FLEET_SIZE
        return RETRY_MARGIN * self._bounds.slack / fronts
