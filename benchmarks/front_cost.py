"""Cost of an idle front in fleets of several sizes, as a member and as a relay.

One real front runs against stand-ins of the store and the replicas. The other
fronts are simulated: they send datagrams at the rate of real fronts, and the bytes
that they receive are counted. Replicas write heartbeats throughout.

    python -m benchmarks.front_cost --fronts 6,69,195 --seconds 10
"""

import json
import random
import socket
import threading
import time

import attrs
import click

from benchmarks import _processes, _tables
from tests import platform_fixtures
from turmericward import feeds, fleet, peers, positions, requests

DOMAINS = 5
# As in the users' deployments.
REPLICAS_PER_FRONT = 0.5
HEARTBEAT_S = 1.0
STATE_S = 0.1
RELAY_CAPACITY = 1_000_000
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
class Peer:
    """A simulated front: its socket and the bytes received."""

    name: str
    domain: str
    sock: socket.socket
    capacity: int = 0
    sequence: int = 0
    received_bytes: int = 0
    batches: list[feeds.RecordBatch] = attrs.field(factory=list)

    def send_state(self, port: int, loads, fronts: int) -> None:
        """Sends a state datagram to the measured front."""
        self.sequence += 1
        batches = (
            []
            if self.capacity != RELAY_CAPACITY or self.domain != "a"
            else self.batches
        )
        state = peers.PeerState(
            front=self.name,
            boot=1,
            sequence=self.sequence,
            loads=loads,
            domain=self.domain,
            fronts=fronts,
            capacity=self.capacity,
            partial=bool(self.sequence % 10),
            record_batches=tuple(batches),
        )
        self.sock.sendto(peers.encode(state), ("127.0.0.1", port))

    def receive_pending(self) -> None:
        """Reads all pending datagrams and counts their bytes."""
        while True:
            try:
                self.received_bytes += len(self.sock.recv(65536))
            except BlockingIOError:
                return


def _peer(number: int, port: int, domain: str, capacity: int) -> Peer:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((f"127.0.{1 + number // 250}.{1 + number % 250}", port))
    sock.setblocking(False)
    return Peer(f"front-{domain}-{number}", domain, sock, capacity)


def simulated_fleet(fronts: int, port: int, role: str) -> list[Peer]:
    """Returns the fronts that send to the measured one, which is in domain `a`."""
    near = fronts // DOMAINS
    if role == "member":
        return [_peer(0, port, "a", RELAY_CAPACITY)]
    members = [_peer(n, port, "a", -1) for n in range(near)]
    relays = [_peer(near + n, port, d, RELAY_CAPACITY) for n, d in enumerate("bcde")]
    return members + relays


class Replay(threading.Thread):
    """Sends the states of the simulated fronts and the heartbeats of replicas."""

    # Targets whose load a front and a relay sends in each state.
    front_rows = 2
    relay_rows = 2
    # A member publishes on changes, simulated as every so many intervals.
    front_intervals = 5

    def __init__(self, platform, fleet: list[Peer], port: int, replicas: int) -> None:
        """Starts when `start` is called.

        Args:
            platform: the measured front and its stand-ins.
            fleet: the simulated fronts.
            port: on which the measured front receives datagrams.
            replicas: number of replicas that write heartbeats.
        """
        super().__init__(daemon=True)
        self.platform = platform
        self._fleet = fleet
        self._port = port
        self._targets = [f"m{n}" for n in range(replicas)]
        self._random = random.Random(1)
        self.ended = threading.Event()

    def run(self) -> None:
        """Sends every `STATE_S` seconds until `ended`."""
        sequence_number = 0
        while not self.ended.wait(STATE_S):
            sequence_number += 1
            for peer in self._fleet:
                peer.batches = self._record_batches()
                # A relay publishes in each interval.
                relays = peer.capacity == RELAY_CAPACITY
                if relays or sequence_number % self.front_intervals == 0:
                    rows = self.relay_rows if relays else self.front_rows
                    peer.send_state(self._port, self._loads(rows), 40 if relays else 1)
                peer.receive_pending()
            share = int(len(self._targets) * STATE_S / HEARTBEAT_S) + 1
            for name in self._random.sample(self._targets, share):
                self.send_heartbeat(name, sequence_number)

    def send_heartbeat(self, name: str, sequence: int) -> None:
        """Writes a heartbeat of a replica to the store."""
        self.platform.addresses[name] = "127.0.0.1:9"
        self.platform.announce(name, slots=16, Sequence=sequence)

    def _record_batches(self) -> list[feeds.RecordBatch]:
        """Returns the empty batches that a domain's reader sends without changes."""
        era = self.platform.store.era
        topics = (("op", feeds.Topic.CONFIGURATION), ("servers", feeds.Topic.TARGETS))
        return [
            feeds.RecordBatch(
                topic=topic,
                start=positions.Position(era, 0),
                end=positions.Position(era, end),
                age_s=0.0,
            )
            for name, topic in topics
            if (end := self.platform.store.end(f"keyed.{name}"))
        ]

    def _loads(self, rows: int) -> dict[int, requests.TargetLoad]:
        names = self._random.sample(self._targets, min(rows, len(self._targets)))
        return {
            fleet.target_hash(name): requests.TargetLoad(
                urgent_tokens=self._random.randrange(20_000), open_calls=2
            )
            for name in names
        }


def _count_calls(store) -> list[int]:
    """Patches a store to count its calls; returns the counter as a list of one."""
    calls = [0]
    handle = store.handle_request

    def counting(req) -> None:
        calls[0] += 1
        handle(req)

    store.handle_request = counting
    return calls


def peers_port(platform) -> int:
    """Returns the port on which a front receives its peers' datagrams."""
    return json.loads(platform.settings.read_text())["listen"]["peers"]


def _measure(fronts: int, role: str, seconds: float) -> list:
    with platform_fixtures.platform(("p1",)) as platform:
        port = peers_port(platform)
        fleet = simulated_fleet(fronts, port, role)
        calls = _count_calls(platform.store)
        replay = Replay(platform, fleet, port, max(2, int(fronts * REPLICAS_PER_FRONT)))
        replay.start()
        time.sleep(3)
        pid = platform.process.pid
        before = (_processes.cpu_s(pid), _processes.wake_ups(pid), calls[0])
        for peer in fleet:
            peer.received_bytes = 0
        time.sleep(seconds)
        after = (_processes.cpu_s(pid), _processes.wake_ups(pid), calls[0])
        replay.ended.set()
        replay.join()
        cpu_s, wake_ups, calls_made = (
            b - a for a, b in zip(before, after, strict=True)
        )
        near = sum(p.received_bytes for p in fleet if p.domain == "a")
        far = sum(p.received_bytes for p in fleet if p.domain != "a")
        rss = _processes.rss_mb(pid)
        for peer in fleet:
            peer.sock.close()
    per_s = [
        wake_ups / seconds,
        calls_made / seconds,
        near / 1e3 / seconds,
        far / 1e3 / seconds,
    ]
    return [fronts, role, 100 * cpu_s / seconds, *per_s, rss]


@click.command()
@click.option("--fronts", default="6,69,195", help="Sizes of the fleet.")
@click.option("--seconds", default=10.0, help="How long each is measured.")
def main(fronts: str, seconds: float) -> None:
    """Prints one row for each fleet size and role of an idle front."""
    rows = [
        _measure(int(count), role, seconds)
        for count in fronts.split(",")
        for role in ("member", "relay")
    ]
    _tables.show("An idle front", COLUMNS, rows)


if __name__ == "__main__":
    main()
