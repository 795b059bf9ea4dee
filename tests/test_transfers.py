"""Placement with calls that stay in their domain, in virtual time."""

import heapq
import random

from benchmarks import prompt_model
from tests import fixtures
from turmericward import dispatching, fleet, requests, telemetry, transfer
from turmericward.dispatching import _transfer_reports

check = fixtures.check
LINK = transfer.Link(delay_s=0.0014, price_s=0.005, byte_price_s=1e-7)
DEADLINES = requests.Deadlines(soft_deadline_s=0.8, hard_deadline_s=3.2)
DOMAINS = "abc"
REPLICAS = 5
SLOTS = 12
FRONTS = 6
HOLD_S = 0.3
STEP_S = 0.1


def _target(name: str, role: fleet.EngineRole | None = None) -> fleet.Target:
    return fleet.Target(
        name=name,
        service="model",
        address=f"{name}:1",
        domain=name[0],
        slots=SLOTS,
        role=role,
    )


TARGETS = tuple(_target(f"{d}{n}") for d in DOMAINS for n in range(REPLICAS))


class _Fronts:
    """Placers of all domains, which see each other's loads `age_s` late."""

    def __init__(self, link: transfer.Link | None, age_s: float) -> None:
        self._random = random.Random(1)
        self._age_s = age_s
        self.placers = {
            d: [requests.Placer(n, d, link) for n in range(FRONTS)] for d in DOMAINS
        }
        self._taken = dict.fromkeys(TARGETS, 0)
        self._ends: list[tuple] = []
        self._published: list[list[dict]] = []
        self.now = 0.0

    def run(self, seconds: float, loads: dict[str, float]) -> tuple[float, float]:
        """Returns the parts of the calls served, and served in another domain."""
        arrived = served = crossed = 0
        for _ in range(round(seconds / STEP_S)):
            self._publish()
            for at, domain in sorted(self._arrivals(loads)):
                arrived += 1
                goal = self._call(at, self._random.choice(self.placers[domain]))
                served += goal is not None
                crossed += goal is not None and goal != domain
            self.now += STEP_S
        return served / arrived, crossed / arrived

    def _arrivals(self, loads):
        for domain, load in loads.items():
            rate = load * REPLICAS * SLOTS / HOLD_S
            at = self.now + self._random.expovariate(rate)
            while at < self.now + STEP_S:
                yield at, domain
                at += self._random.expovariate(rate)

    def _publish(self) -> None:
        self._end(self.now)
        placers = [p for group in self.placers.values() for p in group]
        self._published.append([p.local_loads() for p in placers])
        late = self._published[-min(len(self._published), round(self._age_s / STEP_S))]
        total = requests.sum_loads(late)
        for placer, own in zip(placers, late, strict=True):
            others = {
                target: load.without(own.get(target, requests.NO_LOAD))
                for target, load in total.items()
            }
            placer.peers.replace("relay", others, self.now, len(placers))

    def _call(self, at: float, placer) -> str | None:
        self._end(at)
        refused: set[str] = set()
        for _ in range(2):
            allowed = TARGETS
            if refused:
                allowed = tuple(t for t in TARGETS if t.name not in refused)
            placement = placer.choose_replica(allowed, at, tried=bool(refused))
            target = placement.target
            if self._taken[target] < SLOTS:
                self._taken[target] += 1
                end = at + self._random.expovariate(1 / HOLD_S)
                heapq.heappush(self._ends, (end, placement.id, placer, placement))
                return target.domain
            placer.ended(placement, requests.Ending.REFUSED, at)
            refused.add(target.name)
        return None

    def _end(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            at, _, placer, placement = heapq.heappop(self._ends)
            self._taken[placement.target] -= 1
            placer.record_first_output(placement, None, HOLD_S, at)
            placer.ended(placement, requests.Ending.SUCCEEDED, at)


def test_calls_stay_in_their_domain_and_as_many_are_served():
    """Guards against calls that cross domains with room, and ones lost by staying."""
    calm = dict.fromkeys(DOMAINS, 0.5)
    uneven = {"a": 1.5, "b": 0.5, "c": 0.5}
    full = dict.fromkeys(DOMAINS, 1.5)
    for age_s in (0.1, 1.0):
        off, on = _Fronts(None, age_s), _Fronts(LINK, age_s)
        results = {}
        for name, loads in (("calm", calm), ("uneven", uneven), ("full", full)):
            results[name] = (off.run(15, loads), on.run(15, loads))
        back = on.run(10, calm), on.run(10, calm)
        # Only refused calls leave, of which late loads cause more.
        limit = 0.02 if age_s < 1 else 0.12
        check.assertGreater(results["calm"][0][1], 0.4)
        check.assertLess(results["calm"][1][1], limit)
        for without, with_link in results.values():
            check.assertGreater(with_link[0], 0.9 * without[0])
            check.assertLess(with_link[1], without[1])
        check.assertLess(back[1][1], limit)
        shares = [p.transfers.shares() for p in on.placers["a"]]
        check.assertEqual([s for s in shares if s], [])


def _placer(busy: dict[str, int], engines, tokens: float = 0.0) -> requests.Placer:
    """Returns a placer in domain a; peers have open calls in the given domains."""
    placer = requests.Placer(1, "a", LINK)
    placer.cache_index.set_capacity("model", 500_000)
    for engine in engines:
        placer.cache_index.set_service(engine)
    loads = {
        fleet.target_hash(t.name): requests.TargetLoad(
            open_calls=busy.get(t.domain, 0),
            urgent_tokens=tokens if t.domain in busy else 0.0,
            ended_calls=100,
        )
        for t in engines
    }
    placer.peers.replace("relay", loads, 0.0, 20)
    return placer


def _prompt(own: str = "o") -> requests.Prompt:
    segments = (
        requests.PromptSegment(id="s", tokens=4_000),
        requests.PromptSegment(id=own, tokens=1_000),
    )
    return requests.Prompt(model="m", segments=segments, output_tokens=10)


ENGINES = tuple(
    _target(f"{d}{n}", fleet.EngineRole.DECODE) for d in DOMAINS for n in range(2)
)


def _domain_of(placer, engines=ENGINES, **options) -> str:
    choice = placer.choose_engine(_prompt(), engines, DEADLINES, 0.0, **options)
    return choice.unwrap().target.domain


def test_a_prompt_leaves_only_if_it_would_be_late_here_and_not_there():
    """Guards against refusals beside idle domains, and moves that gain nothing."""
    check.assertEqual(_domain_of(_placer({"a": 3}, ENGINES)), "a")
    check.assertNotEqual(_domain_of(_placer({"a": 3}, ENGINES, 90_000.0)), "a")
    everywhere = dict.fromkeys(DOMAINS, 3)
    check.assertEqual(_domain_of(_placer(everywhere, ENGINES, 50_000.0)), "a")


def test_a_prompt_goes_to_its_cached_prefix():
    """Guards against prefilling again what another domain caches."""
    placer = _placer({}, ENGINES)
    remote = next(t for t in ENGINES if t.domain == "b")
    placer.cache_index.record_prompt(remote, _prompt("p"), ready=True)
    choice = placer.choose_engine(_prompt(), ENGINES, DEADLINES, 0.0).unwrap()
    check.assertEqual(choice.target, remote)


def test_a_domain_without_own_targets_uses_others():
    """Guards against refusals when all of a domain's targets have left."""
    others = tuple(t for t in ENGINES if t.domain != "a")
    check.assertIn(_domain_of(_placer({}, others), others), "bc")
    replicas = tuple(t for t in TARGETS if t.domain != "a")
    placer = _placer({}, replicas)
    check.assertIn(placer.choose_replica(replicas, 0.0).target.domain, "bc")


def test_a_refused_call_may_leave_but_not_to_a_full_domain():
    """Guards against calls that a full domain sends to another full one."""
    busy = {"a": SLOTS, "b": SLOTS}
    # The wait for a slot isn't known yet, and the share is 0 at the first update.
    check.assertEqual(_replica_domain(_placer(busy, TARGETS)), "a")
    check.assertEqual(_replica_domain(_placer(busy, TARGETS), tried=True), "c")


def _replica_domain(placer, **options) -> str:
    return placer.choose_replica(TARGETS, 0.0, **options).target.domain


def test_a_call_leaves_full_replicas_if_the_wait_for_a_slot_costs_more():
    """Guards against calls that queue or are refused beside idle replicas."""
    for latency_s, expected in ((0.01, "a"), (0.3, "c")):
        placer = _placer({"a": SLOTS, "b": SLOTS}, TARGETS)
        for _ in range(20):
            placement = placer.choose_replica(TARGETS, 0.0)
            placer.record_first_output(placement, None, latency_s, 0.0)
            placer.ended(placement, requests.Ending.SUCCEEDED, 0.0)
        check.assertEqual(_replica_domain(placer), expected, msg=latency_s)


def test_kv_cache_of_a_full_domain_is_fetched():
    """Guards against each domain prefilling each shared prefix itself."""
    placer = _placer({"b": SLOTS}, ENGINES)
    remote = next(t for t in ENGINES if t.domain == "b")
    placer.cache_index.record_prompt(remote, _prompt("p"), ready=True)
    choice = placer.choose_engine(_prompt(), ENGINES, DEADLINES, 0.0).unwrap()
    check.assertEqual(choice.target.domain, "a")
    check.assertEqual(choice.fetch_from, remote.address)


def test_long_prompts_are_on_time_as_often_and_fewer_cross_domains():
    """Guards against the loss of what domains share: engines and cached prefixes."""
    for name in ("swing", "overload"):
        shares, crossings = [], []
        for link in (None, LINK):
            results = [
                prompt_model.Model(
                    prompt_model.LOADS[name],
                    seed,
                    fronts=12,
                    prefill=6,
                    decode=6,
                    link=link,
                ).run()
                for seed in range(2)
            ]
            shares.append(sum(r.share("long") for r in results))
            crossings.append(sum(r.crossings for r in results))
        check.assertGreater(shares[1], 0.95 * shares[0], msg=name)
        check.assertLess(crossings[1], 0.6 * crossings[0], msg=name)


def test_kv_cache_stays_in_the_domain_of_its_prefill():
    """Guards against moving KV cache over the link while engines there take calls."""
    placer = _placer({"b": 8}, ENGINES)
    placer.choose_engine(_prompt(), ENGINES, DEADLINES, 0.0)
    for domain in "ab":
        choice = placer.choose_decode_engine(_prompt(), domain, ENGINES, DEADLINES, 0.0)
        check.assertEqual(choice.target.domain, domain)


def test_calls_and_shares_are_on_the_metrics_page():
    """Guards against transfers that an operator can't see."""
    metrics = telemetry.Metrics(None, "")
    placer = _placer({"a": SLOTS}, TARGETS)
    reports = _transfer_reports.TransferReports("a", placer.transfers, metrics)
    for n in range(40):
        reports.placed(placer.choose_replica(TARGETS, n * 0.1))
    reports.run_periodic()
    page = metrics.render_text()
    for name in ("transfer.calls.a.b ", "transfer.share.model.a.b "):
        check.assertIn(name, page)


def test_without_the_setting_nothing_is_tracked():
    """Guards against changes for deployments that don't have the setting."""
    check.assertIsNone(requests.Placer(1, "a").transfers)
    task = dispatching.DispatchTask(
        name="f",
        domain="a",
        seed=1,
        grace_s=1.0,
        retries=dispatching.RetryBounds(share=0.0, slack=1.0),
        publish=lambda state: None,
        metrics=telemetry.Metrics(None, ""),
    )
    check.assertIsNone(task._placer.transfers)
