"""How an entry follows stewards: failover and return."""

from standins import launch
from tests import fixtures
from turmericward.adapters import steward

check = fixtures.check


def _entries_of(cluster, name: str) -> dict:
    node = cluster.nodes[name]
    with steward.connected(cluster.steward_address(node), 2.0) as client:
        return client.status().entries


def test_entry_returns_to_its_own_steward_after_a_restart():
    with fixtures.cluster() as cluster:
        cluster.kill("steward-a0")
        launch.wait_until(
            lambda: "a0-0" in _entries_of(cluster, "b0"), what="failover to b0"
        )
        cluster.start("steward-a0")
        launch.wait_until(
            lambda: _follows_own(cluster), what="return to a0", timeout_s=10
        )


def _follows_own(cluster) -> bool:
    try:
        return "a0-0" in _entries_of(cluster, "a0")
    except steward.errors.StewardUnavailableError:
        return False
