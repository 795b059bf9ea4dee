"""Changes that are appended late, in the place of what the stewards' log has lost."""

import contextlib
import random
from collections.abc import Iterator
from unittest import mock

import attrs

from tests import fixtures, returning_log, test_configuration_returns
from turmericward import configuration, positions
from turmericward.steward import _configuration_task, _messages

check = fixtures.check


@attrs.define
class _ScriptedWorld(test_configuration_returns._World):
    """Appends arrive at once, but what lost changes are written with is lost at first.

    Its steps are calm, and operators propose nothing.
    """

    lost_until: float = 0.0

    def _propose(self, number: int) -> None:
        """Proposes nothing."""

    def _append(self, reader: returning_log.Reader, *, calm: bool) -> None:
        for message in reader.appended.messages:
            if message.value.get("origin") and self.now < self.lost_until:
                continue
            self.in_transit.append((self.now, message.value))
        reader.appended.messages.clear()

    def run(self, steps: int) -> None:
        start = round(self.now / returning_log.STEP_S) + 1
        for number in range(start, start + steps):
            self.step(number)


def _change(number: int, expected: int) -> dict:
    change = configuration.ChangeInEra(
        id=f"change-{number}",
        producer="operator",
        kind="model",
        name="b",
        expected=expected,
        value={"version": str(number)},
        era=1,
    )
    return configuration.encode(change)


@contextlib.contextmanager
def _scripted(*names: str) -> Iterator[_ScriptedWorld]:
    """Yields stewards that all have version 1 of a resource, in era 1."""
    world = _ScriptedWorld(
        random.Random(1), [test_configuration_returns._steward(name) for name in names]
    )
    world.now = (returning_log.STEPS - returning_log.CALM_STEPS) * returning_log.STEP_S
    world.stream = [configuration.encode(configuration.Era(era=1)), _change(1, 0)]
    with mock.patch.object(_configuration_task, "time", world):
        world.run(5)
        check.assertEqual([s.shown for s in world.readers], [{"b": 1}] * len(names))
        yield world


def _return_with_a_late_change(world: _ScriptedWorld) -> None:
    """Returns the log without version 2, and with a change that had lost against it."""
    cut, *others = world.readers
    first = cut.task._ledger.get("model", "b").version
    end = len(world.stream)
    cut.cut_until = world.now + 1.0
    world.stream.append(_change(2, first))
    world.run(2)
    check.assertEqual([s.shown for s in others], [{"b": 2}] * len(others))
    world.stream[end:] = [_change(3, first)]
    world.era = 2


def test_a_steward_that_was_cut_off_shows_no_change_that_may_have_been_appended_late():
    with _scripted("a0", "a1", "a2") as world:
        _return_with_a_late_change(world)
        world.lost_until = world.now + 2.0
        world.run(60)
    check.assertEqual(world.reverted, [])
    check.assertEqual([s.shown for s in world.readers], [{"b": 2}] * 3)


def test_a_change_that_nobody_confirms_is_shown_after_a_time():
    with _scripted("a0") as world:
        reader = world.readers[0]
        first = reader.task._ledger.get("model", "b").version
        reader.cut_until = world.now + 1.0
        world.run(2)
        world.era = 2
        world.stream.append(_change(2, first))
        world.run(40)
        check.assertEqual(reader.shown, {"b": 1})
        world.run(60)
        check.assertEqual(reader.shown, {"b": 2})
        check.assertEqual(reader.task._ledger.confirmed, first + 1)


def test_a_steward_that_starts_after_a_return_shows_confirmed_changes_at_once():
    with _scripted("a0", "a1") as world:
        world.era = 2
        world.run(40)
        started = test_configuration_returns._steward("a2")
        world.readers.append(started)
        world.run(3)
    check.assertEqual(started.shown, {"b": 1})


def _ledger(*changes: dict, era: int | None = None) -> configuration.Ledger:
    """Returns the state after changes in era 1, and the record of a later era."""
    ledger = configuration.Ledger()
    records = [configuration.encode(configuration.Era(era=1)), *changes]
    if era is not None:
        records.append(configuration.encode(configuration.Era(era=era)))
    for offset, raw in enumerate(records):
        ledger.apply(offset, raw)
    return ledger


def _version(offset: int) -> int:
    return positions.Position(1, offset).number


def _lost(in_force: configuration.Ledger, current: configuration.Ledger) -> list:
    rows = configuration.lost_changes(in_force, current)
    return [(res.value, res.origin) for res in rows]


def test_a_change_in_the_place_of_a_lost_one_is_replaced_by_what_was_in_force():
    other = _change(9, 0) | {"name": "a"}
    in_force = _ledger(_change(1, 0), other)
    current = _ledger(_change(1, 0), _change(3, _version(2)), era=2)
    expected = [({"version": "1"}, _version(2)), ({"version": "9"}, _version(3))]
    check.assertEqual(_lost(in_force, current), expected)


def test_a_resource_created_in_the_place_of_a_lost_change_is_deleted():
    in_force = _ledger(_change(1, 0), _change(2, _version(2)))
    late = _change(3, 0) | {"name": "a"}
    current = _ledger(_change(1, 0), late, era=2)
    expected = [({"version": "2"}, _version(3)), (None, _version(3))]
    check.assertEqual(_lost(in_force, current), expected)


def test_a_change_appended_again_in_an_earlier_place_gets_its_first_version():
    other = _change(9, 0) | {"name": "a"}
    in_force = _ledger(other, _change(2, 0))
    current = _ledger(_change(2, 0), other, era=2)
    check.assertEqual(_lost(in_force, current), [({"version": "2"}, _version(3))])


def test_a_confirmed_change_is_kept_by_those_who_did_not_know_it():
    other = _change(9, 0) | {"name": "a"}
    in_force = _ledger(_change(1, 0), other)
    current = _ledger(_change(1, 0), _change(3, _version(2)), era=2)
    record = configuration.Confirmation(era=2, known=_version(3))
    current.apply(4, configuration.encode(record))
    check.assertEqual(_lost(in_force, current), [({"version": "9"}, _version(3))])


def test_a_steward_whose_next_records_have_expired_rereads_the_log_in_a_later_era():
    with _scripted("a0") as world:
        task = world.readers[0].task
        after = task._ledger.applied
        end = positions.from_number(after).offset
        task.handle(_messages.LogExpired(stream="s", first=end))
        check.assertEqual(task._ledger.applied, after)
        task.handle(_messages.LogExpired(stream="s", first=end + 1))
        status = task.handle(_messages.GetState())
    check.assertFalse(status.ready)


def _move_from_one_that_knew_more(world: _ScriptedWorld, cut_s: float):
    """Cuts off the one steward that read a lost change; returns its entry's next."""
    less, more = world.readers
    first = less.task._ledger.get("model", "b").version
    end = len(world.stream)
    less.cut_until = world.now + 0.6
    world.stream.append(_change(2, first))
    world.run(3)
    check.assertEqual(more.shown, {"b": 2})
    del world.stream[end:]
    world.era = 2
    more.cut_until = world.now + cut_s
    world.run(10)
    # The entry of the one that is cut off follows the other from now on.
    less.mirror, less.shown, less.poll = more.mirror, more.shown, None
    return less


def test_an_entry_that_moves_to_a_steward_that_knew_less_went_back():
    with _scripted("a0", "a1") as world:
        reader = _move_from_one_that_knew_more(world, 8.0)
        world.run(100)
    check.assertEqual(reader.shown, {"b": 2})
    check.assertEqual(world.reverted, [])


def test_an_entry_follows_after_a_time_if_nobody_comes_who_knew_as_much():
    with _scripted("a0", "a1") as world:
        reader = _move_from_one_that_knew_more(world, 1000.0)
        world.run(80)
        check.assertEqual(reader.shown, {"b": 2})
        world.run(40)
        check.assertEqual(reader.shown, {"b": 1})


def test_an_entry_that_knew_more_gets_the_fleet_meanwhile():
    with _scripted("a0", "a1") as world:
        reader = _move_from_one_that_knew_more(world, 1000.0)
        world.run(20)
        check.assertEqual((reader.task._ledger.era, reader.shown), (2, {"b": 2}))
        message = _messages.Follow(
            entry="a0-0",
            applied=reader.mirror.applied,
            fleet_version=-1,
            drained=[],
            deadline=world.now + 1.0,
        )
        answer = returning_log.resolved(reader.task.handle(message)).result(0)
    check.assertEqual((answer.ready, answer.whole, answer.resources), (True, False, []))
    check.assertEqual(answer.applied, reader.mirror.applied)
