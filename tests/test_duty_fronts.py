"""Usage reports of fronts as processes, before a stand-in of the platform's API."""

import json
import time

from standins import launch
from tests import duty_fixtures, fixtures

check = fixtures.check
# Windows are reported 1.5 s after their end, and the lease is free at first.
REPORT_TIMEOUT_S = 15.0


def _reported(deployment) -> dict[str, int]:
    """Returns the calls of each workspace over all reported windows."""
    total: dict[str, int] = {}
    for bodies in deployment.api.reports().values():
        for name, count in json.loads(bodies[0])["counts"].items():
            total[name] = total.get(name, 0) + count
    return total


def test_calls_of_all_domains_are_reported_once_by_one_front():
    # Guards against counts that are lost between domains, and calls counted twice.
    with duty_fixtures.deployment(("a", "b")) as deployment:
        deployment.holder()
        for number in range(12):
            front = deployment.fronts[number % 2]
            workspace = "w1" if number % 3 else "w2"
            check.assertEqual(front.call("/read/x", f"c{number}", workspace), 200)
        launch.wait_until(
            lambda: _reported(deployment) == {"w1": 8, "w2": 4},
            REPORT_TIMEOUT_S,
            "all calls reported",
        )
        windows = sorted(deployment.api.reports())
        check.assertEqual(windows, list(range(windows[0], windows[-1] + 1)))
        check.assertEqual(deployment.api.violations(), [])


def test_without_duties_there_are_no_calls_and_no_lease():
    # Guards against a front that meters or polls the lease unasked.
    with duty_fixtures.deployment(duties=False) as deployment:
        front = deployment.fronts[0]
        check.assertEqual(front.call("/read/x", "c1", "w1"), 200)
        time.sleep(3)
        check.assertEqual(deployment.api.calls, [])
        check.assertEqual(deployment.store.end("keyed.leases"), 0)
        check.assertNotIn('"message": "duty"', front.log.read_text())
