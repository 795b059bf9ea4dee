"""Worker threads that are started when they are needed, not at the start."""

from absl import logging
from waitress import task

FIRST_WORKERS = 4


class GrowingDispatcher(task.ThreadedTaskDispatcher):
    """Starts a further worker when a task finds all of them busy.

    An idle server holds few threads; each costs memory, and hundreds of
    processes of a hundred threads exhaust what a machine allows.
    """

    def __init__(self, most: int) -> None:
        """Creates the dispatcher with its first workers.

        Args:
            most: workers that it has at most.
        """
        super().__init__()
        self._most = most
        self._failed = False
        self.set_thread_count(min(FIRST_WORKERS, most))

    def add_task(self, task) -> None:
        """Queues a task, after starting a worker for it if none is idle."""
        with self.lock:
            count = len(self.threads)
            idle = count - self.stop_count - self.active_count
            grows = len(self.queue) >= idle and count < self._most
        if grows:
            self._grow(count + 1)
        super().add_task(task)

    def _grow(self, count: int) -> None:
        before = set(self.threads)
        try:
            self.set_thread_count(count)
        except RuntimeError as exc:
            with self.lock:
                # The library counts a thread before it starts.
                self.threads &= before
            # The task waits for a worker that there is.
            if not self._failed:
                logging.warning("no further worker thread: %s", exc)
            self._failed = True
