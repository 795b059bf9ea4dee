"""Counters and latency histograms, exported to statsd and as a text page."""

import collections
import threading
from collections.abc import Callable, Mapping

import attrs
import statsd
from hdrh import histogram

from turmericward.telemetry import _workspace_counts

MIN_TRACKED_MS = 1
MAX_TRACKED_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
MAX_TENANTS = 32
PERCENTILES = (50.0, 95.0, 99.0)


@attrs.frozen(kw_only=True)
class RequestLatencies:
    """Latencies of one request in milliseconds; `tenant` is empty without a tenant.

    `token_intervals_ms` has the number of tokens that came after each interval.
    """

    traffic_class: str
    tenant: str
    first_token_ms: float | None
    token_intervals_ms: Mapping[int, int]
    total_ms: float


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(MIN_TRACKED_MS, MAX_TRACKED_MS, SIGNIFICANT_DIGITS)


def _clamped(value_ms: float) -> int:
    return max(MIN_TRACKED_MS, min(MAX_TRACKED_MS, round(value_ms)))


class Metrics:
    """Thread-safe collection of counters and latency histograms.

    There is a histogram for each class and for the `MAX_TENANTS` most recently seen
    tenants, so that memory stays bounded.
    """

    def __init__(self, address: tuple[str, int] | None, prefix: str) -> None:
        """Creates an empty collection.

        Args:
            address: host and port of statsd, or None.
            prefix: prefix of every statsd name.
        """
        self._lock = threading.Lock()
        self._counters: collections.Counter[str] = collections.Counter()
        self._values: dict[str, float] = {}
        self._classes: dict[tuple[str, str], histogram.HdrHistogram] = {}
        self._tenants: collections.OrderedDict[str, histogram.HdrHistogram]
        self._tenants = collections.OrderedDict()
        self._workspaces = _workspace_counts.WorkspaceCounts()
        self._gauges: dict[str, Callable[[], int]] = {}
        self._statsd = None
        if address is not None:
            self._statsd = statsd.StatsClient(*address, prefix=prefix)

    def add_gauge(self, name: str, read: Callable[[], int]) -> None:
        """Adds a value to the page that is read each time the page is rendered.

        `read` must not use these metrics; values aren't sent to statsd.
        """
        self._gauges[name] = read

    def count(self, name: str) -> None:
        """Adds one to a counter."""
        with self._lock:
            self._counters[name] += 1
        if self._statsd is not None:
            self._statsd.incr(name)

    def count_workspace(self, workspace: str, outcome: str) -> None:
        """Counts the end of a workspace's call; not sent to statsd."""
        with self._lock:
            self._workspaces.add(workspace, outcome)

    def set_value(self, name: str, value: float) -> None:
        """Sets a value that its owner computes now and then, and sends it to statsd."""
        with self._lock:
            self._values[name] = value
        if self._statsd is not None:
            self._statsd.gauge(name, value)

    def record(self, latencies: RequestLatencies) -> None:
        """Records the latencies of one request."""
        with self._lock:
            self._record_class(latencies)
            if latencies.tenant:
                self._tenant_histogram(latencies.tenant).record_value(
                    _clamped(latencies.total_ms)
                )
        if self._statsd is not None:
            self._send_to_statsd(latencies)

    def _send_to_statsd(self, latencies: RequestLatencies) -> None:
        label = ".".join(filter(None, (latencies.traffic_class, latencies.tenant)))
        self._statsd.timing(f"total.{label}", latencies.total_ms)
        if latencies.first_token_ms is not None:
            self._statsd.timing(f"first_token.{label}", latencies.first_token_ms)

    def _record_class(self, latencies: RequestLatencies) -> None:
        if latencies.first_token_ms is not None:
            hist = self._class_histogram(latencies.traffic_class, "first_token")
            hist.record_value(_clamped(latencies.first_token_ms))
        intervals = self._class_histogram(latencies.traffic_class, "between_tokens")
        for interval_ms, count in latencies.token_intervals_ms.items():
            intervals.record_value(_clamped(interval_ms), count)
        total = self._class_histogram(latencies.traffic_class, "total")
        total.record_value(_clamped(latencies.total_ms))

    def _class_histogram(
        self, traffic_class: str, measure: str
    ) -> histogram.HdrHistogram:
        key = (traffic_class, measure)
        if key not in self._classes:
            self._classes[key] = _new_histogram()
        return self._classes[key]

    def _tenant_histogram(self, tenant: str) -> histogram.HdrHistogram:
        if tenant not in self._tenants:
            if len(self._tenants) >= MAX_TENANTS:
                self._tenants.popitem(last=False)
            self._tenants[tenant] = _new_histogram()
        self._tenants.move_to_end(tenant)
        return self._tenants[tenant]

    def render_text(self) -> str:
        """Returns all metrics as text, one per line."""
        with self._lock:
            values = dict(self._counters)
            values |= {name: read() for name, read in self._gauges.items()}
            lines = [f"{n} {v}" for n, v in sorted(values.items())]
            lines += [f"{n} {v:g}" for n, v in sorted(self._values.items())]
            for (traffic_class, measure), hist in sorted(self._classes.items()):
                labels = f'class="{_escaped(traffic_class)}"'
                lines += _histogram_lines(f"{measure}_ms", labels, hist)
            for tenant, hist in sorted(self._tenants.items()):
                labels = f'tenant="{_escaped(tenant)}"'
                lines += _histogram_lines("tenant_total_ms", labels, hist)
            lines += [
                f'workspace_calls{{workspace="{_escaped(name)}",outcome="{outcome}"}} '
                f"{count}"
                for name, outcome, count in self._workspaces.rows()
            ]
        return "\n".join(lines) + "\n"


def _escaped(label: str) -> str:
    """Returns a label's value as it stands between quotes."""
    text = label.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
    return text.encode("utf-8", "backslashreplace").decode()


def _histogram_lines(name: str, labels: str, hist: histogram.HdrHistogram) -> list[str]:
    lines = [f"{name}_count{{{labels}}} {hist.get_total_count()}"]
    for percentile in PERCENTILES:
        value = hist.get_value_at_percentile(percentile)
        lines.append(f'{name}{{{labels},quantile="{percentile / 100:g}"}} {value}')
    return lines
