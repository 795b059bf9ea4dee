"""The configuration of stewards and entries while their log returns."""

import random
from concurrent import futures
from unittest import mock

import attrs

from tests import fixtures, returning_log
from turmericward import configuration
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
