"""Fronts' configuration while the store returns and its operator writes again."""

import json
import random

from tests import fixtures, platform_fixtures, test_dispatch, test_store_returns
from turmericward import dispatching, feeds
from turmericward.platform import _follow

check = fixtures.check
SEEDS = range(60)
SEEN_PER_SEED = 10


class _Operator(test_store_returns._SharedLog):
    """Writes configurations; lost ones late, in any order, between new ones."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.version = 0
        self._lost: list[int] = []

    def append(self) -> None:
        if self._lost and self._rng.random() < 0.5:
            self._write(self._lost.pop(self._rng.randrange(len(self._lost))))
            return
        self.version += 1
        self._write(self.version)

    def _write(self, version: int) -> None:
        value = json.dumps(platform_fixtures.manifest(version)).encode()
        key = _follow.CONFIGURATION_KEY
        self.records.append(
            feeds.Record(offset=len(self.records), key=key, value=value)
        )

    def return_from_copy(self) -> None:
        had = [json.loads(record.value)["version"] for record in self.records]
        super().return_from_copy()
        self._lost += had[len(self.records) :]

    def settle(self) -> None:
        self._write(self.version)


class _Dispatch(_follow.ConfigurationSink):
    """A dispatcher's task with its sink, and the versions that were in force."""

    def __init__(self) -> None:
        super().__init__(self)
        self.task = test_dispatch._task()
        self.in_force: list[int] = []

    def post(self, message: dispatching.SetTable) -> None:
        self.task.handle(message)
        self.in_force.append(self.task.table.version)


class _Member(test_store_returns._Member):
    sink = _Dispatch


def test_no_front_goes_back_to_a_configuration_that_the_store_has_again():
    seen = 0
    for seed in SEEDS:
        rng = random.Random(seed)
        operator = _Operator(rng)
        members = test_store_returns._members_after_returns(rng, operator, _Member)
        for member in members:
            versions = member.picture.in_force
            check.assertEqual(versions, sorted(versions), seed)
            check.assertEqual(versions[-1], operator.version, seed)
            seen += len(set(versions))
    check.assertGreater(seen, SEEN_PER_SEED * len(SEEDS))
