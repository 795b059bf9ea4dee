"""The configuration of stewards and entries while their log returns."""

import random
from concurrent import futures
from unittest import mock

import attrs

from tests import fixtures, test_router_task
from turmericward import configuration, settings
from turmericward.adapters import log
from turmericward.entry import _follow_loop, _mirror
from turmericward.steward import _configuration_task, _messages
from turmericward.wire import constants, ttypes

check = fixtures.check
SEEDS = 150
STEP_S = 0.1
STEPS = 400
# Steps without faults at the end.
CALM_STEPS = 120
MAX_COPY_AGE_S = 4.0
NAMES = "abc"


class _Sink:
    """Collects what the task sends to others."""

    def __init__(self) -> None:
        self.messages = []

    def post(self, message) -> None:
        self.messages.append(message)

    def watch(self, engines) -> None:
        """Ignores the engines."""


@attrs.define
class _Steward:
    """A steward's task, what it appends, and an entry that follows it."""

    task: _configuration_task.ConfigurationTask
    appended: _Sink
    mirror: _mirror.Mirror = attrs.field(factory=_mirror.Mirror)
    poll: futures.Future | None = None
    era: int = 0
    next_offset: int = 0
    cut_until: float = 0.0
    shown: dict[str, int] = attrs.field(factory=dict)


def _steward(name: str) -> _Steward:
    document = test_router_task.DOCUMENT
    instance = document["instance"] | {"name": name}
    cfg = settings.loads(fixtures.json.dumps(document | {"instance": instance}))
    appender = _Sink()
    task = _configuration_task.ConfigurationTask(cfg, appender, _Sink(), _Sink())
    return _Steward(task, appender)


@attrs.define
class _World:
    """Stewards, entries and operators on one log, in virtual time."""

    rng: random.Random
    stewards: list[_Steward]
    now: float = 0.0
    era: int = 1
    stream: list = attrs.field(factory=list)
    lengths: list[int] = attrs.field(factory=list)
    in_transit: list = attrs.field(factory=list)
    proposals: list = attrs.field(factory=list)
    acknowledged: dict[str, int] = attrs.field(factory=dict)
    versions: dict = attrs.field(factory=dict)
    reverted: list = attrs.field(factory=list)

    def monotonic(self) -> float:
        """Stands in for the clock of the tasks."""
        return self.now

    def step(self, number: int, *, calm: bool) -> None:
        self.now = number * STEP_S
        self.lengths.append(len(self.stream))
        if not calm:
            self._disturb()
        self.stream += [raw for at, raw in self.in_transit if at <= self.now]
        self.in_transit = [(at, raw) for at, raw in self.in_transit if at > self.now]
        for steward in self.stewards:
            self._follow(steward)
            steward.task.run_periodic()
            self._append(steward, calm=calm)
            self._poll(steward)
        if self.rng.random() < 0.15:
            self._propose(number)
        self._acknowledge()

    def _disturb(self) -> None:
        if self.rng.random() < 0.02:
            age = self.rng.randint(1, int(MAX_COPY_AGE_S / STEP_S))
            del self.stream[min(self.lengths[-age:]) :]
            self.era += 1
        if self.rng.random() < 0.03:
            cut = self.rng.choice(self.stewards)
            cut.cut_until = self.now + self.rng.uniform(0, 5)

    def _follow(self, steward: _Steward) -> None:
        if steward.cut_until > self.now:
            steward.task.handle(_messages.LogReadFailed(stream="config"))
        elif steward.era != self.era:
            steward.era, steward.next_offset = self.era, 0
            steward.task.handle(
                _messages.LogEra(stream="config", era=self.era, since=self.now)
            )
        else:
            start, end = steward.next_offset, len(self.stream)
            steward.next_offset = end
            records = [
                log.Record(offset=offset, value=self.stream[offset])
                for offset in range(start, end)
            ]
            message = _messages.LogRead(
                stream="config",
                records=records,
                next_offset=end,
                first=0,
                read_at=self.now,
            )
            steward.task.handle(message)

    def _append(self, steward: _Steward, *, calm: bool) -> None:
        for message in steward.appended.messages:
            if message.era != steward.era:
                continue
            for _ in range(1 if calm else self.rng.choice((0, 1, 1, 1, 2))):
                delay_s = self.rng.choice((0.0, 0.1, 0.3, 1.5))
                self.in_transit.append((self.now + delay_s, message.value))
        steward.appended.messages.clear()

    def _poll(self, steward: _Steward) -> None:
        if steward.poll is None or steward.poll.done():
            message = _messages.Follow(
                entry="a0-0",
                applied=steward.mirror.applied,
                fleet_version=0,
                drained=[],
                deadline=self.now + 1.0,
            )
            steward.poll = _resolved(steward.task.handle(message))
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
        answer = self.rng.choice(self.stewards).task.handle(message)
        self.proposals.append((name, number, _resolved(answer)))

    def _acknowledge(self) -> None:
        ended = [row for row in self.proposals if row[2].done()]
        self.proposals = [row for row in self.proposals if not row[2].done()]
        for name, number, fut in ended:
            answer = fut.result()
            if answer.outcome != ttypes.Outcome.ACCEPTED:
                continue
            self.acknowledged[name] = max(number, self.acknowledged.get(name, 0))
            self.versions.setdefault((name, answer.version), set()).add(number)


def _resolved(answer) -> futures.Future:
    if isinstance(answer, futures.Future):
        return answer
    fut: futures.Future = futures.Future()
    fut.set_result(answer)
    return fut


def _play(seed: int) -> _World:
    world = _World(random.Random(seed), [_steward(name) for name in ("a0", "a1", "a2")])
    with mock.patch.object(_configuration_task, "time", world):
        for number in range(STEPS):
            world.step(number, calm=number >= STEPS - CALM_STEPS)
    return world


def _final(world: _World) -> dict[str, int]:
    ledger = configuration.Ledger()
    for offset, raw in enumerate(world.stream):
        ledger.apply(offset, raw)
    return {res.name: int(res.value["version"]) for res in ledger.live()}


def test_configuration_never_goes_back_while_its_log_returns_from_older_copies():
    returns, acknowledged = 0, 0
    for seed in range(SEEDS):
        world = _play(seed)
        returns += world.era - 1
        acknowledged += len(world.versions)
        final = _final(world)
        check.assertEqual(world.reverted, [], seed)
        for name, number in world.acknowledged.items():
            check.assertGreaterEqual(final[name], number, (seed, name))
        for version, numbers in world.versions.items():
            check.assertEqual(len(numbers), 1, (seed, version))
        for steward in world.stewards:
            check.assertEqual(steward.shown, final, seed)
    check.assertGreater(returns, 3 * SEEDS)
    check.assertGreater(acknowledged, 10 * SEEDS)
