"""Logs, metrics and histograms."""

from turmericward.telemetry._logs import (
    configure_logs,
    flush_logs,
    log_event,
    log_request,
)
from turmericward.telemetry._metrics import Metrics, RequestLatencies

__all__ = [
    "Metrics",
    "RequestLatencies",
    "configure_logs",
    "flush_logs",
    "log_event",
    "log_request",
]
