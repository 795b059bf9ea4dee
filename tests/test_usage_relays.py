"""Usage of many fronts in three domains, through relays, in virtual time."""

import collections
import random
from concurrent import futures

from tests import fixtures
from turmericward import dispatching, feeds, metering, peers, positions, telemetry
from turmericward.platform import _usage_store

check = fixtures.check
UNIX_0 = 1_000_000.0
WINDOW_S = 5.0
STEP_S = 0.05
MEMBERS = 10
WORKSPACES = 30


class _Sock:
    """Sends datagrams of a front into the network."""

    def __init__(self, network, host: str) -> None:
        self._network = network
        self._host = host

    def sendto(self, data: bytes, address) -> None:
        self._network.transmit(self._host, address[0], data)


class _Network:
    """Fronts that meter, datagrams that may be lost, and domains that may be cut."""

    def __init__(self, seed: int, loss: float = 0.0) -> None:
        self.now = 1000.0
        self.rng = random.Random(seed)
        self.loss = loss
        self.dead: set[str] = set()
        self.cut: set[str] = set()
        self.late_by: dict[str, float] = {}
        self.bytes_between = 0
        self.in_transit = []
        self.truth = collections.defaultdict(collections.Counter)
        self.tasks = {}
        names = [f"{d}{n:02}" for d in "abc" for n in range(MEMBERS)]
        for name in names:
            self.tasks[name] = self._task(name)
        for name, task in self.tasks.items():
            for other in names:
                if other != name:
                    task.handle(
                        peers.Announced(front=other, host=other, domain=other[0])
                    )

    def _task(self, name: str) -> peers.PeerTask:
        return peers.PeerTask(
            name,
            name[0],
            1,
            _Sock(self, name),
            deliver=lambda state: None,
            usage_window_s=WINDOW_S,
            clock=lambda: self.now,
            time_of_day=lambda: UNIX_0 + self.now + self.late_by.get(name, 0.0),
        )

    def transmit(self, sender: str, host: str, data: bytes) -> None:
        if sender[0] != host[0]:
            self.bytes_between += len(data)
            if self.cut & {sender[0], host[0]}:
                return
        if sender not in self.dead and self.rng.random() >= self.loss:
            self.in_transit.append((host, sender, data))

    def run(self, seconds: float, calls_per_s: float = 0.0) -> None:
        """Lets time pass with calls at random fronts."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            live = sorted(self.tasks.keys() - self.dead)
            for _ in range(round(calls_per_s * STEP_S)):
                self._call(self.rng.choice(live))
            for name in live:
                self.tasks[name].run_periodic()
            datagrams, self.in_transit = self.in_transit, []
            for host, sender, data in datagrams:
                if host not in self.dead:
                    state = peers.decode(data)
                    message = peers.StateReceived(state=state, host=sender)
                    self.tasks[host].handle(message)

    def _call(self, front: str) -> None:
        workspace = f"w{self.rng.randrange(WORKSPACES)}"
        message = peers.CallsBegan(calls=((workspace, self.now),))
        self.tasks[front].handle(message)
        self.truth[self.window()][workspace] += 1

    def window(self) -> int:
        return int((UNIX_0 + self.now) // WINDOW_S)

    def collect(self, front: str, window: int):
        return self.tasks[front].handle(peers.CollectUsage(window=window))


def test_the_relay_of_each_domain_knows_all_counts_though_datagrams_are_lost():
    # Guards against counts that are lost or added twice on the way through relays.
    for loss in (0.0, 0.05):
        network = _Network(1, loss)
        network.run(10.0)
        network.run(WINDOW_S, 300.0)
        window = network.window() - 1
        network.run(3.0)
        for holder in ("a00", "b00", "c00"):
            collected = network.collect(holder, window)
            check.assertEqual(collected.counts, network.truth[window], (holder, loss))
            check.assertTrue(collected.whole)
            end = (window + 1) * WINDOW_S
            check.assertGreater(collected.known_until_s, end + 1.0)


def test_the_death_of_a_relay_and_a_sixth_of_the_fronts_costs_their_last_moments():
    # Guards against counts of dead fronts that die with them or with their relay.
    for die_after_s in (1.0, 3.0, 4.9):
        network = _Network(2)
        network.run(10.0)
        network.run(die_after_s, 300.0)
        network.dead |= {"b00", "b01", "a05", "c07", "c08"}
        network.run(WINDOW_S - die_after_s, 300.0)
        window = network.window() - 1
        network.run(4.0)
        counts = network.collect("a00", window).counts
        truth = network.truth[window]
        missing = truth.total() - sum(counts.values())
        # Half a second of five fronts in thirty, and what b00 itself has counted.
        lost = 300.0 * 0.5 * 5 / 30 + 300.0 * die_after_s / 30
        check.assertLessEqual(missing, 1.3 * lost, die_after_s)
        check.assertTrue(all(n <= truth[w] for w, n in counts.items()), die_after_s)


def test_a_cut_domain_is_known_to_be_missing_and_its_counts_come_later():
    # Guards against a report that leaves a domain out while it may still come back.
    network = _Network(3)
    network.run(10.0)
    network.cut = {"c"}
    network.run(WINDOW_S, 300.0)
    window = network.window() - 1
    network.run(1.5)
    end = (window + 1) * WINDOW_S
    check.assertLess(network.collect("a00", window).known_until_s, end)
    network.cut = set()
    network.run(2.5)
    collected = network.collect("a00", window)
    check.assertEqual(collected.counts, network.truth[window])
    check.assertGreater(collected.known_until_s, end + 1.0)


def test_clocks_that_step_on_several_fronts_move_no_count():
    # Guards against windows by a time of day that steps, on relays as on members.
    network = _Network(4)
    network.run(10.0)
    network.late_by = {"a00": 2.4, "a03": -2.4, "b00": -2.4, "c04": 2.4}
    network.run(10.0, 300.0)
    window = network.window() - 1
    network.run(3.0)
    for number in (window, window - 1):
        collected = network.collect("a00", number)
        check.assertEqual(collected.counts, network.truth[number], number)


def test_usage_between_domains_stays_within_its_share_of_the_bytes():
    # Guards against sums that are sent to other domains more often than needed.
    network = _Network(5)
    network.run(10.0)
    network.bytes_between = 0
    network.run(20.0)
    idle = network.bytes_between
    network.bytes_between = 0
    network.run(20.0, 300.0)
    per_s = (network.bytes_between - idle) / 20.0
    print(f"usage between 3 domains: {per_s:.0f} bytes/s, {WORKSPACES} workspaces")
    # Six pairs; rows of 6 bytes, in full five times a window and changed once or twice.
    check.assertLess(per_s, 6 * 7 * WORKSPACES * 8 / WINDOW_S)


class _Store:
    """Keeps usage of domains; counts the calls."""

    def __init__(self) -> None:
        self.usage = {}
        self.puts = 0
        self.reads = 0

    def put(self, domain: str, usage) -> None:
        self.puts += 1
        self.usage[domain] = usage

    def read(self):
        self.reads += 1
        return self.usage


class _PeerTask:
    """Asks a peer task without its thread."""

    def __init__(self, task: peers.PeerTask) -> None:
        self._task = task
        self.post = task.handle

    @property
    def reads_store(self) -> bool:
        return self._task.reads_store

    def ask(self, message) -> futures.Future:
        fut = futures.Future()
        fut.set_result(self._task.handle(message))
        return fut


def _store_loops(network: _Network, store: _Store, holder: str) -> list:
    loops = []
    for name, task in network.tasks.items():
        loop = dispatching.UsageStoreLoop(
            name[0],
            _PeerTask(task),
            store,
            lambda name=name: name == holder,
            lambda: network.now,
        )
        loop.pause = lambda seconds: None
        loops.append(loop)
    return loops


def test_a_domain_that_is_cut_from_the_holder_tells_its_counts_through_the_store():
    # Guards against windows without the calls of a domain in a cut of any length.
    network, store = _Network(6), _Store()
    loops = _store_loops(network, store, "a00")
    network.run(10.0, 300.0)
    for loop in loops:
        loop.run_once()
    check.assertEqual((store.puts, store.reads), (0, 0))
    network.cut = {"c"}
    windows = 4
    for _ in range(int(windows * WINDOW_S / 0.5)):
        network.run(0.5, 300.0)
        for loop in loops:
            loop.run_once()
        window = int((UNIX_0 + network.now - 3.0) // WINDOW_S) - 1
        end = (window + 1) * WINDOW_S
        if end > UNIX_0 + 1010.0 + 1.0:
            collected = network.collect("a00", window)
            check.assertEqual(collected.counts, network.truth[window])
            check.assertGreaterEqual(collected.known_until_s, end + 1.0)
    # Each window once by the relays of the two domains without the holder, and a read
    # a second.
    check.assertLessEqual(store.puts, 2 * (windows + 1))
    check.assertLessEqual(store.reads, windows * WINDOW_S + 1)


def test_stored_usage_survives_the_store_and_odd_records_are_left_out():
    # Guards against a foreign record that keeps all reports waiting.
    class Client:
        records = []

        def put(self, topic: str, key: str, value: bytes) -> None:
            self.records.append(feeds.Record(offset=0, key=key, value=value))

        def newest(self, topic: str) -> feeds.Listing:
            end = positions.Position(1, 1)
            return feeds.Listing(records=tuple(self.records), end=end)

    client, rejections = Client(), telemetry.Rejections()
    stored = _usage_store.StoredUsage(client, rejections)
    row = metering.WindowUsage(window=3, counts={"w": 2}, domain=True)
    usage = metering.Usage(unix_s=20.5, windows=(row,))
    stored.put("a", usage)
    for value in (b"x", b"{}", b'{"unix_s": 1, "windows": [{"window": -1}]}'):
        client.put("", f"odd {value}", value)
    check.assertEqual(stored.read(), {"a": usage})


def test_a_front_that_stops_tells_its_last_counts():
    # Guards against the calls of the last moments of a planned stop.
    network = _Network(7)
    network.run(10.0)
    while network.window() == int((UNIX_0 + network.now - STEP_S) // WINDOW_S):
        network.run(STEP_S)
    network.run(3.0, 300.0)
    window = network.window()
    for name in ("b03", "b04"):
        network.run(0.0)
        network._call(name)
        network.tasks[name].release_resources()
        network.dead.add(name)
    network.in_transit = [row for row in network.in_transit if row[0] == "b00"]
    network.run(4.5)
    check.assertEqual(network.collect("a00", window).counts, network.truth[window])
