"""Compares routing and admission with baselines under a shifting load.

The product's router, one for each entry, runs beside baseline policies and an
oracle that knows the true state of every engine.
"""

import itertools
import random
import statistics
from concurrent import futures

import attrs
import click

from benchmarks import _fake_engine, _tables
from turmericward import fleet, requests

DURATION_S = 240.0
SWING_S = 60.0
FIRST_TOKEN_BOUNDS_S = {"urgent": 0.77, "patient": 60.0}
COMPLETION_BOUNDS_S = {"urgent": 15.0, "patient": 180.0}
PRIORITIES = {"urgent": 0, "patient": 2}
ENTRY_COUNT = 6
MAX_REFUSALS = 3
TUNING_SEEDS = range(100, 110)
TABLE_SEEDS = range(10)

_POLICIES = {}


def policy(name: str):
    """Registers a class as the policy `name`."""

    def register(cls):
        _POLICIES[name] = cls
        return cls

    return register


@attrs.frozen
class Scenario:
    """Parameters of a run; `load` and `burst` are shares of the fleet's capacity."""

    name: str
    engines: int
    lag_s: float = 0.5
    load: float = 0.95
    burst: float = 0.0
    loses_engine: bool = False


SCENARIOS = [
    Scenario(f"{site} {condition}", engines, **options)
    for site, engines in (("afefe", 6), ("friocerto", 9))
    for condition, options in (
        ("swing", {}),
        ("lag 2 s", {"lag_s": 2.0}),
        ("lag 5 s", {"lag_s": 5.0}),
        ("burst x3", {"burst": 3.0}),
        ("engine lost", {"loses_engine": True}),
    )
]


class Policy:
    """Chooses an engine for a job; None refuses it."""

    def __init__(self, engines: list, seed: int) -> None:
        """Sets up one entry with the engines that it may choose."""
        self.engines = engines
        self.random = random.Random(seed)
        self.retry_s = 1.0

    def live(self) -> list:
        """Returns the engines that are alive."""
        return [e for e in self.engines if e.alive]

    def choose(self, job, now: float):
        """Returns an engine, or None."""
        raise NotImplementedError

    def first_token(self, job, now: float) -> None:
        """Records a job's first token."""

    def ended(self, job, now: float, failed: bool) -> None:
        """Records the end of a job."""


@policy("round robin")
class RoundRobin(Policy):
    """Chooses the live engines in turn."""

    def __init__(self, engines, seed) -> None:
        """Starts at the engine given by the seed."""
        super().__init__(engines, seed)
        self._turn = itertools.count(seed)

    def choose(self, job, now):
        """Returns the next engine."""
        live = self.live()
        return live[next(self._turn) % len(live)]


@policy("least loaded by report")
class LeastLoaded(Policy):
    """Chooses the engine whose last report shows the fewest requests."""

    def choose(self, job, now):
        """Returns the least loaded engine."""
        return min(self.live(), key=lambda e: sum(e.report(now)[1:]))


@policy("oracle")
class Oracle(Policy):
    """Chooses by the true queue delays, as an upper bound for the policies."""

    def choose(self, job, now):
        """Returns the engine with the shortest wait, None if that exceeds the bound."""
        best = min(self.live(), key=lambda e: e.wait_s(job))
        wait_s = best.wait_s(job)
        if wait_s > FIRST_TOKEN_BOUNDS_S[job.traffic_class]:
            self.retry_s = max(1.0, wait_s - FIRST_TOKEN_BOUNDS_S[job.traffic_class])
            return None
        return best


@policy("this")
class Product(Policy):
    """The product's router with the reports that an entry would have."""

    def __init__(self, engines, seed) -> None:
        """Sets up the router and the engine views of one entry."""
        super().__init__(engines, seed)
        bounds = {
            n: requests.Bounds(first_token_s=s) for n, s in FIRST_TOKEN_BOUNDS_S.items()
        }
        self._router = requests.Router(seed, "a", bounds)
        self._by_name = {e.name: e for e in engines}
        self._views = tuple(
            fleet.EngineView(
                name=e.name, domain="a", address="", role="mixed", priority=0
            )
            for e in engines
        )
        self._assigned = {}

    def choose(self, job, now):
        """Returns the router's choice."""
        demand = requests.Demand(
            model="m",
            traffic_class=job.traffic_class,
            tenant="t",
            prompt_tokens=job.prompt_tokens,
            output_tokens=job.output_tokens,
            prefix=job.prefix,
            prefix_tokens=job.prefix_tokens,
        )
        dead = frozenset(e.name for e in self.engines if not e.alive)
        choice = self._router.choose(demand, self._views, self._reports(now), dead, now)
        if choice.is_err():
            self.retry_s = choice.unwrap_err().retry_after_s
            return None
        self._assigned[job.id] = (choice.unwrap(), now)
        return self._by_name[choice.unwrap().engine]

    def _reports(self, now: float) -> dict[str, fleet.LoadView]:
        reports = {}
        for engine in self.live():
            at, running, queued = engine.report(now)
            reports[engine.name] = fleet.LoadView(
                running=running, queued=queued, role="mixed", at=at
            )
        return reports

    def first_token(self, job, now):
        """Passes the time to the first token to the router."""
        assignment, at = self._assigned[job.id]
        self._router.first_token(assignment, now - at)

    def ended(self, job, now, failed):
        """Passes the end to the router."""
        assignment, _ = self._assigned.pop(job.id)
        self._router.finished(assignment, failed, now)


@attrs.define
class Outcome:
    """Metrics of one run."""

    goodput: float = 0.0
    urgent_p50_s: float = 0.0
    urgent_p95_s: float = 0.0
    urgent_p99_s: float = 0.0
    urgent_good: float = 0.0
    patient_good: float = 0.0
    refusals: int = 0


@attrs.define
class _Run:
    """One run of a scenario under one policy."""

    scenario: Scenario
    rng: random.Random
    engines: list
    entries: list
    jobs: list = attrs.field(factory=list)
    waiting: list = attrs.field(factory=list)
    owner: dict = attrs.field(factory=dict)
    with_first_token: set = attrs.field(factory=set)
    refusals: int = 0
    next_arrival_at: float = 0.0

    def run(self) -> Outcome:
        steps = int(DURATION_S / _fake_engine.STEP_S)
        for number in range(steps):
            now = number * _fake_engine.STEP_S
            self._arrive(now)
            self._retry(now)
            if self.scenario.loses_engine and number == steps // 2:
                self._fail_engine(now)
            for engine in self.engines:
                self._report(engine.step(now), now)
        return self._outcome()

    def _patient_share(self, now: float) -> float:
        """Returns the patient share of the load, which changes every `SWING_S`."""
        return 0.75 if int(now / SWING_S) % 2 else 0.25

    def _arrive(self, now: float) -> None:
        load = self.scenario.load
        in_burst = SWING_S * 1.5 < now < SWING_S * 1.5 + 30
        if self.scenario.burst and in_burst:
            load = self.scenario.burst
        while self.next_arrival_at <= now:
            share = self._patient_share(now)
            kind = "patient" if self.rng.random() < _count_share(share) else "urgent"
            job = self._job(kind, now)
            self.jobs.append(job)
            self._send(job, now, 0)
            rate = load * len(self.engines) / _mean_service_s(share)
            self.next_arrival_at += self.rng.expovariate(rate)

    def _job(self, kind: str, now: float) -> _fake_engine.Job:
        number = len(self.jobs)
        if kind == "urgent":
            prompt, output, prefix = self.rng.randint(300, 900), 60, f"u{number % 20}"
            shared = 200
        else:
            prompt, output = self.rng.randint(8000, 24000), 300
            prefix, shared = f"p{self.rng.randrange(40)}", 6000
        return _fake_engine.Job(
            id=number,
            traffic_class=kind,
            priority=PRIORITIES[kind],
            arrived=now,
            prompt_tokens=prompt,
            output_tokens=max(8, int(self.rng.gauss(output, output / 4))),
            prefix=prefix,
            prefix_tokens=shared,
        )

    def _send(self, job, now: float, refused: int) -> None:
        entry = self.rng.choice(self.entries)
        engine = entry.choose(job, now)
        if engine is None:
            self.refusals += 1
            if refused + 1 < MAX_REFUSALS:
                self.waiting.append((now + entry.retry_s, job, refused + 1))
            return
        self.owner[job.id] = (entry, job)
        engine.submit(job)

    def _retry(self, now: float) -> None:
        due = [w for w in self.waiting if w[0] <= now]
        self.waiting = [w for w in self.waiting if w[0] > now]
        for _, job, refused in due:
            self._send(job, now, refused)

    def _fail_engine(self, now: float) -> None:
        for job in self.engines[0].kill():
            entry, _ = self.owner.pop(job.id)
            entry.ended(job, now, True)
            job.first_at = None
            self.with_first_token.discard(job.id)
            self._send(job, now, 0)

    def _report(self, ended: list, now: float) -> None:
        for job in ended:
            entry, _ = self.owner.pop(job.id)
            entry.ended(job, now, False)
        for job_id, (entry, job) in self.owner.items():
            if job.first_at is not None and job_id not in self.with_first_token:
                self.with_first_token.add(job_id)
                entry.first_token(job, now)

    def _outcome(self) -> Outcome:
        settled = [j for j in self.jobs if j.arrived < DURATION_S - 20]
        firsts = [
            j.first_at - j.arrived
            for j in settled
            if j.traffic_class == "urgent" and j.first_at is not None
        ]
        good = [j for j in settled if _meets_bounds(j)]
        by_class = {
            name: sum(j.traffic_class == name for j in good)
            / max(1, sum(j.traffic_class == name for j in settled))
            for name in FIRST_TOKEN_BOUNDS_S
        }
        return Outcome(
            goodput=len(good) / DURATION_S,
            urgent_p50_s=_tables.percentile(firsts, 0.5),
            urgent_p95_s=_tables.percentile(firsts, 0.95),
            urgent_p99_s=_tables.percentile(firsts, 0.99),
            urgent_good=by_class["urgent"],
            patient_good=by_class["patient"],
            refusals=self.refusals,
        )


def _service_s(prompt: float, output: float) -> float:
    prefill_s = prompt / _fake_engine.PREFILL_TOKENS_PER_S
    return prefill_s + output / _fake_engine.DECODE_TOKENS_PER_S


URGENT_SERVICE_S = _service_s(600, 60)
PATIENT_SERVICE_S = _service_s(16000, 300)


def _count_share(load_share: float) -> float:
    patient = load_share / PATIENT_SERVICE_S
    return patient / (patient + (1 - load_share) / URGENT_SERVICE_S)


def _mean_service_s(load_share: float) -> float:
    count = _count_share(load_share)
    return count * PATIENT_SERVICE_S + (1 - count) * URGENT_SERVICE_S


def _meets_bounds(job) -> bool:
    if job.first_at is None or job.done_at is None:
        return False
    first_s = job.first_at - job.arrived
    completion_s = job.done_at - job.arrived
    bound_s = COMPLETION_BOUNDS_S[job.traffic_class]
    return (
        first_s <= FIRST_TOKEN_BOUNDS_S[job.traffic_class] and completion_s <= bound_s
    )


def simulate(scenario: Scenario, name: str, seed: int) -> Outcome:
    """Runs a scenario under a policy; deterministic for a seed."""
    engines = [
        _fake_engine.FakeEngine(f"e{n}", scenario.lag_s)
        for n in range(scenario.engines)
    ]
    entries = [_POLICIES[name](engines, seed * 100 + n) for n in range(ENTRY_COUNT)]
    return _Run(scenario, random.Random(seed), engines, entries).run()


def _row(scenario: Scenario, name: str, outcomes: list[Outcome], best: float) -> list:
    def mean(field: str) -> float:
        return statistics.fmean(getattr(o, field) for o in outcomes)

    goodput = mean("goodput")
    spread = statistics.stdev(o.goodput for o in outcomes) if len(outcomes) > 1 else 0.0
    fields = ("urgent_p50_s", "urgent_p95_s", "urgent_p99_s")
    return [
        scenario.name,
        name,
        f"{goodput:.2f} ±{spread:.2f}",
        f"{goodput / best:.2f}",
        *(f"{mean(field):.2f}" for field in fields),
        f"{100 * mean('urgent_good'):.0f}%",
        f"{100 * mean('patient_good'):.0f}%",
        round(mean("refusals")),
    ]


@click.command()
@click.option("--seeds", type=click.Choice(["tuning", "table"]), default="tuning")
@click.option("--only", default="", help="part of a scenario's name")
@click.option("--policies", default=",".join(_POLICIES))
@click.option("--workers", default=5)
@click.option("--json", "path", default=None)
def main(seeds: str, only: str, policies: str, workers: int, path: str | None) -> None:
    """Prints one row for each scenario and policy, with means over ten seeds."""
    chosen = TUNING_SEEDS if seeds == "tuning" else TABLE_SEEDS
    names = policies.split(",")
    rows = []
    with futures.ProcessPoolExecutor(workers) as executor:
        for scenario in [s for s in SCENARIOS if only in s.name]:
            futs = {
                (n, seed): executor.submit(simulate, scenario, n, seed)
                for n in {*names, "oracle"}
                for seed in chosen
            }
            outcomes = {
                n: [futs[n, s].result() for s in chosen] for n in {*names, "oracle"}
            }
            best = statistics.fmean(o.goodput for o in outcomes["oracle"])
            rows += [_row(scenario, n, outcomes[n], best) for n in names]
    columns = ["scenario", "policy", "goodput/s", "of oracle", "urgent first p50 s"]
    columns += ["p95 s", "p99 s", "urgent good", "patient good", "refusals"]
    _tables.show(f"Policies, {seeds} seeds", columns, rows)
    _tables.write(path, rows)


if __name__ == "__main__":
    main()
