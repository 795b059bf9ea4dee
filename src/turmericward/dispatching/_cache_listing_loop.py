"""Loop that lists the KV cache contents of engines after a front's start."""

import random
from collections.abc import Callable
from concurrent import futures
from typing import Protocol

from absl import logging

from turmericward import fleet, runtime
from turmericward.adapters import errors
from turmericward.dispatching import _dispatch_task, _messages

# Engines that appear later start with an empty cache and needn't be listed.
LISTING_WINDOW_S = 6.0
# Interval between two listings, in which those of peers can arrive.
LISTING_INTERVAL_S = 0.1
FINISHED_POLL_INTERVAL_S = 60.0
INACTIVE_POLL_INTERVAL_S = 1.0
DISPATCH_TIMEOUT_S = 2.0
MAX_ATTEMPTS_PER_ENGINE = 3


class EngineCacheLister(Protocol):
    """Lists the KV cache contents of engines."""

    def cached_segments(self, target: fleet.Target) -> tuple[tuple[int, int], ...]:
        """Returns the numbers of the cached prefix segments, with their tokens.

        Raises:
            AdapterError: there is no valid answer.
        """


class CacheListingLoop(runtime.Loop):
    """Lists each engine's cache, unless a peer publishes its listing first.

    After a restart of all fronts, none has a record of the cache contents, and
    prefixes that are still cached would be prefilled again. The order of engines is
    random, so that fronts which start together list different ones.
    """

    # Engines that aren't listed cost prefills only.
    tolerated_failures = runtime.MAX_FAILURES_IN_A_ROW

    def __init__(
        self,
        dispatch: _dispatch_task.DispatchTask,
        lister: EngineCacheLister,
        seed: int,
        enabled: Callable[[], bool] = lambda: True,
    ) -> None:
        """Creates the loop.

        Args:
            dispatch: provides the engines and receives their listings.
            lister: lists the cache of an engine.
            seed: seed of the order of engines.
            enabled: returns whether this front lists caches, instead of relying on
                its peers.
        """
        super().__init__()
        self._dispatch = dispatch
        self._lister = lister
        self._enabled = enabled
        self._random = random.Random(seed)
        self._attempts: dict[str, int] = {}
        self._window_end: float | None = None

    def run_once(self) -> None:
        """Lists the cache of at most one engine."""
        now = runtime.now()
        if self._window_end is not None and now >= self._window_end:
            self.pause(FINISHED_POLL_INTERVAL_S)
            return
        if not self._enabled():
            self.pause(INACTIVE_POLL_INTERVAL_S)
            return
        target = self._next_engine()
        if target is not None:
            if self._window_end is None:
                self._window_end = now + LISTING_WINDOW_S
            self._list_engine(target)
        self.pause(LISTING_INTERVAL_S)

    def _next_engine(self) -> fleet.Target | None:
        try:
            view = self._dispatch.ask(_messages.GetEngines()).result(DISPATCH_TIMEOUT_S)
        except futures.TimeoutError:
            logging.warning("dispatcher did not return the engines in time")
            return None
        unlisted = [
            target
            for targets in view.engines.values()
            for target in targets
            if target.name not in view.listed
            and self._attempts.get(target.name, 0) < MAX_ATTEMPTS_PER_ENGINE
        ]
        return self._random.choice(unlisted) if unlisted else None

    def _list_engine(self, target: fleet.Target) -> None:
        self._attempts[target.name] = self._attempts.get(target.name, 0) + 1
        try:
            segments = self._lister.cached_segments(target)
        except errors.AdapterError as exc:
            logging.info("memory of %s isn't known: %s", target.name, exc)
            return
        logging.info("engine %s keeps %d parts", target.name, len(segments))
        self._dispatch.post(
            _messages.EngineCacheListing(target=target, segments=segments)
        )
