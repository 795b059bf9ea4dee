"""Deadlines of a call's first output, by its route and what its client has waited."""

import attrs

from turmericward import requests, routing

# A call with less than this share of its route's longest deadline is treated as
# repeated by a client that was refused before.
MIN_FIRST_CALL_DEADLINE_SHARE = 0.8
# The longest deadline is that of a route's calls in one to two such times.
WINDOW_S = 30.0


@attrs.define
class _Longest:
    """The longest deadline in the window since `since`, and in the one before."""

    since: float
    current_s: float = 0.0
    previous_s: float = 0.0

    def add(self, deadline_s: float, now: float) -> float:
        """Records a call's deadline; returns the longest one."""
        age_s = now - self.since
        if age_s >= WINDOW_S:
            self.previous_s = self.current_s if age_s < 2 * WINDOW_S else 0.0
            self.current_s, self.since = 0.0, now
        self.current_s = max(self.current_s, deadline_s)
        return max(self.current_s, self.previous_s)


class DeadlineEstimates:
    """Tells clients that have been refused before from others."""

    def __init__(self) -> None:
        """Starts without calls."""
        self._longest: dict[str, _Longest] = {}

    def deadlines(self, call: routing.Call, now: float) -> requests.Deadlines:
        """Returns how long the client of a call still waits."""
        route = call.route
        longest = self._longest.setdefault(route.name, _Longest(since=now))
        max_deadline_s = longest.add(call.deadline_s, now)
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
