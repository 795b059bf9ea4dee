"""Logs, metrics and histograms."""

from turmericward.telemetry._logs import (
    configure_logs,
    flush_logs,
    log_event,
    log_request,
)
from turmericward.telemetry._metrics import Metrics, RequestLatencies
from turmericward.telemetry._rejections import Rejections

__all__ = [
    "Metrics",
    "Rejections",
    "RequestLatencies",
    "configure_logs",
    "flush_logs",
    "log_event",
    "log_request",
]
