"""Decisions on requests by their heads, before their bodies are read.

Load pattern handled: clients without a valid key that send large bodies.
"""

from collections.abc import Callable, Mapping

import attrs
from waitress import utilities

# A body that is announced to be this short is read in any case: the connection stays
# usable when the request is refused.
MAX_UNCHECKED_BODY_BYTES = 4096


@attrs.frozen(kw_only=True)
class Head:
    """Request target and headers, whose names are in upper case with underscores."""

    target: str
    headers: Mapping[str, str]


@attrs.frozen(kw_only=True)
class Refusal:
    """Response to a request that isn't run; the connection is closed after it."""

    status: int
    phrase: str
    detail: str
    retry_after_s: float | None = None


# Returns why a request is refused, None if it isn't. Called in the event loop's thread.
HeadCheck = Callable[[Head], Refusal | None]


class RefusedHeadError(utilities.Error):
    """Response to a request that is refused by its head."""

    def __init__(self, refusal: Refusal) -> None:
        """Creates the response."""
        super().__init__(refusal.detail)
        self._refusal = refusal

    def to_response(self, ident=None) -> tuple[str, list[tuple[str, str]], bytes]:
        """Returns status, headers and body."""
        headers = [("Content-Type", "text/plain")]
        if self._refusal.retry_after_s is not None:
            headers.append(("Retry-After", f"{self._refusal.retry_after_s:.2f}"))
        status = f"{self._refusal.status} {self._refusal.phrase}"
        return status, headers, f"{self._refusal.detail}\n".encode()
