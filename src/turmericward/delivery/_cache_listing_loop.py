"""Loop that learns what engines kept before this front began."""

import random
from collections.abc import Callable
from concurrent import futures
from typing import Protocol

from absl import logging

from turmericward import fleet, runtime
from turmericward.adapters import errors
from turmericward.delivery import _dispatch_task, _messages

# Engines that appear later begin with an empty memory.
LEARNING_S = 6.0
# Between two listings, for peers to tell of theirs.
PAUSE_S = 0.1
REST_S = 60.0
IDLE_S = 1.0
ASK_S = 2.0
MAX_TRIES = 3


class EngineMemory(Protocol):
    """Asks engines what they keep."""

    def kept(self, target: fleet.Target) -> tuple[tuple[int, int], ...]:
        """Returns the numbers of the parts that an engine keeps, with their tokens.

        Raises:
            AdapterError: no good answer came.
        """


class MemoryLoop(runtime.Loop):
    """Lists each engine's memory, unless another front tells of it first.

    After all fronts were lost none knows what engines keep, and prompts would be
    read again that lie ready. Each front begins with another engine.
    """

    def __init__(
        self,
        dispatch: _dispatch_task.DispatchTask,
        memory: EngineMemory,
        seed: int,
        asks: Callable[[], bool] = lambda: True,
    ) -> None:
        """Creates the loop.

        Args:
            dispatch: knows the engines and takes what they keep.
            memory: asks them.
            seed: seed of the order.
            asks: tells whether this front asks engines, instead of being told.
        """
        super().__init__()
        self._dispatch = dispatch
        self._memory = memory
        self._asks = asks
        self._random = random.Random(seed)
        self._tries: dict[str, int] = {}
        self._until: float | None = None

    def step(self) -> None:
        """Lists one engine."""
        now = runtime.now()
        if self._until is not None and now >= self._until:
            self.pause(REST_S)
            return
        if not self._asks():
            self.pause(IDLE_S)
            return
        target = self._next()
        if target is not None:
            if self._until is None:
                self._until = now + LEARNING_S
            self._list(target)
        self.pause(PAUSE_S)

    def _next(self) -> fleet.Target | None:
        try:
            view = self._dispatch.ask(_messages.GetEngines()).result(ASK_S)
        except futures.TimeoutError:
            logging.warning("dispatcher gives no view of engines")
            return None
        unknown = [
            target
            for targets in view.engines.values()
            for target in targets
            if target.name not in view.listed
            and self._tries.get(target.name, 0) < MAX_TRIES
        ]
        return self._random.choice(unknown) if unknown else None

    def _list(self, target: fleet.Target) -> None:
        self._tries[target.name] = self._tries.get(target.name, 0) + 1
        try:
            parts = self._memory.kept(target)
        except errors.AdapterError as exc:
            logging.info("memory of %s isn't known: %s", target.name, exc)
            return
        logging.info("engine %s keeps %d parts", target.name, len(parts))
        self._dispatch.post(_messages.EngineKeeps(target=target, parts=parts))
