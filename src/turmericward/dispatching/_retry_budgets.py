"""This front's share of the retries that all fronts may send together."""

import collections

from turmericward import requests
from turmericward.dispatching import _messages

# Assumed number of fronts until the store has listed them, and least number among which
# the retries are divided that fronts begin with.
ASSUMED_FLEET_SIZE = 16
# Fraction of the share of the requests that is used, since windows slide.
SHARE_FACTOR = 0.7
# Fractions of the slack that all fronts together may save, and that so many fronts as
# are assumed may begin with in one window.
SAVED_FACTOR = 0.7
INITIAL_FACTOR = 0.3


class RetryBudgets:
    """Retry budgets by service, scaled by the number of fronts."""

    def __init__(self, bounds: _messages.RetryBounds) -> None:
        """Starts with the assumed number of fronts."""
        self._bounds = bounds
        # Most fronts that were heard or listed at a time, this one included.
        self._max_fronts = 1
        self._listed = False
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
        self._set_fronts(live_peers + 1)

    def update_listed_count(self, fronts: int) -> None:
        """Does the same with the number of fronts that the store lists.

        A front that starts in a partition hears only some of its peers.
        """
        if not self._listed:
            self._listed = True
            self._apply_bounds()
        self._set_fronts(fronts)

    def _set_fronts(self, fronts: int) -> None:
        if fronts > self._max_fronts:
            self._max_fronts = fronts
            self._apply_bounds()

    def _apply_bounds(self) -> None:
        for budget in self._budgets.values():
            budget.set_bounds(SHARE_FACTOR * self._bounds.share, self._max_saved())

    def _new_budget(self) -> requests.RetryBudget:
        fronts = max(self._max_fronts, ASSUMED_FLEET_SIZE)
        return requests.RetryBudget(
            share=SHARE_FACTOR * self._bounds.share,
            max_saved=self._max_saved(),
            saved=INITIAL_FACTOR * self._bounds.slack / fronts,
        )

    def _max_saved(self) -> float:
        alone = self._max_fronts == 1
        assumed = ASSUMED_FLEET_SIZE if alone or not self._listed else 1
        return SAVED_FACTOR * self._bounds.slack / max(self._max_fronts, assumed)
