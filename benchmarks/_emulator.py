"""Fronts, engines and clients under one virtual clock, step by step.

Engines work in steps: each makes one token of every running answer and reads a
piece of the prompts that wait, one after the other by rank; an answering engine
reads pieces a quarter as long at half the speed. Events bundle tokens, so that
reading in many steps makes a pause. Fronts choose by the product's `Placer` and
tell each other their load as real ones do. Clients leave when nothing comes.
"""

import collections
import heapq
import itertools
import math

import attrs
import numpy

from benchmarks import _loads, prompt_model
from turmericward import fleet, requests

CLIENT_S = 0.003
NETWORK_S = 0.001
TELL_S = 0.002
SHORT_TELL_INTERVAL_S = 0.05
HEARTBEAT_S = 0.25
# Clients of one domain come in groups of this size in the mean.
GROUP = 3.0
GROUP_S = 0.03
NO_TARGET_RETRY_S = 0.5
DOMAINS = "abcdefgh"
TICK_S = 0.1
ANSWERING_SPEED = 0.5
ANSWERING_PIECE = 0.25


@attrs.define(kw_only=True, eq=False)
class _Call:
    """One call, its placement now, and what its client saw."""

    kind: _loads.CallClass
    front: "_Front"
    prompt: requests.Prompt
    tokens_out: int
    asked_at: float
    domain: str
    placement: requests.Placement | None = None
    first_at: float | None = None
    last_event_at: float = 0.0
    longest_pause_s: float = 0.0
    state: str = "open"
    arrived: int = 0
    lost: bool = False
    returned: bool = False
    sent_at: float = 0.0


@attrs.define(kw_only=True, eq=False)
class _Job:
    """A call's work at one engine."""

    call: _Call
    placement: requests.Placement
    left_tokens: float
    context: float
    prefill_only: bool
    made: int = 0
    ended: bool = False

    @property
    def gone(self) -> bool:
        """Whether nobody waits for this work any more."""
        return self.ended or self.call.placement is not self.placement


class _Engine:
    """One engine; its owner is told of prompts read, events and ends."""

    def __init__(self, target: fleet.Target, cfg: _loads.EngineTraits, world) -> None:
        self.target = target
        self._cfg = cfg
        self._world = world
        self._queue: list[tuple[tuple, _Job]] = []
        self._reading: collections.deque[_Job] = collections.deque()
        self._running: list[_Job] = []
        self._busy = False
        self._kept: collections.OrderedDict[object, int] = collections.OrderedDict()
        self._kept_tokens = 0
        self.slow = 1.0

    @property
    def _reads_apart(self) -> bool:
        return not self.target.answers

    def put(self, job: _Job, rank: int) -> None:
        heapq.heappush(self._queue, ((rank, next(self._world.order)), job))
        self._kick()

    def _kick(self) -> None:
        if not self._busy and (self._queue or self._reading or self._running):
            self._busy = True
            self._begin_step()

    def _admit(self) -> None:
        while self._queue:
            if len(self._reading) + len(self._running) >= self._cfg.slots:
                return
            # Prompts are read one after the other; the next one goes by rank.
            if self._reading and self._queue[0][1].left_tokens > 0:
                return
            _, job = heapq.heappop(self._queue)
            if job.gone:
                continue
            if job.left_tokens > 0:
                job.left_tokens = self._missing(job)
                self._reading.append(job)
            else:
                self._running.append(job)

    def _missing(self, job: _Job) -> float:
        """Returns what is to be read, by what is kept here or was fetched."""
        prompt = job.call.prompt
        kept = self._world.kept_at(self, prompt, job.placement.fetch_from)
        job.context = kept
        return max(1.0, prompt.tokens - kept)

    def _begin_step(self) -> None:
        self._admit()
        piece = self._cfg.piece_tokens
        speed = self._cfg.tokens_per_ms
        if not self._reads_apart:
            piece *= ANSWERING_PIECE
            speed *= ANSWERING_SPEED
        took_ms, done = 0.0, []
        while self._reading and piece > 0:
            job = self._reading[0]
            if job.gone:
                self._reading.popleft()
                self._admit()
                continue
            part = min(piece, job.left_tokens)
            pairs = part * (job.context + part / 2) / 1e6
            took_ms += part / speed + pairs * self._cfg.pairs_ms_per_million
            job.left_tokens -= part
            job.context += part
            piece -= part
            if job.left_tokens <= 0:
                self._reading.popleft()
                done.append(job)
                self._admit()
        running = list(self._running)
        if running or not self._reads_apart:
            took_ms += self._cfg.step_ms
            took_ms += self._cfg.step_ms_per_answer * len(running)
        took_s = self.slow * (took_ms + self._cfg.first_ms * bool(done)) / 1000
        self._world.at(self._world.now + took_s, self._end_step, running, done)

    def _end_step(self, running: list[_Job], done: list[_Job]) -> None:
        for job in running:
            if job.gone:
                continue
            job.made += 1
            if job.made >= job.call.tokens_out:
                self._world.event(job, last=True)
                job.ended = True
            elif job.made % self._cfg.tokens_per_event == 1:
                self._world.event(job, last=False)
        self._running = [job for job in self._running if not job.gone]
        for job in done:
            if job.gone:
                continue
            self.keep(job.call.prompt)
            if job.prefill_only:
                self._world.read(job)
            else:
                self._running.append(job)
        self._busy = False
        self._kick()

    def keep(self, prompt: requests.Prompt) -> None:
        for key, tokens in (
            *prompt.shared_parts,
            (object(), prompt.tokens - prompt.shared_tokens),
        ):
            self._kept_tokens += tokens - self._kept.pop(key, 0)
            self._kept[key] = tokens
        while self._kept_tokens > self._cfg.memory_tokens and self._kept:
            _, tokens = self._kept.popitem(last=False)
            self._kept_tokens -= tokens

    def kept(self, prompt: requests.Prompt) -> int:
        found = 0
        for part, tokens in prompt.shared_parts:
            if part not in self._kept:
                break
            found += tokens
        return found


@attrs.define(eq=False)
class _Front:
    placer: requests.Placer
    domain: str
    told_at: float = -1.0
    told: dict = attrs.field(factory=dict)
    notes: list = attrs.field(factory=list)


@attrs.define
class Outcome:
    """Calls by class and fate, and what was earned of what could be."""

    counts: collections.Counter = attrs.field(factory=collections.Counter)
    earned: collections.Counter = attrs.field(factory=collections.Counter)
    owed: collections.Counter = attrs.field(factory=collections.Counter)
    asked: int = 0
    lost: int = 0

    def share(self, part: str) -> float:
        """Returns the least share earned among the keys of a part."""
        return min(
            self.earned[key] / owed for key, owed in self.owed.items() if key[0] == part
        )

    def worth(self, weights: _loads.Weights) -> float:
        """Returns what users count: all parts by their weights."""
        windows = sorted(
            self.earned[k] / o for k, o in self.owed.items() if k[0] == "window"
        )
        nines = -math.log10(max(0.001, self.lost / max(1, self.asked))) / 3
        return (
            weights.day * self.share("day")
            + weights.windows * sum(windows[:2]) / max(1, len(windows[:2]))
            + weights.kind * self.share("class")
            + weights.domain * self.share("domain")
            + weights.nines * nines
        )


class World:
    """One run of a load."""

    def __init__(self, load: _loads.Load, seed: int) -> None:
        """Creates the fronts and engines of a load."""
        self._load = load
        self._rng = numpy.random.default_rng(seed)
        self._fault_rng = numpy.random.default_rng(seed + 1_000_000)
        self._events: list = []
        self.order = itertools.count()
        self.now = 0.0
        self._domains = DOMAINS[: load.domains]
        self._targets = prompt_model.targets(
            load.prefill, load.decode, domains=self._domains, slots=load.engine.slots
        )
        self._engines = {t.name: _Engine(t, load.engine, self) for t in self._targets}
        self._by_address = {e.target.address: e for e in self._engines.values()}
        self.fronts = [self._front(n) for n in range(load.fronts)]
        for front in self.fronts:
            front.placer.memories.set_capacity("model", load.engine.memory_tokens)
            for target in self._targets:
                front.placer.memories.announced(target)
        self._losing: dict[str, tuple[float, bool]] = {}
        self.outcome = Outcome()

    def _front(self, number: int) -> _Front:
        domain = self._domains[number % len(self._domains)]
        return _Front(requests.Placer(number, domain), domain)

    # Clock.

    def at(self, when: float, action, *args) -> None:
        """Schedules an action."""
        heapq.heappush(self._events, (when, next(self.order), action, args))

    def run(self) -> Outcome:
        """Plays the load to its end and returns what became of the calls."""
        for kind in self._load.classes:
            self._schedule(kind)
        for fault in self._load.faults:
            self.at(fault.at, self._strike, fault, True)
            self.at(fault.at + fault.for_s, self._strike, fault, False)
        for front in self.fronts:
            self.at(0.0, self._tick, front)
        if self._load.relay_interval_s:
            self.at(0.0, self._relay)
        while self._events:
            self.now, _, action, args = heapq.heappop(self._events)
            if self.now > self._load.length_s + 10.0:
                break
            action(*args)
        return self.outcome

    def _tick(self, front: _Front) -> None:
        front.placer.note_overdue(self.now)
        if self.now - front.told_at >= HEARTBEAT_S:
            self._send(front)
        if self.now < self._load.length_s + 8.0:
            self.at(self.now + TICK_S, self._tick, front)

    def _strike(self, fault: _loads.Fault, begins: bool) -> None:
        able = [
            e for e in self._engines.values() if fault.role in ("", e.target.role.value)
        ]
        for engine in able[: fault.engines]:
            name = engine.target.name
            if fault.kind == "slow":
                engine.slow = fault.x if begins else 1.0
            elif begins:
                self._losing[name] = (fault.x, fault.silent)
            else:
                self._losing.pop(name, None)

    # Clients.

    def _schedule(self, kind: _loads.CallClass) -> None:
        when = 0.0
        while True:
            rate = kind.per_s * self._factor(kind, when) / GROUP
            when += self._rng.exponential(1 / rate)
            if when >= self._load.length_s:
                return
            domain = self._domains[self._rng.integers(len(self._domains))]
            for _ in range(self._rng.geometric(1 / GROUP)):
                offset = self._rng.uniform(0, GROUP_S)
                call = self._call(kind, when + offset, domain)
                self.at(call.asked_at + CLIENT_S, self._ask, call, call.asked_at)

    def _factor(self, kind, when: float) -> float:
        factor = 1.0
        for burst in self._load.bursts:
            if burst.name == kind.name and burst.at <= when < burst.at + burst.for_s:
                factor *= burst.x
        return factor

    def _call(self, kind, when: float, domain: str) -> _Call:
        fronts = [f for f in self.fronts if f.domain == domain]
        spread = kind.own_spread
        own = kind.own_tokens * self._rng.lognormal(-(spread**2) / 2, spread)
        parts = []
        for index, shared in enumerate(kind.shared):
            thing = self._rng.integers(shared.kinds)
            parts.append(
                requests.PromptPart(
                    id=f"{kind.name}{index}-{thing}", tokens=shared.tokens
                )
            )
        own = int(max(1, min(kind.own_most, own)))
        parts.append(requests.PromptPart(id=f"o{next(self.order)}", tokens=own))
        events = kind.events * self._rng.lognormal(
            -(kind.events_spread**2) / 2, kind.events_spread
        )
        tokens_out = max(1, int(events * self._load.engine.tokens_per_event))
        return _Call(
            kind=kind,
            front=fronts[self._rng.integers(len(fronts))],
            prompt=requests.Prompt(
                model="m", parts=tuple(parts), output_tokens=tokens_out
            ),
            tokens_out=tokens_out,
            asked_at=when,
            domain=domain,
        )

    def _ask(self, call: _Call, sent_at: float) -> None:
        """Places a call whose client sent it then, for the first time or again."""
        call.sent_at = sent_at
        self.at(sent_at + call.kind.abandon_s, self._abandon, call)
        self._place(call)

    def _abandon(self, call: _Call) -> None:
        if call.state != "open" or call.first_at is not None:
            return
        if self.now < call.sent_at + call.kind.abandon_s - 1e-9:
            return
        self._settle(call, "left")
        self._drop(call, requests.Ending.LEFT)

    def _drop(self, call: _Call, ending) -> None:
        placement, call.placement = call.placement, None
        if placement is not None:
            call.front.placer.ended(placement, ending, self.now)
            self._tell(call)

    # Fronts.

    def _patience(self, call: _Call) -> requests.Patience:
        kind = call.kind
        return requests.Patience(
            on_time_s=call.asked_at + CLIENT_S + kind.objective_s - self.now,
            given_up_s=call.sent_at + CLIENT_S + kind.abandon_s - self.now,
            once=kind.once,
        )

    def _place(self, call: _Call) -> None:
        if call.state != "open":
            return
        placer = call.front.placer
        chosen = placer.choose_engine(
            call.prompt, self._targets, self._patience(call), self.now
        )
        if chosen is None or chosen.is_err():
            self._refused(call, chosen)
            return
        call.placement = chosen.unwrap()
        self._tell(call)
        job = _Job(
            call=call,
            placement=call.placement,
            left_tokens=float(call.prompt.tokens),
            context=0.0,
            prefill_only=call.placement.prefill_only,
        )
        self.at(self.now + NETWORK_S, self._put, job)

    def _refused(self, call: _Call, refusal) -> None:
        """Lets the client come back once, if it is told a time that it has."""
        retry_s = NO_TARGET_RETRY_S
        if refusal is not None:
            retry_s = refusal.unwrap_err().retry_after_s
        left_s = call.asked_at + call.kind.deadline_s - self.now
        if call.returned or retry_s > left_s / 3:
            self._settle(call, "refused")
            return
        call.returned = True
        returns_at = self.now + retry_s
        self.at(returns_at, self._ask, call, returns_at)

    def _put(self, job: _Job) -> None:
        if job.gone:
            return
        rank = job.call.kind.priority + job.placement.rank
        self._engines[job.placement.target.name].put(job, rank)

    def read(self, job: _Job) -> None:
        """Takes a prompt that was read apart and has it answered elsewhere."""
        call = job.call
        if job.gone:
            return
        placer = call.front.placer
        took_s = self.now - job.placement.placed_at
        placer.began(job.placement, call.prompt, took_s, self.now)
        placer.ended(job.placement, requests.Ending.SOUND, self.now)
        call.placement = placer.choose_answerer(
            call.prompt,
            job.placement.target.domain,
            self._targets,
            self._patience(call),
            self.now,
        )
        self._tell(call)
        engine = self._engines[call.placement.target.name]
        missing = call.prompt.tokens - engine.kept(call.prompt)
        engine.keep(call.prompt)
        fetch_s = missing / self._load.engine.fetch_tokens_per_ms / 1000
        answer = _Job(
            call=call,
            placement=call.placement,
            left_tokens=0.0,
            context=float(call.prompt.tokens),
            prefill_only=False,
        )
        self.at(self.now + 2 * NETWORK_S + fetch_s, self._put, answer)

    def kept_at(self, engine: _Engine, prompt, fetch_from: str) -> int:
        """Returns what an engine keeps of a prompt or can fetch."""
        kept = engine.kept(prompt)
        source = self._by_address.get(fetch_from)
        return max(kept, source.kept(prompt)) if source is not None else kept

    def event(self, job: _Job, *, last: bool) -> None:
        """Takes an event of an answer."""
        call = job.call
        if job.gone or call.lost:
            return
        if call.first_at is None and self._loses(call, job):
            return
        seen_at = self.now + NETWORK_S
        if call.first_at is None:
            call.first_at = seen_at + CLIENT_S
            took_s = seen_at - job.placement.placed_at
            call.front.placer.began(job.placement, call.prompt, took_s, self.now)
            self._tell(call)
        else:
            pause_s = seen_at - call.last_event_at
            call.longest_pause_s = max(call.longest_pause_s, pause_s)
        call.last_event_at = seen_at
        if last:
            self._answered(call)

    def _loses(self, call: _Call, job: _Job) -> bool:
        share, silent = self._losing.get(job.placement.target.name, (0.0, False))
        if not share or self._fault_rng.random() >= share:
            return False
        if silent:
            call.lost = True
            return True
        job.ended = True
        self._drop(call, requests.Ending.FAILED)
        call.arrived += 1
        if call.kind.once or call.arrived > 1:
            self._settle(call, "failed")
        else:
            self._place(call)
        return True

    def _answered(self, call: _Call) -> None:
        placer, placement = call.front.placer, call.placement
        placer.streamed(placement, self.now)
        placer.ended(placement, requests.Ending.SOUND, self.now)
        call.placement = None
        self._tell(call)
        late = call.first_at - call.asked_at > call.kind.objective_s
        paused = call.longest_pause_s > call.kind.pause_s
        fate = "late" if late else "paused" if paused else "on time"
        self._settle(call, fate)

    def _settle(self, call: _Call, fate: str) -> None:
        call.state = fate
        kind, outcome = call.kind, self.outcome
        outcome.asked += 1
        outcome.counts[kind.name, fate] += 1
        outcome.lost += fate in ("left", "refused", "failed")
        earned = {
            "on time": kind.worth,
            "late": kind.late_worth,
            "paused": kind.late_worth,
        }
        size = 0.3 + 0.7 * min(
            4.0, call.prompt.tokens / (kind.own_tokens + kind.shared_tokens)
        )
        for key in (
            ("day", ""),
            ("class", kind.name),
            ("domain", call.domain),
            ("window", int(call.asked_at / 2)),
        ):
            outcome.owed[key] += size * kind.worth
            outcome.earned[key] += size * earned.get(fate, 0.0)

    # Telling.

    def _tell(self, call: _Call) -> None:
        front = call.front
        long = call.prompt.tokens >= requests.SHORT_PROMPT_TOKENS
        if long or self.now - front.told_at >= SHORT_TELL_INTERVAL_S:
            self._send(front)

    def _relay(self) -> None:
        """Tells each front what all others do, as it was an interval ago."""
        total = requests.sum_loads(front.told for front in self.fronts)
        notes = [note for front in self.fronts for note in front.notes]
        for front in self.fronts:
            loads = {
                target: load.without(front.told.get(target, requests.NO_LOAD))
                for target, load in total.items()
            }
            front.notes = []
            told = (front, "relay", loads, notes, len(self.fronts))
            self.at(self.now + TELL_S, self._hear, *told)
        for front in self.fronts:
            front.told = front.placer.own_loads()
            front.notes = front.placer.memories.take_notes()
        if self.now < self._load.length_s + 8.0:
            self.at(self.now + self._load.relay_interval_s, self._relay)

    def _send(self, front: _Front) -> None:
        front.told_at = self.now
        if self._load.relay_interval_s:
            return
        loads = front.placer.own_loads()
        notes = front.placer.memories.take_notes()
        name = str(id(front))
        for other in self.fronts:
            if other is not front:
                self.at(self.now + TELL_S, self._hear, other, name, loads, notes)

    def _hear(self, front: _Front, teller: str, loads, notes, fronts: int = 1) -> None:
        front.placer.peers.take(teller, loads, self.now, fronts)
        for note in notes:
            front.placer.memories.take(note)
