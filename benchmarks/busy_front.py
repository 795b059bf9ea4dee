"""Cost of a busy front: of a call, an event and a peer's datagram.

As `benchmarks.front_cost`, with clients. The cost of each is the slope between runs
that differ in this alone.

    python -m benchmarks.busy_front --fronts 84 --seconds 15
"""

import contextlib
import http.client
import itertools
import random
import threading
import time

import attrs
import click

from benchmarks import _processes, _tables, front_cost
from standins import platform_replica
from tests import platform_fixtures

EVENT_INTERVAL_MS = 60
SHARED_SEGMENTS = 50
# Of three engines, one only prefills.
ENGINES_PER_PREFILL_ENGINE = 3
WARM_UP_S = 4.0
CLIENT_TIMEOUT_S = 20.0
COLUMNS = [
    "load",
    "role",
    "core %",
    "calls/s",
    "events/s",
    "datagrams/s",
    "wake-ups/s",
    "whole",
    "rss MB",
]


class _Replica(platform_replica.Replica):
    """A stand-in that answers under every replica's name."""

    def _refusal_status(self, expected: str) -> None:
        return None


@attrs.frozen(kw_only=True)
class Load:
    """The calls that one front gets."""

    name: str
    plain_per_s: float = 0.0
    streams_per_s: float = 0.0
    events: int = 0
    prompt_tokens: int = 0


# The last one is the share of one of 84 fronts in a users' deployment.
LOADS = (
    Load(name="idle"),
    Load(name="plain calls", plain_per_s=20.0),
    Load(name="short streams", streams_per_s=10.0, events=2, prompt_tokens=600),
    Load(name="long prompts", streams_per_s=10.0, events=2, prompt_tokens=6_000),
    Load(name="long streams", streams_per_s=10.0, events=32, prompt_tokens=600),
    Load(
        name="lending",
        plain_per_s=1.7,
        streams_per_s=4.7,
        events=13,
        prompt_tokens=2_700,
    ),
)


class _Clients:
    """Sends the calls of a load to a front."""

    def __init__(self, platform, load: Load) -> None:
        self._platform = platform
        self._load = load
        self._random = random.Random(1)
        self._numbers = itertools.count()
        self._ended = threading.Event()
        self._lock = threading.Lock()
        self.sent = 0
        self.whole = 0
        self.events = 0
        self._threads = [
            threading.Thread(target=self._arrive, args=(rate, send), daemon=True)
            for rate, send in (
                (load.plain_per_s, self._plain),
                (load.streams_per_s, self._stream),
            )
            if rate
        ]

    def start(self) -> None:
        """Starts to send."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends the arrivals."""
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def _arrive(self, per_s: float, send) -> None:
        while not self._ended.wait(self._random.expovariate(per_s)):
            number = next(self._numbers)
            self.sent += 1
            threading.Thread(target=self._run, args=(send, number), daemon=True).start()

    def _run(self, send, number: int) -> None:
        conn = self._platform.connect()
        conn.timeout = CLIENT_TIMEOUT_S
        with contextlib.suppress(OSError, http.client.HTTPException):
            events = send(conn, f"call-{number}")
            with self._lock:
                self.whole += 1
                self.events += events
        conn.close()

    def _plain(self, conn, call_id: str) -> int:
        self._platform.send(conn, "GET", "/read/x", call_id)
        conn.getresponse().read()
        return 0

    def _stream(self, conn, call_id: str) -> int:
        load = self._load
        shared = self._random.randrange(SHARED_SEGMENTS)
        tokens = load.prompt_tokens // 2
        headers = platform_fixtures.prompt_headers(
            load.prompt_tokens, load.events, f"s{shared}:{tokens},{call_id}:{tokens}"
        )
        path = f"/ask/x?events={load.events}&gap_ms={EVENT_INTERVAL_MS}"
        self._platform.send(conn, "POST", path, call_id, headers, b"x" * 800)
        resp = conn.getresponse()
        if resp.status != 200:
            raise http.client.HTTPException(f"status {resp.status}")
        count = 0
        while chunk := resp.read1():
            count += chunk.count(b"\n\n")
        return count


class _Replay(front_cost.Replay):
    """Heartbeats of engines that one stand-in of a replica answers for."""

    front_rows = 2
    relay_rows = 20
    front_intervals = 1

    def send_heartbeat(self, name: str, sequence: int) -> None:
        """Writes a heartbeat of an engine to the store."""
        number = int(name[1:])
        self.platform.addresses[name] = self.platform.addresses["m1"]
        prefills = number % ENGINES_PER_PREFILL_ENGINE == 0
        self.platform.announce(
            name,
            slots=32,
            domain="abcd"[number % 4],
            stage="prefill" if prefills else "decode",
            Sequence=sequence,
        )


def _measure(load: Load, fronts: int, role: str, seconds: float) -> list:
    with platform_fixtures.platform(("p1", "m1")) as platform:
        platform.servers["m1"].app = _Replica("m1")
        port = front_cost.peers_port(platform)
        peers = front_cost.simulated_fleet(fronts, port, role)
        engines = max(2, int(fronts * front_cost.REPLICAS_PER_FRONT))
        replay = _Replay(platform, peers, port, engines)
        clients = _Clients(platform, load)
        replay.start()
        clients.start()
        time.sleep(WARM_UP_S)
        pid = platform.process.pid
        before = _counts(pid, clients, peers)
        time.sleep(seconds)
        after = _counts(pid, clients, peers)
        clients.stop()
        replay.ended.set()
        replay.join()
        rss = _processes.rss_mb(pid)
        for peer in peers:
            peer.sock.close()
    cpu_s, sent, whole, *others = (
        (b - a) / seconds for a, b in zip(before, after, strict=True)
    )
    whole_share = whole / sent if sent else 1.0
    return [load.name, role, 100 * cpu_s, sent, *others, whole_share, rss]


def _counts(pid: int, clients: _Clients, peers) -> tuple:
    datagrams = sum(peer.sequence for peer in peers)
    return (
        _processes.cpu_s(pid),
        clients.sent,
        clients.whole,
        clients.events,
        datagrams,
        _processes.wake_ups(pid),
    )


@click.command()
@click.option("--fronts", default=84, help="Size of the fleet.")
@click.option("--seconds", default=15.0, help="How long each is measured.")
@click.option("--role", "roles", multiple=True, default=("member", "relay"))
@click.option("--load", "names", multiple=True, help="Loads by name; all by default.")
def main(fronts: int, seconds: float, roles, names) -> None:
    """Prints one row for each load and role of a busy front."""
    chosen = [load for load in LOADS if not names or load.name in names]
    rows = [_measure(load, fronts, role, seconds) for role in roles for load in chosen]
    _tables.show(f"A busy front, {fronts} fronts", COLUMNS, rows)


if __name__ == "__main__":
    main()
