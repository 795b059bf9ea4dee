"""Which fronts a front tells, and what: all of them, or by one relay a domain.

Few fronts tell each other directly. Of many, each tells the relay of its domain
only; a relay tells the other relays its domain's sum, and its members the sum of
the whole fleet. Datagrams thus grow with the number of fronts, not its square.
The relay is the member that can carry most. It is also the domain's reader of the
store, whose news the others rely on.
"""

import enum

import attrs

from turmericward import requests

# Up to this many peers, each front tells every other one.
MAX_DIRECT_PEERS = 11
# A front that was neither announced nor heard for this long is forgotten.
FORGOTTEN_S = 150.0
# How often a relay tells members that it doesn't hear, in case they don't know it.
HELLO_S = 1.0
# How long a silent relay is passed over at most; being heard ends it.
SUSPECTED_S = 60.0


class Content(enum.Enum):
    """What a peer is told: own load, the domain's sum, or the fleet's."""

    OWN = "own"
    DOMAIN = "domain"
    FLEET = "fleet"


@attrs.frozen(kw_only=True)
class Recipient:
    """A peer to tell; `news` where it relies on what this front reads."""

    front: str
    host: str
    content: Content
    news: bool = False


@attrs.define(kw_only=True)
class _Peer:
    host: str
    domain: str
    capacity: int
    seen_at: float
    heard_at: float = float("-inf")
    expected_since: float | None = None
    suspected_until: float = float("-inf")


class Circle:
    """The fronts that one front knows; times are steady seconds."""

    def __init__(self, front: str, domain: str, capacity: int = 0) -> None:
        """Creates the circle of a front without peers.

        Args:
            front: name of this front.
            domain: its failure domain.
            capacity: what its instance can carry, for the choice of relays.
        """
        self._front = front
        self._domain = domain
        self._hello_at = float("-inf")
        self.capacity = capacity
        self._peers: dict[str, _Peer] = {}

    def announced(
        self, front: str, host: str, domain: str, now: float, capacity: int = 0
    ) -> bool:
        """Notes a front; tells whether it is new."""
        if front == self._front:
            return False
        peer = self._peers.get(front)
        if peer is None:
            self._peers[front] = _Peer(
                host=host, domain=domain, capacity=capacity, seen_at=now
            )
            return True
        peer.host, peer.domain, peer.seen_at = host, domain, now
        # What a front told itself lately is newer than its announcement.
        if now - peer.heard_at > requests.PEER_LEASE_S:
            peer.capacity = capacity
        return False

    def heard(
        self, front: str, host: str, domain: str, now: float, capacity: int = 0
    ) -> bool:
        """Notes a datagram of a front; tells whether the front is new."""
        new = self.announced(front, host, domain, now, capacity)
        if front in self._peers:
            peer = self._peers[front]
            peer.heard_at = now
            peer.capacity = capacity
            peer.suspected_until = float("-inf")
        return new

    def forget(self, now: float) -> list[str]:
        """Drops fronts that were not announced or heard for long."""
        gone = [f for f, p in self._peers.items() if now - p.seen_at > FORGOTTEN_S]
        for front in gone:
            del self._peers[front]
        return gone

    @property
    def direct(self) -> bool:
        """Whether every front tells every other one."""
        return len(self._peers) <= MAX_DIRECT_PEERS

    def relay_of(self, domain: str, now: float, without: str = "") -> str | None:
        """Returns the domain's ablest front that isn't suspected to be gone.

        Args:
            domain: a failure domain.
            now: steady seconds.
            without: a front that is left out.
        """
        fronts = [
            (-p.capacity, f)
            for f, p in self._peers.items()
            if p.domain == domain and p.suspected_until <= now and f != without
        ]
        if domain == self._domain:
            fronts.append((-self.capacity, self._front))
        return min(fronts)[1] if fronts else None

    def members(self, now: float) -> list[str]:
        """Returns the fronts of the own domain that told their state lately."""
        return [
            f
            for f, p in self._peers.items()
            if p.domain == self._domain and now - p.heard_at <= requests.PEER_LEASE_S
        ]

    def is_reader(self, now: float) -> bool:
        """Tells whether the domain's other fronts rely on this one's reads."""
        return self.relay_of(self._domain, now) == self._front

    def is_relay(self, now: float) -> bool:
        """Tells whether this front sums up its domain."""
        return not self.direct and self.is_reader(now)

    def recipients(self, now: float) -> list[Recipient]:
        """Returns whom to tell now, and what."""
        self._suspect(now)
        if self.direct:
            reads = self.is_reader(now)
            return [
                self._recipient(f, Content.OWN, news=reads and p.domain == self._domain)
                for f, p in self._peers.items()
            ]
        relay = self.relay_of(self._domain, now)
        if relay != self._front:
            return [self._recipient(relay, Content.OWN)]
        others = {p.domain for p in self._peers.values()} - {self._domain}
        relays = [self.relay_of(domain, now) for domain in sorted(others)]
        return [
            *(self._recipient(f, Content.DOMAIN) for f in relays if f),
            *(
                self._recipient(f, Content.FLEET, news=True)
                for f in (*self.members(now), *self._unheard(now))
            ),
        ]

    def _unheard(self, now: float) -> list[str]:
        """Returns now and then the members that may not know who their relay is."""
        if now - self._hello_at < HELLO_S:
            return []
        self._hello_at = now
        heard = set(self.members(now))
        return [
            f
            for f, p in self._peers.items()
            if p.domain == self._domain and f not in heard
        ]

    def _recipient(
        self, front: str, content: Content, *, news: bool = False
    ) -> Recipient:
        host = self._peers[front].host
        return Recipient(front=front, host=host, content=content, news=news)

    def _suspect(self, now: float) -> None:
        """Passes over relays that should have been heard and weren't."""
        for domain in {p.domain for p in self._peers.values()}:
            relay = self.relay_of(domain, now)
            if relay is None or relay == self._front:
                continue
            if domain != self._domain and not self.is_relay(now):
                continue
            peer = self._peers[relay]
            if peer.expected_since is None:
                peer.expected_since = now
            if now - max(peer.heard_at, peer.expected_since) > requests.PEER_LEASE_S:
                peer.suspected_until = now + SUSPECTED_S
                peer.expected_since = None
