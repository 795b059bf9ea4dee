"""Role changes: when one is due, and that only one front at a time orders them."""

import random

import attrs

from benchmarks import prompt_model
from tests import fixtures
from turmericward import authority, fleet, positions

check = fixtures.check
PREFILL, DECODE = fleet.EngineRole.PREFILL, fleet.EngineRole.DECODE
GAP_S = 3.0
TIMING = authority.Timing(term_s=6.0, renew_s=6.0, margin_s=GAP_S + 1.0, settle_s=GAP_S)
CLOCK_DRIFT = 0.02
SEEDS = range(150)
STEPS = 300


def _settled(targets) -> fleet.RolePlanner:
    planner = fleet.RolePlanner()
    for now in range(6):
        planner.observe(targets, float(now))
    return planner


def _replaced(targets, name: str, role) -> list[fleet.Target]:
    return [attrs.evolve(t, role=role) if t.name == name else t for t in targets]


def _due(planner, targets, since: float, until: float, open_calls=None):
    """Returns the first change that is due, and when."""
    now = since
    while now < until:
        planner.observe(targets, now)
        loads = {
            name: fleet.EngineLoad(open_calls=calls)
            for name, calls in (open_calls or {}).items()
        }
        change = planner.plan(targets, loads, now)
        if change is not None:
            return change, now
        now += 0.5
    return None, until


def test_a_settled_role_mix_needs_no_change():
    targets = prompt_model.targets(3, 3)
    check.assertEqual(_due(_settled(targets), targets, 6.0, 60.0)[0], None)


def test_a_prefill_engine_that_restarts_as_decode_is_replaced_after_a_delay():
    targets = [attrs.evolve(t, domain="a") for t in prompt_model.targets(3, 3)]
    planner = _settled(targets)
    changed = _replaced(targets, "e0", DECODE)
    calls = {t.name: 5 for t in changed} | {"e4": 1}
    change, at = _due(planner, changed, 10.0, 60.0, calls)
    check.assertEqual((change.target.name, change.role), ("e4", PREFILL))
    check.assertGreaterEqual(at, 12.5)


def test_the_last_decode_engine_of_a_domain_keeps_its_role():
    targets = [
        attrs.evolve(t, domain="a" if t.name in ("e0", "e5") else t.domain)
        for t in prompt_model.targets(2, 4)
    ]
    planner = _settled(targets)
    changed = [
        attrs.evolve(t, role=DECODE, domain="b" if t.name != "e5" else "a")
        for t in targets
    ]
    busy_elsewhere = {t.name: 9 for t in changed} | {"e5": 0}
    change, _ = _due(planner, changed, 10.0, 60.0, busy_elsewhere)
    check.assertEqual(change.target.domain, "b")


def test_without_prefill_engines_the_change_is_due_early():
    targets = prompt_model.targets(2, 4)
    planner = _settled(targets)
    changed = [attrs.evolve(t, role=DECODE) for t in targets]
    change, at = _due(planner, changed, 10.0, 60.0)
    check.assertEqual(change.role, PREFILL)
    check.assertLess(at, 12.0)


def test_without_decode_engines_one_is_changed_back():
    targets = prompt_model.targets(2, 2)
    planner = _settled(targets)
    changed = [attrs.evolve(t, role=PREFILL) for t in targets]
    check.assertEqual(_due(planner, changed, 10.0, 60.0)[0].role, DECODE)


def test_one_change_at_a_time_even_without_a_response_to_its_order():
    targets = prompt_model.targets(3, 3)
    planner = _settled(targets)
    changed = _replaced(_replaced(targets, "e0", DECODE), "e1", DECODE)
    change, at = _due(planner, changed, 10.0, 60.0)
    planner.ordered(change, at)
    check.assertEqual(_due(planner, changed, at, at + 14.0)[0], None)
    done = _replaced(changed, change.target.name, PREFILL)
    check.assertNotEqual(_due(planner, done, at + 1.0, at + 14.0)[0], None)


def _in_domains(*rows: tuple[str, fleet.EngineRole]) -> list[fleet.Target]:
    engines = prompt_model.targets(0, len(rows))
    pairs = zip(engines, rows, strict=True)
    return [attrs.evolve(t, domain=domain, role=role) for t, (domain, role) in pairs]


def _carry_out(planner, targets, since: float, until: float):
    """Carries out each change that is due; returns the engines and the changes."""
    changes = []
    while since < until:
        change, since = _due(planner, targets, since, until)
        if change is not None:
            changes.append(change)
            targets = _replaced(targets, change.target.name, change.role)
    return targets, changes


def test_a_domain_without_decode_engines_gets_one():
    initial = _in_domains(
        ("a", PREFILL), ("a", PREFILL), ("a", DECODE), ("b", DECODE), ("b", DECODE)
    )
    planner = _settled(initial)
    remaining = [t for t in initial if t.name != "e2"]
    targets, changes = _carry_out(planner, remaining, 10.0, 120.0)
    check.assertEqual(len(changes), 2)
    for domain in "ab":
        roles = {t.role for t in targets if t.domain == domain}
        check.assertEqual(roles, {PREFILL, DECODE}, domain)


def test_a_lone_prefill_engine_of_a_domain_keeps_its_role_without_replacement():
    targets = _in_domains(("a", PREFILL), ("b", DECODE), ("c", DECODE))
    check.assertEqual(_due(_settled(targets), targets, 6.0, 60.0)[0], None)


def test_fewer_engines_need_fewer_prefill_engines():
    targets = prompt_model.targets(3, 3)
    planner = _settled(targets)
    remaining = [t for t in targets if t.name != "e0"]
    check.assertEqual(_due(planner, remaining, 10.0, 60.0)[0], None)


class _Log:
    """A log with conditional appends whose responses may be lost."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.records = []
        self.era = 0

    def append(self, claim: authority.Claim) -> positions.Position | None:
        if claim.end.offset != len(self.records):
            return None
        self.records.append(claim.record)
        position = positions.Position(self.era, len(self.records) - 1)
        return None if self._rng.random() < 0.2 else position

    def return_from_copy(self) -> None:
        """Loses some of the last records, and begins a new era."""
        self.era += 1
        del self.records[len(self.records) - self._rng.randrange(4) :]

    def read(self):
        end = positions.Position(self.era, len(self.records))
        return end, self.records[-1] if self.records else None


class _Front:
    """A front with a drifting clock that sends orders whenever its lease allows."""

    def __init__(self, number: int, rng: random.Random) -> None:
        self._rate = 1 + CLOCK_DRIFT * (rng.random() - 0.5)
        self._offset = rng.random() * 1000
        self._lease = authority.OnDemandLease(f"f{number}", TIMING, lambda: "id")
        self._ordered_at: float | None = None
        self._eras = positions.Eras(clock=lambda: self._now)
        self._now = 0.0

    def _clock(self, now: float) -> float:
        return self._offset + now * self._rate

    def step(self, now: float, log: _Log, rng: random.Random) -> int | None:
        """Runs once; returns the fencing token of an order that was sent, if any."""
        local = self._now = self._clock(now)
        held = self._lease.authority(local, self._eras.current)
        if held is None:
            end, record = log.read()
            self._eras.observe(end.era, "the log")
            self._lease.record_log_end(local, end, record, self._eras.since)
            claim = self._lease.acquire(local)
            position = None if claim is None else log.append(claim)
            if position is not None:
                self._lease.acquired(claim, local, position, local)
            return None
        if self._ordered_at is not None and local - self._ordered_at > GAP_S + 0.5:
            release = self._lease.release(local, self._eras.current)
            self._ordered_at = None
            if release is not None:
                log.append(release)
            return None
        if rng.random() < 0.5 and self._ordered_at is None:
            self._ordered_at = local
            return held.token
        return None


def test_orders_of_two_fronts_are_spaced_and_their_tokens_increase():
    check.assertGreater(_count_orders(return_rate=0.0), 2 * len(SEEDS))


def test_a_log_that_returns_from_an_older_copy_gives_no_token_twice():
    check.assertGreater(_count_orders(return_rate=0.01), len(SEEDS))


def _count_orders(return_rate: float) -> int:
    """Checks the orders of four fronts over all seeds; returns their number."""
    orders_seen = 0
    for seed in SEEDS:
        rng = random.Random(seed)
        log = _Log(rng)
        fronts = [_Front(n, rng) for n in range(4)]
        paused_until = [0.0] * len(fronts)
        now = 0.0
        last = None
        for _ in range(STEPS):
            now += rng.random() * 0.4
            number = rng.randrange(len(fronts))
            if now < paused_until[number]:
                continue
            # Without returns the seeds play the same steps as ever.
            if return_rate and rng.random() < return_rate:
                log.return_from_copy()
            if rng.random() < 0.02:
                paused_until[number] = now + rng.random() * 12
                continue
            token = fronts[number].step(now, log, rng)
            if token is None:
                continue
            orders_seen += 1
            if last is not None:
                check.assertGreaterEqual(token, last[2], f"seed {seed}")
            if last is not None and last[0] != number:
                check.assertGreater(now - last[1], GAP_S, f"seed {seed}")
                check.assertGreater(token, last[2], f"seed {seed}")
            last = (number, now, token)
    return orders_seen


def test_a_claim_without_response_grants_no_lease():
    lease = authority.OnDemandLease("f", TIMING, lambda: "id")
    lease.record_log_end(0.0, positions.Position(0, 0), None, float("-inf"))
    claim = lease.acquire(0.0)
    check.assertIsNone(lease.authority(0.1, 0))
    lease.record_log_end(0.2, positions.Position(0, 1), claim.record, float("-inf"))
    check.assertIsNone(lease.acquire(TIMING.term_s))
    check.assertIsNotNone(lease.acquire(0.2 + TIMING.term_s + TIMING.margin_s))
