"""Retries of all fronts together, in a model of fleets that restart and are parted."""

import collections
import random

import attrs

from tests import fixtures
from turmericward import dispatching
from turmericward.dispatching import _retry_budgets

check = fixtures.check
SHARE, SLACK, WINDOW_S = 0.2, 52.0, 10.0
STEP_S = 0.5
STEPS = int(WINDOW_S / STEP_S)
SERVICE = "model"
# Restarts of a window for which the part of the slack for new budgets is enough.
MAX_RESTARTS = 16


@attrs.define
class _Fleet:
    """Fronts by number, with their budgets, and who hears whom."""

    count: int
    slack: float
    rng: random.Random
    listed: bool = True
    fronts: dict = attrs.field(factory=dict)
    groups: int = 1
    requests: collections.Counter = attrs.field(factory=collections.Counter)
    retries: collections.Counter = attrs.field(factory=collections.Counter)
    restarts: collections.Counter = attrs.field(factory=collections.Counter)

    def restart(self, number: int) -> None:
        bounds = dispatching.RetryBounds(share=SHARE, slack=self.slack)
        self.fronts[number] = _retry_budgets.RetryBudgets(bounds)

    def hear(self) -> None:
        """Lets each front hear those of its group, and read the list of all."""
        for number, budgets in self.fronts.items():
            group = [n for n in self.fronts if n % self.groups == number % self.groups]
            if self.listed:
                budgets.update_listed_count(self.count)
            budgets.update_peer_count(len(group) - 1)

    def first(self, step: int, count: int) -> None:
        for _ in range(count):
            front = self.rng.choice(list(self.fronts.values()))
            front.for_service(SERVICE).earn()
        self.requests[step] += count

    def retry(self, step: int, share: float = 1.0) -> None:
        """Lets fronts send every retry that their budgets allow."""
        for budgets in self.fronts.values():
            while self.rng.random() < share and budgets.for_service(SERVICE).spend():
                self.retries[step] += 1

    def excess(self, steps: int) -> float:
        """Returns by how much the worst window exceeds what is allowed."""

        def total(counts, first) -> int:
            return sum(counts[s] for s in range(first, first + STEPS))

        def allowed(first) -> float:
            starts = (first, first - STEPS // 2, first - STEPS)
            return SHARE * max(total(self.requests, s) for s in starts) + self.slack

        return max(total(self.retries, s) - allowed(s) for s in range(steps))


def _new_fleet(count: int, slack: float = SLACK, seed: int = 1, **changes) -> _Fleet:
    fleet = _Fleet(count, slack, random.Random(seed), **changes)
    for number in range(count):
        fleet.restart(number)
    fleet.hear()
    return fleet


def _fill(fleet: _Fleet, step: int) -> None:
    """Lets every budget save as much as it can."""
    for budgets in fleet.fronts.values():
        budget = budgets.for_service(SERVICE)
        for _ in range(int(fleet.slack / SHARE)):
            budget.earn()
            fleet.requests[step] += 1


def test_a_restarted_front_that_knew_its_peers_began_with_its_full_share():
    for count in (2, 3, 6, 7, 16):
        fleet = _new_fleet(count)
        _fill(fleet, -3 * STEPS)
        fleet.retry(0)
        for number in range(count):
            fleet.restart(number)
            fleet.hear()
            fleet.retry(1 + number)
        check.assertLessEqual(fleet.excess(2 * STEPS), 0, count)


def test_restarts_of_one_front_in_a_window_each_brought_a_full_share():
    for count in (2, 6):
        fleet = _new_fleet(count)
        _fill(fleet, -3 * STEPS)
        fleet.retry(0)
        for step in range(MAX_RESTARTS):
            fleet.restart(0)
            fleet.hear()
            fleet.retry(1 + step)
        check.assertLessEqual(fleet.excess(2 * STEPS), 0, count)


def test_fronts_that_started_apart_from_most_others_took_the_shares_of_these():
    for count in (4, 6, 8, 16, 64, 195):
        for listed in (True, False) if count <= MAX_RESTARTS else (True,):
            fleet = _new_fleet(count, groups=count // 2, listed=listed)
            _fill(fleet, -3 * STEPS)
            fleet.retry(0)
            check.assertLessEqual(fleet.excess(STEPS), 0, (count, listed))


def test_fronts_that_start_one_after_the_other_took_more_than_the_slack_together():
    for count in (2, 6, 16):
        fleet = _Fleet(count, SLACK, random.Random(1), listed=False)
        for number in range(count):
            fleet.restart(number)
            fleet.hear()
            fleet.retry(number)
        check.assertLessEqual(fleet.excess(2 * STEPS), 0, count)


def _live(fleet: _Fleet, steps: int) -> None:
    """Plays loads that jump and stop, moments in which all fails, and restarts."""
    rng = fleet.rng
    per_step = 0
    for step in range(steps):
        if step % 7 == 0:
            per_step = rng.choice((0, 0, 3, 40, 300))
        recent = sum(fleet.restarts[s] for s in range(step - STEPS, step + 1))
        herd = rng.choice((0, 0, 1, 1, 3, fleet.count))
        restarted = min(herd, MAX_RESTARTS - recent, fleet.count)
        for number in rng.sample(range(fleet.count), restarted):
            fleet.restart(number)
        fleet.restarts[step] += restarted
        fleet.groups = rng.choice((1, 1, 2, max(1, fleet.count // 2)))
        fleet.hear()
        fleet.first(step, per_step)
        fleet.retry(step, rng.choice((0.0, 0.0, 0.5, 1.0)))


def test_retries_of_all_fronts_stay_within_the_bound_in_every_window():
    for count, slack in ((2, 52.0), (6, 52.0), (10, 54.0), (38, 178.0), (195, 430.0)):
        spent = 0
        for seed in range(5):
            fleet = _new_fleet(count, slack, seed)
            _live(fleet, 12 * STEPS)
            spent += sum(fleet.retries.values())
            check.assertLessEqual(fleet.excess(12 * STEPS), 0, (count, seed))
        check.assertGreater(spent, 0, count)


def test_hundreds_of_fronts_that_start_at_once_took_more_than_the_slack_unlisted():
    for count, slack in ((16, 52.0), (38, 178.0), (195, 430.0)):
        fleet = _Fleet(count, slack, random.Random(1))
        for number in range(count):
            fleet.restart(number)
        fleet.retry(0)
        check.assertLessEqual(fleet.excess(STEPS), 0, count)
