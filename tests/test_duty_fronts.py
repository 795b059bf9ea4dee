"""Usage reports of fronts as processes, before a stand-in of the platform's API."""

import json
import signal
import time

from standins import launch
from tests import duty_fixtures, fixtures

check = fixtures.check
# Windows are reported 1.5 s after their end, and the lease is free at first.
REPORT_TIMEOUT_S = 15.0
FAULTS = ("down", "silent", "reset", "slow", "throttled", "lost")


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
        check.assertEqual(_missed(deployment), [])
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


def _missed(deployment) -> list[int]:
    """Returns the windows between the first and the last report without one."""
    windows = deployment.api.reports().keys()
    return [w for w in range(min(windows), max(windows)) if w not in windows]


def test_a_killed_and_a_frozen_holder_are_replaced_and_no_window_is_missed():
    # Guards against processes whose order of append, send and check differs from the
    # table's, and against counts that die with their holder.
    # Each domain keeps a front: one that is silent is waited for, which takes time.
    with duty_fixtures.deployment(("a", "a", "b", "b")) as deployment:
        holder = deployment.holder()
        # The first reports are late, as nobody has the lease at first.
        launch.wait_until(
            lambda: len(deployment.api.reports()) > 10, REPORT_TIMEOUT_S, "reports"
        )
        for number in range(6):
            check.assertEqual(holder.call("/read/x", f"c{number}", "w1"), 200)
        # Long enough for the counts to reach the peers, within the window or after.
        time.sleep(0.6)
        holder.kill()
        second = deployment.holder()
        launch.wait_until(
            lambda: _reported(deployment) == {"w1": 6},
            REPORT_TIMEOUT_S,
            "the calls of the killed front reported",
        )
        time.sleep(3.0)
        second.process.send_signal(signal.SIGSTOP)
        others = [f for f in deployment.fronts if f not in (holder, second)]
        launch.wait_until(
            lambda: any(f.has_lease() for f in others), 25.0, "a third holder"
        )
        second.process.send_signal(signal.SIGCONT)
        reports = len(deployment.api.reports())
        launch.wait_until(
            lambda: len(deployment.api.reports()) > reports + 3,
            REPORT_TIMEOUT_S,
            "reports after the takeovers",
        )
        check.assertEqual(_missed(deployment), [])
        check.assertEqual(deployment.api.violations(), [])


def test_faults_of_the_platform_lead_to_the_same_body_again():
    # Guards against a body that is made again, and a lease that a silent API costs.
    with duty_fixtures.deployment() as deployment:
        (front,) = deployment.fronts
        deployment.holder()
        for number, fault in enumerate(FAULTS):
            deployment.api.fault = fault
            check.assertEqual(front.call("/read/x", f"c{number}", "w1"), 200)
            time.sleep(3.0)
            deployment.api.fault = ""
            time.sleep(2.0)
        launch.wait_until(
            lambda: _reported(deployment) == {"w1": len(FAULTS)},
            REPORT_TIMEOUT_S,
            "all calls reported",
        )
        check.assertEqual(_missed(deployment), [])
        check.assertEqual(deployment.api.violations(), [])
        check.assertEqual(len({call.token for call in deployment.api.calls}), 1)


def test_a_planned_stop_releases_the_lease():
    # Guards against windows that each release of the fronts costs.
    with duty_fixtures.deployment(("a", "b")) as deployment:
        holder = deployment.holder()
        # The first reports are late, as nobody has the lease at first.
        launch.wait_until(
            lambda: len(deployment.api.reports()) > 10, REPORT_TIMEOUT_S, "reports"
        )
        holder.process.send_signal(signal.SIGTERM)
        check.assertEqual(holder.process.wait(duty_fixtures.STOP_TIMEOUT_S), 0)
        (other,) = [f for f in deployment.fronts if f is not holder]
        launch.wait_until(other.has_lease, 25.0, "the other front has the lease")
        reports = len(deployment.api.reports())
        launch.wait_until(
            lambda: len(deployment.api.reports()) > reports + 3,
            REPORT_TIMEOUT_S,
            "reports after the takeover",
        )
        check.assertEqual(_missed(deployment), [])
        check.assertEqual(deployment.api.violations(), [])
        check.assertIn('"state": "released"', holder.log.read_text())
