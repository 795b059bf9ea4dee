"""A model of prefill and decode engines for placement decisions, in virtual time.

Engines read prompts one after the other, by rank, without interruption; decode
engines do so at half the speed and also make answers. Each engine keeps shared
parts, least recently used first out, and fetches them from another if told so.
Clients leave when nothing comes for too long. Several fronts place calls by
`requests.Placer` and tell each other their load with a delay.

    python -m benchmarks.prompt_model --load swing --seeds 3
"""

import collections
import heapq
import itertools
import random

import attrs
import click

from turmericward import fleet, requests

READ_TOKENS_PER_S = 60_000.0
FIRST_TOKEN_S = 0.12
TOKEN_S = 0.012
FETCH_S = 0.01
TELL_DELAY_S = 0.002
PATIENCE_S = {"long": 3.2, "short": 2.0}
OBJECTIVE_S = {"long": 0.8, "short": 0.4}
SHARED_TOKENS = 13_000
OWN_TOKENS = 3_700
SHORT_TOKENS = 300
OUTPUT_TOKENS = {"long": 100, "short": 40}
ATTENTION_TOKENS = 30_000.0


@attrs.frozen(kw_only=True)
class Load:
    """Arrivals a second of long and short prompts, in phases of `phase_s`.

    `shares` multiplies long and short arrivals in each phase, cyclically;
    `subjects` is the number of different shared parts.
    """

    long_per_s: float
    short_per_s: float
    shares: tuple[tuple[float, float], ...] = ((1.0, 1.0),)
    phase_s: float = 2.8
    subjects: int = 137
    length_s: float = 30.0
    # Spread of the logarithm of a long prompt's own tokens.
    own_spread: float = 0.0


LOADS = {
    "steady": Load(long_per_s=8.0, short_per_s=40.0),
    "swing": Load(long_per_s=10.0, short_per_s=55.0, shares=((1.6, 0.6), (0.6, 1.6))),
    "short burst": Load(long_per_s=1.0, short_per_s=450.0, length_s=6.0),
    "overload": Load(long_per_s=25.0, short_per_s=40.0, length_s=15.0),
    "many fronts": Load(
        long_per_s=54.0,
        short_per_s=260.0,
        shares=((1.0, 1.0), (1.6, 0.7), (0.7, 1.6)),
        subjects=920,
        length_s=12.0,
        own_spread=1.1,
    ),
    "mixed sizes": Load(
        long_per_s=22.0, short_per_s=30.0, length_s=12.0, own_spread=1.1
    ),
}


@attrs.define
class Result:
    """Calls by kind, how many were on time, and shared tokens read again."""

    asked: collections.Counter = attrs.field(factory=collections.Counter)
    on_time: collections.Counter = attrs.field(factory=collections.Counter)
    refused: collections.Counter = attrs.field(factory=collections.Counter)
    read_again: int = 0

    def share(self, kind: str) -> float:
        """Returns the share of the calls of a kind that were on time."""
        return self.on_time[kind] / max(1, self.asked[kind])


@attrs.define(kw_only=True, eq=False)
class _Job:
    """A prompt at an engine; `left` once its client has gone."""

    kind: str
    placer: requests.Placer
    prompt: requests.Prompt
    placement: requests.Placement
    asked_at: float
    source: "_Engine | None"
    started: bool = False
    left: bool = False


class _Engine:
    """One engine: reads one prompt after the other, with a memory of shared parts."""

    def __init__(self, target: fleet.Target, capacity_tokens: int) -> None:
        self.target = target
        self.busy = False
        self._capacity = capacity_tokens
        self._kept: collections.OrderedDict[object, int] = collections.OrderedDict()
        self._queue: list[tuple[int, int, _Job]] = []
        self._order = itertools.count()
        prefill = target.role is fleet.EngineRole.PREFILL
        self._tokens_per_s = READ_TOKENS_PER_S * (1.0 if prefill else 0.5)

    def keeps(self, subject: str) -> bool:
        return subject in self._kept

    def put(self, job: _Job) -> None:
        rank = job.placement.rank + (job.kind == "long")
        heapq.heappush(self._queue, (rank, next(self._order), job))

    def next(self) -> _Job | None:
        """Takes the next job whose client still waits."""
        while self._queue:
            _, _, job = heapq.heappop(self._queue)
            if not job.left:
                return job
        return None

    def read(self, job: _Job) -> tuple[float, int]:
        """Returns how long the prompt takes, and the shared tokens read for it."""
        subject, own = _subject(job.prompt), job.prompt.parts[-1].tokens
        fetched = job.source is not None and job.source.keeps(subject)
        kept = SHARED_TOKENS if subject and (self.keeps(subject) or fetched) else 0
        shared = SHARED_TOKENS - kept if subject else 0
        work = own + shared
        work *= 1 + (kept + work / 2) / ATTENTION_TOKENS
        if subject:
            self.keep(subject, own)
        return (FETCH_S if fetched else 0.0) + work / self._tokens_per_s, shared

    def keep(self, subject: str, own: int) -> None:
        """Keeps the shared part and, as a part of its own, the rest."""
        self._kept[subject] = SHARED_TOKENS
        self._kept.move_to_end(subject)
        self._kept[object()] = own
        while sum(self._kept.values()) > self._capacity:
            self._kept.popitem(last=False)


def _subject(prompt: requests.Prompt) -> str:
    return prompt.parts[0].id if len(prompt.parts) > 1 else ""


def _patience(kind: str) -> requests.Patience:
    return requests.Patience(on_time_s=OBJECTIVE_S[kind], given_up_s=PATIENCE_S[kind])


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
        telling: bool = True,
        interval_s: float = 0.0,
    ) -> None:
        """Creates the model.

        Args:
            load: what arrives.
            seed: seed of its chances.
            fronts: number of fronts.
            prefill: number of engines that only read.
            decode: number of engines that answer.
            capacity_tokens: what an engine keeps.
            telling: whether fronts tell each other their load.
            interval_s: least time between two states that a front tells.
        """
        self._load = load
        self._random = random.Random(seed)
        # Of its own, so that all policies meet the same arrivals.
        self._telling_random = random.Random(seed)
        self._telling = telling
        self._interval_s = interval_s
        # When each placer may tell again, and those that have something to tell.
        self._tells_at: dict[requests.Placer, float] = {}
        self._waiting: set[requests.Placer] = set()
        self._targets = targets(prefill, decode)
        self._engines = {t.name: _Engine(t, capacity_tokens) for t in self._targets}
        self._by_address = {e.target.address: e for e in self._engines.values()}
        self._placers = [requests.Placer(n, "abc"[n % 3]) for n in range(fronts)]
        for placer in self._placers:
            placer.memories.set_capacity("model", capacity_tokens)
        self._events: list = []
        self._order = itertools.count()
        self._now = 0.0
        self._seen: set[str] = set()
        self.result = Result()

    def run(self) -> Result:
        """Plays the load to its end."""
        for kind in ("long", "short"):
            self._at(0.0, self._arrive, kind)
        while self._events:
            self._now, _, action, args = heapq.heappop(self._events)
            action(*args)
        return self.result

    def _at(self, at: float, action, *args) -> None:
        heapq.heappush(self._events, (at, next(self._order), action, args))

    def _arrive(self, kind: str) -> None:
        phase = int(self._now / self._load.phase_s) % len(self._load.shares)
        long_share, short_share = self._load.shares[phase]
        rate = self._load.long_per_s * long_share
        if kind == "short":
            rate = self._load.short_per_s * short_share
        next_at = self._now + self._random.expovariate(rate)
        if next_at < self._load.length_s:
            self._at(next_at, self._arrive, kind)
        self._place(kind, self._random.choice(self._placers))

    def _prompt(self, kind: str) -> requests.Prompt:
        own = f"own{next(self._order)}"
        if kind == "short":
            parts = (requests.PromptPart(id=own, tokens=SHORT_TOKENS),)
        else:
            subject = f"s{self._random.randrange(self._load.subjects)}"
            spread = self._load.own_spread
            factor = self._random.lognormvariate(-(spread**2) / 2, spread)
            parts = (
                requests.PromptPart(id=subject, tokens=SHARED_TOKENS),
                requests.PromptPart(id=own, tokens=max(1, int(factor * OWN_TOKENS))),
            )
        return requests.Prompt(model="m", parts=parts, output_tokens=100)

    def _place(self, kind: str, placer: requests.Placer) -> None:
        prompt = self._prompt(kind)
        self.result.asked[kind] += 1
        patience = _patience(kind)
        chosen = placer.choose_engine(prompt, self._targets, patience, self._now)
        if chosen.is_err():
            self.result.refused[kind] += 1
            return
        placement = chosen.unwrap()
        self._tell(placer, prompt)
        job = _Job(
            kind=kind,
            placer=placer,
            prompt=prompt,
            placement=placement,
            asked_at=self._now,
            source=self._by_address.get(placement.fetch_from),
        )
        engine = self._engines[placement.target.name]
        engine.put(job)
        self._start(engine)
        self._at(self._now + patience.given_up_s, self._leave, job)

    def _start(self, engine: _Engine) -> None:
        job = None if engine.busy else engine.next()
        if job is None:
            return
        engine.busy = job.started = True
        took_s, shared = engine.read(job)
        subject = _subject(job.prompt)
        if shared and subject in self._seen:
            self.result.read_again += shared
        self._seen.add(subject)
        self._at(self._now + took_s, self._read, engine, job)

    def _read(self, engine: _Engine, job: _Job) -> None:
        engine.busy = False
        self._start(engine)
        self._at(self._now + FIRST_TOKEN_S, self._began, job)

    def _leave(self, job: _Job) -> None:
        if not job.started:
            job.left = True
            job.placer.ended(job.placement, requests.Ending.LEFT, self._now)
            self._tell(job.placer, job.prompt)

    def _began(self, job: _Job) -> None:
        placer, prompt, placement = job.placer, job.prompt, job.placement
        took_s = self._now - job.asked_at
        placer.began(placement, prompt, took_s, self._now)
        if placement.prefill_only:
            placer.ended(placement, requests.Ending.SOUND, self._now)
            read_in = placement.target.domain
            placement = placer.choose_answerer(
                prompt, read_in, self._targets, _patience(job.kind), self._now
            )
            if job.kind == "long":
                engine = self._engines[placement.target.name]
                engine.keep(_subject(prompt), prompt.parts[-1].tokens)
            placer.began(placement, prompt, FETCH_S, self._now)
            took_s += FETCH_S
        if took_s <= OBJECTIVE_S[job.kind]:
            self.result.on_time[job.kind] += 1
        self._tell(placer, prompt)
        done_at = self._now + OUTPUT_TOKENS[job.kind] * TOKEN_S
        self._at(done_at, self._ended, placer, prompt, placement)

    def _ended(self, placer, prompt, placement) -> None:
        placer.ended(placement, requests.Ending.SOUND, self._now)
        self._tell(placer, prompt)

    def _tell(self, placer: requests.Placer, prompt) -> None:
        if not self._telling:
            return
        if not self._interval_s and prompt.tokens < requests.SHORT_PROMPT_TOKENS:
            return
        if placer in self._waiting:
            return
        # Fronts don't tell in step.
        first = self._telling_random.uniform(0, self._interval_s)
        tells_at = max(self._now, self._tells_at.get(placer, self._now + first))
        self._tells_at[placer] = tells_at + self._interval_s
        self._waiting.add(placer)
        self._at(tells_at, self._send, placer)

    def _send(self, placer: requests.Placer) -> None:
        self._waiting.discard(placer)
        args = (placer, placer.own_loads(), placer.memories.take_notes())
        self._at(self._now + TELL_DELAY_S, self._hear, *args)

    def _hear(self, teller: requests.Placer, loads, notes) -> None:
        for placer in self._placers:
            if placer is teller:
                continue
            placer.peers.take(str(id(teller)), loads, self._now)
            for note in notes:
                placer.memories.take(note)


@click.command()
@click.option("--load", "name", type=click.Choice(sorted(LOADS)), default="swing")
@click.option("--seeds", default=3)
def main(name: str, seeds: int) -> None:
    """Prints shares on time with and without telling, over seeds."""
    for telling in (False, True):
        results = [Model(LOADS[name], s, telling=telling).run() for s in range(seeds)]
        shares = {
            kind: sum(r.share(kind) for r in results) / seeds
            for kind in ("long", "short")
        }
        again = sum(r.read_again for r in results) / seeds
        click.echo(
            f"{name} telling={telling}: long {shares['long']:.2f} on time, "
            f"short {shares['short']:.2f}, read again {again:,.0f}"
        )


if __name__ == "__main__":
    main()
