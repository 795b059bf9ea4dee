"""Planned stop of the HTTP server: real sockets, a small application."""

import time

from tests import fixtures, httpd_fixtures

check = fixtures.check
LAG_S = httpd_fixtures.LAG_S


def test_each_phase_of_a_stop_is_logged_with_what_is_open():
    with (
        check.assertLogs("absl", "INFO") as logs,
        httpd_fixtures.running() as server,
        server.connect_idle(),
        server.connect() as conn,
    ):
        conn.sendall(httpd_fixtures.head("/wait"))
        check.assertTrue(server.app.started.acquire(timeout=5))
        server.begin()
        time.sleep(LAG_S * 3)
        server.app.gate.set()
        check.assertEqual(httpd_fixtures.read(conn)[0], 200)
    records = {r.phase: r for r in logs.records if r.msg == "stop_phase"}
    check.assertEqual(records["leaving"].connections, 2)
    check.assertEqual(records["leaving"].idle, 1)
    check.assertEqual(records["leaving"].requests, 1)
    check.assertGreaterEqual(records["finishing"].elapsed_s, LAG_S)
    (ended,) = [r for r in logs.records if r.msg == "stop_ended"]
    check.assertEqual(ended.how, "complete")
