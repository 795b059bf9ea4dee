"""A model of prefill and decode engines for placement decisions, in virtual time.

Engines prefill prompts one after the other, by rank, without preemption; decode
engines prefill at half the speed and also decode. Each engine caches shared prefixes
with LRU eviction and fetches them from another engine if the placement names one.
Clients disconnect after a timeout without a token. Several fronts place calls by
`requests.Placer` and publish their loads to each other with a delay.

    python -m benchmarks.prompt_model --load swing --seeds 3
"""

import collections
import heapq
import itertools
import random

import attrs
import click

from turmericward import fleet, requests, transfer

PREFILL_TOKENS_PER_S = 60_000.0
FIRST_TOKEN_DELAY_S = 0.12
TOKEN_INTERVAL_S = 0.012
KV_FETCH_S = 0.01
PUBLISH_DELAY_S = 0.002
CLIENT_TIMEOUT_S = {"long": 3.2, "short": 2.0}
OBJECTIVE_S = {"long": 0.8, "short": 0.4}
SHARED_PREFIX_TOKENS = 13_000
OWN_TOKENS = 3_700
SHORT_TOKENS = 300
OUTPUT_TOKENS = {"long": 100, "short": 40}
# Mean context at which attention doubles the prefill cost of a token.
ATTENTION_PARITY_TOKENS = 30_000.0


@attrs.frozen(kw_only=True)
class Load:
    """Arrivals a second of long and short prompts, in phases of `phase_s`.

    `phase_factors` multiplies long and short arrivals in each phase, cyclically;
    `prefixes` is the number of distinct shared prefixes. `own_tokens_sigma` is the
    standard deviation of the logarithm of a long prompt's unshared tokens.
    """

    long_per_s: float
    short_per_s: float
    phase_factors: tuple[tuple[float, float], ...] = ((1.0, 1.0),)
    phase_s: float = 2.8
    prefixes: int = 137
    length_s: float = 30.0
    own_tokens_sigma: float = 0.0


LOADS = {
    "steady": Load(long_per_s=8.0, short_per_s=40.0),
    "swing": Load(
        long_per_s=10.0, short_per_s=55.0, phase_factors=((1.6, 0.6), (0.6, 1.6))
    ),
    "short burst": Load(long_per_s=1.0, short_per_s=450.0, length_s=6.0),
    "overload": Load(long_per_s=25.0, short_per_s=40.0, length_s=15.0),
    "many fronts": Load(
        long_per_s=54.0,
        short_per_s=260.0,
        phase_factors=((1.0, 1.0), (1.6, 0.7), (0.7, 1.6)),
        prefixes=920,
        length_s=12.0,
        own_tokens_sigma=1.1,
    ),
    "mixed sizes": Load(
        long_per_s=22.0, short_per_s=30.0, length_s=12.0, own_tokens_sigma=1.1
    ),
}


@attrs.define
class Result:
    """Calls by kind, those within the latency objective, and repeated prefills.

    `crossings` counts prompts that go to another domain than their front's, and
    `cache_crossings` fetches of KV cache between domains.
    """

    calls: collections.Counter = attrs.field(factory=collections.Counter)
    on_time: collections.Counter = attrs.field(factory=collections.Counter)
    refused: collections.Counter = attrs.field(factory=collections.Counter)
    reprefilled_tokens: int = 0
    crossings: int = 0
    cache_crossings: int = 0

    def share(self, kind: str) -> float:
        """Returns the share of the calls of a kind within the latency objective."""
        return self.on_time[kind] / max(1, self.calls[kind])


@attrs.define(kw_only=True, eq=False)
class _Job:
    """A prompt at an engine; `cancelled` if its client disconnected while queued."""

    kind: str
    placer: requests.Placer
    prompt: requests.Prompt
    placement: requests.Placement
    requested_at: float
    kv_source: "_Engine | None"
    started: bool = False
    cancelled: bool = False


class _Engine:
    """One engine, which prefills one prompt at a time and caches shared prefixes."""

    def __init__(self, target: fleet.Target, capacity_tokens: int) -> None:
        self.target = target
        self.busy = False
        self._capacity = capacity_tokens
        self._cached: collections.OrderedDict[object, int] = collections.OrderedDict()
        self._queue: list[tuple[int, int, _Job]] = []
        self._order = itertools.count()
        prefill = target.role is fleet.EngineRole.PREFILL
        self._tokens_per_s = PREFILL_TOKENS_PER_S * (1.0 if prefill else 0.5)

    def has_cached(self, prefix_id: str) -> bool:
        return prefix_id in self._cached

    def submit(self, job: _Job) -> None:
        rank = job.placement.rank + (job.kind == "long")
        heapq.heappush(self._queue, (rank, next(self._order), job))

    def pop_next(self) -> _Job | None:
        """Removes and returns the next job whose client is still connected."""
        while self._queue:
            _, _, job = heapq.heappop(self._queue)
            if not job.cancelled:
                return job
        return None

    def start_prefill(self, job: _Job) -> tuple[float, int]:
        """Returns the time of the prefill and its uncached shared tokens."""
        prefix_id, own_tokens = _prefix_id(job.prompt), job.prompt.segments[-1].tokens
        fetched = job.kv_source is not None and job.kv_source.has_cached(prefix_id)
        cached = (
            SHARED_PREFIX_TOKENS
            if prefix_id and (self.has_cached(prefix_id) or fetched)
            else 0
        )
        shared = SHARED_PREFIX_TOKENS - cached if prefix_id else 0
        cost_tokens = own_tokens + shared
        cost_tokens *= 1 + (cached + cost_tokens / 2) / ATTENTION_PARITY_TOKENS
        if prefix_id:
            self.cache(prefix_id, own_tokens)
        return (
            KV_FETCH_S if fetched else 0.0
        ) + cost_tokens / self._tokens_per_s, shared

    def cache(self, prefix_id: str, own_tokens: int) -> None:
        """Caches the shared prefix and, as a separate entry, the unshared tokens."""
        self._cached[prefix_id] = SHARED_PREFIX_TOKENS
        self._cached.move_to_end(prefix_id)
        self._cached[object()] = own_tokens
        while sum(self._cached.values()) > self._capacity:
            self._cached.popitem(last=False)


def _prefix_id(prompt: requests.Prompt) -> str:
    return prompt.segments[0].id if len(prompt.segments) > 1 else ""


def _deadlines(kind: str) -> requests.Deadlines:
    return requests.Deadlines(
        soft_deadline_s=OBJECTIVE_S[kind], hard_deadline_s=CLIENT_TIMEOUT_S[kind]
    )


def targets(
    prefill: int, decode: int, *, domains: str = "abc", slots: int = 64
) -> list[fleet.Target]:
    """Returns engines of one service; domains have one letter each."""
    roles = [fleet.EngineRole.PREFILL] * prefill + [fleet.EngineRole.DECODE] * decode
    return [
        fleet.Target(
            name=f"e{n}",
            service="model",
            address=f"10.0.0.{n}:1",
            domain=domains[n % len(domains)],
            slots=slots,
            role=role,
        )
        for n, role in enumerate(roles)
    ]


class Model:
    """Fronts and engines under one virtual clock."""

    def __init__(
        self,
        load: Load,
        seed: int,
        *,
        fronts: int = 6,
        prefill: int = 3,
        decode: int = 3,
        capacity_tokens: int = 500_000,
        publish_loads: bool = True,
        interval_s: float = 0.0,
        link: transfer.Link | None = None,
    ) -> None:
        """Creates the model.

        Args:
            load: the arrivals to simulate.
            seed: seed of the random arrivals.
            fronts: number of fronts.
            prefill: number of prefill engines.
            decode: number of decode engines.
            capacity_tokens: size of an engine's KV cache.
            publish_loads: whether fronts publish their loads to each other.
            interval_s: minimum time between two loads that a front publishes.
            link: costs of leaving a domain, if prompts stay unless that pays.
        """
        self._load = load
        self._random = random.Random(seed)
        # A separate generator, so that the arrivals are the same with every policy.
        self._publish_random = random.Random(seed)
        self._publishing = publish_loads
        self._interval_s = interval_s
        # Earliest time of each placer's next publication; placers with one scheduled.
        self._next_publish_at: dict[requests.Placer, float] = {}
        self._scheduled: set[requests.Placer] = set()
        self._targets = targets(prefill, decode)
        self._engines = {t.name: _Engine(t, capacity_tokens) for t in self._targets}
        self._by_address = {e.target.address: e for e in self._engines.values()}
        self._placers = [requests.Placer(n, "abc"[n % 3], link) for n in range(fronts)]
        self._domains = {p: "abc"[n % 3] for n, p in enumerate(self._placers)}
        for placer in self._placers:
            placer.cache_index.set_capacity("model", capacity_tokens)
        self._events: list = []
        self._order = itertools.count()
        self._now = 0.0
        self._seen_prefixes: set[str] = set()
        self.result = Result()

    def run(self) -> Result:
        """Runs the load until no event is left and returns the result."""
        for kind in ("long", "short"):
            self._schedule(0.0, self._arrive, kind)
        while self._events:
            self._now, _, action, args = heapq.heappop(self._events)
            action(*args)
        return self.result

    def _schedule(self, when: float, action, *args) -> None:
        heapq.heappush(self._events, (when, next(self._order), action, args))

    def _arrive(self, kind: str) -> None:
        phase = int(self._now / self._load.phase_s) % len(self._load.phase_factors)
        long_factor, short_factor = self._load.phase_factors[phase]
        rate = self._load.long_per_s * long_factor
        if kind == "short":
            rate = self._load.short_per_s * short_factor
        next_at = self._now + self._random.expovariate(rate)
        if next_at < self._load.length_s:
            self._schedule(next_at, self._arrive, kind)
        self._place(kind, self._random.choice(self._placers))

    def _prompt(self, kind: str) -> requests.Prompt:
        own_id = f"own{next(self._order)}"
        if kind == "short":
            segments = (requests.PromptSegment(id=own_id, tokens=SHORT_TOKENS),)
        else:
            prefix_id = f"s{self._random.randrange(self._load.prefixes)}"
            sigma = self._load.own_tokens_sigma
            factor = self._random.lognormvariate(-(sigma**2) / 2, sigma)
            segments = (
                requests.PromptSegment(id=prefix_id, tokens=SHARED_PREFIX_TOKENS),
                requests.PromptSegment(
                    id=own_id, tokens=max(1, int(factor * OWN_TOKENS))
                ),
            )
        return requests.Prompt(model="m", segments=segments, output_tokens=100)

    def _place(self, kind: str, placer: requests.Placer) -> None:
        prompt = self._prompt(kind)
        self.result.calls[kind] += 1
        deadlines = _deadlines(kind)
        chosen = placer.choose_engine(prompt, self._targets, deadlines, self._now)
        if chosen.is_err():
            self.result.refused[kind] += 1
            return
        placement = chosen.unwrap()
        self._publish_if_due(placer, prompt)
        job = _Job(
            kind=kind,
            placer=placer,
            prompt=prompt,
            placement=placement,
            requested_at=self._now,
            kv_source=self._by_address.get(placement.fetch_from),
        )
        engine = self._engines[placement.target.name]
        self._count_crossings(job)
        engine.submit(job)
        self._start(engine)
        self._schedule(self._now + deadlines.hard_deadline_s, self._disconnect, job)

    def _count_crossings(self, job: _Job) -> None:
        domain = job.placement.target.domain
        self.result.crossings += domain != self._domains[job.placer]
        source = job.kv_source
        self.result.cache_crossings += bool(source) and source.target.domain != domain

    def _start(self, engine: _Engine) -> None:
        job = None if engine.busy else engine.pop_next()
        if job is None:
            return
        engine.busy = job.started = True
        took_s, shared = engine.start_prefill(job)
        prefix_id = _prefix_id(job.prompt)
        if shared and prefix_id in self._seen_prefixes:
            self.result.reprefilled_tokens += shared
        self._seen_prefixes.add(prefix_id)
        self._schedule(self._now + took_s, self._end_prefill, engine, job)

    def _end_prefill(self, engine: _Engine, job: _Job) -> None:
        engine.busy = False
        self._start(engine)
        self._schedule(self._now + FIRST_TOKEN_DELAY_S, self._first_output, job)

    def _disconnect(self, job: _Job) -> None:
        if not job.started:
            job.cancelled = True
            job.placer.ended(job.placement, requests.Ending.DISCONNECTED, self._now)
            self._publish_if_due(job.placer, job.prompt)

    def _first_output(self, job: _Job) -> None:
        placer, prompt, placement = job.placer, job.prompt, job.placement
        took_s = self._now - job.requested_at
        placer.record_first_output(placement, prompt, took_s, self._now)
        if placement.prefill_only:
            placer.ended(placement, requests.Ending.SUCCEEDED, self._now)
            prefill_domain = placement.target.domain
            placement = placer.choose_decode_engine(
                prompt, prefill_domain, self._targets, _deadlines(job.kind), self._now
            )
            if job.kind == "long":
                engine = self._engines[placement.target.name]
                engine.cache(_prefix_id(prompt), prompt.segments[-1].tokens)
            placer.record_first_output(placement, prompt, KV_FETCH_S, self._now)
            took_s += KV_FETCH_S
        if took_s <= OBJECTIVE_S[job.kind]:
            self.result.on_time[job.kind] += 1
        self._publish_if_due(placer, prompt)
        done_at = self._now + OUTPUT_TOKENS[job.kind] * TOKEN_INTERVAL_S
        self._schedule(done_at, self._complete, placer, prompt, placement)

    def _complete(self, placer, prompt, placement) -> None:
        placer.ended(placement, requests.Ending.SUCCEEDED, self._now)
        self._publish_if_due(placer, prompt)

    def _publish_if_due(self, placer: requests.Placer, prompt) -> None:
        if not self._publishing:
            return
        if not self._interval_s and prompt.tokens < requests.SHORT_PROMPT_TOKENS:
            return
        if placer in self._scheduled:
            return
        # A random first delay keeps the fronts from publishing in step.
        first_delay_s = self._publish_random.uniform(0, self._interval_s)
        publish_at = max(
            self._now, self._next_publish_at.get(placer, self._now + first_delay_s)
        )
        self._next_publish_at[placer] = publish_at + self._interval_s
        self._scheduled.add(placer)
        self._schedule(publish_at, self._publish, placer)

    def _publish(self, placer: requests.Placer) -> None:
        self._scheduled.discard(placer)
        args = (placer, placer.local_loads(), placer.cache_index.pop_unsent())
        self._schedule(self._now + PUBLISH_DELAY_S, self._receive, *args)

    def _receive(self, sender: requests.Placer, loads, entries) -> None:
        for placer in self._placers:
            if placer is sender:
                continue
            placer.peers.replace(str(id(sender)), loads, self._now)
            for entry in entries:
                placer.cache_index.apply(entry)


@click.command()
@click.option("--load", "name", type=click.Choice(sorted(LOADS)), default="swing")
@click.option("--seeds", default=3)
def main(name: str, seeds: int) -> None:
    """Prints the shares on time with and without published loads, over seeds."""
    for publish_loads in (False, True):
        results = [
            Model(LOADS[name], s, publish_loads=publish_loads).run()
            for s in range(seeds)
        ]
        shares = {
            kind: sum(r.share(kind) for r in results) / seeds
            for kind in ("long", "short")
        }
        reprefilled = sum(r.reprefilled_tokens for r in results) / seeds
        click.echo(
            f"{name} telling={publish_loads}: long {shares['long']:.2f} on time, "
            f"short {shares['short']:.2f}, read again {reprefilled:,.0f}"
        )


if __name__ == "__main__":
    main()
