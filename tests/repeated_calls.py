"""Clients that send calls again and again to a front process."""

import http.client
import itertools
import threading
import time
import zlib
from concurrent import futures

import attrs

from tests import platform_fixtures


@attrs.frozen(kw_only=True)
class Sending:
    """A call that is sent at an interval; `{}` in its path is a number.

    A prompt consists of the segments and one of its own each time.
    """

    method: str
    path: str
    caller: str = ""
    body: bytes = b""
    segments: tuple[str, ...] = ()

    def headers(self, number: int) -> dict[str, str]:
        """Returns the headers of one call."""
        headers = {"Authorization": self.caller} if self.caller else {}
        if not self.segments:
            return headers
        # Identifiers of segments are hexadecimal.
        own = f"{zlib.crc32(repr(self).encode()):x}{number:04x}"
        prefix = ",".join(f"{segment}:100" for segment in (*self.segments, own))
        return headers | platform_fixtures.PROMPT | {platform_fixtures.PREFIX: prefix}


# More calls than wait for an answer at a time, so that a late one delays no other.
MAX_OPEN_CALLS = 200


class Clients:
    """Sends each of several calls at an interval; has the statuses by call."""

    def __init__(
        self, platform, sendings: tuple[Sending, ...], interval_s: float
    ) -> None:
        self._platform = platform
        self._interval_s = interval_s
        self._stopped = threading.Event()
        self._pool = futures.ThreadPoolExecutor(MAX_OPEN_CALLS)
        self._ids = itertools.count()
        self.statuses: dict[Sending, list[tuple[float, int]]] = {
            sending: [] for sending in sendings
        }

    def __enter__(self) -> "Clients":
        self._running = [self._pool.submit(self._run, s) for s in self.statuses]
        return self

    def __exit__(self, *_) -> None:
        self._stopped.set()
        futures.wait(self._running)
        self._pool.shutdown()

    def _run(self, sending: Sending) -> None:
        for number in itertools.count():
            if self._stopped.wait(self._interval_s):
                return
            self._pool.submit(self._call, sending, number)

    def _call(self, sending: Sending, number: int) -> None:
        sent_at = time.monotonic()
        try:
            status, _, _ = self._platform.call(
                sending.method,
                sending.path.format(number),
                f"i{next(self._ids)}",
                sending.headers(number),
                sending.body or None,
            )
        except (OSError, http.client.HTTPException):
            status = 0
        self.statuses[sending].append((sent_at, status))

    def served(self, sending: Sending, since: float) -> list[bool]:
        """Returns for each call sent since a time whether it was answered."""
        return [status == 200 for at, status in self.statuses[sending] if at > since]

    def served_share(self, sending: Sending, since: float) -> float:
        """Returns the share of the calls sent since a time that were answered."""
        served = self.served(sending, since)
        return sum(served) / len(served)
