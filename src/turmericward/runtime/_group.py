"""Runs the tasks of a program; the process exits if one of them fails."""

import os
import threading
from concurrent import futures

from absl import logging

from turmericward import telemetry
from turmericward.runtime import _task

THREAD_STACK_BYTES = 256 * 1024
EXIT_TASK_FAILED = 70


class Group:
    """Tasks that are started and stopped together, each on its own thread."""

    def __init__(self, tasks: list[_task.Task | _task.Loop], name: str) -> None:
        """Creates the group; tasks are started in order and stopped in reverse."""
        self._tasks = tasks
        threading.stack_size(THREAD_STACK_BYTES)
        self._executor = futures.ThreadPoolExecutor(
            max_workers=len(tasks), thread_name_prefix=name
        )
        self._running: list[futures.Future] = []
        self._stopping = False

    def start(self) -> None:
        """Starts every task; an exception in any of them ends the process."""
        for task in self._tasks:
            fut = self._executor.submit(task.run)
            fut.add_done_callback(self._on_task_done)
            self._running.append(fut)

    def stop(self, timeout_s: float) -> None:
        """Stops every task and waits for them for at most `timeout_s`."""
        self._stopping = True
        for task in reversed(self._tasks):
            task.stop()
        futures.wait(self._running, timeout=timeout_s)
        self._executor.shutdown(wait=False)

    @property
    def stopped(self) -> bool:
        """Whether no task runs any more."""
        return all(fut.done() for fut in self._running)

    def _on_task_done(self, done: futures.Future) -> None:
        exc = done.exception()
        # During a stop, a task may fail because it uses one that has already stopped.
        if exc is None or self._stopping:
            return
        logging.error("task failed, exiting the process: %r", exc, exc_info=exc)
        logging.flush()
        telemetry.flush_logs()
        os._exit(EXIT_TASK_FAILED)
