"""Applies the workspaces' shares to placements.

Load pattern handled: one workspace that sends many times its share of a saturated
service, in prompts or plain calls, and callers that return at once after a refusal.
Calls without a workspace aren't counted.
"""

from collections.abc import Callable

import attrs
import result

from turmericward import requests, sharing
from turmericward.dispatching import _messages, _share_log

# Refusals that show that a service has no room: the placer's, and those by limits.
SATURATED_REASONS = frozenset(("overloaded", "targets_limited"))
# Pressure of a refused call; the calls that wait at all wait for less.
REFUSED_PRESSURE = 2.0
# Service time of a plain call before any was answered, and how fast it is learnt.
INITIAL_PLAIN_S = 0.05
LEARNING_RATE = 0.05
MILLISECONDS = 1000.0
# Time between two publications of the work of this front's workspaces.
PUBLISH_INTERVAL_S = 0.5
# Share of shared segments that has to be prefilled, before any prompt was placed.
INITIAL_UNCACHED_SHARE = 0.5


@attrs.frozen(kw_only=True)
class Turn:
    """An attempt of a workspace's call, and what follows from the share."""

    offer: sharing.Offer
    verdict: sharing.Verdict


@attrs.define
class _ServiceMeans:
    """Mean service time and uncached share of a service's calls of workspaces."""

    plain_s: float = INITIAL_PLAIN_S
    uncached_share: float = INITIAL_UNCACHED_SHARE


class FairSharing:
    """Counts calls for their workspaces; used by the dispatcher's thread only."""

    def __init__(
        self, seed: int, placer: requests.Placer, count: Callable[[str], None]
    ) -> None:
        """Starts without calls.

        Args:
            seed: seed of the random choices.
            placer: knows the load of the targets.
            count: called with the name of each counter to increase.
        """
        self.shares = sharing.Shares(seed)
        self._placer = placer
        self._count = count
        self._means: dict[str, _ServiceMeans] = {}
        # Services of open placements of plain calls.
        self._plain: dict[int, str] = {}
        self._published_at = float("-inf")
        self._published = False
        self._log = _share_log.ShareLog()

    def offer(self, message: _messages.Place, now: float) -> Turn | None:
        """Counts an attempt for its workspace; None if the call has none."""
        call = message.call
        if call.workspace is None:
            return None
        offer = sharing.Offer(
            service=message.service,
            workspace=call.workspace.name,
            priority=call.priority,
            # Further attempts count only if they get a target: a call asks again while
            # no target accepts connections.
            work=self._expected_work(message) if _is_first(message) else 0.0,
            refusable=_is_first(message) and not call.resume_after,
        )
        verdict = self.shares.offer(offer, now)
        if verdict.refusal is not None:
            self._count(f"shares.refused.{offer.service}")
            self._log.refused(call.id, offer, verdict, now)
        return Turn(offer=offer, verdict=verdict)

    def _expected_work(self, message: _messages.Place) -> float:
        means = self._means_of(message.service)
        prompt = message.call.prompt
        if prompt is None:
            return means.plain_s * MILLISECONDS
        return sharing.prompt_work(prompt, means.uncached_share)

    def _means_of(self, service: str) -> _ServiceMeans:
        return self._means.setdefault(service, _ServiceMeans())

    def placed(
        self,
        turn: Turn,
        message: _messages.Place,
        chosen: result.Result[requests.Placement, requests.Refusal],
        now: float,
    ) -> result.Result[requests.Placement, requests.Refusal]:
        """Counts what was chosen for an attempt; returns it with its ranks."""
        if chosen.is_err():
            if chosen.unwrap_err().reason in SATURATED_REASONS:
                self.shares.observe(message.service, REFUSED_PRESSURE, now)
            return chosen
        placement = chosen.unwrap()
        work = self._placed_work(message, placement)
        self.shares.placed(placement.id, turn.offer, work, now)
        if message.call.prompt is None:
            self._plain[placement.id] = message.service
        if _is_first(message):
            wait_s = self._wait_s(message, placement)
            pressure = wait_s / message.call.route.objective_s
            self.shares.observe(message.service, pressure, now)
        if not turn.verdict.ranks:
            return chosen
        return result.Ok(attrs.evolve(placement, share_ranks=turn.verdict.ranks))

    def _placed_work(
        self, message: _messages.Place, placement: requests.Placement
    ) -> float:
        prompt = message.call.prompt
        means = self._means_of(message.service)
        if prompt is None:
            return means.plain_s * MILLISECONDS
        if message.prefilled:
            return sharing.output_work(prompt)
        shared = sharing.shared_tokens(prompt)
        if shared:
            own = prompt.tokens - shared
            share = min(1.0, max(0.0, placement.uncached_tokens - own) / shared)
            means.uncached_share += LEARNING_RATE * (share - means.uncached_share)
        if placement.prefill_only:
            return placement.uncached_tokens
        return placement.uncached_tokens + sharing.output_work(prompt)

    def _wait_s(self, message: _messages.Place, placement: requests.Placement) -> float:
        if message.call.prompt is not None:
            return placement.queue_s
        slots = placement.target.slots
        # The placement itself is one of the open calls.
        excess = self._placer.load(placement.target.name).open_calls - slots
        if slots < 1 or excess <= 0:
            return placement.start_after_s
        plain_s = self._means_of(message.service).plain_s
        return placement.start_after_s + excess / slots * plain_s

    def first_output(self, placement: requests.Placement, now: float) -> None:
        """Records that a target has prefilled the prompt of a placement."""
        if placement.id not in self._plain:
            self.shares.served(placement.id, now)

    def ended(
        self, placement: requests.Placement, ending: requests.Ending, now: float
    ) -> None:
        """Records the end of a placement."""
        service = self._plain.pop(placement.id, None)
        if service is not None and ending is requests.Ending.SUCCEEDED:
            self._plain_served(service, placement, now)
        self.shares.ended(placement.id)

    def _plain_served(
        self, service: str, placement: requests.Placement, now: float
    ) -> None:
        took_s = max(0.0, now - placement.placed_at - placement.start_after_s)
        means = self._means_of(service)
        # What the call waited for a slot at its target is not its own work.
        open_calls = self._placer.load(placement.target.name).open_calls + 1
        slots = max(1, placement.target.slots)
        worked_s = took_s * min(1.0, slots / open_calls)
        means.plain_s += LEARNING_RATE * (worked_s - means.plain_s)
        self.shares.served(placement.id, now, worked_s * MILLISECONDS)

    def is_publication_due(self, now: float) -> bool:
        """Returns whether the peers are to be told this front's work.

        A front that refuses all calls has no other reason to publish its state.
        """
        known = self.shares.in_use or self._published
        return known and now - self._published_at >= PUBLISH_INTERVAL_S

    def publishable_work(self, now: float) -> sharing.Work | None:
        """Returns the work to tell the peers, None if that isn't due.

        It is empty once after all workspaces were idle.
        """
        if not self.is_publication_due(now):
            return None
        self._published_at = now
        self._published = self.shares.in_use
        return self.shares.local_work(now)

    def expire(self, now: float) -> None:
        """Drops silent peers and idle workspaces."""
        self.shares.expire(now)


def _is_first(message: _messages.Place) -> bool:
    """Returns whether nothing of a call has begun, nor was requested before."""
    begun = message.retry or message.prefilled or message.silent is not None
    return message.first and not begun
