"""Decides who may hold more memory and who has to give it back; pure.

A body is read only once all the memory that it will need is granted, so that two bodies
never wait for each other's memory. One without an announced length is granted memory
step by step; those that wait for a step are idle and give back what they hold.
"""

import enum
import math
from collections.abc import Container, Hashable, Iterable

import attrs

# A request that holds no more than this is always admitted.
SMALL_BYTES = 16 * 1024
# Share of the limit that only small requests may use.
SMALL_SHARE = 1 / 8
# A holding without a byte for this time gives way to one that waits for memory.
STALL_S = 2.0
# So does one that moves fewer bytes a second on average after the first seconds. The
# slowest instances have 600,000 B/s for all clients together.
MIN_RATE_BYTES_PER_S = 16 * 1024
RATE_GRACE_S = 4.0


class Kind(enum.Enum):
    """What memory is held for."""

    # An incomplete request: it can be refused, since it can't have run.
    REQUEST = "request"
    # A response that the client hasn't read: its connection can be closed.
    RESPONSE = "response"
    # Complete requests and responses that are being read: nothing is taken from them.
    WORK = "work"


@attrs.frozen(kw_only=True)
class Holding:
    """Memory held by one connection for one purpose.

    `size` is in bytes and includes what is granted and not yet used; `since` is when it
    began, `moved_at` when its last byte was received or sent and `moved` how many were,
    in seconds of one clock.
    """

    owner: Hashable
    kind: Kind
    size: int
    since: float
    moved_at: float
    moved: int


@attrs.frozen(kw_only=True)
class Bounds:
    """The limit of all holdings together, and that for all but small requests."""

    total: float
    large: float

    @property
    def small(self) -> float:
        """Bytes for small requests only."""
        return self.total - self.large

    @classmethod
    def of(cls, limit_bytes: float) -> "Bounds":
        """Returns the bounds for a limit."""
        return cls(total=limit_bytes, large=limit_bytes * (1 - SMALL_SHARE))


def may_grant(bounds: Bounds, held: int, own: int, size: int) -> bool:
    """Returns whether a holding may grow.

    Args:
        bounds: the limits.
        held: bytes of all holdings.
        own: bytes of this one.
        size: its bytes if it is granted.
    """
    others = held - own
    if others + size <= bounds.large or size <= SMALL_BYTES:
        return True
    # One that exceeds the limit by itself is served while hardly anything else is held.
    return others <= bounds.small


def excess(bounds: Bounds, held: int, largest: int) -> int:
    """Returns the bytes that are held beyond the limit.

    Args:
        bounds: the limits.
        held: bytes of all holdings.
        largest: bytes of the largest, which may exceed the limit by itself.
    """
    return max(0, math.ceil(held - max(bounds.total, largest + bounds.small)))


def is_idle(holding: Holding, now: float) -> bool:
    """Returns whether a holding makes no progress."""
    if now - holding.moved_at >= STALL_S:
        return True
    elapsed_s = now - holding.since - RATE_GRACE_S
    return holding.moved < MIN_RATE_BYTES_PER_S * elapsed_s


def select_victims(
    holdings: Iterable[Holding],
    now: float,
    waiting: Container[Hashable],
    needed: int,
    excess: int,
) -> list[Holding]:
    """Returns the holdings to end so that memory becomes free, largest first.

    Args:
        holdings: all holdings.
        now: time on their clock.
        waiting: owners that aren't read since they wait for memory.
        needed: bytes that others wait for; idle holdings are ended for them.
        excess: bytes held beyond the limit; for them, incomplete requests that make
            progress or wait are ended as well.
    """
    candidates = [h for h in holdings if h.kind is not Kind.WORK and h.size > 0]
    idle, rest = [], []
    for holding in candidates:
        if is_idle(holding, now) and holding.owner not in waiting:
            idle.append(holding)
        elif holding.kind is Kind.REQUEST:
            rest.append(holding)
    victims = _take(idle, max(needed, excess))
    excess -= sum(h.size for h in victims)
    return victims + _take(rest, excess)


def _take(holdings: list[Holding], needed: int) -> list[Holding]:
    """Returns the largest holdings that together have the needed size."""
    taken, size = [], 0
    for holding in _largest_first(holdings):
        if size >= needed:
            break
        taken.append(holding)
        size += holding.size
    return taken


def _largest_first(holdings: list[Holding]) -> list[Holding]:
    return sorted(holdings, key=lambda h: (-h.size, h.moved_at))
