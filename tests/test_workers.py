"""Growth of the worker pool with the number of concurrent tasks."""

import threading

from standins import launch
from tests import fixtures
from turmericward.httpd import _workers

check = fixtures.check
MAX_WORKERS = 12


class _BlockedTask:
    """A task that blocks until `gate` is set."""

    def __init__(self, gate: threading.Event, done: threading.Semaphore) -> None:
        self._gate = gate
        self._done = done

    def service(self) -> None:
        self._gate.wait(10)
        self._done.release()

    def cancel(self) -> None:
        """Called by waitress for tasks that are queued at shutdown."""


def _wait_for(done: threading.Semaphore, count: int) -> None:
    for _ in range(count):
        check.assertTrue(done.acquire(timeout=10))


def test_idle_dispatcher_starts_with_few_workers():
    dispatcher = _workers.GrowingDispatcher(MAX_WORKERS)
    check.assertEqual(len(dispatcher.threads), _workers.INITIAL_WORKERS)
    dispatcher.shutdown()


def test_concurrent_tasks_get_a_worker_each_up_to_the_limit():
    dispatcher = _workers.GrowingDispatcher(MAX_WORKERS)
    gate, done = threading.Event(), threading.Semaphore(0)
    for _ in range(3 * MAX_WORKERS):
        dispatcher.add_task(_BlockedTask(gate, done))
    check.assertEqual(len(dispatcher.threads), MAX_WORKERS)
    launch.wait_until(
        lambda: len(dispatcher.queue) == 2 * MAX_WORKERS, what="every worker busy"
    )
    gate.set()
    _wait_for(done, 3 * MAX_WORKERS)
    dispatcher.shutdown()


def test_sequential_tasks_start_no_further_worker():
    dispatcher = _workers.GrowingDispatcher(MAX_WORKERS)
    # A new worker counts as busy until its thread waits for tasks.
    launch.wait_until(lambda: not dispatcher.active_count, what="workers idle")
    gate, done = threading.Event(), threading.Semaphore(0)
    gate.set()
    for _ in range(50):
        dispatcher.add_task(_BlockedTask(gate, done))
        _wait_for(done, 1)
        launch.wait_until(lambda: not dispatcher.active_count, what="workers idle")
    check.assertEqual(len(dispatcher.threads), _workers.INITIAL_WORKERS)
    dispatcher.shutdown()


def test_task_waits_when_no_thread_can_be_started():
    dispatcher = _workers.GrowingDispatcher(MAX_WORKERS)
    launch.wait_until(lambda: not dispatcher.active_count, what="workers idle")
    gate, done = threading.Event(), threading.Semaphore(0)

    def refuse(*_):
        raise RuntimeError("can't start new thread")

    dispatcher.start_new_thread = refuse
    for _ in range(2 * MAX_WORKERS):
        dispatcher.add_task(_BlockedTask(gate, done))
    check.assertEqual(len(dispatcher.threads), _workers.INITIAL_WORKERS)
    gate.set()
    _wait_for(done, 2 * MAX_WORKERS)
