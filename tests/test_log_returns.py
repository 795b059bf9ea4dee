"""The product's own log returns from an older copy, with offsets given out again."""

from standins import launch
from tests import fixtures

check = fixtures.check
MODEL = "/apis/v1/model/small"
LOST_CHANGES = 20


def _change(entry: str, text: str) -> int:
    value = {"description": text}
    return launch.request(entry, "PATCH", MODEL, value, fixtures.OPERATOR, 20)[0]


def _return_from_older_copy(cluster, entry: str) -> None:
    """Takes a copy of the log, makes changes and brings the log back without them."""
    cluster.faults("log", copy_now=True)
    for number in range(LOST_CHANGES):
        check.assertEqual(_change(entry, f"lost {number}"), 200)
    cluster.faults("log", return_from_copy=True)


def test_changes_are_accepted_after_the_log_returned_from_an_older_copy():
    with fixtures.cluster(domains=("a",)) as cluster:
        entry = cluster.nodes["a0"].entries[0]
        _return_from_older_copy(cluster, entry)
        launch.wait_until(
            lambda: _change(entry, "new") == 200, 5, "change after the return"
        )


def _token(cluster) -> int:
    state = fixtures.steward_status(cluster, "a0")
    return state.token if state is not None and state.holder else 0


def _restarted_holder_token(cluster) -> int:
    cluster.start("steward-a0")
    return launch.wait_until(lambda: _token(cluster), what="holder")


def test_no_token_is_given_twice_after_the_log_returned_from_an_older_copy():
    with launch.Cluster(domains=("a",)) as cluster:
        cluster.kill("steward-a0")
        cluster.faults("log", copy_now=True)
        lost = _restarted_holder_token(cluster)
        cluster.kill("steward-a0")
        cluster.faults("log", return_from_copy=True)
        check.assertGreater(_restarted_holder_token(cluster), lost)
