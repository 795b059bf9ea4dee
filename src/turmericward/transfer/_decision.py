"""Whether one more call should leave its domain, and the share that should.

Load patterns handled: a domain with more load than its targets take, beside others
with room; all domains full, where a call gains nothing anywhere else.
"""

import math
from collections.abc import Iterable, Mapping

import attrs

# Utilization from which on a domain sends calls away, and the one up to which others
# are filled by them.
ENOUGH_UTILIZATION = 0.8
MAX_RECEIVING_UTILIZATION = 0.95
# At this utilization a domain gets no calls of others. At 1.0, three full domains with
# a load of 1.5 exchange 0.36 of their calls after refusals, at 0.97 0.11.
FULL_UTILIZATION = 0.97
# Another domain's utilization counts as higher by this, so that two domains with
# nearly the same utilization exchange nothing.
MARGIN = 0.05
# Share sent per utilization in excess. The share is proportional and has no memory, so
# that all fronts reach the same one, whenever they started.
GAIN = 2.5
# A queue makes the utilization grow without bound; more than this counts as this.
MAX_UTILIZATION = 1.1
# Idle part of a domain that is at least assumed in estimates of waits.
MIN_IDLE = 0.02


@attrs.frozen(kw_only=True)
class Link:
    """What leaving the domain costs.

    `delay_s` is the delay one way. The price of traffic is the extra wait that is
    tolerated to avoid it: `price_s` for each call, and `byte_price_s` for each byte.
    """

    delay_s: float
    price_s: float = 0.0
    byte_price_s: float = 0.0

    def cost_s(self, size: float = 0.0) -> float:
        """Returns the cost of the way there and back of a call of `size` bytes."""
        return 2 * self.delay_s + self.price_s + self.byte_price_s * size


@attrs.frozen(kw_only=True)
class Domain:
    """A failure domain's targets of one service, as far as they get calls.

    `utilization` is the share of the slots that are taken, or of the prefill queue
    that counts as full; `hold_s` is how long a call takes a slot. A domain that isn't
    `heard` from gets no calls of others.
    """

    name: str
    utilization: float
    slots: int
    hold_s: float
    queue_s: float = 0.0
    heard: bool = True

    @property
    def wait_s(self) -> float:
        """Returns the expected wait of one more call (Sakasegawa's approximation)."""
        if not self.slots:
            return math.inf
        busy = min(1.0, max(0.0, self.utilization))
        exponent = math.sqrt(2 * (self.slots + 1)) - 1
        idle = max(MIN_IDLE, 1 - busy)
        return self.queue_s + self.hold_s / self.slots * busy**exponent / idle

    @property
    def receives(self) -> bool:
        """Whether it may get calls of other domains."""
        return self.heard and self.slots > 0 and self.utilization < FULL_UTILIZATION


def pays(
    here_s: float,
    there_s: float,
    link: Link,
    *,
    lost_cache_s: float = 0.0,
    size: float = 0.0,
) -> bool:
    """Returns whether a call should leave its domain.

    Args:
        here_s: what it waits in its domain.
        there_s: what it waits in the other one, without the link.
        link: costs of the way.
        lost_cache_s: time to compute anew the KV cache that it leaves behind.
        size: bytes of the call and its response.
    """
    return there_s + link.cost_s(size) + lost_cache_s < here_s


def target_shares(home: Domain, others: Iterable[Domain]) -> Mapping[str, float]:
    """Returns the share of the domain's calls that each other domain should get.

    It is continuous in the utilizations, so that small errors in them cause small
    changes. Domains that get nothing are left out.
    """
    here = min(MAX_UTILIZATION, home.utilization)
    limit = min(MAX_RECEIVING_UTILIZATION, here - MARGIN)
    rooms = {
        d.name: (limit - d.utilization) * d.slots
        for d in others
        if d.receives and d.utilization < limit
    }
    room = sum(rooms.values())
    if not home.slots or here <= ENOUGH_UTILIZATION or room <= 0:
        return {}
    total = GAIN * min(here - ENOUGH_UTILIZATION, room / home.slots)
    total = min(1.0, total)
    return {name: total * part / room for name, part in rooms.items()}
