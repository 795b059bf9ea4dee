"""The configuration of stewards and entries while their log returns."""

import contextlib
import random
from collections.abc import Iterator
from concurrent import futures
from unittest import mock

import attrs

from tests import fixtures, returning_log
from turmericward import configuration, positions
from turmericward.entry import _follow_loop, _mirror
from turmericward.steward import _configuration_task, _messages
from turmericward.wire import constants, ttypes

check = fixtures.check
SEEDS = 150
# Seeds that once showed a change which had been appended late.
SEEDS_WITH_LATE_CHANGES = (
    *(292, 336, 368, 551, 697, 916, 952, 1227),
    *(1569, 1787, 1799, 1833, 1850, 1875),
)
NAMES = "abc"


@attrs.define
class _Steward(returning_log.Reader):
    """A steward's task, and an entry that follows it."""

    mirror: _mirror.Mirror = attrs.field(factory=_mirror.Mirror)
    poll: futures.Future | None = None
    shown: dict[str, int] = attrs.field(factory=dict)


def _steward(name: str) -> _Steward:
    sinks = [returning_log.Sink() for _ in range(3)]
    cfg = returning_log.instance_settings(name)
    return _Steward(_configuration_task.ConfigurationTask(cfg, *sinks), sinks[0])


@attrs.define
class _World(returning_log.ReturningLog):
    """Stewards, entries and operators."""

    proposals: list = attrs.field(factory=list)
    acknowledged: dict[str, int] = attrs.field(factory=dict)
    versions: dict = attrs.field(factory=dict)
    reverted: list = attrs.field(factory=list)

    def step(self, number: int) -> None:
        super().step(number)
        for steward in self.readers:
            self._poll(steward)
        if self.rng.random() < 0.15:
            self._propose(number)
        self._acknowledge()

    def _poll(self, steward: _Steward) -> None:
        if steward.poll is None or steward.poll.done():
            message = _messages.Follow(
                entry="a0-0",
                applied=steward.mirror.applied,
                fleet_version=0,
                drained=[],
                deadline=self.now + 1.0,
            )
            steward.poll = returning_log.resolved(steward.task.handle(message))
        if not steward.poll.done():
            return
        answer = steward.poll.result()
        if not answer.ready:
            return
        resources = [_follow_loop._resource(res) for res in answer.resources]
        steward.mirror.update(answer.applied, resources, is_snapshot=answer.whole)
        shown = {
            r.name: int(r.value["version"]) for r in steward.mirror.all_resources()
        }
        for name, number in steward.shown.items():
            if shown.get(name, 0) < number:
                self.reverted.append((self.now, name, number, shown.get(name, 0)))
        steward.shown = shown

    def _propose(self, number: int) -> None:
        name = self.rng.choice(NAMES)
        message = _messages.Propose(
            kind="model",
            name=name,
            expected=constants.ANY_VERSION,
            value={"version": str(number)},
            producer="operator",
        )
        answer = self.rng.choice(self.readers).task.handle(message)
        self.proposals.append((name, number, returning_log.resolved(answer)))

    def _acknowledge(self) -> None:
        ended = [row for row in self.proposals if row[2].done()]
        self.proposals = [row for row in self.proposals if not row[2].done()]
        for name, number, fut in ended:
            answer = fut.result()
            if answer.outcome != ttypes.Outcome.ACCEPTED:
                continue
            self.acknowledged[name] = max(number, self.acknowledged.get(name, 0))
            self.versions.setdefault((name, answer.version), set()).add(number)


def _play(seed: int) -> _World:
    world = _World(random.Random(seed), [_steward(name) for name in ("a0", "a1", "a2")])
    with mock.patch.object(_configuration_task, "time", world):
        for number in range(returning_log.STEPS):
            world.step(number)
    return world


def _final(world: _World) -> dict[str, int]:
    ledger = configuration.Ledger()
    for offset, raw in enumerate(world.stream):
        ledger.apply(offset, raw)
    return {res.name: int(res.value["version"]) for res in ledger.live()}


def _check_play(seed: int) -> _World:
    """Checks that nothing shown goes back and nothing acknowledged is lost."""
    world = _play(seed)
    final = _final(world)
    check.assertEqual(world.reverted, [], seed)
    for name, number in world.acknowledged.items():
        check.assertGreaterEqual(final[name], number, (seed, name))
    for version, numbers in world.versions.items():
        check.assertEqual(len(numbers), 1, (seed, version))
    for steward in world.readers:
        check.assertEqual(steward.shown, final, seed)
    return world


def test_configuration_never_goes_back_while_its_log_returns_from_older_copies():
    returns, acknowledged = 0, 0
    for seed in range(SEEDS):
        world = _check_play(seed)
        returns += world.era - 1
        acknowledged += len(world.versions)
    check.assertGreater(returns, 3 * SEEDS)
    check.assertGreater(acknowledged, 10 * SEEDS)


def test_a_steward_that_was_cut_off_showed_a_change_that_was_never_acknowledged():
    for seed in SEEDS_WITH_LATE_CHANGES:
        _check_play(seed)


@attrs.define
class _ScriptedWorld(_World):
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
    world = _ScriptedWorld(random.Random(1), [_steward(name) for name in names])
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
        started = _steward("a2")
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
