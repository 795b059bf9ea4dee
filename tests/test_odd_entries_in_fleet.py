"""Two fronts beside a store whose topics hold odd entries among good ones."""

import contextlib
import json
import random
import socket

import attrs

from standins import launch, loopback
from tests import fixtures, odd_values, platform_fixtures

check = fixtures.check
SEED = 36
SECOND_HOST = "127.0.0.2"
ROWS = [b"", b"\xff", b"\xffp1", b"\x00x", b"\x02\xff\xfe{}", b"\x01\xff"]
HEADERS = [
    {"Turmericward-Prompt-Prefix": "aa:99999999999,bb:9"},
    {"Turmericward-Prompt-Prefix": "aa:16777216,bb:16777216"},
    {"Turmericward-Prompt-Prefix": "aa:-5,bb:\xb2"},
    {"Turmericward-Token-Count": "1,99999999999"},
    {"Turmericward-Deadline-Ms": "nan"},
    {"Turmericward-Deadline-Ms": "1e400"},
    {"Turmericward-Deadline-Ms": "1e300"},
    {"Turmericward-Deadline-Ms": "9" * 5000},
]
PATHS = [b"/read/\x7f", b"/read/\x0b", b"/read/\x00", b"/read/\xff"]
ANSWER_HEADERS = [
    ("Server-Limit", "1.7e308"),
    ("Server-Limit", "1e400"),
    ("Server-Limit", "nan"),
    ("Retry-After", "9" * 5000),
    ("Retry-After", "nan"),
    ("Server-Limit", "\xb2"),
]


def _status_line(platform, path: bytes) -> bytes:
    """Sends a request as bytes; returns the first line of the response."""
    host, _, port = platform.front.rpartition(":")
    with socket.create_connection((host, int(port)), 5) as conn:
        head = b"Host: %s\r\nConnection: close" % platform_fixtures.HOST.encode()
        conn.sendall(b"GET %s HTTP/1.1\r\n%s\r\n\r\n" % (path, head))
        return conn.makefile("rb").readline()


@contextlib.contextmanager
def _second_front(platform):
    """Runs another front of the same domain on the same store."""
    value = json.loads(platform.settings.read_text())
    front, ready, metrics = loopback.free_ports(3)
    value["instance"] |= {"name": "front-2", "address": SECOND_HOST}
    value["listen"] |= {
        "front": f"127.0.0.1:{front}",
        "ready": f"127.0.0.1:{ready}",
        "metrics": metrics,
    }
    path = platform.settings.parent / "settings-2.json"
    path.write_text(json.dumps(value))
    second = attrs.evolve(
        platform,
        settings=path,
        front=f"127.0.0.1:{front}",
        ready=f"127.0.0.1:{ready}",
        metrics=f"{SECOND_HOST}:{metrics}",
        process=None,
        log=path.parent / "log-2",
    )
    second.start()
    try:
        second.wait_ready()
        yield second
    finally:
        if second.process.poll() is None:
            second.process.kill()
        second.process.wait()


def _put_odd_entries(platform, rng: random.Random) -> None:
    entry = json.loads(platform.store.newest("keyed.servers")["p1"][1])
    lease = {"type": "lease.on_demand.acquire", "id": "i", "holder": "f", "era": 1}
    front = {"host": "127.0.0.9", "domain": "a", "capacity": 1}
    topics = {
        "keyed.servers": entry,
        "keyed.fronts": front,
        "keyed.leases": lease | {"term_s": 6.0},
        "keyed.op": platform_fixtures.manifest(9),
    }
    for topic, record in topics.items():
        variants = sorted(odd_values.records(record).items())
        for name, raw in rng.sample(variants, 60) + sorted(odd_values.VALUES.items()):
            key = {"keyed.leases": "roles", "keyed.op": "config"}.get(topic)
            platform.store.put(topic, key or f"odd {name}"[:40], raw)
        for raw in ROWS:
            platform.store.put_bytes(topic, raw)


def _assert_serving(platform, what: str) -> None:
    check.assertIsNone(platform.process.poll(), what)
    launch.wait_until(
        lambda: platform.call("GET", "/read/x", what)[0] == 200, what=f"a call {what}"
    )
    stream = platform.call("POST", "/ask/x", what, platform_fixtures.PROMPT)
    check.assertEqual(stream[0], 200, what)


def test_odd_entries_of_another_writer_end_no_front_and_hide_no_good_entry():
    with (
        platform_fixtures.platform() as platform,
        _second_front(platform) as second,
    ):
        platform.store.page_size = 50
        _put_odd_entries(platform, random.Random(SEED))
        # Written last, so a front that knows it has read all others.
        extra = platform_fixtures.route("new", "idempotent", "plain")
        platform.configure(platform_fixtures.manifest(2**40, extra))
        platform.announce("p1", domain="last")
        for front in (platform, second):
            launch.wait_until(
                lambda f=front: '"domain": "last"' in f.log.read_text(),
                what="the last entry",
            )
            _assert_serving(front, "among odd entries")
            check.assertEqual(front.call("GET", "/new/x", "new")[0], 200)
        page = launch.request(platform.metrics, "GET", "/metrics")[2].decode()
        check.assertIn("rejected.targets", page)
        check.assertIn("rejected.configuration", page)
        logged = platform.read_log()
        line = '"source": "targets", "key": "odd deep list"'
        check.assertEqual(logged.count(line), 1)
        # Both read everything again at their next start.
        for front in (platform, second):
            check.assertEqual(front.stop(), 0)
            front.start()
            front.wait_ready()
            _assert_serving(front, "after a start")


def test_odd_headers_of_clients_and_replicas_end_no_front():
    with (
        platform_fixtures.platform() as platform,
        _second_front(platform) as second,
    ):
        for number, headers in enumerate(HEADERS):
            fields = platform_fixtures.PROMPT | headers
            status = platform.call("POST", "/ask/x", f"h{number}", fields)[0]
            check.assertIn(status, (200, 400, 503), headers)
        for count in ("300,-1", "300,9223372036854775807"):
            fields = platform_fixtures.PROMPT | {"Turmericward-Token-Count": count}
            status = platform.call("POST", "/ask/x", "no maximum", fields)[0]
            check.assertEqual(status, 200, count)
        for path in PATHS:
            check.assertIn(b" 400 ", _status_line(platform, path), path)
        check.assertNotIn("not_reached", platform.read_log())
        for name, value in ANSWER_HEADERS:
            for replica in platform.replicas.values():
                replica.headers = ((name, value),)
            for number in range(4):
                platform.call("GET", "/read/x", f"{name}-{number}")
        for replica in platform.replicas.values():
            replica.headers = ()
        for front in (platform, second):
            _assert_serving(front, "after odd headers")
