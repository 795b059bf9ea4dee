"""The text page of counters and histograms."""

from tests import fixtures
from turmericward import telemetry

check = fixtures.check


def test_labels_cannot_break_the_page():
    metrics = telemetry.Metrics(None, "")
    for name in ('a"b', "a\nb", "a\\b", "\ud800"):
        metrics.record(
            telemetry.RequestLatencies(
                traffic_class=name,
                tenant=name,
                first_token_ms=1.0,
                token_intervals_ms={},
                total_ms=1.0,
            )
        )
    page = metrics.render_text()
    page.encode()
    for line in page.splitlines():
        name, _, value = line.rpartition(" ")
        check.assertTrue(name and value.isdigit(), line)
    check.assertIn(r'class="a\"b"', page)
