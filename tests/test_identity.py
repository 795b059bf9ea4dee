"""Which workspace a call is of, and where its key goes: decisions without processes."""

import io
import json
import types

import attrs

from tests import fixtures, platform_fixtures, test_dispatch
from turmericward import fleet, requests, routing, telemetry
from turmericward.platform import _headers, _identity, _ingress, _records, _transport

check = fixtures.check
SECRET = "s3cret-of-acme"
KEYS = [
    {"name": "acme", "api_keys": [SECRET, "second"], "priority": 2},
    {"name": "zürich", "api_keys": ["schlüssel"]},
]
_VARIABLE = _identity._KEY_VARIABLE


def _table(workspaces=KEYS, version: int = 3) -> routing.RoutingTable:
    public = platform_fixtures.route("open", "idempotent", "plain", public=True)
    value = platform_fixtures.manifest(version, public)
    if workspaces is not None:
        value["workspaces"] = workspaces
    return _records.routing_table(json.dumps(value).encode())


class _Log:
    """Keeps what is logged."""

    def __init__(self) -> None:
        self.lines: list[dict] = []

    def __call__(self, event: str, **fields) -> None:
        self.lines.append({"event": event} | fields)


def _identify(table, key: str, path: str, *, is_current: bool, latest=None):
    """Returns a workspace's name, or the status of a refusal."""
    ctx = types.SimpleNamespace(
        metrics=telemetry.Metrics(None, ""),
        dispatch=types.SimpleNamespace(table=latest or table),
    )
    identification = _identity.Identification(ctx, lambda: is_current)
    route = table.find(platform_fixtures.HOST, path)
    environ = {_VARIABLE: key} if key else {}
    try:
        workspace = identification.identify(environ, table, route)
    except routing.UnknownKeyError as exc:
        return 401, f"{exc!r}{exc.__cause__!r}"
    except routing.StaleConfigurationError as exc:
        return 503, f"{exc!r}{exc.__cause__!r}"
    return (workspace.name if workspace else None), ""


def test_the_table_of_cases_of_a_key():
    """Guards against 401 for a key that a later configuration has."""
    moved = [{"name": "other", "api_keys": [SECRET]}]
    wire = "schlüssel".encode().decode("latin-1")
    cases = (
        ("key", _table(), SECRET, "/read/x", "acme", "acme"),
        ("second key", _table(), "second", "/read/x", "acme", "acme"),
        ("key in UTF-8", _table(), wire, "/read/x", "zürich", "zürich"),
        ("no key", _table(), "", "/read/x", 401, 503),
        ("unknown", _table(), "wrong", "/read/x", 401, 503),
        ("joined", _table(), f"{SECRET}, second", "/read/x", 401, 503),
        ("doubled", _table(), f"{SECRET}, {SECRET}", "/read/x", 401, 503),
        ("very long", _table(), "x" * 16_000, "/read/x", 401, 503),
        ("not ASCII", _table(), "\xff\x80", "/read/x", 401, 503),
        ("moved", _table(moved), SECRET, "/read/x", "other", "other"),
        ("removed", _table([]), SECRET, "/read/x", 401, 503),
        ("public, no key", _table(), "", "/open/x", None, None),
        ("public, wrong key", _table(), "wrong", "/open/x", None, None),
        ("public, key", _table(), SECRET, "/open/x", "acme", "acme"),
        ("no identity", _table(None), "wrong", "/read/x", None, None),
    )
    for name, table, key, path, current, stale in cases:
        check.assertEqual(
            _identify(table, key, path, is_current=True)[0], current, name
        )
        check.assertEqual(_identify(table, key, path, is_current=False)[0], stale, name)


def test_a_key_was_refused_by_a_table_that_was_replaced_meanwhile():
    """Guards against 401 by a table that a paused worker has looked up before."""
    status, _ = _identify(
        _table([]), SECRET, "/read/x", is_current=True, latest=_table()
    )
    check.assertEqual(status, 503)


def test_a_key_stood_in_an_error_or_a_line():
    """Guards against a key, also a malformed one, in logs and error texts."""
    log, event = _Log(), telemetry.log_event
    telemetry.log_event = log
    try:
        for key in (f"{SECRET}x", f"{SECRET}, {SECRET}", f"{SECRET}\xff", SECRET * 999):
            for is_current in (True, False):
                _, text = _identify(_table(), key, "/read/x", is_current=is_current)
                check.assertNotIn("s3cret", text)
    finally:
        telemetry.log_event = event
    check.assertEqual(len(log.lines), 8)
    check.assertNotIn("s3cret", repr(log.lines))
    check.assertEqual(
        {line["reason"] for line in log.lines}, {"unknown_key", "stale_configuration"}
    )
    check.assertNotIn("s3cret", repr(_table()) + repr(vars(_table().workspaces)))


def test_an_unusable_configuration_was_reported_with_a_key():
    """Guards against keys in the log line of a malformed configuration."""
    digits = "7" * 30
    malformed = (
        [{"name": "a", "api_keys": SECRET}],
        [{"name": "a", "api_keys": {SECRET: 1}}],
        [{"name": "a", "api_keys": [[SECRET]]}],
        [{"name": "a", "api_keys": [int(digits)]}],
        [{"name": "a", "api_keys": [SECRET + "\ud800"]}],
    )
    texts = []
    for workspaces in malformed:
        with check.assertRaises(_records.RecordError) as raised:
            _table(workspaces)
        texts.append(str(raised.exception))
    raw = json.dumps(platform_fixtures.manifest(3))[:-1]
    for part in (f'{{"{SECRET}": 1, "{SECRET}": 2}}', f'["{SECRET}'):
        with check.assertRaises(_records.RecordError) as raised:
            _records.routing_table(f'{raw}, "workspaces": {part}'.encode())
        texts.append(str(raised.exception))
    for text in texts:
        check.assertNotIn(SECRET, text)
        check.assertNotIn(digits, text)


def _call(workspace: str | None, **headers) -> routing.Call:
    environ = {"REQUEST_METHOD": "POST", "wsgi.input": io.BytesIO(b"q")}
    environ |= {f"HTTP_{k}": v for k, v in headers.items()}
    table = _table()
    found = None
    if workspace:
        found = table.workspaces.find(
            {"acme": SECRET, "zürich": "schlüssel"}[workspace].encode()
        )
    call = _ingress._build_call(
        environ, "/ask/x", table.find(platform_fixtures.HOST, "/ask/x"), found
    )
    prompt = requests.Prompt(model="m", segments=(), output_tokens=1)
    return attrs.evolve(call, prompt=prompt)


def test_a_target_got_a_key_or_the_clients_own_workspace():
    """Guards against both on each kind of attempt, by the headers that are sent."""
    target = fleet.Target(
        name="m1",
        service="model",
        address="127.0.0.1:1",
        domain="a",
        slots=1,
        role=None,
        leaving=False,
        started_ms=1,
    )
    dispatches = (
        {},
        {"resume_after": "3"},
        {"kv_source": "127.0.0.1:1/h"},
        {"fetch_from": "127.0.0.1:2"},
        {"prefill_only": True},
    )
    sent = {
        "TURMERICWARD_KEY": SECRET,
        "TURMERICWARD_TENANT_ID": "forged",
        "CONNECTION": "Turmericward-Tenant-Id",
    }
    for name, wire in (("acme", "acme"), ("zürich", "zürich"), (None, None)):
        call = _call(name, **sent)
        for changes in dispatches:
            dispatch = routing.Dispatch(timeout_s=1, priority=call.priority, **changes)
            out = _transport._outgoing(target, call, dispatch).headers
            names = [v for n, v in out if n.lower() == _headers.WORKSPACE.lower()]
            expected = [wire.encode().decode("latin-1")] if wire else []
            check.assertEqual(names, expected, changes)
            check.assertNotIn("s3cret", repr(out))
            check.assertNotIn("forged", repr(out))
            priority = dict(out)[_headers.PRIORITY]
            check.assertEqual(priority, "2" if name == "acme" else "0")
        check.assertNotIn("s3cret", repr(call))
    check.assertNotIn("s3cret", repr(_call(None, AUTHORIZATION=SECRET)))


def test_two_keys_of_a_workspace_made_two_callers():
    """Guards against evidence by key: a workspace's calls have one fingerprint."""
    call = _call("acme", AUTHORIZATION="a")
    other = attrs.evolve(_call("acme", AUTHORIZATION="b"), headers=())
    check.assertEqual(
        routing.fingerprint(call, "model"), routing.fingerprint(other, "model")
    )


def test_wrong_keys_flooded_the_log():
    """Guards against a line for each call; the sum of what is left out is logged."""
    limit = _identity.LineLimit(1.0)
    admitted = [limit.admit("unknown_key", n / 1000) for n in range(3_000)]
    check.assertEqual([n for n in admitted if n], [1, 1000, 1000])
    check.assertEqual(limit.admit("stale_configuration", 0.5), 1)


def test_counts_by_workspace_grew_with_the_names():
    """Guards against a page, or memory, without a bound; no call is lost from sums."""
    metrics = telemetry.Metrics(None, "")
    for n in range(9_900):
        for _ in range(3 if n < 10 else 1):
            metrics.count_workspace(f"w{n:04}", "answered")
    rows = [r for r in metrics.render_text().splitlines() if "workspace_calls" in r]
    check.assertEqual(len(rows), 51)
    check.assertIn('workspace_calls{workspace="w0003",outcome="answered"} 3', rows)
    check.assertEqual(sum(int(r.rpartition(" ")[2]) for r in rows), 9_920)
    check.assertLess(len(metrics._workspaces._counts), 4_098)


def test_a_workspaces_priority_goes_before_its_routes():
    """Guards against the route's where the workspace has one, also the highest, 0."""
    route = test_dispatch._call(1.0).route
    for own, expected in ((None, 5), (0, 0), (9, 9)):
        workspace = routing.Workspace(name="w", priority=own)
        call = attrs.evolve(
            test_dispatch._call(1.0),
            route=attrs.evolve(route, priority=5),
            workspace=workspace,
        )
        check.assertEqual(call.priority, expected)
