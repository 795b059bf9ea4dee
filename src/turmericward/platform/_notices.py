"""Notices in the headers of replicas' responses: leaving, backoff and rate limit."""

import http.client
from collections.abc import Callable, Collection

from absl import logging

from turmericward import dispatching, fleet, runtime, schema
from turmericward.platform import _headers

WARNING_INTERVAL_S = 10.0
# Larger numbers are malformed; sums and multiples of these are finite.
MAX_RATE_PER_S = 1e300
MAX_RETRY_AFTER_S = 1e300


class NoticeReader:
    """Reads the notices in responses and passes them on."""

    def __init__(
        self,
        post: Callable[[dispatching.TargetNotice | dispatching.RequestSent], None],
        recently_limited: Callable[[], Collection[str]],
    ) -> None:
        """Creates the reader.

        Args:
            post: called with each notice, and each request that isn't a call.
            recently_limited: returns the names of the targets that are known to have
                a limit, or had one recently.
        """
        self._post = post
        self._recently_limited = recently_limited

    def read(
        self,
        resp: http.client.HTTPResponse,
        target: fleet.Target,
        *,
        from_target: bool = True,
        served_after: float | None = None,
    ) -> None:
        """Passes on the notice in the headers of a response, if there is any.

        Args:
            resp: the response.
            target: the replica that the request was sent to.
            from_target: whether that replica sent the response, as far as known.
            served_after: time before which the replica didn't begin to serve the
                call, in monotonic seconds; None if it didn't serve one. Only a served
                call that was sent since shows that a limit has ended.
        """
        leaving = (resp.getheader(_headers.LEAVING) or "").strip() == "1"
        backoff_s = _seconds(resp.getheader(_headers.RETRY_AFTER))
        if resp.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
            backoff_s = 0.0
        limit = None
        if from_target and resp.status != http.HTTPStatus.MISDIRECTED_REQUEST:
            limit = self._limit(resp, target, served_after)
        if leaving or backoff_s or limit is not None:
            self._post(
                dispatching.TargetNotice(
                    target=target, leaving=leaving, backoff_s=backoff_s, limit=limit
                )
            )

    def count_request(self, address: str) -> None:
        """Counts a request other than a call against the limit of its replica."""
        if self._recently_limited():
            self._post(dispatching.RequestSent(address=address))

    def _limit(
        self, resp, target: fleet.Target, served_after: float | None
    ) -> fleet.RateLimit | None:
        text = resp.getheader(_headers.RATE_LIMIT)
        if text is None:
            if served_after is None or target.name not in self._recently_limited():
                return None
            return fleet.RateLimit(per_s=None, observed_at=served_after)
        per_s = _rate(text)
        if per_s is None:
            logging.log_every_n_seconds(
                logging.WARNING,
                "target %s names an invalid limit, which is ignored: %.40r",
                WARNING_INTERVAL_S,
                target.name,
                text,
            )
            return None
        return fleet.RateLimit(per_s=per_s, observed_at=runtime.now())


def _rate(text: str) -> float | None:
    """Returns a rate of at least 0, None if the text isn't one."""
    try:
        return schema.parse_float(text, 0.0, MAX_RATE_PER_S)
    except schema.SchemaError:
        return None


def _seconds(text: str | None) -> float:
    try:
        return schema.parse_float(text or "0", 0.0, MAX_RETRY_AFTER_S)
    except schema.SchemaError:
        # An HTTP date or a malformed value is ignored.
        return 0.0
