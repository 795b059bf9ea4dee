"""Chooses which peers a front sends to: all of them, or through one relay a domain.

With few fronts each one sends to every other. With many, each sends only to the
relay of its domain; a relay sends its domain's sum to the other relays, and the sum
of the whole fleet to its members. The number of datagrams thus grows linearly with
the number of fronts. The relay is the member with the highest capacity. It is also
the domain's reader of the store, on whose records the other members rely.
"""

import enum

import attrs

from turmericward import requests

# Up to this many peers, each front sends to every other one.
MAX_DIRECT_PEERS = 11
# A front that was neither announced nor received from for this long is dropped.
PEER_EXPIRY_S = 150.0
# How often a relay sends to unresponsive members, which may use another relay.
HELLO_INTERVAL_S = 1.0
# How long an unresponsive relay is skipped at most; a datagram from it ends this.
SUSPICION_S = 60.0


class LoadScope(enum.Enum):
    """Whose load a peer is sent: this front's, the domain's sum, or the fleet's."""

    LOCAL = "local"
    DOMAIN = "domain"
    FLEET = "fleet"


@attrs.frozen(kw_only=True)
class Recipient:
    """A peer to send to; `gets_records` if it relies on this front's reads."""

    front: str
    host: str
    scope: LoadScope
    gets_records: bool = False


@attrs.define(kw_only=True)
class _Peer:
    host: str
    domain: str
    capacity: int
    seen_at: float
    received_at: float = float("-inf")
    expected_since: float | None = None
    suspected_until: float = float("-inf")


class PeerGroup:
    """A front's view of its peers; times are monotonic seconds."""

    def __init__(self, front: str, domain: str, capacity: int = 0) -> None:
        """Creates the view of a front without peers.

        Args:
            front: name of this front.
            domain: its failure domain.
            capacity: capacity of its instance, for the choice of relays.
        """
        self._front = front
        self._domain = domain
        # Whether relays of other domains are sent to also while they are suspected.
        self.greets_relays = False
        self._relay_hello_at = float("-inf")
        self._hello_at = float("-inf")
        self.capacity = capacity
        self._peers: dict[str, _Peer] = {}

    def record_announcement(
        self, front: str, host: str, domain: str, now: float, capacity: int = 0
    ) -> bool:
        """Records that a front was announced; returns whether it is new."""
        if front == self._front:
            return False
        peer = self._peers.get(front)
        if peer is None:
            self._peers[front] = _Peer(
                host=host, domain=domain, capacity=capacity, seen_at=now
            )
            return True
        peer.host, peer.domain, peer.seen_at = host, domain, now
        # The capacity in a live peer's last datagram is newer than the announced one.
        if now - peer.received_at > requests.PEER_TIMEOUT_S:
            peer.capacity = capacity
        return False

    def record_datagram(
        self, front: str, host: str, domain: str, now: float, capacity: int = 0
    ) -> bool:
        """Records a datagram of a front; returns whether the front is new."""
        new = self.record_announcement(front, host, domain, now, capacity)
        if front in self._peers:
            peer = self._peers[front]
            peer.received_at = now
            peer.capacity = capacity
            peer.suspected_until = float("-inf")
        return new

    def expire(self, now: float) -> list[str]:
        """Drops fronts not seen for `PEER_EXPIRY_S` and returns their names."""
        expired = [f for f, p in self._peers.items() if now - p.seen_at > PEER_EXPIRY_S]
        for front in expired:
            del self._peers[front]
        return expired

    def names(self) -> frozenset[str]:
        """Returns the names of all known fronts except this one."""
        return frozenset(self._peers)

    @property
    def direct(self) -> bool:
        """Whether every front sends to every other one."""
        return len(self._peers) <= MAX_DIRECT_PEERS

    def relay_of(self, domain: str, now: float, exclude: str = "") -> str | None:
        """Returns the domain's front of highest capacity that isn't suspected.

        Args:
            domain: a failure domain.
            now: monotonic seconds.
            exclude: a front that isn't considered.
        """
        candidates = [
            (-p.capacity, f)
            for f, p in self._peers.items()
            if p.domain == domain and p.suspected_until <= now and f != exclude
        ]
        if domain == self._domain:
            candidates.append((-self.capacity, self._front))
        return min(candidates)[1] if candidates else None

    def live_members(self, now: float) -> list[str]:
        """Returns the live peers of the local domain."""
        return [
            f
            for f, p in self._peers.items()
            if p.domain == self._domain
            and now - p.received_at <= requests.PEER_TIMEOUT_S
        ]

    def is_reader(self, now: float) -> bool:
        """Returns whether the domain's other fronts rely on this front's reads."""
        return self.relay_of(self._domain, now) == self._front

    def is_relay(self, now: float) -> bool:
        """Returns whether this front sums up the load of its domain."""
        return not self.direct and self.is_reader(now)

    def recipients(self, now: float) -> list[Recipient]:
        """Returns the peers to send to now, each with the scope of load it gets."""
        self._suspect_unresponsive_relays(now)
        if self.direct:
            reads = self.is_reader(now)
            return [
                self._recipient(
                    f,
                    LoadScope.LOCAL,
                    gets_records=reads and p.domain == self._domain,
                )
                for f, p in self._peers.items()
            ]
        relay = self.relay_of(self._domain, now)
        if relay != self._front:
            return [self._recipient(relay, LoadScope.LOCAL)]
        others = {p.domain for p in self._peers.values()} - {self._domain}
        relays = [self.relay_of(domain, now) for domain in sorted(others)]
        relays += self._suspected_relays(others, set(relays), now)
        return [
            *(self._recipient(f, LoadScope.DOMAIN) for f in relays if f),
            *(
                self._recipient(f, LoadScope.FLEET, gets_records=True)
                for f in (*self.live_members(now), *self._hello_recipients(now))
            ),
        ]

    def _hello_recipients(self, now: float) -> list[str]:
        """Returns the unresponsive members, once every `HELLO_INTERVAL_S`."""
        if now - self._hello_at < HELLO_INTERVAL_S:
            return []
        self._hello_at = now
        live = set(self.live_members(now))
        return [
            f
            for f, p in self._peers.items()
            if p.domain == self._domain and f not in live
        ]

    def _suspected_relays(
        self, domains: set[str], known: set[str | None], now: float
    ) -> list[str]:
        """Returns the suspected first fronts of domains, once a `HELLO_INTERVAL_S`.

        After a cut, the relays of both sides would otherwise send to fronts that the
        others have chosen in place of them, until no front is suspected any more.
        """
        if not self.greets_relays or now - self._relay_hello_at < HELLO_INTERVAL_S:
            return []
        self._relay_hello_at = now
        firsts = [
            min((-p.capacity, f) for f, p in self._peers.items() if p.domain == domain)
            for domain in sorted(domains)
        ]
        return [front for _, front in firsts if front not in known]

    def _recipient(
        self, front: str, scope: LoadScope, *, gets_records: bool = False
    ) -> Recipient:
        host = self._peers[front].host
        return Recipient(front=front, host=host, scope=scope, gets_records=gets_records)

    def _suspect_unresponsive_relays(self, now: float) -> None:
        """Suspects relays that should have sent within `PEER_TIMEOUT_S` and didn't."""
        for domain in {p.domain for p in self._peers.values()}:
            relay = self.relay_of(domain, now)
            if relay is None or relay == self._front:
                continue
            if domain != self._domain and not self.is_relay(now):
                continue
            peer = self._peers[relay]
            if peer.expected_since is None:
                peer.expected_since = now
            if (
                now - max(peer.received_at, peer.expected_since)
                > requests.PEER_TIMEOUT_S
            ):
                peer.suspected_until = now + SUSPICION_S
                peer.expected_since = None
