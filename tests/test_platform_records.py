"""Decoding of the platform's store records; malformed ones are rejected."""

import json
import pathlib
import re
import tomllib

from tests import fixtures, platform_fixtures
from turmericward import fleet, routing
from turmericward.platform import _records

check = fixtures.check
DEPLOY = pathlib.Path(__file__).parent.parent / "deploy"
REPLICA_RECORD = {
    "service": "model",
    "address": "10.0.0.1:8080",
    "domain": "a",
    "slots": 64,
    "state": "in_service",
    "stage": "prefill",
    "born": 1000,
    "Sequence": 4,
}
INVALID_FIELDS = [
    ("service", 5),
    ("service", None),
    ("address", "host:1"),
    ("address", "10.0.0.1"),
    ("domain", ["a"]),
    ("slots", "64"),
    ("slots", 0),
    ("slots", True),
    ("state", "asleep"),
    ("stage", "both"),
    ("born", 1000.5),
    ("born", "1000"),
]


def _decode(record: object) -> fleet.Target:
    return _records.target("i-1", json.dumps(record).encode())


def test_a_replica_record_is_decoded_into_a_target():
    target = _decode(REPLICA_RECORD)
    check.assertEqual(target.role, fleet.EngineRole.PREFILL)
    check.assertEqual((target.name, target.started_ms), ("i-1", 1000))
    check.assertFalse(target.leaving)
    check.assertTrue(_decode(REPLICA_RECORD | {"state": "draining"}).leaving)


def test_malformed_replica_records_are_rejected():
    for field, value in INVALID_FIELDS:
        with check.assertRaises(_records.RecordError, msg=f"{field}={value!r}"):
            _decode(REPLICA_RECORD | {field: value})
    for field in ("service", "address", "domain", "slots", "state", "born"):
        record = {k: v for k, v in REPLICA_RECORD.items() if k != field}
        with check.assertRaises(_records.RecordError, msg=f"no {field}"):
            _decode(record)
    for raw in (b"", b"[]", b"null", b"\xff\xfe", b'{"service": '):
        with check.assertRaises(_records.RecordError, msg=repr(raw)):
            _records.target("i-1", raw)


def test_a_route_is_found_by_host_and_longest_path_prefix():
    nested = platform_fixtures.route("deep", "idempotent", "plain")
    nested["path_prefix"] = "/read/deep/"
    other = platform_fixtures.route("other", "idempotent", "plain", host="b.example")
    value = platform_fixtures.manifest(3, nested, other)
    table = _records.routing_table(json.dumps(value).encode())
    host = platform_fixtures.HOST
    check.assertEqual(table.find(host, "/read/x").name, "read")
    check.assertEqual(table.find(host, "/read/deep/x").name, "deep")
    check.assertEqual(table.find("b.example", "/other/").name, "other")
    for unknown, path in (
        (host, "/reading"),
        (host, "/read"),
        ("c.example", "/read/x"),
    ):
        with check.assertRaises(routing.NoRouteError):
            table.find(unknown, path)


def test_a_manifest_may_set_client_limits():
    value = platform_fixtures.manifest(3)
    check.assertIsNone(_records.routing_table(json.dumps(value).encode()).client_limits)
    value["limits"] = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    }
    limits = _records.routing_table(json.dumps(value).encode()).client_limits
    check.assertEqual(limits.max_body_bytes, 4_194_304)
    check.assertEqual(limits.header_timeout_s, 3.0)
    check.assertGreaterEqual(limits.idle_timeout_s, 15.0)


def test_a_manifest_with_an_invalid_field_is_rejected():
    for field, value in (("kind", "maybe"), ("timeout_ms", "3"), ("priority", None)):
        manifest = platform_fixtures.manifest(3)
        manifest["routes"][0][field] = value
        with check.assertRaises(_records.RecordError, msg=field):
            _records.routing_table(json.dumps(manifest).encode())
    manifest = platform_fixtures.manifest(3)
    del manifest["routes"][0]["service"]
    with check.assertRaises(_records.RecordError):
        _records.routing_table(json.dumps(manifest).encode())


def test_a_split_route_has_weighted_destinations():
    split = [{"service": "plain", "weight": 90}, {"service": "model", "weight": 10}]
    route = platform_fixtures.route("cut", "idempotent", "", split=split)
    value = platform_fixtures.manifest(3, route)
    table = _records.routing_table(json.dumps(value).encode())
    destinations = table.find(platform_fixtures.HOST, "/cut/x").destinations
    weights = {d.service: d.weight for d in destinations}
    check.assertEqual(weights, {"plain": 90.0, "model": 10.0})


def test_the_settings_template_uses_no_outdated_field_names():
    renamed = tomllib.loads((DEPLOY / "wire.toml").read_text())["fields"]
    template = (DEPLOY / "settings.json").read_text()
    for placeholder in re.findall(r"{{([\w.]+)\|json}}", template):
        for name in placeholder.split("."):
            check.assertNotIn(name, renamed, placeholder)
