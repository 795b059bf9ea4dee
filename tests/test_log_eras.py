"""The product's own log in eras: its leases, configuration and claims."""

import itertools
import random

import attrs

from standins import log as log_standin
from tests import fixtures, test_adapters, test_authority, test_router_task
from turmericward import authority, positions, settings
from turmericward.adapters import errors, log
from turmericward.steward import _log_tasks, _messages

check = fixtures.check
TIMING = test_authority.TIMING
STEP_S = test_authority.STEP_S
SEEDS = 300
STEPS = 900
MAX_COPY_AGE_S = 10.0
RETURN_CHANCE = 0.004


@attrs.define
class _Process(test_authority._Process):
    """A contender that reads anew from the beginning when it sees a new era."""

    era: int = 0


@attrs.define
class _Returns(test_authority._Simulation):
    """A log that returns from older copies; late appends arrive in later eras."""

    era: int = 1
    lengths: list[int] = attrs.field(factory=list)

    def step(self, now: float) -> None:
        self.lengths.append(len(self.stream))
        if self.rng.random() < RETURN_CHANCE:
            age = self.rng.randint(1, int(MAX_COPY_AGE_S / STEP_S))
            # An older copy never has more than a newer one.
            end = min(self.lengths[-age:])
            del self.stream[end:]
            self.era += 1
        super().step(now)

    def _run(self, process: _Process, now: float) -> None:
        if process.cut_until <= now and process.era != self.era:
            clock = process.clock(now)
            process.contender.enter_era(self.era, clock, clock)
            process.era = self.era
            process.next_offset = 0
        super()._run(process, now)


def _returns(seed: int, contender_class) -> _Returns:
    rng = random.Random(seed)
    ids = (f"id{n}" for n in itertools.count())
    processes = []
    for number in range(3):
        rate = rng.uniform(1 - test_authority.MAX_DRIFT, 1 + test_authority.MAX_DRIFT)
        offset = rng.uniform(0, 1000)
        contender = contender_class(f"p{number}", TIMING, offset, lambda: next(ids))
        processes.append(_Process(contender, rate, offset))
    return _Returns(rng, processes)


@attrs.define
class _Leases:
    """Holders at the same time, and tokens that two had or that were lower."""

    max_holders: int = 0
    held_steps: int = 0
    returns: int = 0
    bad_tokens: list = attrs.field(factory=list)


def _leases(contender_class=authority.Contender) -> _Leases:
    seen = _Leases()
    for seed in range(SEEDS):
        simulation = _returns(seed, contender_class)
        highest, last = 0, ""
        for number in range(STEPS):
            now = number * STEP_S
            simulation.step(now)
            held = [
                (p.contender.authority(p.clock(now)), f"{p.offset}")
                for p in simulation.processes
            ]
            holders = [(lease.token, name) for lease, name in held if lease]
            seen.max_holders = max(seen.max_holders, len(holders))
            seen.held_steps += bool(holders)
            for token, name in holders:
                if token < highest or (token == highest and name != last):
                    seen.bad_tokens.append((seed, number, token, highest))
                highest, last = token, name
        seen.returns += simulation.era - 1
    return seen


def test_leases_of_a_log_that_returns_are_of_one_holder_with_rising_tokens():
    seen = _leases()
    check.assertGreater(seen.returns, 2 * SEEDS)
    check.assertEqual(seen.max_holders, 1)
    check.assertEqual(seen.bad_tokens, [])
    check.assertGreater(seen.held_steps, SEEDS * STEPS * 0.1)


def test_a_candidate_that_did_not_wait_for_lost_holders_would_be_a_second_one():
    class Hasty(authority.Contender):
        """Takes a lease that the log doesn't know as free."""

        def enter_era(self, era, since, now):
            super().enter_era(era, float("-inf"), now)

    check.assertGreater(_leases(Hasty).max_holders, 1)


def test_a_renewal_that_names_no_era_is_that_of_the_holder():
    contender = authority.Contender("me", TIMING, 0.0, lambda: "id")
    contender.enter_era(3, 0.0, 0.0)
    era, acquire = contender.run_periodic(TIMING.term_s + TIMING.margin_s)
    for offset, record in ((7, era), (8, acquire)):
        contender.read(6.1, offset, authority.decode(authority.encode(record)))
    check.assertEqual(contender.authority(7.0).token, (3 << 40) + 9)
    # Builds without eras compare the token with the acquire's offset plus one.
    (renew,) = contender.run_periodic(8.0)
    check.assertEqual(renew.token, 9)
    check.assertTrue(contender.read(8.0, 9, renew))


def test_a_holder_gives_no_orders_once_its_process_knows_a_later_era():
    contender = authority.Contender("me", TIMING, 0.0, lambda: "id")
    (acquire,) = contender.run_periodic(0.0)
    contender.read(0.1, 0, acquire)
    check.assertIsNotNone(contender.authority(1.0, 0))
    check.assertIsNone(contender.authority(1.0, 1))
    check.assertEqual(contender.resign(1.0, 1), [])


def _settings():
    return settings.loads(fixtures.json.dumps(test_router_task.DOCUMENT))


def _read(client: log.LogClient, start: int):
    try:
        return len(client.read("s", start).records)
    except errors.AdapterError as exc:
        return type(exc).__name__


def test_the_client_takes_no_answer_of_an_era_that_is_over_or_invalid():
    app = log_standin.Log()
    eras = positions.Eras()
    with test_adapters.serve_app(app) as address:
        client = log.LogClient(address, 2.0, eras)
        client.append("s", ["a", "b"])
        check.assertEqual((eras.current, _read(client, 0)), (1, 2))
        app.era = 3
        check.assertEqual((_read(client, 5), eras.current), ("OffsetExpiredError", 3))
        for named in (None, "", "x", "-1", "2", "99999", "3.0"):
            app.era = named
            check.assertEqual(_read(client, 0), "LogUnavailableError", named)
        app.era = 3
        check.assertEqual(_read(client, 0), 2)
        client.close()


def test_a_log_without_eras_stays_in_the_first_one():
    app = log_standin.Log()
    app.era = None
    eras = positions.Eras()
    with test_adapters.serve_app(app) as address:
        client = log.LogClient(address, 2.0, eras)
        client.append("s", ["a"])
        check.assertEqual((_read(client, 0), eras.current), (1, 0))
        client.close()


class _Recorder:
    """Records messages, and the starts of reads."""

    def __init__(self, eras: positions.Eras) -> None:
        self.messages, self.starts, self.values = [], [], []
        self._eras = eras
        self.era = 1

    def post(self, message) -> None:
        self.messages.append(message)

    def read(self, stream: str, start: int, wait_s: float) -> log.Page:
        self.starts.append(start)
        self._eras.observe(self.era, "the log")
        if start > 3:
            raise errors.OffsetExpiredError(0)
        records = [log.Record(offset=n, value=None) for n in range(start, 3)]
        return log.Page(records=records, next_offset=3, first=0)

    def append(self, stream: str, values: list) -> int:
        self.values += values
        return 0


def test_a_follower_reads_from_the_beginning_in_a_new_era():
    eras = positions.Eras()
    sink = _Recorder(eras)
    follower = _log_tasks.Follower(_settings().log, "s", sink, eras)
    follower._client = sink
    for era in (1, 1, 1, 2, 2, 3):
        sink.era = era
        follower.run_once()
    check.assertEqual(sink.starts, [0, 0, 3, 3, 0, 3])
    shown = [
        message.era if isinstance(message, _messages.LogEra) else len(message.records)
        for message in sink.messages
    ]
    # What was read together with a new era is dropped.
    check.assertEqual(shown, [1, 3, 0, 2, 3, 3])


def test_the_appender_drops_records_of_an_era_that_is_over():
    eras = positions.Eras()
    eras.observe(2, "the log")
    appender = _log_tasks.Appender(_settings().log, eras)
    appender._client = _Recorder(eras)
    deadline = float("inf")
    for era in (None, 1, 2):
        message = _messages.Append(
            stream="s", value={"era": era}, deadline=deadline, era=era
        )
        appender.post(message)
    appender.run_once()
    check.assertEqual(appender._client.values, [{"era": None}, {"era": 2}])
