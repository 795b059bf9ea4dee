"""Task dispatcher that starts worker threads on demand."""

from absl import logging
from waitress import task

INITIAL_WORKERS = 4


class GrowingDispatcher(task.ThreadedTaskDispatcher):
    """Starts another worker when a task is added and no worker is idle.

    This keeps the thread count of an idle server low: each thread uses memory, and
    hundreds of processes with a hundred threads each exceed the limits of a machine.
    """

    def __init__(self, max_workers: int) -> None:
        """Creates the dispatcher and starts the initial workers.

        Args:
            max_workers: maximum number of worker threads.
        """
        super().__init__()
        self._max_workers = max_workers
        self._start_failure_logged = False
        self.set_thread_count(min(INITIAL_WORKERS, max_workers))

    @property
    def busy_count(self) -> int:
        """Number of workers that aren't waiting for a task."""
        return self.active_count

    def add_task(self, task) -> None:
        """Queues a task; starts another worker first if none is idle."""
        with self.lock:
            count = len(self.threads)
            idle = count - self.stop_count - self.active_count
            must_grow = len(self.queue) >= idle and count < self._max_workers
        if must_grow:
            self._grow(count + 1)
        super().add_task(task)

    def waiting(self) -> list:
        """Returns the tasks that no worker has begun."""
        with self.lock:
            return list(self.queue)

    def withdraw(self, task) -> bool:
        """Takes a task back; returns whether no worker had begun it."""
        with self.lock:
            if task not in self.queue:
                return False
            self.queue.remove(task)
            return True

    def _grow(self, count: int) -> None:
        before = set(self.threads)
        try:
            self.set_thread_count(count)
        except RuntimeError as exc:
            with self.lock:
                # waitress adds a thread to the set before starting it.
                self.threads &= before
            # The task stays queued for one of the existing workers.
            if not self._start_failure_logged:
                logging.warning("cannot start another worker thread: %s", exc)
            self._start_failure_logged = True
