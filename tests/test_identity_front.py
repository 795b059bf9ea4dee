"""Workspaces and keys at a front process, with stand-ins of the platform."""

import http.client
import socket
import threading
import time

from standins import launch
from tests import fixtures, platform_fixtures, test_start_in_outage
from turmericward import feeds

check = fixtures.check
KEY = "Turmericward-Key"
WORKSPACE = "Turmericward-Tenant-Id"
SECRET = "s3cret-1"
# In every key of the tests.
MARK = "s3cret"
BOUND_S = 3.0


def _manifest(version: int, **keys: list[str]) -> dict:
    public = platform_fixtures.route("open", "idempotent", "plain", public=True)
    slow = platform_fixtures.route("slow", "idempotent", "plain")
    value = platform_fixtures.manifest(version, public, slow)
    value["workspaces"] = [
        {"name": name, "api_keys": values, "priority": 3}
        for name, values in keys.items()
    ]
    return value


def _apply(platform, version: int, **keys: list[str]) -> None:
    platform.configure(_manifest(version, **keys))
    launch.wait_until(
        lambda: f"configuration {version} is in force" in platform.log.read_text(),
        what=f"configuration {version}",
        timeout_s=BOUND_S,
    )


def _status(platform, key: str, path: str = "/read/x", **headers) -> int:
    fields = ({KEY: key} if key else {}) | headers
    return platform.call("GET", path, f"c{time.monotonic()}", fields)[0]


def _received(platform):
    """Returns what all replicas received, in the order of time."""
    calls = [c for r in platform.replicas.values() for c in r.calls]
    return sorted(calls, key=lambda c: c.at)


def _pages(platform) -> str:
    pages = [launch.request(platform.metrics, "GET", p)[2] for p in ("/", "/status")]
    return b"".join(pages).decode()


def _check_kept_secret(platform) -> None:
    seen = platform.read_log() + _pages(platform)
    seen += repr([(c.headers, c.path, c.body) for c in _received(platform)])
    check.assertNotIn(MARK, seen)


def test_the_table_of_cases_at_a_front():
    """Guards against a target with a key, or without the workspace of its caller."""
    with platform_fixtures.platform() as platform:
        _apply(platform, 4, acme=[SECRET, "s3cret-2"])
        forged = {WORKSPACE: "forged"}
        cases = (
            ("", "/read/x", 401, None),
            ("s3cret-0", "/read/x", 401, None),
            (f"{SECRET}, s3cret-2", "/read/x", 401, None),
            ("s3cret" * 1000, "/read/x", 401, None),
            ("s3cret\xff", "/read/x", 401, None),
            (SECRET, "/read/x", 200, "acme"),
            ("s3cret-2", "/read/x", 200, "acme"),
            ("", "/open/x", 200, None),
            ("s3cret-0", "/open/x", 200, None),
            (SECRET, "/open/x", 200, "acme"),
            (SECRET, "/none/x", 404, None),
        )
        for key, path, expected, workspace in cases:
            before = len(_received(platform))
            check.assertEqual(_status(platform, key, path, **forged), expected, key)
            got = [c.headers.get(WORKSPACE) for c in _received(platform)[before:]]
            check.assertEqual(got, [workspace] * (expected == 200), (key, path))
        check.assertIn('workspace_calls{workspace="acme"', _pages(platform))
        check.assertIn("refused.unknown_key 5", _pages(platform))
        check.assertIn('"reason": "unknown_key"', platform.read_log())
        _check_kept_secret(platform)


def test_changes_of_keys_on_an_open_connection():
    """Guards against a key that outlives its removal, or is refused after its move."""
    with platform_fixtures.platform() as platform:
        _apply(platform, 4, acme=[SECRET, "s3cret-2"])
        conn = platform.connect()

        def call(key: str, call_id: str) -> int:
            platform.send(conn, "GET", "/read/x", call_id, {KEY: key})
            resp = conn.getresponse()
            resp.read()
            return resp.status

        check.assertEqual(call(SECRET, "a"), 200)
        # A call that is at its target while its key is removed ends as it began.
        statuses = []
        running = threading.Thread(
            target=lambda: statuses.append(
                _status(platform, SECRET, "/slow/x?work_ms=1200")
            )
        )
        running.start()
        launch.wait_until(
            lambda: any("/slow/" in c.path for c in _received(platform)), what="a call"
        )
        _apply(platform, 5, acme=["s3cret-2"], other=[SECRET])
        check.assertEqual(call(SECRET, "b"), 200)
        (moved,) = [c for c in _received(platform) if c.call_id == "b"]
        check.assertEqual(moved.headers[WORKSPACE], "other")
        _apply(platform, 6, acme=["s3cret-2"])
        check.assertEqual(call(SECRET, "c"), 401)
        check.assertEqual(call("s3cret-2", "d"), 200)
        running.join(10)
        check.assertEqual(statuses, [200])
        conn.close()
        _check_kept_secret(platform)


def test_each_way_to_a_target_names_the_workspace():
    """Guards against retries, resumptions and prefills without it or with a key."""
    with platform_fixtures.platform() as platform:
        _apply(platform, 4, acme=[SECRET])
        fields = {KEY: SECRET, WORKSPACE: "forged"}
        platform.replicas["p1"].fault = "reset"
        for n in range(4):
            status, _, _ = platform.call("GET", "/read/x", f"r{n}", fields)
            check.assertEqual(status, 200)
        platform.replicas["m1"].fault = "cut"
        prompt = platform_fixtures.PROMPT | fields
        for n in range(4):
            status, _, _ = platform.call("POST", "/ask/x", f"s{n}", prompt, b"q")
            check.assertEqual(status, 200)
        received = _received(platform)
        check.assertGreater(len(received), 8)
        check.assertTrue(any("Last-Event-Id" in c.headers for c in received))
        check.assertEqual({c.headers.get(WORKSPACE) for c in received}, {"acme"})
        ranks = {c.headers.get("Turmericward-Request-Priority") for c in received}
        check.assertNotIn("0", ranks)
        _check_kept_secret(platform)


class _Peer(test_start_in_outage._Peer):
    """A front whose store answers; it reads each configuration again and again."""

    def read(self, platform, start: int) -> None:
        """Has the peer read the configuration's topic from an offset on."""
        full = test_start_in_outage._full_range(
            platform, "keyed.op", feeds.Topic.CONFIGURATION
        )
        records = tuple(r for r in full.records if r.offset >= start)
        self.task.post(
            feeds.TopicRange(
                topic=full.topic,
                start=type(full.end)(full.end.era, start),
                end=full.end,
                as_of=time.monotonic(),
                records=records,
            )
        )


def test_a_front_that_is_cut_off_from_the_store():
    """Guards against 401 for a new key, and a known key refused in an outage."""
    with platform_fixtures.platform(configuration_ms=BOUND_S * 1000) as platform:
        _apply(platform, 4, acme=[SECRET])
        platform.store.faults.down = True
        launch.wait_until(
            lambda: _status(platform, "s3cret-2") == 503, what="503", timeout_s=BOUND_S
        )
        _, headers, _ = platform.call("GET", "/read/x", "n", {KEY: "s3cret-2"})
        check.assertGreater(float(headers["Retry-After"]), 0)
        check.assertEqual(_status(platform, SECRET), 200)
        check.assertEqual(_status(platform, "", "/open/x"), 200)
        # The store knows of a removal; a peer of the domain has read it.
        known = platform.store.end("keyed.op")
        platform.configure(_manifest(5, acme=["s3cret-2"]))
        peer = _Peer(platform)
        try:
            peer.read(platform, known)
            launch.wait_until(
                lambda: _status(platform, "s3cret-2") == 200,
                what="the new key by a peer",
                timeout_s=BOUND_S,
            )
            check.assertIn(_status(platform, SECRET), {401, 503})
        finally:
            peer.stop()
        platform.store.faults.down = False
        launch.wait_until(
            lambda: _status(platform, SECRET) == 401, what="401", timeout_s=BOUND_S
        )
        _check_kept_secret(platform)


def test_a_front_without_a_configuration_never_says_401():
    """Guards against 401 by a front that starts while the store is down."""
    with platform_fixtures.platform(("p1",), started=False) as platform:
        platform.process.kill()
        platform.process.wait()
        platform.configure(_manifest(4, acme=[SECRET]))
        platform.store.faults.down = True
        platform.start()
        launch.wait_until(
            lambda: launch.request(platform.ready, "GET", "/api/readiness")[0] == 503,
            what="an answer",
        )
        for key in ("", "s3cret-0", SECRET):
            check.assertEqual(_status(platform, key), 503, key)
        _check_kept_secret(platform)


def test_a_body_was_needed_before_a_key_was_checked():
    """Guards against bodies of clients without a valid key that fill the memory."""
    with platform_fixtures.platform(("p1",)) as platform:
        _apply(platform, 4, acme=[SECRET])
        for framing in ("Content-Length: 500000", "Transfer-Encoding: chunked"):
            for key, expected in (("s3cret-0", 401), ("", 401), (SECRET, None)):
                host, _, port = platform.front.rpartition(":")
                with socket.create_connection((host, int(port)), 5) as sock:
                    head = f"POST /write/x HTTP/1.1\r\nHost: {platform_fixtures.HOST}"
                    sock.sendall(
                        f"{head}\r\n{KEY}: {key}\r\n{framing}\r\n\r\n".encode()
                    )
                    sock.settimeout(2.0 if expected else 0.5)
                    resp = http.client.HTTPResponse(sock)
                    if expected is None:
                        with check.assertRaises(TimeoutError):
                            resp.begin()
                        continue
                    resp.begin()
                    check.assertEqual(resp.status, expected, framing)
                    check.assertTrue(resp.will_close)
        check.assertEqual(_received(platform), [])
        check.assertIn("refused.unknown_key 4", _pages(platform))
        _check_kept_secret(platform)
