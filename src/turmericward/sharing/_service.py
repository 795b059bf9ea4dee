"""Shares of one service."""

import random

import attrs

from turmericward import fleet, requests
from turmericward.sharing import (
    _accounts,
    _levels,
    _messages,
    _peer_work,
    _retry_after,
    _saturation,
    _work,
)

# Calls of a workspace above its share go behind those of others of their priority.
ABOVE_SHARE_RANKS = 1
NO_LEVEL = float("inf")
# The peers are told of workspaces from this pressure on, half of that of a saturated
# service, and for a while after: a calm service costs them 32 bytes.
NAMED_PRESSURE = 0.4
NAMED_S = 10.0


class ServiceShares:
    """Decides on the calls to one service; times are monotonic seconds."""

    def __init__(
        self, service: str, peers: _peer_work.PeerWork, rng: random.Random
    ) -> None:
        """Starts without work.

        Args:
            service: name of the service.
            peers: what the peers told.
            rng: chooses which calls above a share are refused.
        """
        self._id = fleet.target_hash(service)
        self._peers = peers
        self._random = rng
        self._saturation = _saturation.Saturation()
        self._level = NO_LEVEL
        # The peers' part of the demands, as of the last update.
        self._peer_work = _work.NO_WORK
        # Until when the peers are told of workspaces.
        self._named_until = float("-inf")
        # Of all fronts, as of the last update.
        self._offered = 0.0
        self._count = 0
        self.accounts = _accounts.Accounts()

    @property
    def level(self) -> float | None:
        """The largest share of any workspace, None if no one is limited."""
        return None if self._level == NO_LEVEL else self._level

    def decide(
        self,
        account: _accounts.Account,
        priority: int,
        now: float,
        *,
        refusable: bool,
    ) -> _messages.Verdict:
        """Returns what follows for a call whose work is already in the account."""
        if self._saturation.is_due(now):
            self._update(now)
        if self._level == NO_LEVEL:
            return _messages.WITHIN_SHARE
        demand = self.demand(account, now)
        heavy = _levels.is_heavy(demand, self._offered, self._count)
        if demand <= self._level or not heavy:
            return _messages.WITHIN_SHARE
        verdict = _messages.Verdict(
            ranks=ABOVE_SHARE_RANKS,
            demand=demand,
            share=self._level,
            age_s=self._peers.age_s(now),
        )
        granted = _levels.granted_share(
            account.by_priority(now), priority, demand, self._level
        )
        if not refusable or self._random.random() < granted:
            return verdict
        refusal = requests.Refusal(
            reason=_messages.ABOVE_SHARE,
            retry_after_s=_retry_after.retry_after_s(
                demand, self._level, self._random.random()
            ),
        )
        return attrs.evolve(verdict, refusal=refusal)

    def observe(self, pressure: float, now: float) -> None:
        """Records the wait of a call, as a share of its latency objective."""
        self._saturation.observe(pressure, now)

    def demand(self, account: _accounts.Account, now: float) -> float:
        """Returns what a workspace asks for at all fronts, per second."""
        peers = self._peer_work.heaviest.get(account.workspace, 0.0)
        return account.per_s(now) + peers

    def _update(self, now: float) -> None:
        """Updates what each workspace may get; cheap if the service has room."""
        self._peer_work = self._peers.at_service(self._id)
        pressure = self._saturation.local_pressure(now) + self._peer_work.pressure
        self._level = NO_LEVEL
        limits = self._saturation.capacity is not None
        if limits or pressure.mean >= NAMED_PRESSURE:
            self._named_until = now + NAMED_S
        if not self._saturation.may_limit(pressure, now):
            return
        total = _work.sum_services((self.accounts.work(now), self._peer_work))
        self._offered, self._count = total.offered, total.count
        self._saturation.update(pressure, total.served, total.offered, now)
        capacity = self._saturation.capacity
        if capacity is not None:
            self._level = _levels.fair_level(
                total.heaviest.values(), total.others, capacity
            )

    def work(self, now: float) -> _work.ServiceWork:
        """Returns what the peers are told of this front."""
        if self._saturation.is_due(now):
            self._update(now)
        pressure = self._saturation.local_pressure(now)
        if now >= self._named_until:
            served = self.accounts.served_per_s(now)
            return _work.ServiceWork(served=served, pressure=pressure)
        work = self.accounts.work(now).limited_to(_work.MAX_PUBLISHED_WORKSPACES)
        return attrs.evolve(work, pressure=pressure)
