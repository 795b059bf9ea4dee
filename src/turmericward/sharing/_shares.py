"""Fair shares of saturated services, by the work of workspaces.

Load pattern handled: a few large workspaces beside many small ones, one that sends ten
times its share, and callers that return immediately after a refusal. Capacity that
nobody else asks for is used by whoever does.
"""

import random

import attrs

from turmericward import fleet
from turmericward.sharing import (
    _accounts,
    _messages,
    _peer_work,
    _service,
    _work,
)

MAX_LISTED_WORKSPACES = 10
EXPIRY_INTERVAL_S = 5.0


@attrs.define
class _OpenWork:
    """Work of a placement that no target has done yet."""

    service: _service.ServiceShares
    account: _accounts.Account
    priority: int
    work: float
    served: bool = False


class Shares:
    """Shares of all services; times are monotonic seconds.

    A front without calls of workspaces keeps, computes and publishes nothing.
    """

    def __init__(self, seed: int) -> None:
        """Starts without work.

        Args:
            seed: seed of the random choices.
        """
        self._random = random.Random(seed)
        self._peers = _peer_work.PeerWork()
        self._services: dict[str, _service.ServiceShares] = {}
        self._open: dict[int, _OpenWork] = {}
        self._expired_at = float("-inf")

    @property
    def in_use(self) -> bool:
        """Whether this front has served calls of workspaces."""
        return bool(self._services)

    def offer(self, offer: _messages.Offer, now: float) -> _messages.Verdict:
        """Counts a call's work for its workspace, and decides on the call."""
        shares = self._of_service(offer.service)
        account = shares.accounts.add(offer.workspace, offer.priority, offer.work, now)
        return shares.decide(account, offer.priority, now, refusable=offer.refusable)

    def _of_service(self, name: str) -> _service.ServiceShares:
        shares = self._services.get(name)
        if shares is None:
            shares = _service.ServiceShares(name, self._peers, self._random)
            self._services[name] = shares
        return shares

    def placed(
        self, placement_id: int, offer: _messages.Offer, work: float, now: float
    ) -> None:
        """Replaces the expected work of an offer by that of its placement."""
        shares = self._of_service(offer.service)
        account = shares.accounts.add(
            offer.workspace, offer.priority, work - offer.work, now
        )
        self._open[placement_id] = _OpenWork(shares, account, offer.priority, work)

    def observe(self, service: str, pressure: float, now: float) -> None:
        """Records how long a call waits, as a share of its latency objective."""
        self._of_service(service).observe(pressure, now)

    def served(self, placement_id: int, now: float, work: float | None = None) -> None:
        """Records that a target has done the work of a placement.

        Args:
            placement_id: the placement; unknown ones are ignored.
            now: monotonic seconds.
            work: what it took, None if that is as expected.
        """
        done = self._open.get(placement_id)
        if done is None or done.served:
            return
        done.served = True
        if work is not None:
            done.account.add(done.priority, work - done.work, now)
            done.work = work
        done.service.accounts.served(done.work, now)

    def ended(self, placement_id: int) -> None:
        """Forgets a placement; unknown ones are ignored."""
        self._open.pop(placement_id, None)

    # Peers.

    def apply(self, peer: str, work: _work.Work, now: float) -> None:
        """Takes the work that a peer told, or the sum that a relay did."""
        self._peers.replace(peer, work, now)

    def expire(self, now: float) -> None:
        """Drops silent peers and idle workspaces, and services without any.

        Cheap to call often: it looks at all workspaces once in a while only.
        """
        if self._peers:
            self._peers.expire(now)
        if now - self._expired_at < EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        for name, shares in list(self._services.items()):
            shares.accounts.expire(now)
            if not shares.accounts:
                del self._services[name]

    def local_work(self, now: float) -> dict[int, _work.ServiceWork]:
        """Returns what the peers are told: the heaviest workspaces of this front."""
        return {
            fleet.target_hash(name): shares.work(now)
            for name, shares in self._services.items()
        }

    def status(self, now: float) -> tuple[_messages.WorkspaceStatus, ...]:
        """Returns the heaviest workspaces of each service at this front."""
        return tuple(
            _messages.WorkspaceStatus(
                service=name,
                workspace=workspace,
                work_per_s=round(shares.demand(account, now), 1),
                share_per_s=shares.level,
                peers_age_s=self._peers.age_s(now),
            )
            for name, shares in self._services.items()
            for workspace, account in shares.accounts.heaviest(
                MAX_LISTED_WORKSPACES, now
            )
        )
