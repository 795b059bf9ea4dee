"""Who tells whom: few fronts directly, many by relays."""

import collections

from tests import fixtures
from turmericward import peers, requests

check = fixtures.check
LOAD = requests.TargetLoad(urgent_tokens=10.0, deferred_tokens=1.0, open_calls=2)


class _Sock:
    """Puts datagrams into the mailboxes of a network."""

    def __init__(self, network, host: str) -> None:
        self._network = network
        self._host = host

    def sendto(self, data: bytes, address) -> None:
        self._network.sent[self._host] += 1
        self._network.bytes[self._host] += len(data)
        if self._host not in self._network.down:
            self._network.mail.append((address[0], self._host, data))


class _Network:
    """Fronts of several domains that tell each other in rounds."""

    def __init__(self, domains: str, each: int) -> None:
        self.mail = []
        self.sent = collections.Counter()
        self.bytes = collections.Counter()
        self.down: set[str] = set()
        self.now = 0.0
        self.known = {}
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
        self.known[name] = {}
        self.tasks[name] = peers.PeerTask(
            name,
            domain,
            1,
            _Sock(self, name),
            deliver=lambda state, name=name: self.known[name].update(
                {state.front: state}
            ),
            clock=lambda: self.now,
        )

    def round(self) -> None:
        """Every front tells its load twice, and what was sent arrives."""
        self.now += 0.3
        for name, task in self.tasks.items():
            if name in self.down:
                continue
            task.handle(peers.Tell(loads={1: LOAD}))
            task.handle(peers.Tell(loads={1: LOAD}))
            task.tick()
        mail, self.mail = self.mail, []
        for host, sender, data in mail:
            if host not in self.down:
                state = peers.decode(data)
                self.tasks[host].handle(peers.Heard(state=state, host=sender))

    def open_calls(self, name: str) -> int:
        """Returns the others' open calls as a front knows them."""
        return sum(s.loads[1].open_calls for s in self.known[name].values())


def test_a_few_fronts_tell_each_other():
    network = _Network("abc", 2)
    network.round()
    for name in network.tasks:
        check.assertEqual(network.open_calls(name), 5 * LOAD.open_calls, name)


def test_many_fronts_know_the_whole_load_by_relays():
    network = _Network("abcde", 14)
    for _ in range(6):
        network.round()
    for name in network.tasks:
        check.assertEqual(network.open_calls(name), 69 * LOAD.open_calls, name)


def test_datagrams_grow_with_the_fronts_and_not_with_their_square():
    sent = {}
    for each in (14, 28):
        network = _Network("abcde", each)
        for _ in range(4):
            network.round()
        network.sent.clear()
        network.round()
        sent[each] = network.sent.total()
    check.assertLess(sent[28], 2.5 * sent[14])
    # Each member tells twice a round here, each relay its members and the relays.
    check.assertLess(sent[14], 70 * 5)


def test_a_relay_that_is_gone_is_replaced():
    now = 0.0
    circle = peers.Circle("b05", "b")
    for domain in "ab":
        for n in range(10):
            circle.announced(f"{domain}{n:02}", f"{domain}{n:02}", domain, now)
    check.assertEqual([r.front for r in circle.recipients(now)], ["b00"])
    while now < 1.6:
        now += 0.1
        circle.recipients(now)
    check.assertEqual([r.front for r in circle.recipients(now)], ["b01"])
    circle.heard("b00", "b00", "b", now)
    check.assertEqual([r.front for r in circle.recipients(now)], ["b00"])


def test_a_front_whose_relays_are_all_silent_becomes_the_relay():
    now = 0.0
    circle = peers.Circle("b02", "b")
    for n in (0, 1, *range(3, 15)):
        circle.announced(f"b{n:02}", f"b{n:02}", "b", now)
    while now < 4.0:
        now += 0.1
        circle.recipients(now)
    check.assertTrue(circle.is_relay(now))
