"""Readers of bytes of other programs turn whatever is odd in them into their error."""

import contextlib
import json
import math
import socket

import attrs
from hypothesis import strategies

from tests import (
    fixtures,
    odd_values,
    platform_fixtures,
    test_answer_readers,
    test_platform_records,
    test_reload,
)
from turmericward import feeds, fleet, peers, positions, requests, settings
from turmericward.adapters import errors
from turmericward.entry import _errors, _resources
from turmericward.platform import _cache_listing, _orders, _records, _settings

check = fixtures.check
ROUTE = platform_fixtures.route("read", "idempotent", "plain")
SPLIT = {"service": "plain", "weight": 1.0}
CLIENT_LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
ANNOUNCEMENT = {"host": "127.0.0.1", "domain": "a", "capacity": 5}
LEASE = {
    "type": "lease.on_demand.acquire",
    "id": "i",
    "holder": "f",
    "era": 0,
    "term_s": 6.0,
}
SECOND = b'{"service": "plain"}'


def _manifests() -> dict[str, bytes]:
    """Returns manifests with an odd value in each place."""
    base = platform_fixtures.manifest(3) | {"limits": CLIENT_LIMITS}
    odd = odd_values.records(base)
    places = {
        "routes": (ROUTE | {"split": []}, b"[%s]"),
        "services": ({"name": "plain", "engine": {}}, b"[%s]"),
        "limits": (CLIENT_LIMITS, b"%s"),
    }
    for place, (record, text) in places.items():
        for name, raw in odd_values.records(record).items():
            odd[f"{place}.{name}"] = odd_values.with_field(base, place, text % raw)
    for name, raw in odd_values.records(SPLIT).items():
        route = odd_values.with_field(ROUTE, "split", b"[%s]" % raw)
        odd[f"split.{name}"] = odd_values.with_field(base, "routes", b"[%s]" % route)
    return odd


def _assert_usable(target: fleet.Target) -> None:
    """Checks what later code relies on."""
    json.dumps(attrs.asdict(target) | {"role": None}).encode()
    fleet.target_hash(target.name)
    leaving = peers.LeavingTarget(
        target=fleet.target_hash(target.name), started_ms=target.started_ms
    )
    state = peers.PeerState(
        front="f", boot=1, sequence=1, loads={}, leaving=frozenset((leaving,))
    )
    check.assertEqual(peers.decode(peers.encode(state)).leaving, state.leaving)
    host, _, port = target.address.rpartition(":")
    check.assertTrue(0 < int(port) < 65536 and port.isascii() and len(host) < 64)


def _read_target(raw: bytes) -> None:
    _assert_usable(_records.target("i-1", raw))


def _read_manifest(raw: bytes) -> None:
    table = _records.routing_table(raw)
    for route in table.routes:
        times = (route.timeout_s, route.objective_s, route.gap_s, route.abandon_s)
        check.assertTrue(all(math.isfinite(t) and 0 <= t < 2**31 for t in times))
        weights = [d.weight for d in route.destinations]
        check.assertTrue(0 < sum(weights) < math.inf and min(weights) >= 0)


def test_odd_replica_records_are_rejected_by_their_own_error():
    record = test_platform_records.REPLICA_RECORD
    variants = odd_values.records(record)
    check.assertEqual(
        odd_values.outcomes(variants, _read_target, _records.RecordError), {}
    )


def test_odd_manifests_are_rejected_by_their_own_error():
    failed = odd_values.outcomes(_manifests(), _read_manifest, _records.RecordError)
    check.assertEqual(failed, {})


def test_replicas_whose_name_is_no_header_are_rejected():
    raw = json.dumps(test_platform_records.REPLICA_RECORD).encode()
    for name in ("", "\ud800", "a\nb", "\u0663", "x" * 300, "\x00", "a b", "\ufffd"):
        with check.assertRaises(_records.RecordError, msg=repr(name)):
            _records.target(name, raw)


class _Listings:
    """A store client whose listings hold one record."""

    def __init__(self, key: str, value: bytes) -> None:
        self._listing = feeds.Listing(
            records=(feeds.Record(offset=4, key=key, value=value),),
            end=positions.Position(0, 9),
        )

    def newest(self, topic: str) -> feeds.Listing:
        return self._listing


def test_odd_leases_postpone_role_changes_by_one_term_only():
    def read(raw: bytes) -> None:
        _, record = _orders.StoreLease(_Listings("roles", raw)).read()
        check.assertLessEqual(getattr(record, "term_s", 0.0), 600.0)

    check.assertEqual(odd_values.outcomes(odd_values.records(LEASE), read, ()), {})


def _announce_loop(seen: list) -> peers.AnnounceLoop:
    return peers.AnnounceLoop(
        _Listings("f2", b""),
        "keyed.fronts",
        "f1",
        peers.Announcement(host="127.0.0.1", domain="a"),
        lambda front, announcement: seen.append(announcement),
        lambda: None,
        positions.Eras(),
    )


def test_odd_announcements_of_fronts_are_skipped():
    seen = []
    loop = _announce_loop(seen)

    def read(raw: bytes) -> None:
        loop._report(feeds.Record(offset=1, key="f2", value=raw))

    check.assertEqual(
        odd_values.outcomes(odd_values.records(ANNOUNCEMENT), read, ()), {}
    )
    # Datagrams to all that were accepted can be tried.
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    task = _peer_task(sock)
    with contextlib.closing(sock):
        for announcement in seen:
            task._send_to(announcement.host, b"x")
            check.assertTrue(-(2**31) <= announcement.capacity < 2**31)


def _peer_task(sock, name: str = "f1", **options) -> peers.PeerTask:
    port = sock.getsockname()[1] or 9
    return peers.PeerTask(name, "a", port, sock, lambda state: None, **options)


def test_odd_answers_are_rejected_by_errors_of_the_adapters():
    failed = {}
    for name in ("prefill", "listing", "report", "store", "load"):
        reader = test_answer_readers.READERS[name]
        odd = odd_values.records(json.loads(reader.body)).items()
        # Each costs a connection: all values, of which each field gets every third.
        for fault, body in [*odd_values.VALUES.items(), *list(odd)[::3]]:
            response = test_answer_readers._framed(attrs.evolve(reader, body=body))
            with test_answer_readers._Server((response,)) as address:
                try:
                    reader.read(address)
                except errors.AdapterError:
                    continue
                except Exception as exc:
                    failed[name, fault] = type(exc).__name__
    check.assertEqual(failed, {})


def test_handles_of_prefills_that_cannot_be_sent_on_are_rejected():
    reader = test_answer_readers.READERS["prefill"]
    for handle in ("a b", "a\r\nX: y", "", "\u0663", "x" * 9_999, "\x00", None, []):
        body = json.dumps({"handle": handle}).encode()
        outcome = test_answer_readers._outcome(
            reader, test_answer_readers._framed(attrs.evolve(reader, body=body))
        )
        check.assertTrue(test_answer_readers._is_error(outcome), repr(handle)[:40])


def test_odd_rows_of_a_cache_listing_reject_it():
    for tokens in ("1e400", "1e300", "-1", "9" * 30, "2147483648", "[]", '"x"'):
        raw = b'{"held": [["", "aa", %s, "m"]]}' % tokens.encode()
        with check.assertRaises(errors.AnswerLostError, msg=tokens):
            _cache_listing.decode(raw, "m1")


def test_odd_settings_are_rejected_by_their_own_error():
    failed = {}
    for section, values in test_reload.SETTINGS.items():
        for name, raw in odd_values.records(values).items():
            text = odd_values.with_field(test_reload.SETTINGS, section, raw)
            try:
                settings.loads(text.decode("utf-8", "replace"), _settings.Settings)
            except settings.SettingsError:
                continue
            except Exception as exc:
                failed[section, name] = type(exc).__name__
    check.assertEqual(failed, {})


def test_an_odd_settings_file_does_not_end_the_reload_loop():
    with test_reload._file() as file:
        for raw in odd_values.VALUES.values():
            file.write_bytes(raw)
            file.write_bytes(odd_values.with_field(test_reload.SETTINGS, "x", raw))
        check.assertEqual(file.applied, [])


# Records of the store.


# What is sent on to peers.


# By machine.


def test_any_bytes_are_a_target_or_a_record_error():
    record = test_platform_records.REPLICA_RECORD
    odd_values.assert_property(
        odd_values.any_bytes(record), _read_target, _records.RecordError
    )


def test_any_bytes_are_a_manifest_or_a_record_error():
    route = odd_values.mutations(ROUTE).map(json.loads)
    manifest = platform_fixtures.manifest(3)
    nested = route.map(lambda r: odd_values.dump(manifest | {"routes": [r]}))
    odd_values.assert_property(
        nested | odd_values.any_bytes(manifest), _read_manifest, _records.RecordError
    )


def test_any_bytes_are_a_cache_listing_or_an_adapter_error():
    def read(raw: bytes) -> None:
        for number, tokens in _cache_listing.decode(raw, "m1"):
            entry = requests.CacheEntry(
                target=1, segment=number, tokens=tokens, own_tokens=0, ready=True
            )
            state = peers.PeerState(
                front="f", boot=1, sequence=1, loads={}, cache_entries=(entry,)
            )
            check.assertEqual(peers.decode(peers.encode(state)), state)

    listing = {"held": [["", "aa", 5, "m"]]}
    rows = strategies.lists(odd_values.JSON, min_size=3, max_size=5)
    listings = rows.map(lambda row: odd_values.dump({"held": [row]}))
    odd_values.assert_property(
        listings | odd_values.any_bytes(listing), read, errors.AnswerLostError
    )


def test_any_bytes_are_settings_or_a_settings_error():
    def read(raw: bytes) -> None:
        settings.loads(raw.decode("utf-8", "replace"), _settings.Settings)

    odd_values.assert_property(
        odd_values.any_bytes(test_reload.SETTINGS), read, settings.SettingsError
    )


def test_odd_versions_in_requests_of_operators_are_refused():
    check.assertEqual(_resources._parse_version("12"), 12)
    for text in ("9" * 5_000, "\u0663", "-1", "9223372036854775808", "", "1_0"):
        with check.assertRaises(_errors.RequestError, msg=text[:20]):
            _resources._parse_version(text)
