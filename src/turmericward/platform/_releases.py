"""Releases KV cache without holding up the calls that it was made for.

Load pattern handled: engines that fall silent with KV cache that nobody will fetch.
"""

import threading

from absl import logging

from turmericward.adapters import _request, errors, service

KV_HANDLE_PATH = "/api/kv-handle/"
TIMEOUT_S = 0.5
# Further ones expire at their engines.
MAX_OPEN_RELEASES = 16


class Releases:
    """Sends each release on a thread of its own, which ends with the process."""

    def __init__(self) -> None:
        """Starts without releases."""
        self._free = threading.BoundedSemaphore(MAX_OPEN_RELEASES)

    def begin(self, source: str) -> bool:
        """Begins to release KV cache, `ip:port/handle`; returns whether it is sent."""
        if not self._free.acquire(blocking=False):
            logging.info("KV cache %s is left to expire: too many releases", source)
            return False
        thread = threading.Thread(target=self._run, args=(source,), daemon=True)
        try:
            thread.start()
        except RuntimeError as exc:
            self._free.release()
            logging.warning("KV cache %s is left to expire: %s", source, exc)
            return False
        return True

    def _run(self, source: str) -> None:
        try:
            _release(source)
        finally:
            self._free.release()


def _release(source: str) -> None:
    address, _, handle = source.partition("/")
    req = _request.Request(method="DELETE", path=KV_HANDLE_PATH + handle)
    try:
        service.call(address, req, "", TIMEOUT_S)
    except errors.AdapterError as exc:
        logging.info("KV cache %s is left to expire: %s", source, exc)
