"""Emulator of fronts, engines and clients under one virtual clock.

Engines work in steps: a step decodes one token of every running call and prefills
one chunk of the waiting prompts, one after the other by rank. An engine that also
decodes prefills chunks a quarter as long at half the speed. Events bundle tokens,
so chunked prefill lengthens the interval between events. Fronts place calls by the
product's `Placer` and publish their loads to each other as real ones do. Clients
disconnect when no event comes in time.
"""

import collections
import heapq
import itertools
import math

import attrs
import numpy

from benchmarks import _loads, prompt_model
from turmericward import fleet, requests

CLIENT_DELAY_S = 0.003
NETWORK_DELAY_S = 0.001
# Delay of a publication of loads, and the minimum time between two publications that
# calls with short prompts cause. Variants of an experiment patch them by name.
PUBLISH_DELAY_S = 0.002
SHORT_PROMPT_PUBLISH_INTERVAL_S = 0.05
HEARTBEAT_S = 0.25
# Calls arrive in groups from clients of one domain, spread over the window.
MEAN_GROUP_SIZE = 3.0
GROUP_WINDOW_S = 0.03
NO_TARGET_RETRY_S = 0.5
DOMAINS = "abcdefgh"
CHECK_INTERVAL_S = 0.1
DECODE_ENGINE_PREFILL_SPEED = 0.5
DECODE_ENGINE_CHUNK_SHARE = 0.25


@attrs.define(kw_only=True, eq=False)
class _Call:
    """One call, its current placement, and what its client received."""

    kind: _loads.CallClass
    front: "_Front"
    prompt: requests.Prompt
    tokens_out: int
    requested_at: float
    domain: str
    placement: requests.Placement | None = None
    first_token_at: float | None = None
    last_event_at: float = 0.0
    max_interval_s: float = 0.0
    state: str = "open"
    failures: int = 0
    hanging: bool = False
    retried: bool = False
    sent_at: float = 0.0


@attrs.define(kw_only=True, eq=False)
class _Job:
    """A call's prefill or decode at one engine."""

    call: _Call
    placement: requests.Placement
    remaining_tokens: float
    context_tokens: float
    prefill_only: bool
    generated: int = 0
    ended: bool = False

    @property
    def stale(self) -> bool:
        """Whether the job ended or its call has another placement or none."""
        return self.ended or self.call.placement is not self.placement


class _Engine:
    """One engine; reports prefills, events and stream ends to the simulation."""

    def __init__(
        self, target: fleet.Target, cfg: _loads.EngineTraits, simulation
    ) -> None:
        self.target = target
        self._cfg = cfg
        self._simulation = simulation
        self._queue: list[tuple[tuple, _Job]] = []
        self._prefilling: collections.deque[_Job] = collections.deque()
        self._running: list[_Job] = []
        self._busy = False
        self._cached: collections.OrderedDict[object, int] = collections.OrderedDict()
        self._total_cached_tokens = 0
        self.slowdown = 1.0

    @property
    def _only_prefills(self) -> bool:
        return not self.target.can_decode

    def submit(self, job: _Job, rank: int) -> None:
        heapq.heappush(self._queue, ((rank, next(self._simulation.order)), job))
        self._start_if_idle()

    def _start_if_idle(self) -> None:
        if not self._busy and (self._queue or self._prefilling or self._running):
            self._busy = True
            self._begin_step()

    def _admit(self) -> None:
        while self._queue:
            if len(self._prefilling) + len(self._running) >= self._cfg.slots:
                return
            # One prompt is prefilled at a time; the next one is chosen by rank.
            if self._prefilling and self._queue[0][1].remaining_tokens > 0:
                return
            _, job = heapq.heappop(self._queue)
            if job.stale:
                continue
            if job.remaining_tokens > 0:
                job.remaining_tokens = self._uncached_tokens(job)
                self._prefilling.append(job)
            else:
                self._running.append(job)

    def _uncached_tokens(self, job: _Job) -> float:
        """Returns the prompt tokens neither cached here nor at the KV source."""
        prompt = job.call.prompt
        cached = self._simulation.reusable_tokens(
            self, prompt, job.placement.fetch_from
        )
        job.context_tokens = cached
        return max(1.0, prompt.tokens - cached)

    def _begin_step(self) -> None:
        self._admit()
        budget = self._cfg.piece_tokens
        speed = self._cfg.tokens_per_ms
        if not self._only_prefills:
            budget *= DECODE_ENGINE_CHUNK_SHARE
            speed *= DECODE_ENGINE_PREFILL_SPEED
        took_ms, prefilled = 0.0, []
        while self._prefilling and budget > 0:
            job = self._prefilling[0]
            if job.stale:
                self._prefilling.popleft()
                self._admit()
                continue
            chunk = min(budget, job.remaining_tokens)
            pairs = chunk * (job.context_tokens + chunk / 2) / 1e6
            took_ms += chunk / speed + pairs * self._cfg.pairs_ms_per_million
            job.remaining_tokens -= chunk
            job.context_tokens += chunk
            budget -= chunk
            if job.remaining_tokens <= 0:
                self._prefilling.popleft()
                prefilled.append(job)
                self._admit()
        running = list(self._running)
        if running or not self._only_prefills:
            took_ms += self._cfg.step_ms
            took_ms += self._cfg.step_ms_per_answer * len(running)
        took_s = self.slowdown * (took_ms + self._cfg.first_ms * bool(prefilled)) / 1000
        self._simulation.schedule(
            self._simulation.now + took_s, self._end_step, running, prefilled
        )

    def _end_step(self, running: list[_Job], prefilled: list[_Job]) -> None:
        for job in running:
            if job.stale:
                continue
            job.generated += 1
            if job.generated >= job.call.tokens_out:
                self._simulation.receive_event(job, last=True)
                job.ended = True
            elif job.generated % self._cfg.tokens_per_event == 1:
                self._simulation.receive_event(job, last=False)
        self._running = [job for job in self._running if not job.stale]
        for job in prefilled:
            if job.stale:
                continue
            self.cache(job.call.prompt)
            if job.prefill_only:
                self._simulation.end_prefill(job)
            else:
                self._running.append(job)
        self._busy = False
        self._start_if_idle()

    def cache(self, prompt: requests.Prompt) -> None:
        for key, tokens in (
            *prompt.shared_segments,
            (object(), prompt.tokens - prompt.shared_tokens),
        ):
            self._total_cached_tokens += tokens - self._cached.pop(key, 0)
            self._cached[key] = tokens
        while self._total_cached_tokens > self._cfg.memory_tokens and self._cached:
            _, tokens = self._cached.popitem(last=False)
            self._total_cached_tokens -= tokens

    def cached_tokens(self, prompt: requests.Prompt) -> int:
        total = 0
        for segment, tokens in prompt.shared_segments:
            if segment not in self._cached:
                break
            total += tokens
        return total


@attrs.define(eq=False)
class _Front:
    placer: requests.Placer
    domain: str
    published_at: float = -1.0
    published_loads: dict = attrs.field(factory=dict)
    cache_entries: list = attrs.field(factory=list)


@attrs.define
class Outcome:
    """Calls by class and result, and the worth earned of the worth possible."""

    counts: collections.Counter = attrs.field(factory=collections.Counter)
    earned: collections.Counter = attrs.field(factory=collections.Counter)
    possible: collections.Counter = attrs.field(factory=collections.Counter)
    calls: int = 0
    unanswered: int = 0

    def min_share(self, group: str) -> float:
        """Returns the smallest share of worth earned among the keys of a group."""
        return min(
            self.earned[key] / possible
            for key, possible in self.possible.items()
            if key[0] == group
        )

    def worth(self, weights: _loads.Weights) -> float:
        """Returns the weighted sum of the shares by group and the nines of success."""
        windows = sorted(
            self.earned[k] / o for k, o in self.possible.items() if k[0] == "window"
        )
        nines = -math.log10(max(0.001, self.unanswered / max(1, self.calls))) / 3
        return (
            weights.day * self.min_share("day")
            + weights.windows * sum(windows[:2]) / max(1, len(windows[:2]))
            + weights.kind * self.min_share("class")
            + weights.domain * self.min_share("domain")
            + weights.nines * nines
        )


class Simulation:
    """The state of one run of a load."""

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
            front.placer.cache_index.set_capacity("model", load.engine.memory_tokens)
            for target in self._targets:
                front.placer.cache_index.set_service(target)
        self._answer_losses: dict[str, tuple[float, bool]] = {}
        self.outcome = Outcome()

    def _front(self, number: int) -> _Front:
        domain = self._domains[number % len(self._domains)]
        return _Front(requests.Placer(number, domain), domain)

    # Clock.

    def schedule(self, when: float, action, *args) -> None:
        """Schedules a call of `action` for a virtual time."""
        heapq.heappush(self._events, (when, next(self.order), action, args))

    def run(self) -> Outcome:
        """Runs the load to its end and returns the outcome of its calls."""
        for kind in self._load.classes:
            self._schedule_arrivals(kind)
        for fault in self._load.faults:
            self.schedule(fault.at, self._apply_fault, fault, True)
            self.schedule(fault.at + fault.for_s, self._apply_fault, fault, False)
        for front in self.fronts:
            self.schedule(0.0, self._check_periodically, front)
        if self._load.relay_interval_s:
            self.schedule(0.0, self._relay)
        while self._events:
            self.now, _, action, args = heapq.heappop(self._events)
            if self.now > self._load.length_s + 10.0:
                break
            action(*args)
        return self.outcome

    def _check_periodically(self, front: _Front) -> None:
        front.placer.count_overdue(self.now)
        if self.now - front.published_at >= HEARTBEAT_S:
            self._publish(front)
        if self.now < self._load.length_s + 8.0:
            self.schedule(self.now + CHECK_INTERVAL_S, self._check_periodically, front)

    def _apply_fault(self, fault: _loads.Fault, active: bool) -> None:
        affected = [
            e for e in self._engines.values() if fault.role in ("", e.target.role.value)
        ]
        for engine in affected[: fault.engines]:
            name = engine.target.name
            if fault.kind == "slow":
                engine.slowdown = fault.x if active else 1.0
            elif active:
                self._answer_losses[name] = (fault.x, fault.silent)
            else:
                self._answer_losses.pop(name, None)

    # Clients.

    def _schedule_arrivals(self, kind: _loads.CallClass) -> None:
        when = 0.0
        while True:
            rate = kind.per_s * self._rate_factor(kind, when) / MEAN_GROUP_SIZE
            when += self._rng.exponential(1 / rate)
            if when >= self._load.length_s:
                return
            domain = self._domains[self._rng.integers(len(self._domains))]
            for _ in range(self._rng.geometric(1 / MEAN_GROUP_SIZE)):
                offset = self._rng.uniform(0, GROUP_WINDOW_S)
                call = self._new_call(kind, when + offset, domain)
                self.schedule(
                    call.requested_at + CLIENT_DELAY_S,
                    self._request,
                    call,
                    call.requested_at,
                )

    def _rate_factor(self, kind, when: float) -> float:
        factor = 1.0
        for burst in self._load.bursts:
            if burst.name == kind.name and burst.at <= when < burst.at + burst.for_s:
                factor *= burst.x
        return factor

    def _new_call(self, kind, when: float, domain: str) -> _Call:
        fronts = [f for f in self.fronts if f.domain == domain]
        sigma = kind.own_spread
        own_tokens = kind.own_tokens * self._rng.lognormal(-(sigma**2) / 2, sigma)
        segments = []
        for index, shared in enumerate(kind.shared):
            segment = self._rng.integers(shared.kinds)
            segments.append(
                requests.PromptSegment(
                    id=f"{kind.name}{index}-{segment}", tokens=shared.tokens
                )
            )
        own_tokens = int(max(1, min(kind.own_most, own_tokens)))
        segments.append(
            requests.PromptSegment(id=f"o{next(self.order)}", tokens=own_tokens)
        )
        events = kind.events * self._rng.lognormal(
            -(kind.events_spread**2) / 2, kind.events_spread
        )
        tokens_out = max(1, int(events * self._load.engine.tokens_per_event))
        return _Call(
            kind=kind,
            front=fronts[self._rng.integers(len(fronts))],
            prompt=requests.Prompt(
                model="m", segments=tuple(segments), output_tokens=tokens_out
            ),
            tokens_out=tokens_out,
            requested_at=when,
            domain=domain,
        )

    def _request(self, call: _Call, sent_at: float) -> None:
        """Places a call that its client sent, or repeated, at `sent_at`."""
        call.sent_at = sent_at
        self.schedule(sent_at + call.kind.abandon_s, self._abandon, call)
        self._place(call)

    def _abandon(self, call: _Call) -> None:
        if call.state != "open" or call.first_token_at is not None:
            return
        if self.now < call.sent_at + call.kind.abandon_s - 1e-9:
            return
        self._settle(call, "left")
        self._end_placement(call, requests.Ending.DISCONNECTED)

    def _end_placement(self, call: _Call, ending) -> None:
        placement, call.placement = call.placement, None
        if placement is not None:
            call.front.placer.ended(placement, ending, self.now)
            self._publish_if_due(call)

    # Fronts.

    def _deadlines(self, call: _Call) -> requests.Deadlines:
        kind = call.kind
        return requests.Deadlines(
            soft_deadline_s=call.requested_at
            + CLIENT_DELAY_S
            + kind.objective_s
            - self.now,
            hard_deadline_s=call.sent_at + CLIENT_DELAY_S + kind.abandon_s - self.now,
            at_most_once=kind.once,
        )

    def _place(self, call: _Call) -> None:
        if call.state != "open":
            return
        placer = call.front.placer
        chosen = placer.choose_engine(
            call.prompt, self._targets, self._deadlines(call), self.now
        )
        if chosen is None or chosen.is_err():
            self._retry_or_refuse(call, chosen)
            return
        call.placement = chosen.unwrap()
        self._publish_if_due(call)
        job = _Job(
            call=call,
            placement=call.placement,
            remaining_tokens=float(call.prompt.tokens),
            context_tokens=0.0,
            prefill_only=call.placement.prefill_only,
        )
        self.schedule(self.now + NETWORK_DELAY_S, self._submit, job)

    def _retry_or_refuse(self, call: _Call, refusal) -> None:
        """Repeats a call once if the delay is at most a third of its time left."""
        retry_s = NO_TARGET_RETRY_S
        if refusal is not None:
            retry_s = refusal.unwrap_err().retry_after_s
        remaining_s = call.requested_at + call.kind.deadline_s - self.now
        if call.retried or retry_s > remaining_s / 3:
            self._settle(call, "refused")
            return
        call.retried = True
        retry_at = self.now + retry_s
        self.schedule(retry_at, self._request, call, retry_at)

    def _submit(self, job: _Job) -> None:
        if job.stale:
            return
        rank = job.call.kind.priority + job.placement.rank
        self._engines[job.placement.target.name].submit(job, rank)

    def end_prefill(self, job: _Job) -> None:
        """Places the decode of a call whose prompt a prefill engine has finished."""
        call = job.call
        if job.stale:
            return
        placer = call.front.placer
        took_s = self.now - job.placement.placed_at
        placer.record_first_output(job.placement, call.prompt, took_s, self.now)
        placer.ended(job.placement, requests.Ending.SUCCEEDED, self.now)
        call.placement = placer.choose_decode_engine(
            call.prompt,
            job.placement.target.domain,
            self._targets,
            self._deadlines(call),
            self.now,
        )
        self._publish_if_due(call)
        engine = self._engines[call.placement.target.name]
        uncached = call.prompt.tokens - engine.cached_tokens(call.prompt)
        engine.cache(call.prompt)
        fetch_s = uncached / self._load.engine.fetch_tokens_per_ms / 1000
        decode_job = _Job(
            call=call,
            placement=call.placement,
            remaining_tokens=0.0,
            context_tokens=float(call.prompt.tokens),
            prefill_only=False,
        )
        self.schedule(
            self.now + 2 * NETWORK_DELAY_S + fetch_s, self._submit, decode_job
        )

    def reusable_tokens(self, engine: _Engine, prompt, fetch_from: str) -> int:
        """Returns the tokens of a prompt that an engine has cached or can fetch."""
        cached = engine.cached_tokens(prompt)
        source = self._by_address.get(fetch_from)
        return (
            max(cached, source.cached_tokens(prompt)) if source is not None else cached
        )

    def receive_event(self, job: _Job, *, last: bool) -> None:
        """Delivers an event of an answer to the client; the first one may be lost."""
        call = job.call
        if job.stale or call.hanging:
            return
        if call.first_token_at is None and self._loses_answer(call, job):
            return
        seen_at = self.now + NETWORK_DELAY_S
        if call.first_token_at is None:
            call.first_token_at = seen_at + CLIENT_DELAY_S
            took_s = seen_at - job.placement.placed_at
            call.front.placer.record_first_output(
                job.placement, call.prompt, took_s, self.now
            )
            self._publish_if_due(call)
        else:
            interval_s = seen_at - call.last_event_at
            call.max_interval_s = max(call.max_interval_s, interval_s)
        call.last_event_at = seen_at
        if last:
            self._complete(call)

    def _loses_answer(self, call: _Call, job: _Job) -> bool:
        share, silent = self._answer_losses.get(job.placement.target.name, (0.0, False))
        if not share or self._fault_rng.random() >= share:
            return False
        if silent:
            call.hanging = True
            return True
        job.ended = True
        self._end_placement(call, requests.Ending.FAILED)
        call.failures += 1
        if call.kind.once or call.failures > 1:
            self._settle(call, "failed")
        else:
            self._place(call)
        return True

    def _complete(self, call: _Call) -> None:
        placer, placement = call.front.placer, call.placement
        placer.streamed(placement, self.now)
        placer.ended(placement, requests.Ending.SUCCEEDED, self.now)
        call.placement = None
        self._publish_if_due(call)
        late = call.first_token_at - call.requested_at > call.kind.objective_s
        paused = call.max_interval_s > call.kind.pause_s
        result = "late" if late else "paused" if paused else "on time"
        self._settle(call, result)

    def _settle(self, call: _Call, result: str) -> None:
        call.state = result
        kind, outcome = call.kind, self.outcome
        outcome.calls += 1
        outcome.counts[kind.name, result] += 1
        outcome.unanswered += result in ("left", "refused", "failed")
        worth_by_result = {
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
            ("window", int(call.requested_at / 2)),
        ):
            outcome.possible[key] += size * kind.worth
            outcome.earned[key] += size * worth_by_result.get(result, 0.0)

    # Publishing of loads.

    def _publish_if_due(self, call: _Call) -> None:
        front = call.front
        long = call.prompt.tokens >= requests.SHORT_PROMPT_TOKENS
        if long or self.now - front.published_at >= SHORT_PROMPT_PUBLISH_INTERVAL_S:
            self._publish(front)

    def _relay(self) -> None:
        """Sends each front the sum of its peers' loads of one interval ago."""
        total = requests.sum_loads(front.published_loads for front in self.fronts)
        entries = [e for front in self.fronts for e in front.cache_entries]
        for front in self.fronts:
            loads = {
                target: load.without(
                    front.published_loads.get(target, requests.NO_LOAD)
                )
                for target, load in total.items()
            }
            front.cache_entries = []
            args = (front, "relay", loads, entries, len(self.fronts))
            self.schedule(self.now + PUBLISH_DELAY_S, self._receive, *args)
        for front in self.fronts:
            front.published_loads = front.placer.local_loads()
            front.cache_entries = front.placer.cache_index.pop_unsent()
        if self.now < self._load.length_s + 8.0:
            self.schedule(self.now + self._load.relay_interval_s, self._relay)

    def _publish(self, front: _Front) -> None:
        front.published_at = self.now
        if self._load.relay_interval_s:
            return
        loads = front.placer.local_loads()
        entries = front.placer.cache_index.pop_unsent()
        name = str(id(front))
        for other in self.fronts:
            if other is not front:
                self.schedule(
                    self.now + PUBLISH_DELAY_S,
                    self._receive,
                    other,
                    name,
                    loads,
                    entries,
                )

    def _receive(
        self, front: _Front, sender: str, loads, entries, fronts: int = 1
    ) -> None:
        front.placer.peers.replace(sender, loads, self.now, fronts)
        for entry in entries:
            front.placer.cache_index.apply(entry)
