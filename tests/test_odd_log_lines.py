"""Log lines of other programs, or of other versions, among those of fronts."""

import json

from tests import fixtures, odd_values
from turmericward.programs import _explain, _losses

check = fixtures.check
LINE = {
    "time": "2026-01-02 03:04:05,678",
    "message": "reply",
    "instance": "front-1",
    "request_id": "c1",
    "route": "ask",
    "outcome": "streamed",
    "status": 200,
    "first_s": 0.1,
    "objective_s": 0.2,
    "pause_s": 0.05,
    "max_pause_s": 0.2,
}


def test_odd_log_lines_are_skipped_or_counted():
    good = json.dumps(LINE | {"request_id": "c0"})
    placed = {"request_id": "c1", "message": "placed", "expected_s": 0.1}

    def read(raw: bytes) -> None:
        lines = [good, raw.decode("utf-8", "surrogateescape"), json.dumps(placed)]
        losses = _losses.count_losses(lines)
        check.assertGreaterEqual(losses.calls_by_route["ask"], 1)
        _losses.table(losses)
        json.dumps(_losses.as_json(losses))
        check.assertEqual(len(_explain.explain("c0", lines)), 1)

    check.assertEqual(odd_values.outcomes(odd_values.records(LINE), read, ()), {})
    began = {"request_id": "c1", "message": "began", "took_s": 0.1}
    check.assertEqual(odd_values.outcomes(odd_values.records(began), read, ()), {})


def test_any_log_lines_are_explained():
    def read(raw: bytes) -> None:
        lines = [raw.decode("utf-8", "surrogateescape"), json.dumps(LINE)]
        _losses.table(_losses.count_losses(lines))
        _explain.explain("c1", lines)

    odd_values.assert_property(odd_values.any_bytes(LINE), read, ())
