"""Lease protocol and order ledger, under a virtual clock."""

import itertools
import random

import attrs

from tests import fixtures
from turmericward import authority

check = fixtures.check

TIMING = authority.Timing(term_s=5.0, renew_s=1.5, margin_s=1.0, settle_s=0.5)
MAX_DRIFT = 0.05
SEEDS = 400
STEPS = 600
STEP_S = 0.1


@attrs.define
class _Process:
    """A contender with a drifting clock; it may be paused or partitioned."""

    contender: authority.Contender
    rate: float
    offset: float
    next_offset: int = 0
    paused_until: float = 0.0
    cut_until: float = 0.0

    def clock(self, now: float) -> float:
        return self.offset + now * self.rate


@attrs.define
class _Simulation:
    """Contenders on one stream; appends may be delayed, duplicated or lost."""

    rng: random.Random
    processes: list[_Process]
    stream: list = attrs.field(factory=list)
    in_transit: list = attrs.field(factory=list)

    def step(self, now: float) -> None:
        arrived = [r for at, r in self.in_transit if at <= now]
        self.in_transit = [(at, r) for at, r in self.in_transit if at > now]
        self.stream += arrived
        for process in self.processes:
            if process.paused_until <= now:
                self._run(process, now)
            self._disturb(process, now)

    def _run(self, process: _Process, now: float) -> None:
        clock = process.clock(now)
        if process.cut_until <= now:
            end = self.rng.randint(process.next_offset, len(self.stream))
            for offset in range(process.next_offset, end):
                process.contender.read(clock, offset, self.stream[offset])
            process.next_offset = end
        for record in process.contender.run_periodic(clock):
            self._append(record, now)

    def _append(self, record, now: float) -> None:
        for _ in range(self.rng.choice((0, 1, 1, 1, 2))):
            delay_s = self.rng.choice((0.0, 0.05, 0.3, 2.0, 8.0))
            self.in_transit.append((now + delay_s, record))

    def _disturb(self, process: _Process, now: float) -> None:
        if self.rng.random() < 0.01:
            process.paused_until = now + self.rng.uniform(0, 15)
        if self.rng.random() < 0.01:
            process.cut_until = now + self.rng.uniform(0, 15)


def _simulation(seed: int, contender_class=authority.Contender) -> _Simulation:
    rng = random.Random(seed)
    ids = (f"id{n}" for n in itertools.count())
    processes = []
    for number in range(3):
        rate = rng.uniform(1 - MAX_DRIFT, 1 + MAX_DRIFT)
        offset = rng.uniform(0, 1000)
        contender = contender_class(f"p{number}", TIMING, offset, lambda: next(ids))
        processes.append(_Process(contender, rate, offset))
    return _Simulation(rng, processes)


def _holders(simulation: _Simulation, now: float) -> list[authority.Authority]:
    found = [p.contender.authority(p.clock(now)) for p in simulation.processes]
    return [held for held in found if held is not None]


def _max_concurrent_holders(contender_class=authority.Contender) -> tuple[int, int]:
    max_holders = 0
    held_steps = 0
    for seed in range(SEEDS):
        simulation = _simulation(seed, contender_class)
        for number in range(STEPS):
            now = number * STEP_S
            simulation.step(now)
            holders = _holders(simulation, now)
            max_holders = max(max_holders, len(holders))
            held_steps += bool(holders)
    return max_holders, held_steps


def test_at_most_one_holder_under_pauses_cuts_and_late_appends():
    max_holders, held_steps = _max_concurrent_holders()
    check.assertEqual(max_holders, 1)
    check.assertGreater(held_steps, SEEDS * STEPS * 0.2)


def test_a_term_counted_from_the_read_would_allow_two_holders():
    class FromAnswer(authority.Contender):
        """Counts the term from the read, not from before the append."""

        def read(self, now, offset, record):
            if record.id in self._sent:
                self._sent[record.id] = now
            return super().read(now, offset, record)

    max_holders, _ = _max_concurrent_holders(FromAnswer)
    check.assertGreater(max_holders, 1)


def _contender(now: float = 0.0) -> authority.Contender:
    ids = (f"c{n}" for n in itertools.count())
    return authority.Contender("me", TIMING, now, lambda: next(ids))


def test_a_holder_renews_and_expires_by_its_local_clock():
    contender = _contender()
    (acquire,) = contender.run_periodic(0.0)
    check.assertIsNone(contender.authority(0.0))
    check.assertTrue(contender.read(0.2, 0, acquire))
    check.assertEqual(contender.authority(0.2).token, 1)
    check.assertFalse(contender.authority(0.2).allows(0.2))
    check.assertTrue(contender.authority(0.6).allows(0.6))
    (renew,) = contender.run_periodic(1.5)
    check.assertIsInstance(renew, authority.Renew)
    check.assertIsNotNone(contender.authority(4.9))
    check.assertIsNone(contender.authority(5.0))
    contender.read(3.0, 1, renew)
    check.assertIsNotNone(contender.authority(6.4))


def test_release_frees_the_lease_at_once():
    first, second = _contender(), _contender()
    (acquire,) = first.run_periodic(0.0)
    first.read(0.1, 0, acquire)
    second.read(0.1, 0, acquire)
    check.assertEqual(second.run_periodic(3.0), [])
    (release,) = first.resign(3.0)
    check.assertIsNone(first.authority(3.0))
    second.read(3.1, 1, release)
    (next_acquire,) = second.run_periodic(3.1)
    check.assertEqual(next_acquire.expected, 2)


def _intent(token: int, order_id: str = "o1", role: str = "decode"):
    return authority.Intent(id=order_id, token=token, engine="e", role=role, loads=[])


def test_the_order_ledger_accepts_one_order_at_a_time_and_only_of_the_holder():
    ledger = authority.OrderLedger()
    check.assertFalse(ledger.apply(_intent(3), lease_token=4))
    check.assertTrue(ledger.apply(_intent(4), lease_token=4))
    check.assertFalse(ledger.apply(_intent(4, "o2", "prefill"), lease_token=4))
    done = authority.OrderOutcome(id="o1", token=5, engine="e", outcome="done")
    check.assertFalse(ledger.apply(done, lease_token=4))
    check.assertTrue(ledger.apply(done, lease_token=5))
    check.assertIsNone(ledger.outstanding("e"))


def _state(order_id: str, role: str, changing: bool = False):
    return authority.EngineState(
        spec=authority.Spec(role=role),
        changing=changing,
        running=0,
        order_id=order_id,
        order_token=1,
    )


def test_an_unknown_outcome_is_settled_from_the_engine():
    cases = [
        ("accepted and done", _state("o1", "decode"), authority.OrderPhase.DONE),
        ("never accepted", _state("o0", "mixed"), authority.OrderPhase.VOID),
        ("crashed during the change", _state("", "mixed"), authority.OrderPhase.VOID),
        ("still changing", _state("o1", "decode", True), None),
    ]
    for name, state, expected in cases:
        ledger = authority.OrderLedger()
        ledger.apply(_intent(1), lease_token=1)
        found = authority.observed_phase(ledger.outstanding("e"), state)
        check.assertEqual(found, expected, name)


def _hold_lease(contender, stream: list, seconds: float) -> None:
    """Lets a contender hold the lease and renew it for a while."""
    now = 0.0
    while now < seconds:
        for record in contender.run_periodic(now):
            stream.append(record)
            contender.read(now, len(stream) - 1, record)
        now += 0.5


def test_a_contender_that_missed_records_acquires_no_held_lease():
    stream: list = []
    holder = _contender()
    _hold_lease(holder, stream, 20.0)
    late = authority.Contender("late", TIMING, 0.0, lambda: "late-1")
    late.expired(5, 0.0)
    for offset in range(5, len(stream)):
        late.read(0.0, offset, stream[offset])
    check.assertEqual(late.run_periodic(1.0), [])
    late.restore(holder.lease, 1.0)
    check.assertEqual(late.lease, holder.lease)
    check.assertEqual(late.run_periodic(2.0), [])
    (next_acquire,) = late.run_periodic(1.0 + TIMING.term_s + TIMING.margin_s)
    check.assertEqual(next_acquire.expected, holder.lease.last)


def test_all_contenders_accept_the_same_acquire_after_expiry():
    stream: list = []
    current = _contender()
    _hold_lease(current, stream, 5.0)
    new = authority.Contender("new", TIMING, 100.0, lambda: "new-1")
    new.expired(len(stream), 100.0)
    new.mark_empty(len(stream), 100.0)
    (acquire,) = new.run_periodic(100.0)
    check.assertTrue(new.read(100.1, len(stream), acquire))
    check.assertTrue(current.read(100.1, len(stream), acquire))
    check.assertEqual(current.lease, new.lease)
