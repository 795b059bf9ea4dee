"""Claims of calls that run once, while the stewards' log returns from older copies."""

import collections
import random
from unittest import mock

import attrs

from tests import fixtures, returning_log
from turmericward import calls
from turmericward.steward import _calls_task, _messages
from turmericward.wire import ttypes

check = fixtures.check
SEEDS = 150
KEYS = 12
GRANTED = ttypes.ClaimState.GRANTED


@attrs.define
class _World(returning_log.ReturningLog):
    """Stewards, and callers that claim keys again and again.

    A granted attempt runs, or fails before it did, and is settled a while later at the
    steward that granted it.
    """

    restart_chance: float = 0.0
    claims: list = attrs.field(factory=list)
    granted: list = attrs.field(factory=list)
    runs: collections.Counter = attrs.field(factory=collections.Counter)
    states: collections.Counter = attrs.field(factory=collections.Counter)

    def step(self, number: int) -> None:
        if self.rng.random() < self.restart_chance:
            self._restart(self.rng.randrange(len(self.readers)))
        super().step(number)
        if self.rng.random() < 0.4:
            self._claim(number)
        for row in [row for row in self.claims if row[2].done()]:
            self.claims.remove(row)
            self._claimed(*row)
        for row in [row for row in self.granted if row[0] <= self.now]:
            self.granted.remove(row)
            row[1].task.handle(_messages.SettleClaim(settle=row[2]))

    def _restart(self, index: int) -> None:
        running = {id(row[1]) for row in self.granted}
        if id(self.readers[index]) not in running:
            self.readers[index] = _steward(f"a{index}")

    def _claim(self, number: int) -> None:
        steward = self.rng.choice(self.readers)
        key = f"k{self.rng.randrange(KEYS)}"
        message = _messages.ClaimKey(
            scope="s", key=key, attempt=f"t{number}", fingerprint="f"
        )
        fut = returning_log.resolved(steward.task.handle(message))
        self.claims.append((steward, message, fut))

    def _claimed(self, steward, message, fut) -> None:
        self.states[fut.result().state] += 1
        if fut.result().state != GRANTED:
            return
        ran = self.rng.random() < 0.8
        self.runs[message.key] += ran
        answer = calls.Answer(status=200, content_type="x", body="", truncated=False)
        settle = calls.Settle(
            id=message.attempt,
            scope=message.scope,
            key=message.key,
            ran=ran,
            answer=answer if ran else None,
        )
        settled_at = self.now + self.rng.uniform(0.1, 3.0)
        self.granted.append((settled_at, steward, settle))


def _steward(name: str) -> returning_log.Reader:
    sink = returning_log.Sink()
    cfg = returning_log.instance_settings(name)
    return returning_log.Reader(_calls_task.CallsTask(cfg, sink), sink)


def _play(seed: int, **chances: float) -> _World:
    stewards = [_steward(f"a{n}") for n in range(3)]
    world = _World(random.Random(seed), stewards, **chances)
    with mock.patch.object(_calls_task, "time", world):
        for number in range(returning_log.STEPS):
            world.step(number)
    return world


def _check_runs(**chances: float) -> None:
    returns, runs, replays = 0, 0, 0
    for seed in range(SEEDS):
        world = _play(seed, **chances)
        returns += world.era - 1
        runs += sum(world.runs.values())
        replays += world.states[ttypes.ClaimState.DONE]
        check.assertLessEqual(max(world.runs.values(), default=0), 1, seed)
    check.assertGreater(returns, 3 * SEEDS)
    check.assertGreater(runs, 0.8 * KEYS * SEEDS)
    check.assertGreater(replays, KEYS * SEEDS)


def test_no_call_runs_twice_while_the_log_of_claims_returns_from_older_copies():
    _check_runs()


def test_no_call_runs_twice_if_a_steward_restarts_at_a_return():
    _check_runs(cut_chance=0.0, restart_chance=0.01)


def _record(attempt: str, ran: bool | None = None):
    if ran is None:
        return calls.Claim(id=attempt, scope="s", key="k", fingerprint="f", floor=0)
    return calls.Settle(id=attempt, scope="s", key="k", ran=ran)


def _ledger(*records) -> calls.ClaimLedger:
    ledger = calls.ClaimLedger()
    for offset, record in enumerate(records):
        ledger.apply(offset, record)
    return ledger


def test_what_a_log_has_lost_of_claims_is_written_again():
    claim, ran, failed = _record("a"), _record("a", ran=True), _record("a", ran=False)
    other = _record("b")
    cases = [
        ("nothing", [claim, ran], [claim, ran], []),
        ("claim", [claim], [], [claim]),
        ("claim and end", [claim, ran], [], [claim, ran]),
        ("end", [claim, ran], [claim], [ran]),
        ("end of an attempt that never ran", [claim, failed], [claim], [failed]),
        ("attempt that never ran", [claim, failed], [], []),
        ("another's late claim is in the way", [claim, ran], [other], []),
        (
            "it was settled",
            [claim, ran],
            [other, _record("b", ran=False)],
            [claim, ran],
        ),
    ]
    for name, known, current, lost in cases:
        found = calls.lost_records(_ledger(*known), _ledger(*current))
        check.assertEqual(found, lost, name)


def test_a_key_that_another_attempt_owns_may_become_free_again():
    rebuild = calls.Rebuild(2, _ledger(_record("a")), 0.0, 0.0)
    contested = _ledger(_record("b"), calls.Era(era=2))
    check.assertFalse(rebuild.is_complete(contested, 1.0))
    freed = _ledger(_record("b"), calls.Era(era=2), _record("b", ran=False))
    check.assertEqual(rebuild.due_records(freed, 1.0), [_record("a")])
    check.assertTrue(rebuild.is_complete(contested, 3.0))


def test_claims_that_were_read_between_two_returns_are_known_after_the_second():
    known = _ledger(_record("a"))
    known.merge(_ledger(_record("a"), _record("a", ran=True)))
    check.assertTrue(known.get("s", "k").settled)
    known = _ledger()
    known.merge(_ledger(_record("a"), _record("a", ran=False), _record("b")))
    check.assertEqual(known.get("s", "k").owner, "b")
    check.assertTrue(known.has_ended("a"))


def _claim_at(steward, attempt: str):
    message = _messages.ClaimKey(scope="s", key="k", attempt=attempt, fingerprint="f")
    return returning_log.resolved(steward.task.handle(message))


def _world_of_one(stream: list) -> _World:
    world = _World(random.Random(0), [_steward("a0")], cut_chance=0.0)
    world.stream = [calls.encode(record) for record in stream]
    world.lengths = [len(stream)]
    return world


def _steps(world: _World, first: int, last: int) -> None:
    for number in range(first, last):
        # Without faults: only the last steps have none.
        returning_log.ReturningLog.step(world, returning_log.STEPS + number)


def test_a_steward_that_starts_after_a_return_waits_for_those_that_know_more():
    world = _world_of_one([])
    (steward,) = world.readers
    with mock.patch.object(_calls_task, "time", world):
        _steps(world, 0, 25)
        early = _claim_at(steward, "b").result(0)
        check.assertEqual(early.state, ttypes.ClaimState.UNAVAILABLE)
        world.stream.append(calls.encode(_record("a")))
        _steps(world, 25, 60)
        check.assertIn(calls.encode(calls.Era(era=1)), world.stream)
        late = _claim_at(steward, "b").result(0)
        check.assertEqual(late.state, ttypes.ClaimState.IN_PROGRESS)


def test_a_claim_under_way_at_a_return_is_given_up():
    world = _world_of_one([calls.Era(era=1)])
    (steward,) = world.readers
    with mock.patch.object(_calls_task, "time", world):
        _steps(world, 0, 3)
        fut = _claim_at(steward, "a")
        (appended,) = steward.appended.messages
        steward.appended.messages.clear()
        world.era = 2
        # It arrives all the same.
        world.stream.append(appended.value)
        _steps(world, 3, 5)
        check.assertEqual(fut.result(0).state, ttypes.ClaimState.UNKNOWN)
        _steps(world, 5, 25)
        check.assertIn(calls.encode(_record("a", ran=False)), world.stream)
