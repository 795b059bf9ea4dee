"""The era of the store, which rises each time it returns from an older copy of itself.

What was written after that copy was made is gone, and its offsets are given out anew.
"""

import threading
from collections.abc import Callable

from turmericward import runtime, schema, telemetry

# A larger rise is taken for an invalid value, as it would make all later eras
# look outdated.
MAX_RISE = 100
# Fencing tokens have room for this many eras.
MAX_ERA = 4_095


class InvalidEraError(ValueError):
    """Raised for an era that can't follow the known one."""


class Eras:
    """The latest era that this front knows; thread-safe.

    A store that names no era is in era 0 for good.
    """

    def __init__(
        self,
        on_new: Callable[[], None] = lambda: None,
        clock: Callable[[], float] = runtime.now,
    ) -> None:
        """Starts in era 0.

        Args:
            on_new: called when the era has risen while this front was running.
            clock: returns monotonic seconds.
        """
        self._on_new = on_new
        self._clock = clock
        self._lock = threading.Lock()
        self._seen = False
        self._current = 0
        self._since = float("-inf")

    @property
    def current(self) -> int:
        """The latest known era."""
        return self._current

    @property
    def since(self) -> float:
        """When this front first saw the latest era, in monotonic seconds.

        It was always in era 0, before which there is none.
        """
        return self._since

    def observe_answer(self, text: str | None, source: str) -> int:
        """Takes the era that an answer names; returns it.

        Args:
            text: what the answer says, None if it names no era.
            source: what sent it, for the log.

        Raises:
            InvalidEraError: it is malformed, missing though an era was named before,
                or lower than the latest, as in an answer that was delayed.
        """
        if text is None and self._current:
            raise InvalidEraError(f"{source} names no era")
        try:
            era = schema.parse_int(text or "0", 0, schema.MAX_INT)
        except schema.SchemaError as exc:
            raise InvalidEraError(f"{source}: {exc}") from exc
        self.observe(era, source)
        if era < self._current:
            raise InvalidEraError(
                f"{source} names era {era}, though era {self._current} has begun"
            )
        return era

    def observe(self, era: int, source: str) -> None:
        """Takes an era that the store or a peer named; older ones change nothing.

        Args:
            era: the era.
            source: what named it, for the log.

        Raises:
            InvalidEraError: it can't follow the known one.
        """
        with self._lock:
            known, seen, self._seen = self._current, self._seen, True
            if era <= known:
                return
            if era > MAX_ERA or (seen and era - known > MAX_RISE):
                raise InvalidEraError(f"{source} names era {era} after {known}")
            # Readers of `current` without the lock see the time at least as early.
            self._since = self._clock()
            self._current = era
        telemetry.log_event("store_era", era=era, previous=known, source=source)
        if seen:
            self._on_new()
