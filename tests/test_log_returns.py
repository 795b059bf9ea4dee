"""The product's own log returns from an older copy, with offsets given out again."""

import json
import time

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


def _description(entry: str) -> str:
    body = launch.request(entry, "GET", MODEL, None, fixtures.OPERATOR, 20)[2]
    return json.loads(body)["value"].get("description", "")


def test_changes_that_the_log_lost_stay_in_force_and_are_written_again():
    last = f"lost {LOST_CHANGES - 1}"
    with fixtures.cluster() as cluster:
        entries = [node.entries[0] for node in cluster.nodes.values()]
        _return_from_older_copy(cluster, entries[0])
        end = time.monotonic() + 5
        while time.monotonic() < end:
            check.assertEqual(_description(entries[0]), last)
            time.sleep(0.05)
        # A steward that starts now has them from the log only.
        cluster.kill("steward-b0")
        cluster.kill("entry-b0-0")
        cluster.start("steward-b0")
        cluster.start("entry-b0-0")
        cluster.wait_ready(entries[1])
        check.assertEqual(_description(entries[1]), last)


def _keyed_call(entry: str) -> tuple[int, bool]:
    sent = fixtures.HEADERS | {"Idempotency-Key": "k"}
    path = "/services/alarm/dispatch"
    status, headers, _ = launch.request(entry, "POST", path, "once", sent, 20)
    return status, headers.get("Idempotency-Replayed") == "true"


def test_a_call_whose_claim_the_log_lost_is_not_run_again():
    with fixtures.cluster() as cluster:
        entries = [node.entries[0] for node in cluster.nodes.values()]
        cluster.faults("log", copy_now=True)
        launch.wait_until(
            lambda: _keyed_call(entries[0])[0] == 200, what="claims granted"
        )
        cluster.faults("log", return_from_copy=True)
        check.assertEqual(fixtures.ran(cluster), ['"once"'])
        for entry in entries:
            launch.wait_until(
                lambda e=entry: _keyed_call(e) == (200, True), 10, "the first answer"
            )
        check.assertEqual(fixtures.ran(cluster), ['"once"'])
