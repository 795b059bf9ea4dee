"""Runs a program's tasks and ends the process when one of them fails."""

import os
import threading
from concurrent import futures

from absl import logging

from turmericward import telemetry
from turmericward.runtime import _task

THREAD_STACK_BYTES = 256 * 1024
EXIT_TASK_FAILED = 70


class Group:
    """Tasks that live and end together, each on a thread of one executor."""

    def __init__(self, tasks: list[_task.Task | _task.Loop], name: str) -> None:
        """Creates the group; tasks are stopped in the reverse of this order."""
        self._tasks = tasks
        threading.stack_size(THREAD_STACK_BYTES)
        self._executor = futures.ThreadPoolExecutor(
            max_workers=len(tasks), thread_name_prefix=name
        )
        self._running: list[futures.Future] = []
        self._stopping = False

    def start(self) -> None:
        """Starts every task. A task that raises ends the whole process."""
        for task in self._tasks:
            fut = self._executor.submit(task.run)
            fut.add_done_callback(self._ended)
            self._running.append(fut)

    def stop(self, timeout_s: float) -> None:
        """Stops every task and waits for them, for `timeout_s` at most."""
        self._stopping = True
        for task in reversed(self._tasks):
            task.stop()
        futures.wait(self._running, timeout=timeout_s)
        self._executor.shutdown(wait=False)

    def _ended(self, done: futures.Future) -> None:
        exc = done.exception()
        # A task may find another one already gone while the group stops.
        if exc is None or self._stopping:
            return
        logging.error("task failed, process exits: %r", exc, exc_info=exc)
        logging.flush()
        telemetry.flush_logs()
        os._exit(EXIT_TASK_FAILED)
