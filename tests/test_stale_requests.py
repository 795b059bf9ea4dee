"""A configuration reaches the fronts that the store refuses, under a virtual clock."""

import collections

from tests import fixtures
from turmericward import feeds, peers, positions

check = fixtures.check
TOPIC = feeds.Topic.CONFIGURATION
BOUND_S = 3.0
FRESH_S = 0.6 * BOUND_S
STEP_S = 0.05
# A reader's read waits this long when there is nothing new.
READ_S = 0.9


class _Sock:
    def __init__(self, network, name: str) -> None:
        self._network = network
        self._name = name

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self._network.bytes[self._name] += len(data)
        self._network.in_transit.append((address[0], self._name, data))


class _Front:
    """A cursor and a peer task, with reads as `feeds.FollowLoop` decides on them."""

    def __init__(self, network, name: str, domain: str, capacity: int) -> None:
        self._network = network
        self.name = name
        self.domain = domain
        self.refused = False
        self.frozen = False
        self.cursor = feeds.Cursor(FRESH_S)
        self.cursor.apply_listing(positions.Position(1, 5), 0.0)
        self.peers = peers.PeerTask(
            name,
            domain,
            1,
            _Sock(network, name),
            deliver=lambda state: None,
            capacity=capacity,
            fresh_s={TOPIC: FRESH_S},
            clock=lambda: network.now,
        )
        self.peers.subscribe(TOPIC, self._apply)
        self._publish(self.cursor.next, 0.0, network.records(0), full=True)

    def _publish(self, start, as_of: float, records, *, full: bool = False) -> None:
        self.peers.handle(
            feeds.TopicRange(
                topic=TOPIC,
                start=start,
                end=self.cursor.next,
                as_of=as_of,
                records=records,
                full=full,
            )
        )

    def _apply(self, batch: feeds.RecordBatch) -> None:
        now = self._network.now
        start, until = self.cursor.next, self.cursor.fresh_until
        records = self.cursor.apply_batch(batch, now)
        if self.cursor.next > start or self.cursor.fresh_until > until:
            self._publish(start, now - batch.age_s, records)

    def step(self) -> None:
        now = self._network.now
        reads = self.peers.reads_store and round(now / STEP_S) % 18 == 0
        if not self.refused and (reads or not self.cursor.is_fresh(now)):
            start = self.cursor.next
            records = self._network.records(start.offset)
            end = positions.Position(1, self._network.end)
            self.cursor.apply_read(end, now)
            self._publish(start, now, records)
        self.peers.run_periodic()


class _Network:
    """Fronts of several domains; a datagram takes one step."""

    def __init__(self, domains: str, each: int) -> None:
        self.now = 0.0
        self.end = 5
        self.in_transit = []
        self.bytes = collections.Counter()
        self.fronts = {
            f"{domain}{n:02}": _Front(self, f"{domain}{n:02}", domain, capacity=-n)
            for domain in domains
            for n in range(each)
        }
        for name, front in self.fronts.items():
            for other, peer in self.fronts.items():
                if other != name:
                    announced = peers.Announced(
                        front=other,
                        host=other,
                        domain=peer.domain,
                        capacity=-int(other[1:]),
                    )
                    front.peers.handle(announced)

    def records(self, start: int) -> tuple[feeds.Record, ...]:
        """Returns the records of the store from an offset on."""
        first = max(4, start)
        return tuple(
            feeds.Record(offset=n, key="config", value=b"%d" % n)
            for n in range(first, self.end)
        )

    def run(self, duration_s: float) -> None:
        for _ in range(round(duration_s / STEP_S)):
            self.now += STEP_S
            datagrams, self.in_transit = self.in_transit, []
            for host, sender, data in datagrams:
                if not self.fronts[host].frozen:
                    message = peers.StateReceived(state=peers.decode(data), host=sender)
                    self.fronts[host].peers.handle(message)
            for front in self.fronts.values():
                if not front.frozen:
                    front.step()

    def seconds_until_known(self) -> dict[str, float]:
        """Appends a version; returns when each front has it, in seconds."""
        self.end += 1
        began, known = self.now, {}
        while len(known) < len(self.fronts) and self.now < began + 4 * BOUND_S:
            self.run(STEP_S)
            for name, front in self.fronts.items():
                if front.cursor.next.offset >= self.end:
                    known.setdefault(name, self.now - began)
        return known


def _check_in_time(network: _Network, case: str) -> None:
    known = network.seconds_until_known()
    check.assertEqual(set(known), set(network.fronts), case)
    check.assertLessEqual(max(known.values()), BOUND_S, case)


def test_a_front_that_the_store_refuses_kept_a_removed_key():
    """Guards against an old configuration where peers have the new one."""
    cases = (
        ("members", "a", 6, lambda name: int(name[1:]) % 3 == 2),
        ("the reader", "a", 6, lambda name: name == "a00"),
        ("reader and next", "a", 6, lambda name: name in ("a00", "a01")),
        ("all but one", "a", 4, lambda name: name != "a03"),
        ("members of many", "abc", 10, lambda name: int(name[1:]) % 3 == 2),
        ("the reader of many", "abc", 10, lambda name: name == "b00"),
        ("every third, readers too", "abc", 10, lambda name: int(name[1:]) % 3 == 0),
        ("a whole domain", "abc", 10, lambda name: name[0] == "b"),
        ("a whole domain of few", "ab", 3, lambda name: name[0] == "b"),
    )
    for case, domains, each, refused in cases:
        network = _Network(domains, each)
        network.run(5.0)
        for name, front in network.fronts.items():
            front.refused = refused(name)
        network.run(7.0)
        for phase_s in (0.35, 0.85):
            _check_in_time(network, case)
            network.run(5.0 + phase_s)


def test_a_refused_front_that_was_frozen_never_learned_what_it_missed():
    """Guards against a gap that lasts: the reader repeats records for 3 s only."""
    for name in ("a04", "a00"):
        network = _Network("a", 6)
        network.run(5.0)
        front = network.fronts[name]
        front.refused = front.frozen = True
        network.end += 2
        network.run(8.0)
        front.frozen = False
        network.run(BOUND_S)
        check.assertEqual(front.cursor.next.offset, network.end, name)
        check.assertTrue(front.cursor.is_fresh(network.now), name)


def test_requests_were_answered_though_no_front_had_news():
    """Guards against traffic while the whole store is down: nobody answers."""
    network = _Network("abc", 10)
    network.run(5.0)
    network.bytes.clear()
    network.run(10.0)
    calm = sum(network.bytes.values())
    for front in network.fronts.values():
        front.refused = True
    network.run(5.0)
    network.bytes.clear()
    network.run(10.0)
    check.assertLess(sum(network.bytes.values()), 1.5 * calm)
