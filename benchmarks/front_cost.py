"""What an idle front costs in fleets of several sizes, as a member and as a relay.

One real front runs against stand-ins of the store and the replicas; the other
fronts are replayed: their datagrams come as often as real ones', and what the
front sends them is counted. Replicas write their heartbeats all the while.

    python -m benchmarks.front_cost --fronts 6,69,195 --seconds 10
"""

import json
import pathlib
import random
import socket
import threading
import time

import attrs
import click

from benchmarks import _processes, _tables
from tests import platform_fixtures
from turmericward import feeds, peers, requests

DOMAINS = 5
# Replicas of a fleet, by its fronts: as at the users' deployments.
REPLICAS_PER_FRONT = 0.5
HEARTBEAT_S = 1.0
STATE_S = 0.1
ABLE = 1_000_000
COLUMNS = [
    "fronts",
    "role",
    "core %",
    "wake-ups/s",
    "store calls/s",
    "KB/s sent near",
    "KB/s sent far",
    "rss MB",
]


@attrs.define
class _Peer:
    """A replayed front: its socket, and what it got."""

    name: str
    domain: str
    sock: socket.socket
    capacity: int = 0
    sequence: int = 0
    got_bytes: int = 0
    news: list[feeds.News] = attrs.field(factory=list)

    def tell(self, port: int, loads, fronts: int) -> None:
        """Sends a state to the measured front."""
        self.sequence += 1
        news = [] if self.capacity != ABLE or self.domain != "a" else self.news
        state = peers.PeerState(
            front=self.name,
            boot=1,
            sequence=self.sequence,
            loads=loads,
            domain=self.domain,
            fronts=fronts,
            capacity=self.capacity,
            partial=bool(self.sequence % 10),
            news=tuple(news),
        )
        self.sock.sendto(peers.encode(state), ("127.0.0.1", port))

    def drain(self) -> None:
        """Counts what has come."""
        while True:
            try:
                self.got_bytes += len(self.sock.recv(65536))
            except BlockingIOError:
                return


def _peer(number: int, port: int, domain: str, capacity: int) -> _Peer:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((f"127.0.{1 + number // 250}.{1 + number % 250}", port))
    sock.setblocking(False)
    return _Peer(f"front-{domain}-{number}", domain, sock, capacity)


def _fleet(fronts: int, port: int, role: str) -> list[_Peer]:
    """Returns the fronts that the measured one, of domain `a`, hears."""
    near = fronts // DOMAINS
    if role == "member":
        return [_peer(0, port, "a", ABLE)]
    members = [_peer(n, port, "a", -1) for n in range(near)]
    relays = [_peer(near + n, port, d, ABLE) for n, d in enumerate("bcde")]
    return members + relays


class _Replay(threading.Thread):
    """Sends the other fronts' states and the replicas' heartbeats."""

    def __init__(self, found, fleet: list[_Peer], port: int, replicas: int) -> None:
        super().__init__(daemon=True)
        self._found = found
        self._fleet = fleet
        self._port = port
        self._targets = [f"m{n}" for n in range(replicas)]
        self._random = random.Random(1)
        self.ended = threading.Event()

    def run(self) -> None:
        """Repeats until `ended`."""
        beat = 0
        while not self.ended.wait(STATE_S):
            beat += 1
            for peer in self._fleet:
                # A member tells when something changed, a relay each time.
                peer.news = self._news()
                if peer.capacity == ABLE or beat % 5 == 0:
                    peer.tell(self._port, self._loads(), 40 if peer.capacity else 1)
                peer.drain()
            share = int(len(self._targets) * STATE_S / HEARTBEAT_S) + 1
            for name in self._random.sample(self._targets, share):
                _heartbeat(self._found, name, beat)

    def _news(self) -> list[feeds.News]:
        """Tells, as the domain's reader, that nothing has changed."""
        topics = (("op", feeds.Topic.CONFIGURATION), ("servers", feeds.Topic.TARGETS))
        return [
            feeds.News(topic=topic, start=0, end=end, age_s=0.0)
            for name, topic in topics
            if (end := self._found.store.end(f"keyed.{name}"))
        ]

    def _loads(self) -> dict[int, requests.TargetLoad]:
        names = self._random.sample(self._targets, min(2, len(self._targets)))
        return {
            requests.target_hash(name): requests.TargetLoad(
                urgent_tokens=self._random.randrange(20_000), open_calls=2
            )
            for name in names
        }


def _heartbeat(found, name: str, sequence: int) -> None:
    found.addresses[name] = "127.0.0.1:9"
    found.announce(name, slots=16, Sequence=sequence)


def _wake_ups(pid: int) -> int:
    total = 0
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        for line in (task / "status").read_text().splitlines():
            if line.startswith("voluntary_ctxt_switches"):
                total += int(line.split()[1])
    return total


def _counted(store) -> list[int]:
    """Counts the calls to a store; returns the counter."""
    calls = [0]
    do = store.do

    def counting(req) -> None:
        calls[0] += 1
        do(req)

    store.do = counting
    return calls


def _measure(fronts: int, role: str, seconds: float) -> list:
    with platform_fixtures.platform(("p1",)) as found:
        port = json.loads(found.settings.read_text())["listen"]["peers"]
        fleet = _fleet(fronts, port, role)
        calls = _counted(found.store)
        replay = _Replay(found, fleet, port, max(2, int(fronts * REPLICAS_PER_FRONT)))
        replay.start()
        time.sleep(3)
        pid = found.process.pid
        before = (_processes.cpu_s(pid), _wake_ups(pid), calls[0])
        for peer in fleet:
            peer.got_bytes = 0
        time.sleep(seconds)
        after = (_processes.cpu_s(pid), _wake_ups(pid), calls[0])
        replay.ended.set()
        replay.join()
        cpu_s, wakes, made = (b - a for a, b in zip(before, after, strict=True))
        near = sum(p.got_bytes for p in fleet if p.domain == "a")
        far = sum(p.got_bytes for p in fleet if p.domain != "a")
        rss = _processes.rss_mb(pid)
        for peer in fleet:
            peer.sock.close()
    per_s = [wakes / seconds, made / seconds, near / 1e3 / seconds, far / 1e3 / seconds]
    return [fronts, role, 100 * cpu_s / seconds, *per_s, rss]


@click.command()
@click.option("--fronts", default="6,69,195", help="Sizes of the fleet.")
@click.option("--seconds", default=10.0, help="How long each is measured.")
def main(fronts: str, seconds: float) -> None:
    """Prints what an idle front costs."""
    rows = [
        _measure(int(count), role, seconds)
        for count in fronts.split(",")
        for role in ("member", "relay")
    ]
    _tables.show("An idle front", COLUMNS, rows)


if __name__ == "__main__":
    main()
