"""Failover of an entry to another steward, and its return."""

from standins import launch
from tests import fixtures

check = fixtures.check


def _entries_of(cluster, name: str) -> dict:
    status = fixtures.steward_status(cluster, name)
    return status.entries if status is not None else {}


def test_an_entry_returns_to_its_local_steward_after_a_restart():
    with fixtures.cluster() as cluster:
        cluster.kill("steward-a0")
        launch.wait_until(
            lambda: "a0-0" in _entries_of(cluster, "b0"), what="failover to b0"
        )
        cluster.start("steward-a0")
        launch.wait_until(
            lambda: "a0-0" in _entries_of(cluster, "a0"),
            what="return to a0",
            timeout_s=10,
        )
