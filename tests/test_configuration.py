"""Fold of the configuration stream: order, conflicts, snapshots and schema."""

import random

from tests import fixtures
from turmericward import configuration

check = fixtures.check
ACCEPTED = configuration.Verdict.ACCEPTED
CONFLICT = configuration.Verdict.CONFLICT
INVALID = configuration.Verdict.INVALID


def _change(expected: int, value, name: str = "m", kind: str = "model") -> dict:
    change = configuration.Change(
        id=f"{name}-{expected}-{value}",
        producer="test",
        kind=kind,
        name=name,
        expected=expected,
        value=value,
    )
    return configuration.encode(change)


def _model(version: str) -> dict:
    return {"version": version}


def test_the_first_of_two_concurrent_changes_is_accepted():
    ledger = configuration.Ledger()
    check.assertIs(ledger.apply(0, _change(0, _model("a"))), ACCEPTED)
    check.assertIs(ledger.apply(1, _change(1, _model("b"))), ACCEPTED)
    check.assertIs(ledger.apply(2, _change(1, _model("c"))), CONFLICT)
    check.assertEqual(ledger.get("model", "m").value, _model("b"))


def test_a_late_duplicate_neither_reverts_nor_recreates():
    ledger = configuration.Ledger()
    create = _change(0, _model("a"))
    ledger.apply(0, create)
    ledger.apply(1, _change(1, _model("b")))
    check.assertIs(ledger.apply(2, create), CONFLICT)
    ledger.apply(3, _change(2, None))
    check.assertIs(ledger.apply(4, create), CONFLICT)
    check.assertIsNone(ledger.get("model", "m").value)


def test_malformed_records_are_rejected_and_folding_continues():
    ledger = configuration.Ledger()
    malformed = [None, 7, {}, {"type": "config.change"}, [], "x"]
    malformed += [_change(0, {"version": 3}), _change(0, {}, kind="absent")]
    malformed += [_change(0, {"unknown": 1}), _change(0, [])]
    for offset, raw in enumerate(malformed):
        check.assertIs(ledger.apply(offset, raw), INVALID, raw)
    check.assertIs(ledger.apply(99, _change(0, _model("a"))), ACCEPTED)


def test_since_returns_each_change_once_or_none_past_the_history():
    ledger = configuration.Ledger()
    for offset in range(5000):
        ledger.apply(offset, _change(offset, _model(str(offset))))
    check.assertIsNone(ledger.since(0))
    versions = [r.version for r in ledger.since(4000)]
    check.assertEqual(versions, list(range(4001, 5001)))


def _random_stream(rng: random.Random, length: int) -> list[dict]:
    """Returns a stream of changes, some of them conflicting, and of snapshots."""
    ledger = configuration.Ledger()
    stream = []
    lagging_state = (0, ledger.snapshot())
    for offset in range(length):
        name = rng.choice("abcd")
        if rng.random() < 0.1:
            covers, state = lagging_state
            raw = configuration.encode(
                configuration.Snapshot(covers=covers, state=state)
            )
        else:
            expected = ledger.expected_version("model", name)
            expected = rng.choice((expected, expected, expected, 0, 1))
            value = rng.choice((_model(str(offset)), _model("x"), None))
            raw = _change(expected, value, name)
        stream.append(raw)
        ledger.apply(offset, raw)
        if rng.random() < 0.3:
            lagging_state = (ledger.applied, ledger.snapshot())
    return stream


def test_readers_reach_the_same_state_from_any_first_offset():
    for seed in range(200):
        rng = random.Random(seed)
        stream = _random_stream(rng, 120)
        complete = configuration.Ledger()
        for offset, raw in enumerate(stream):
            complete.apply(offset, raw)
        first = rng.randint(0, 60)
        replay = configuration.Replay(first)
        for offset in range(first, len(stream)):
            replay.feed(offset, stream[offset])
        if replay.ledger is not None:
            check.assertEqual(
                sorted(replay.ledger.snapshot()["resources"], key=str),
                sorted(complete.snapshot()["resources"], key=str),
            )


def test_a_snapshot_is_not_used_if_records_after_it_have_expired():
    snapshot = configuration.Snapshot(covers=3, state=configuration.Ledger().snapshot())
    replay = configuration.Replay(5)
    replay.feed(5, configuration.encode(snapshot))
    check.assertIsNone(replay.ledger)


def test_schema_errors_name_the_path():
    cases = [
        ("engine", {"domain": "a", "address": "host:1", "models": []}, "address"),
        ("engine", {"domain": "a", "address": "1.2.3.4:1"}, "models"),
        ("service", {"targets": [{"name": "x"}]}, "targets[0].domain"),
        ("tenant", {"key_sha256": ["short"]}, "SHA-256"),
        ("model", {"versoin": "v1"}, "versoin"),
        ("absent", {}, "absent"),
        ("engine", {"domain": "a", "address": "1.2.3.4:1", "models": "m"}, "models"),
        ("service", {"targets": {}}, "targets"),
        ("service", {"targets": ["x"]}, "targets[0]"),
        ("tenant", {"key_sha256": "ab" * 32}, "key_sha256"),
        ("model", [], "model"),
    ]
    for kind, value, expected in cases:
        with check.assertRaises(configuration.InvalidResourceError) as caught:
            configuration.parse(kind, value)
        check.assertIn(expected, str(caught.exception))
