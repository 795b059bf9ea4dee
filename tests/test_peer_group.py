"""Exchange of states: few fronts send directly, many through relays."""

import collections

from tests import fixtures
from turmericward import feeds, peers, positions, requests

check = fixtures.check
LOAD = requests.TargetLoad(urgent_tokens=10.0, deferred_tokens=1.0, open_calls=2)


class _Sock:
    """Queues datagrams in a simulated network."""

    def __init__(self, network, host: str) -> None:
        self._network = network
        self._host = host

    def sendto(self, data: bytes, address) -> None:
        self._network.sent[self._host] += 1
        self._network.bytes[self._host] += len(data)
        if self._host not in self._network.down:
            self._network.in_transit.append((address[0], self._host, data))


class _Network:
    """Fronts of several domains that exchange states in rounds."""

    def __init__(self, domains: str, each: int) -> None:
        self.in_transit = []
        self.sent = collections.Counter()
        self.bytes = collections.Counter()
        self.down: set[str] = set()
        self.now = 0.0
        self.views = {}
        self.tasks = {}
        for domain in domains:
            for n in range(each):
                self._add(f"{domain}{n:02}", domain)
        for name, task in self.tasks.items():
            for other in self.tasks:
                if other != name:
                    message = peers.Announced(front=other, host=other, domain=other[0])
                    task.handle(message)

    def _add(self, name: str, domain: str) -> None:
        self.views[name] = {}
        self.tasks[name] = peers.PeerTask(
            name,
            domain,
            1,
            _Sock(self, name),
            deliver=lambda state, name=name: self.views[name].update(
                {state.front: state}
            ),
            fresh_s={feeds.Topic.TARGETS: 5.0},
            clock=lambda: self.now,
        )

    def round(self, load: requests.TargetLoad = LOAD) -> None:
        """Has every front send its load twice, and delivers the datagrams."""
        self.now += 0.3
        for name, task in self.tasks.items():
            if name in self.down:
                continue
            task.handle(peers.LocalState(loads={1: load}))
            task.handle(peers.LocalState(loads={1: load}))
            task.run_periodic()
        datagrams, self.in_transit = self.in_transit, []
        for host, sender, data in datagrams:
            if host not in self.down:
                state = peers.decode(data)
                self.tasks[host].handle(peers.StateReceived(state=state, host=sender))

    def open_calls(self, name: str) -> int:
        """Returns the peers' open calls in a front's view."""
        return sum(s.loads[1].open_calls for s in self.views[name].values())


def test_few_fronts_send_to_each_other():
    network = _Network("abc", 2)
    network.round()
    for name in network.tasks:
        check.assertEqual(network.open_calls(name), 5 * LOAD.open_calls, name)


def test_relays_spread_the_load_of_many_fronts():
    network = _Network("abcde", 14)
    for _ in range(6):
        network.round()
    for name in network.tasks:
        check.assertEqual(network.open_calls(name), 69 * LOAD.open_calls, name)


def test_one_more_call_on_each_front_is_reported_at_once():
    # Each local change is small, but all fronts choose the same engine.
    network = _Network("abcd", 21)
    for _ in range(6):
        network.round()
    more = requests.TargetLoad(urgent_tokens=410.0, deferred_tokens=1.0, open_calls=3)
    for _ in range(2):
        network.round(more)
    for domain in "abcd":
        members = [n for n in network.tasks if n[0] == domain]
        received = max(
            sum(s.loads[1].open_calls for s in states.values() if s.fronts == 1)
            for states in (network.views[name] for name in members)
        )
        check.assertEqual(received, 20 * more.open_calls)


def test_datagrams_grow_linearly_with_the_fronts():
    sent = {}
    for each in (14, 28):
        network = _Network("abcde", each)
        for _ in range(4):
            network.round()
        network.sent.clear()
        network.round()
        sent[each] = network.sent.total()
    check.assertLess(sent[28], 2.5 * sent[14])
    # Each member sends twice a round; a relay sends to its members and the relays.
    check.assertLess(sent[14], 70 * 5)


def test_an_unresponsive_relay_is_replaced():
    now = 0.0
    group = peers.PeerGroup("b05", "b")
    for domain in "ab":
        for n in range(10):
            group.record_announcement(f"{domain}{n:02}", f"{domain}{n:02}", domain, now)
    check.assertEqual([r.front for r in group.recipients(now)], ["b00"])
    while now < 1.6:
        now += 0.1
        group.recipients(now)
    check.assertEqual([r.front for r in group.recipients(now)], ["b01"])
    group.record_datagram("b00", "b00", "b", now)
    check.assertEqual([r.front for r in group.recipients(now)], ["b00"])


def test_a_front_becomes_the_relay_if_those_before_it_are_unresponsive():
    now = 0.0
    group = peers.PeerGroup("b02", "b")
    for n in (0, 1, *range(3, 15)):
        group.record_announcement(f"b{n:02}", f"b{n:02}", "b", now)
    while now < 4.0:
        now += 0.1
        group.recipients(now)
    check.assertTrue(group.is_relay(now))


def _two_domains(front: str, capacity: int = 0) -> peers.PeerGroup:
    group = peers.PeerGroup(front, front[0], capacity)
    for domain in "ab":
        for n in range(10):
            group.record_announcement(
                f"{domain}{n:02}", f"{domain}{n:02}", domain, 0.0, n
            )
    return group


def test_the_front_of_highest_capacity_is_relay_and_reader():
    group = _two_domains("b05", capacity=5)
    check.assertEqual([r.front for r in group.recipients(0.0)], ["b09"])
    strongest = _two_domains("b05", capacity=50)
    check.assertTrue(strongest.is_relay(0.0))
    check.assertTrue(strongest.is_reader(0.0))


def test_a_draining_relay_is_replaced_before_it_stops():
    group = _two_domains("b05", capacity=5)
    group.record_datagram("b09", "b09", "b", 0.1, 9)
    check.assertEqual(group.relay_of("b", 0.1), "b09")
    group.record_datagram("b09", "b09", "b", 0.2, -1)
    check.assertEqual(group.relay_of("b", 0.2), "b08")
    check.assertFalse(group.record_announcement("b09", "b09", "b", 0.3, 9))
    check.assertEqual(group.relay_of("b", 0.3), "b08")


def test_a_relay_sends_to_unresponsive_members_periodically():
    group = _two_domains("b05", capacity=50)
    for front in ("b01", "b02"):
        group.record_datagram(front, front, "b", 0.0)
    first = [r.front for r in group.recipients(0.1) if r.scope is peers.LoadScope.FLEET]
    check.assertEqual(len(first), 10 - 1)
    second = [
        r.front for r in group.recipients(0.2) if r.scope is peers.LoadScope.FLEET
    ]
    check.assertEqual(second, ["b01", "b02"])


def test_few_fronts_replace_an_unresponsive_reader():
    group = peers.PeerGroup("b05", "b", 1)
    group.record_announcement("b01", "b01", "b", 0.0, 5)
    group.record_announcement("a01", "a01", "a", 0.0, 9)
    check.assertFalse(group.is_reader(0.0))
    for n in range(20):
        group.recipients(0.1 * n)
    check.assertTrue(group.is_reader(2.0))
    gets_records = {r.front: r.gets_records for r in group.recipients(2.0)}
    check.assertEqual(gets_records, {"a01": False, "b01": True})


def test_batches_of_the_reader_reach_its_domain_only():
    network = _Network("ab", 8)
    received = {name: [] for name in network.tasks}
    for name, task in network.tasks.items():
        task.subscribe(feeds.Topic.TARGETS, received[name].append)
    for _ in range(3):
        network.round()
    (reader,) = [n for n, t in network.tasks.items() if t.reads_store and n[0] == "a"]
    record = feeds.Record(offset=3, key="t", value=b"v")
    topic_range = feeds.TopicRange(
        topic=feeds.Topic.TARGETS,
        start=positions.Position(0, 3),
        end=positions.Position(0, 5),
        as_of=network.now,
        records=(record,),
    )
    network.tasks[reader].handle(topic_range)
    for _ in range(2):
        network.round()
    for name in network.tasks:
        found = [batch.records for batch in received[name] if batch.records]
        expected = name[0] == "a" and name != reader
        check.assertEqual(bool(found), expected, name)


def test_a_cache_entry_reaches_each_front_of_two_domains_once():
    network = _Network("ab", 8)
    for _ in range(3):
        network.round()
    entry = requests.CacheEntry(
        target=1, segment=7, tokens=9_000, own_tokens=0, ready=True
    )
    network.tasks["a05"].handle(peers.LocalState(loads={}, cache_entries=(entry,)))
    got = collections.Counter()
    for name, task in network.tasks.items():
        task._forward = lambda state, name=name: got.update(
            [name] * len(state.cache_entries)
        )
    for _ in range(8):
        network.round()
    # Relays receive it from a peer, the other fronts from their relay.
    check.assertEqual({got[n] for n in network.tasks if n not in ("a05",)}, {1})


def _full_range(end: int) -> feeds.TopicRange:
    record = feeds.Record(offset=end - 1, key="t", value=b"v")
    return feeds.TopicRange(
        topic=feeds.Topic.TARGETS,
        start=positions.Position(0, end),
        end=positions.Position(0, end),
        as_of=0.0,
        records=(record,),
        full=True,
    )


def _restart(network, name: str) -> list:
    """Restarts a front with an empty state; returns the list of its batches."""
    network.views.pop(name)
    network._add(name, name[0])
    received = []
    network.tasks[name].subscribe(feeds.Topic.TARGETS, received.append)
    return received


def test_a_front_that_starts_without_the_store_gets_a_full_batch():
    for each, restarted in ((8, "a05"), (8, "a00"), (2, "a01"), (2, "a00")):
        network = _Network("ab", each)
        for task in network.tasks.values():
            task.handle(_full_range(5))
        for _ in range(8):
            network.round()
        received = _restart(network, restarted)
        for _ in range(14):
            network.round()
        full = [batch for batch in received if batch.full]
        check.assertTrue(full, (each, restarted))
        check.assertEqual([r.key for r in full[0].records], ["t"])
        # Full batches stop once the front has data.
        network.tasks[restarted].handle(_full_range(5))
        network.round()
        received.clear()
        for _ in range(8):
            network.round()
        check.assertFalse(
            [batch for batch in received if batch.full], (each, restarted)
        )
