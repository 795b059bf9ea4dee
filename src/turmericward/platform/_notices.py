"""Notices that replicas attach to response headers: leaving, and backoff."""

import http.client
from collections.abc import Callable

from turmericward import delivery, fleet
from turmericward.platform import _headers


def forward(
    resp: http.client.HTTPResponse,
    target: fleet.Target,
    on_notice: Callable[[delivery.TargetNotice], None],
) -> None:
    """Calls `on_notice` if the response's headers hold a notice of its replica."""
    leaving = (resp.getheader(_headers.LEAVING) or "").strip() == "1"
    backoff_s = _seconds(resp.getheader(_headers.RETRY_AFTER))
    if resp.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
        backoff_s = 0.0
    if leaving or backoff_s:
        on_notice(
            delivery.TargetNotice(target=target, leaving=leaving, backoff_s=backoff_s)
        )


def _seconds(text: str | None) -> float:
    try:
        return float(text or 0)
    except ValueError:
        # An HTTP date or a malformed value is ignored.
        return 0.0
