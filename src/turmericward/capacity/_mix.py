"""The cheapest replicas that carry a load and the loss of some of them."""

import collections
import math
from collections.abc import Collection, Mapping

import attrs

from turmericward import routing

# Share of each domain's replicas that can't be reclaimed, at least one.
STEADY_SHARE = 0.08
# Share of the replicas that the peak load keeps busy: as is, after the reclaim of all
# spot replicas of a domain, and after the loss of a domain.
UTILIZATION = 0.6
UTILIZATION_WITHOUT_SPOT = 0.8
UTILIZATION_WITHOUT_DOMAIN = 0.9
# How steeply the price of a further replica grows above an even share: spot replicas
# elsewhere are preferred to others up to about 1.5 times the even share.
CROWDING_EXPONENT = 4


@attrs.frozen(kw_only=True)
class Pool:
    """One kind of replicas of a service in a failure domain."""

    domain: str
    spot: bool


@attrs.frozen(kw_only=True)
class Need:
    """Replicas needed in all, without one domain, and without its spot replicas."""

    total: int
    without_domain: int = 0
    without_spot: int = 0

    @classmethod
    def of_load(cls, busy: float, min_total: float = 0.0) -> "Need":
        """Returns the need of a load that keeps `busy` replicas busy."""
        return cls(
            total=math.ceil(max(min_total, busy / UTILIZATION)),
            without_domain=math.ceil(busy / UTILIZATION_WITHOUT_DOMAIN),
            without_spot=math.ceil(busy / UTILIZATION_WITHOUT_SPOT),
        )


class _Mix:
    """Counts that grow by one replica at a time, within the bounds."""

    def __init__(
        self,
        scaling: routing.Scaling,
        domains: Collection[str],
        limits: Mapping[Pool, int],
        even: float,
    ) -> None:
        self.counts: collections.Counter[Pool] = collections.Counter()
        self._scaling = scaling
        self._domains = sorted(domains)
        self._limits = limits
        self._even = max(1.0, even)

    def of_domain(self, domain: str) -> int:
        return sum(self.counts[Pool(domain=domain, spot=s)] for s in (True, False))

    def has_room(self, pool: Pool) -> bool:
        if pool.spot and not _has_cheaper_spot(self._scaling):
            return False
        if self.of_domain(pool.domain) >= self._scaling.max_count:
            return False
        return self.counts[pool] < self._limits.get(pool, math.inf)

    def fill(self, pools: Collection[Pool], count: int) -> None:
        """Adds up to `count` replicas of the first pool with room each time."""
        for _ in range(count):
            pool = next((s for s in pools if self.has_room(s)), None)
            if pool is None:
                return
            self.counts[pool] += 1

    def add_cheapest(self, domains: Collection[str], kinds: Collection[bool]) -> bool:
        """Adds one replica; returns False if there is no room for it."""
        pools = [
            Pool(domain=d, spot=s)
            for d in domains
            for s in kinds
            if self.has_room(Pool(domain=d, spot=s))
        ]
        if not pools:
            return False
        self.counts[min(pools, key=self._cost)] += 1
        return True

    def _cost(self, pool: Pool) -> tuple[float, int, str]:
        """Returns the price, which grows in domains above an even share.

        Callers of a domain that has fewer replicas than others send their work across.
        """
        total = self.of_domain(pool.domain)
        price = self._scaling.domain_prices.get(pool.domain, 1.0)
        if pool.spot:
            price *= self._scaling.spot_price
        crowding = max(1.0, (total + 1) / self._even) ** CROWDING_EXPONENT
        return (price * crowding, total, pool.domain)

    @property
    def total(self) -> int:
        return self.counts.total()

    def largest_domain(self) -> str:
        return max(self._domains, key=self.of_domain)

    def most_spot_domain(self) -> str:
        return max(self._domains, key=lambda d: self.counts[Pool(domain=d, spot=True)])


def _has_cheaper_spot(scaling: routing.Scaling) -> bool:
    return scaling.spot_price is not None and scaling.spot_price < 1.0


def plan(
    need: Need,
    scaling: routing.Scaling,
    domains: Collection[str],
    limits: Mapping[Pool, int],
) -> dict[Pool, int]:
    """Returns how many replicas of each kind there should be in each domain.

    Args:
        need: what the replicas have to carry.
        scaling: bounds and prices.
        domains: failure domains in which replicas can be ordered.
        limits: highest counts of the kinds of which no more are available now.
    """
    even = need.total / max(1, len(domains))
    mix = _Mix(scaling, domains, limits, even)
    steady = max(1, int(STEADY_SHARE * even))
    for domain in sorted(domains):
        kinds = [Pool(domain=domain, spot=s) for s in (False, True)]
        mix.fill(kinds, steady)
        mix.fill(kinds[::-1], scaling.min_count - mix.of_domain(domain))
    while mix.total < need.total:
        if not mix.add_cheapest(domains, (True, False)):
            break
    # A second loss while no more spot replicas are available isn't worth others.
    kinds = (True,) if any(s.spot for s in limits) else (True, False)
    _add_reserve(mix, need, domains, kinds)
    every = [Pool(domain=d, spot=s) for d in domains for s in (True, False)]
    return {pool: mix.counts[pool] for pool in every}


def _add_reserve(mix: _Mix, need: Need, domains, kinds) -> None:
    while True:
        largest = mix.largest_domain()
        most_spot = mix.most_spot_domain()
        spot = mix.counts[Pool(domain=most_spot, spot=True)]
        if mix.total - mix.of_domain(largest) < need.without_domain:
            others = [d for d in domains if d != largest]
        elif mix.total - spot < need.without_spot:
            others = [d for d in domains if d != most_spot]
        else:
            return
        if not mix.add_cheapest(others, kinds):
            return
