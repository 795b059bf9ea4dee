"""Reports of input that can't be used."""

import collections
import io
import json
import logging

from pythonjsonlogger import json as json_logger

from tests import fixtures
from turmericward import telemetry

check = fixtures.check


def _lines(report) -> list[dict]:
    """Returns what is logged, as JSON, while `report` runs."""
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(json_logger.JsonFormatter("%(levelname)s %(message)s"))
    logger = logging.getLogger("absl")
    logger.addHandler(handler)
    try:
        report()
    finally:
        logger.removeHandler(handler)
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_each_input_is_counted_and_each_key_logged_once():
    counts = collections.Counter()
    rejections = telemetry.Rejections(lambda name: counts.update((name,)))

    def report() -> None:
        for key in ("a", "b", "a", "a"):
            rejections.add("targets", key, "a reason")
        rejections.add("fronts", "a", "a reason")

    lines = _lines(report)
    logged = [(line["source"], line["key"]) for line in lines]
    check.assertEqual(counts, {"rejected.targets": 4, "rejected.fronts": 1})
    check.assertEqual(logged, [("targets", "a"), ("targets", "b"), ("fronts", "a")])
    check.assertEqual({line["reason"] for line in lines}, {"a reason"})


def test_log_lines_are_bounded_whatever_the_input():
    rejections = telemetry.Rejections()

    def report() -> None:
        for number in range(3_000):
            rejections.add("targets", f"{number}" + "x" * 9_999, "\ud800" * 99_999)

    lines = _lines(report)
    check.assertEqual(len(lines), 2_000)
    check.assertLess(max(len(line["key"] + line["reason"]) for line in lines), 4_000)
