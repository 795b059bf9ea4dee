"""What replicas say of themselves in the headers of any answer."""

import http.client
from collections.abc import Callable

from turmericward import delivery, fleet
from turmericward.platform import _headers


def pass_on(
    resp: http.client.HTTPResponse,
    target: fleet.Target,
    notice: Callable[[delivery.TargetNotice], None],
) -> None:
    """Gives `notice` what an answer tells of its replica, if it tells anything."""
    leaving = (resp.getheader(_headers.LEAVING) or "").strip() == "1"
    rest_s = _seconds(resp.getheader(_headers.RETRY_AFTER))
    if resp.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
        rest_s = 0.0
    if leaving or rest_s:
        notice(delivery.TargetNotice(target=target, leaving=leaving, rest_s=rest_s))


def _seconds(text: str | None) -> float:
    try:
        return float(text or 0)
    except ValueError:
        # A date, or spoiled: it says nothing that could be relied on.
        return 0.0
