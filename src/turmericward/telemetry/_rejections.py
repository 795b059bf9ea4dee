"""Reports input of other programs that can't be used."""

import threading
from collections.abc import Callable

from absl import logging

# Inputs that are remembered as logged; further ones are only counted.
MAX_LOGGED = 2000
# Bounds on what other programs can make a log line hold.
MAX_KEY_CHARS = 300
MAX_REASON_CHARS = 3000


class Rejections:
    """Counts each rejected input, and logs it once; thread-safe."""

    def __init__(self, count: Callable[[str], None] = lambda name: None) -> None:
        """Creates the report.

        Args:
            count: adds one to the counter with this name.
        """
        self._count = count
        self._lock = threading.Lock()
        self._logged: set[tuple[str, str]] = set()

    def add(self, source: str, key: str, reason: str) -> None:
        """Reports one input.

        Args:
            source: kind of the input, a part of the counter's name.
            key: names the input among those of its kind; each key is logged once.
            reason: why it can't be used.
        """
        self._count(f"rejected.{source}")
        key, reason = key[:MAX_KEY_CHARS], reason[:MAX_REASON_CHARS]
        with self._lock:
            if (source, key) in self._logged or len(self._logged) >= MAX_LOGGED:
                return
            self._logged.add((source, key))
        logging.get_absl_logger().warning(
            "input rejected", extra={"source": source, "key": key, "reason": reason}
        )
