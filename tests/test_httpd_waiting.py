"""Requests that wait for a worker while all are busy."""

import time

from tests import fixtures, httpd_fixtures
from turmericward.httpd import _waiting

check = fixtures.check


def test_requests_waited_in_silence_while_all_workers_were_busy():
    with httpd_fixtures.running(threads=2, queue_s=0.3) as running:
        waiting = [running.connect() for _ in range(6)]
        for number, conn in enumerate(waiting):
            conn.sendall(httpd_fixtures.head("/wait"))
            if number < 2:
                check.assertTrue(running.app.started.acquire(timeout=5))
        began = time.monotonic()
        answers = [httpd_fixtures.read(conn) for conn in waiting[2:]]
        took_s = time.monotonic() - began
        check.assertEqual([status for status, _, _ in answers], [503] * 4)
        check.assertEqual([a["Retry-After"] for _, a, _ in answers], ["0.50"] * 4)
        check.assertLess(took_s, 2.0)
        running.app.gate.set()
        for conn in waiting[:2]:
            check.assertEqual(httpd_fixtures.read(conn)[0], 200)
        # The connections stay open; nothing that was refused has run.
        check.assertEqual(httpd_fixtures.call(waiting[2], "/again")[0], 200)
        check.assertEqual(running.app.paths.count("/wait"), 2)


def test_requests_that_waited_while_the_process_was_paused_are_not_refused():
    monitor = _waiting.WaitMonitor(2.0)
    check.assertEqual(monitor.find_expired([("a", 0.0)], 1.0), [])
    check.assertEqual(monitor.find_expired([("a", 0.0), ("b", 2.0)], 9.0), [])
    check.assertEqual(monitor.find_expired([("b", 2.0), ("c", 8.9)], 9.3), ["b"])


# A worker would have refused them after the time for which they may wait.
def test_requests_that_waited_for_a_worker_were_closed_unanswered_by_a_stop():
    with httpd_fixtures.running(4.0, threads=2, queue_s=2.0) as running:
        occupying = [running.connect() for _ in range(2)]
        for conn in occupying:
            conn.sendall(httpd_fixtures.head("/wait"))
            check.assertTrue(running.app.started.acquire(timeout=5))
        waiting = running.connect()
        running.begin()
        time.sleep(2.0)
        waiting.sendall(httpd_fixtures.head("/late"))
        status, headers, _ = httpd_fixtures.read(waiting)
        check.assertEqual((status, headers["Connection"]), (503, "close"))
        check.assertNotIn("/late", running.app.paths)
