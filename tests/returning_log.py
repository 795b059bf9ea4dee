"""The product's own log under virtual time, which returns from older copies."""

import random
from concurrent import futures

import attrs

from tests import fixtures, test_router_task
from turmericward import settings
from turmericward.adapters import log
from turmericward.steward import _messages

STEP_S = 0.1
STEPS = 400
# Steps without faults at the end.
CALM_STEPS = 120
MAX_COPY_AGE_S = 4.0
RETURN_CHANCE = 0.02
MAX_CUT_S = 5.0


class Sink:
    """Collects what a task sends to others."""

    def __init__(self) -> None:
        self.messages = []

    def post(self, message) -> None:
        self.messages.append(message)

    def watch(self, engines) -> None:
        """Ignores the engines."""


def instance_settings(name: str):
    document = test_router_task.DOCUMENT
    instance = document["instance"] | {"name": name}
    return settings.loads(fixtures.json.dumps(document | {"instance": instance}))


def resolved(answer) -> futures.Future:
    """Returns a task's answer as a future, whether it came at once or not."""
    if isinstance(answer, futures.Future):
        return answer
    fut: futures.Future = futures.Future()
    fut.set_result(answer)
    return fut


@attrs.define
class Reader:
    """A steward's task, what it appends, and where its follower is."""

    task: object
    appended: Sink
    era: int = 0
    next_offset: int = 0
    cut_until: float = 0.0


@attrs.define
class ReturningLog:
    """One stream and its readers; appends are lost, late or repeated."""

    rng: random.Random
    readers: list[Reader]
    cut_chance: float = 0.03
    now: float = 0.0
    era: int = 1
    stream: list = attrs.field(factory=list)
    lengths: list[int] = attrs.field(factory=list)
    in_transit: list = attrs.field(factory=list)

    def monotonic(self) -> float:
        """Stands in for the clock of the tasks."""
        return self.now

    def step(self, number: int) -> None:
        calm = number >= STEPS - CALM_STEPS
        self.now = number * STEP_S
        self.lengths.append(len(self.stream))
        if not calm:
            self._disturb()
        self.stream += [raw for at, raw in self.in_transit if at <= self.now]
        self.in_transit = [(at, raw) for at, raw in self.in_transit if at > self.now]
        for reader in self.readers:
            self._follow(reader)
            reader.task.run_periodic()
            self._append(reader, calm=calm)

    def _disturb(self) -> None:
        if self.rng.random() < RETURN_CHANCE:
            age = self.rng.randint(1, int(MAX_COPY_AGE_S / STEP_S))
            # An older copy never has more than a newer one.
            del self.stream[min(self.lengths[-age:]) :]
            self.era += 1
        if self.rng.random() < self.cut_chance:
            cut = self.rng.choice(self.readers)
            cut.cut_until = self.now + self.rng.uniform(0, MAX_CUT_S)

    def _follow(self, reader: Reader) -> None:
        if reader.cut_until > self.now:
            reader.task.handle(_messages.LogReadFailed(stream="s"))
        elif reader.era != self.era:
            reader.era, reader.next_offset = self.era, 0
            message = _messages.LogEra(stream="s", era=self.era, since=self.now)
            reader.task.handle(message)
        else:
            start, reader.next_offset = reader.next_offset, len(self.stream)
            message = _messages.LogRead(
                stream="s",
                records=[
                    log.Record(offset=start + n, value=raw)
                    for n, raw in enumerate(self.stream[start:])
                ],
                next_offset=reader.next_offset,
                first=0,
                read_at=self.now,
            )
            reader.task.handle(message)

    def _append(self, reader: Reader, *, calm: bool) -> None:
        for message in reader.appended.messages:
            if message.era not in (None, reader.era):
                continue
            for _ in range(1 if calm else self.rng.choice((0, 1, 1, 1, 2))):
                delay_s = self.rng.choice((0.0, 0.1, 0.3, 1.5))
                self.in_transit.append((self.now + delay_s, message.value))
        reader.appended.messages.clear()
