"""Who tells whom: few fronts directly, many by relays."""

import collections

from tests import fixtures
from turmericward import feeds, peers, requests

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
            fresh_s={feeds.Topic.TARGETS: 5.0},
            clock=lambda: self.now,
        )

    def round(self, load: requests.TargetLoad = LOAD) -> None:
        """Every front tells its load twice, and what was sent arrives."""
        self.now += 0.3
        for name, task in self.tasks.items():
            if name in self.down:
                continue
            task.handle(peers.Tell(loads={1: load}))
            task.handle(peers.Tell(loads={1: load}))
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


def test_one_more_call_of_each_of_many_fronts_is_known_at_once():
    # Each front's own change is small, but all of them choose the same engine.
    network = _Network("abcd", 21)
    for _ in range(6):
        network.round()
    more = requests.TargetLoad(urgent_tokens=410.0, deferred_tokens=1.0, open_calls=3)
    for _ in range(2):
        network.round(more)
    for domain in "abcd":
        members = [n for n in network.tasks if n[0] == domain]
        heard = max(
            sum(s.loads[1].open_calls for s in states.values() if s.fronts == 1)
            for states in (network.known[name] for name in members)
        )
        check.assertEqual(heard, 20 * more.open_calls)


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


def _circle_of_two_domains(front: str, capacity: int = 0) -> peers.Circle:
    circle = peers.Circle(front, front[0], capacity)
    for domain in "ab":
        for n in range(10):
            circle.announced(f"{domain}{n:02}", f"{domain}{n:02}", domain, 0.0, n)
    return circle


def test_the_ablest_front_is_the_relay_and_reader():
    circle = _circle_of_two_domains("b05", capacity=5)
    check.assertEqual([r.front for r in circle.recipients(0.0)], ["b09"])
    able = _circle_of_two_domains("b05", capacity=50)
    check.assertTrue(able.is_relay(0.0))
    check.assertTrue(able.is_reader(0.0))


def test_a_relay_that_drains_hands_over_before_it_ends():
    circle = _circle_of_two_domains("b05", capacity=5)
    circle.heard("b09", "b09", "b", 0.1, 9)
    check.assertEqual(circle.relay_of("b", 0.1), "b09")
    circle.heard("b09", "b09", "b", 0.2, -1)
    check.assertEqual(circle.relay_of("b", 0.2), "b08")
    check.assertFalse(circle.announced("b09", "b09", "b", 0.3, 9))
    check.assertEqual(circle.relay_of("b", 0.3), "b08")


def test_a_relay_makes_itself_known_to_members_that_it_does_not_hear():
    circle = _circle_of_two_domains("b05", capacity=50)
    for front in ("b01", "b02"):
        circle.heard(front, front, "b", 0.0)
    first = [
        r.front for r in circle.recipients(0.1) if r.content is peers.Content.FLEET
    ]
    check.assertEqual(len(first), 10 - 1)
    soon = [r.front for r in circle.recipients(0.2) if r.content is peers.Content.FLEET]
    check.assertEqual(soon, ["b01", "b02"])


def test_few_fronts_have_a_reader_in_each_domain_that_is_replaced_when_silent():
    circle = peers.Circle("b05", "b", 1)
    circle.announced("b01", "b01", "b", 0.0, 5)
    circle.announced("a01", "a01", "a", 0.0, 9)
    check.assertFalse(circle.is_reader(0.0))
    for n in range(20):
        circle.recipients(0.1 * n)
    check.assertTrue(circle.is_reader(2.0))
    news = {r.front: r.news for r in circle.recipients(2.0)}
    check.assertEqual(news, {"a01": False, "b01": True})


def test_news_of_the_reader_reach_every_member_and_no_other_domain():
    network = _Network("ab", 8)
    heard = {name: [] for name in network.tasks}
    for name, task in network.tasks.items():
        task.follow(feeds.Topic.TARGETS, heard[name].append)
    for _ in range(3):
        network.round()
    (reader,) = [n for n, t in network.tasks.items() if t.reads and n[0] == "a"]
    record = feeds.Record(offset=3, key="t", value=b"v")
    stretch = feeds.Followed(
        topic=feeds.Topic.TARGETS,
        start=3,
        end=5,
        as_of=network.now,
        records=(record,),
    )
    network.tasks[reader].handle(stretch)
    for _ in range(2):
        network.round()
    for name in network.tasks:
        found = [news.records for news in heard[name] if news.records]
        expected = name[0] == "a" and name != reader
        check.assertEqual(bool(found), expected, name)


def test_a_note_crosses_between_two_domains_once():
    network = _Network("ab", 8)
    for _ in range(3):
        network.round()
    note = requests.KeptNote(target=1, part=7, tokens=9_000, own_tokens=0, ready=True)
    network.tasks["a05"].handle(peers.Tell(loads={}, kept=(note,)))
    got = collections.Counter()
    for name, task in network.tasks.items():
        task._pass_on = lambda state, name=name: got.update([name] * len(state.kept))
    for _ in range(8):
        network.round()
    # The relays hear it from their peers, the others from their relay.
    check.assertEqual({got[n] for n in network.tasks if n not in ("a05",)}, {1})


def _known(end: int) -> feeds.Followed:
    record = feeds.Record(offset=end - 1, key="t", value=b"v")
    return feeds.Followed(
        topic=feeds.Topic.TARGETS,
        start=end,
        end=end,
        as_of=0.0,
        records=(record,),
        whole=True,
    )


def _start_anew(network, name: str) -> list:
    """Starts a front again that knows nothing; returns what it is told."""
    network.known.pop(name)
    network._add(name, name[0])
    heard = []
    network.tasks[name].follow(feeds.Topic.TARGETS, heard.append)
    return heard


def test_a_front_that_starts_without_the_store_is_told_all_by_its_relay():
    for each, again in ((8, "a05"), (8, "a00"), (2, "a01"), (2, "a00")):
        network = _Network("ab", each)
        for task in network.tasks.values():
            task.handle(_known(5))
        for _ in range(8):
            network.round()
        heard = _start_anew(network, again)
        for _ in range(14):
            network.round()
        whole = [news for news in heard if news.whole]
        check.assertTrue(whole, (each, again))
        check.assertEqual([r.key for r in whole[0].records], ["t"])
        # One front tells it, and only until it knows.
        network.tasks[again].handle(_known(5))
        network.round()
        heard.clear()
        for _ in range(8):
            network.round()
        check.assertFalse([news for news in heard if news.whole], (each, again))
