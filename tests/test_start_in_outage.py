"""A front that starts while the store is unavailable gets its records from a peer."""

import json
import socket
import threading
import time

from standins import launch
from tests import fixtures, platform_fixtures
from turmericward import feeds, peers, positions

check = fixtures.check
PEER_HOST = "127.0.0.2"
ANNOUNCED = ("p1", "p2")


def _full_range(platform, name: str, topic: feeds.Topic) -> feeds.TopicRange:
    """Returns the listing of a topic as a peer has read it."""
    newest = platform.store.newest(name)
    records = [feeds.Record(offset=n, key=k, value=v) for k, (n, v) in newest.items()]
    end = platform.store.end(name)
    return feeds.TopicRange(
        topic=topic,
        start=positions.Position(platform.store.era, end),
        end=positions.Position(platform.store.era, end),
        as_of=0.0,
        records=tuple(sorted(records, key=lambda r: r.offset)),
        full=True,
    )


class _Peer:
    """Another front of the domain, which has listed the store's topics."""

    def __init__(self, platform) -> None:
        port = json.loads(platform.settings.read_text())["listen"]["peers"]
        self._sock = peers.open_socket(PEER_HOST, port)
        self.task = peers.PeerTask(
            "front-0",
            "a",
            port,
            self._sock,
            deliver=lambda state: None,
            fresh_s={feeds.Topic.CONFIGURATION: 1.2, feeds.Topic.TARGETS: 1.2},
        )
        self.task.handle(_full_range(platform, "keyed.op", feeds.Topic.CONFIGURATION))
        self.task.handle(_full_range(platform, "keyed.servers", feeds.Topic.TARGETS))
        # The peer received an announcement of the front before its restart.
        self.task.handle(
            peers.Announced(front="front-1", host="127.0.0.1", domain="a", capacity=0)
        )
        self._loop = peers.ReceiveLoop(self._sock, self.task)
        self._threads = [
            threading.Thread(target=run, daemon=True)
            for run in (self.task.run, self._loop.run)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._loop.stop()
        self.task.stop()
        for thread in self._threads:
            thread.join(5)
        self._sock.close()


def test_a_front_that_starts_in_an_outage_serves_with_a_peers_records():
    with platform_fixtures.platform(ANNOUNCED, started=False) as platform:
        platform.process.kill()
        platform.process.wait()
        platform.store.faults.down = True
        peer = _Peer(platform)
        try:
            platform.start()
            launch.wait_until(platform.is_ready, what="front ready without the store")
            launch.wait_until(
                lambda: platform.call("GET", "/read/x", "c")[0] == 200, what="a call"
            )
            # A change made meanwhile is applied once the store is available.
            platform.configure(platform_fixtures.manifest(4))
            platform.store.faults.down = False
            launch.wait_until(
                lambda: "configuration 4 is in force" in platform.log.read_text(),
                what="the later configuration",
            )
        finally:
            peer.stop()


def test_without_store_and_peers_a_front_is_not_ready_and_refuses():
    with platform_fixtures.platform(ANNOUNCED, started=False) as platform:
        platform.process.kill()
        platform.process.wait()
        platform.store.faults.down = True
        platform.start()
        launch.wait_until(
            lambda: launch.request(platform.ready, "GET", "/api/readiness")[0] == 503,
            what="an answer",
        )
        time.sleep(1.0)
        check.assertFalse(platform.is_ready())
        check.assertEqual(platform.call("GET", "/read/x", "c")[0], 503)


def test_malformed_datagrams_do_not_affect_a_front():
    with platform_fixtures.platform(ANNOUNCED) as platform:
        port = json.loads(platform.settings.read_text())["listen"]["peers"]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for length in (0, 1, 7, 100, 1_400, 60_000):
                sock.sendto(bytes(length), ("127.0.0.1", port))
                sock.sendto(b"\xff" * length, ("127.0.0.1", port))
        check.assertEqual(platform.call("GET", "/read/x", "c")[0], 200)
        check.assertIsNone(platform.process.poll())
