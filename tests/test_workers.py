"""Worker threads grow with the calls that run at the same time."""

import threading

from standins import launch
from tests import fixtures
from turmericward.httpd import _workers

check = fixtures.check
MOST = 12


class _Blocked:
    """A task that runs until it is let go."""

    def __init__(self, gate: threading.Event, done: threading.Semaphore) -> None:
        self._gate = gate
        self._done = done

    def service(self) -> None:
        self._gate.wait(10)
        self._done.release()

    def cancel(self) -> None:
        """Is called for tasks that wait at a shutdown."""


def _wait_for(done: threading.Semaphore, count: int) -> None:
    for _ in range(count):
        check.assertTrue(done.acquire(timeout=10))


def test_an_idle_server_holds_few_threads():
    dispatcher = _workers.GrowingDispatcher(MOST)
    check.assertEqual(len(dispatcher.threads), _workers.FIRST_WORKERS)
    dispatcher.shutdown()


def test_tasks_at_the_same_time_have_a_worker_each_up_to_the_bound():
    dispatcher = _workers.GrowingDispatcher(MOST)
    gate, done = threading.Event(), threading.Semaphore(0)
    for _ in range(3 * MOST):
        dispatcher.add_task(_Blocked(gate, done))
    check.assertEqual(len(dispatcher.threads), MOST)
    launch.wait_until(
        lambda: len(dispatcher.queue) == 2 * MOST, what="every worker busy"
    )
    gate.set()
    _wait_for(done, 3 * MOST)
    dispatcher.shutdown()


def test_tasks_one_after_the_other_need_no_further_worker():
    dispatcher = _workers.GrowingDispatcher(MOST)
    # A worker counts as busy until its thread has begun to wait.
    launch.wait_until(lambda: not dispatcher.active_count, what="workers idle")
    gate, done = threading.Event(), threading.Semaphore(0)
    gate.set()
    for _ in range(50):
        dispatcher.add_task(_Blocked(gate, done))
        _wait_for(done, 1)
        launch.wait_until(lambda: not dispatcher.active_count, what="workers idle")
    check.assertEqual(len(dispatcher.threads), _workers.FIRST_WORKERS)
    dispatcher.shutdown()


def test_a_task_waits_when_no_thread_can_be_started():
    dispatcher = _workers.GrowingDispatcher(MOST)
    launch.wait_until(lambda: not dispatcher.active_count, what="workers idle")
    gate, done = threading.Event(), threading.Semaphore(0)

    def refuse(*_):
        raise RuntimeError("can't start new thread")

    dispatcher.start_new_thread = refuse
    for _ in range(2 * MOST):
        dispatcher.add_task(_Blocked(gate, done))
    check.assertEqual(len(dispatcher.threads), _workers.FIRST_WORKERS)
    gate.set()
    _wait_for(done, 2 * MOST)
