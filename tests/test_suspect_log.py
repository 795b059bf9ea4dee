"""What an on-call engineer reads of calls under which targets crash."""

from unittest import mock

import attrs

from tests import crashing_services, fixtures, test_dispatch
from turmericward import dispatching, requests, telemetry
from turmericward.dispatching import _evidence

check = fixtures.check
OPEN_CALLS = 64


def _guard() -> dispatching.CrashGuard:
    return dispatching.CrashGuard(
        lambda target: requests.Incarnation(1, target.started_ms)
    )


def _place_all(guard: dispatching.CrashGuard, numbers, started_ms: int) -> list:
    """Places calls with these fingerprints at an incarnation; returns their ends."""
    target = attrs.evolve(
        crashing_services.replicas(1)[0].target, started_ms=started_ms
    )
    ends = []
    for number in numbers:
        message = dispatching.Place(
            call=attrs.evolve(test_dispatch._call(8.0), prompt=None),
            service="s",
            excluded=frozenset(),
            fingerprint=number,
        )
        check.assertIsNone(guard.refusal(message))
        placement = requests.Placement(id=number, target=target)
        guard.placed(message, number)
        ends.append(
            dispatching.PlacementEnded(
                placement=placement, prompt=None, ending=requests.Ending.CRASHED
            )
        )
    return ends


def _lines(log_event) -> list[dict]:
    return [c.kwargs for c in log_event.call_args_list if c.args == ("suspect",)]


def test_one_crash_of_a_busy_target_logged_a_line_for_each_open_call():
    guard = _guard()
    for started_ms, first in ((1, 0), (2, OPEN_CALLS - 1)):
        ends = _place_all(guard, range(first, first + OPEN_CALLS), started_ms)
        with mock.patch.object(telemetry, "log_event") as log_event:
            for message in ends:
                guard.placement_ended(message)
            guard.expire(0.0)
        (line,) = _lines(log_event)
        check.assertEqual(line["count"], OPEN_CALLS)
        check.assertEqual((line["kind"], line["state"]), ("request", "suspect"))
        check.assertEqual(len(line["keys"]), 10)
    # The one that was there at both is named, and first.
    expected = {"key": f"{OPEN_CALLS - 1:016x}", "id": "chat", "crashes": 2}
    check.assertEqual(line["keys"][0] | {"id": "chat"}, expected)
    check.assertNotEqual(line["keys"][0]["id"], "")
    check.assertEqual(line["crashes"], 2)


def test_the_line_on_suspects_comes_before_the_bar():
    guard = _guard()
    with mock.patch.object(telemetry, "log_event") as log_event:
        for started_ms in (1, 2, 3):
            for message in _place_all(guard, [7], started_ms):
                guard.placement_ended(message)
        guard.expire(0.0)
    lines = _lines(log_event)
    check.assertEqual([x["state"] for x in lines], ["suspect", "barred"])
    check.assertEqual(lines[1]["crashes"], 3)
    check.assertGreater(lines[1]["barred_s"], 59.0)


def test_while_nothing_is_suspect_no_keys_are_built_before_the_end_of_a_call():
    guard = _guard()
    with mock.patch.object(_evidence, "keys_of") as keys_of:
        ends = _place_all(guard, [7], 1)
        check.assertEqual(keys_of.call_count, 0)
        keys_of.return_value = {requests.EvidenceKind.REQUEST: {7: "read"}}
        guard.placement_ended(ends[0])
        check.assertEqual(keys_of.call_count, 1)
