"""Ids of events: each form, in first and resumed runs, against what may follow."""

import attrs

from tests import fixtures
from turmericward import eventstream
from turmericward.eventstream import _events, _sequence

check = fixtures.check


@attrs.frozen
class _Run:
    """What a run gave the client, its fault if any, and whether another may follow."""

    given: str
    fault: str = ""
    resumable: bool = True


def _event(name: str) -> _events.Event:
    """Returns an event with this id; `-` has none, `#` is a comment.

    A prime after the id makes other data.
    """
    if name == "#":
        return _events.Event(id="", raw=b": still here\n\n")
    data = b"data: y\n\n" if name.endswith("'") else b"data: x\n\n"
    event_id = name.strip("-'")
    id_line = b"id: %b\n" % event_id.encode() if event_id else b""
    return _events.Event(id=event_id, raw=id_line + data)


def _play(
    sequence: _sequence.EventSequence, names: str, *, consecutive: bool = False
) -> _Run:
    sequence.begin_run(consecutive=consecutive)
    given, fault = [], ""
    try:
        for name in names.split():
            if sequence.accept(_event(name)):
                given.append(name)
        sequence.end_run()
    except eventstream.EventOrderError as exc:
        fault = str(exc)
    return _Run(" ".join(given), fault, sequence.resumable)


LONG = "10000000000000000000%d"

# The last id that the client has, the ids of a run, and what becomes of them.
RUNS = {
    "next": ("", "1 2 3", _Run("1 2 3")),
    "next, from 0": ("", "0 1 2", _Run("0 1 2")),
    "gap": ("", "1 2 5 6", _Run("1 2 5 6")),
    "a higher id that was spoiled": (
        "", "1 2 95 4", _Run("1 2 95", "id 4 after 95", False),
    ),
    "a first id that was spoiled": ("", "9 2", _Run("9", "id 2 after 9", False)),
    "a lower id that was spoiled": ("", "1 2 3 0 5", _Run("1 2 3", "id 0 after 3")),
    "lower where gaps are usual": ("", "1 4 9 5", _Run("1 4 9", "id 5 after 9", False)),
    "repeat": ("", "1 2 2 3", _Run("1 2", "id 2 after 2")),
    "leading zeros": ("", "01 02 03", _Run("01 02 03")),
    "lower with leading zero": ("", "14 15 06", _Run("14 15", "id 6 after 15")),
    "long numbers": ("", f"{LONG % 1} {LONG % 2}", _Run(f"{LONG % 1} {LONG % 2}")),
    "no id among numbers": ("", "1 - 3", _Run("1 - 3", "", False)),
    "another form among numbers": ("", "1 x2 3", _Run("1 x2 3", "", False)),
    "ids without numbers": ("", "a b a", _Run("a b a", "", False)),
    "no ids": ("", "- - -", _Run("- - -", "", False)),
    "comments": ("", "# 1 # 2 #", _Run("# 1 # 2 #")),
    "resumed, next": ("2", "3 4", _Run("3 4")),
    "resumed, gap": ("2", "5 6", _Run("5 6")),
    "resumed, begun anew": ("2", "1 2 3 4", _Run("3 4")),
    "resumed, repeat of the last": ("2", "2 3", _Run("3")),
    "resumed, lower after the next": ("2", "3 1 4", _Run("3", "id 1 after 3")),
    "resumed, repeat after the next": ("2", "3 3 4", _Run("3", "id 3 after 3")),
    "resumed, lower among the old": ("5", "2 1 6", _Run("", "id 1 after 2")),
    "resumed, no id": (
        "2", "3 - 4", _Run("3", "event without number in a resumed stream"),
    ),
    "resumed, another form": (
        "2", "x3 4", _Run("", "event without number in a resumed stream"),
    ),
    "resumed, comments": ("2", "# 1 # 3", _Run("# # 3")),
    "resumed, long numbers": (LONG % 1, f"{LONG % 1} {LONG % 2}", _Run(LONG % 2)),
    "resumed, nothing": ("2", "", _Run("")),
    "resumed after another form": ("b", "c d", _Run("c d", "", False)),
}  # fmt: skip

CONSECUTIVE_RUNS = {
    "next": ("", "1 2 3", _Run("1 2 3")),
    "gap": ("", "1 2 4", _Run("1 2", "missing events before 4")),
    "repeat": ("", "1 2 2 3", _Run("1 2 3")),
    "repeat of an earlier one": ("", "1 2 3 2", _Run("1 2 3", "id 2 after 3")),
    "another event with the same id": (
        "",
        "1 2 2' 3",
        _Run("1 2", "id 2 after 2"),
    ),
    "lower": ("", "1 2 1", _Run("1 2", "id 1 after 2")),
    "no id": ("", "1 2 -", _Run("1 2 -", "", False)),
    "resumed, next": ("2", "3 4", _Run("3 4")),
    "resumed, gap": ("2", "4 5", _Run("", "missing events before 4")),
    "resumed, begun anew": ("2", "1 2 3", _Run("3")),
}


def test_a_spoiled_id_let_the_rest_of_a_stream_be_dropped_as_known():
    """Guards against events taken for repeats that their own run can't contain."""
    for runs, consecutive in ((RUNS, False), (CONSECUTIVE_RUNS, True)):
        for name, (last_id, ids, expected) in runs.items():
            sequence = _sequence.EventSequence(last_id)
            played = _play(sequence, ids, consecutive=consecutive)
            check.assertEqual(played, expected, (name, consecutive))


def test_a_stream_that_goes_on_after_a_spoiled_id_looked_complete():
    """Guards against a run that has nothing after an id that was never sent."""
    for ids, then, expected in (
        ("1 2 95", "", _Run("", "no event after 95", False)),
        ("1 2 95", "96", _Run("96")),
        ("1 2 3", "", _Run("")),
        ("10 20 30", "", _Run("")),
    ):
        sequence = _sequence.EventSequence()
        _play(sequence, ids)
        check.assertEqual(_play(sequence, then), expected, ids)
