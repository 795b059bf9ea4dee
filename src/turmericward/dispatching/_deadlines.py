"""Deadlines of a call's first output, by its route and what its client has waited."""

import collections

from turmericward import requests, routing

# A call with less than this share of its route's longest deadline is treated as
# repeated by a client that was refused before.
MIN_FIRST_CALL_DEADLINE_SHARE = 0.8


class DeadlineEstimates:
    """Tells clients that have been refused before from others."""

    def __init__(self) -> None:
        """Starts without calls."""
        self._max_deadline_s: dict[str, float] = collections.defaultdict(float)

    def deadlines(self, call: routing.Call, now: float) -> requests.Deadlines:
        """Returns how long the client of a call still waits."""
        route = call.route
        max_deadline_s = max(self._max_deadline_s[route.name], call.deadline_s)
        self._max_deadline_s[route.name] = max_deadline_s
        # A client that retries after a refusal has less time left than at first.
        waited_s = max(
            0.0, MIN_FIRST_CALL_DEADLINE_SHARE * max_deadline_s - call.deadline_s
        )
        first_sent_at = call.received - waited_s
        return requests.Deadlines(
            soft_deadline_s=first_sent_at + route.objective_s - now,
            hard_deadline_s=min(call.received + call.route.abandon_s, call.deadline)
            - now,
            at_most_once=not route.repeatable,
        )
