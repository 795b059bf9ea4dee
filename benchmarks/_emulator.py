"""Emulator of fronts, engines and clients under one virtual clock.

Fronts place calls by the product's `Placer` and publish their loads to each other as
real ones do. Clients disconnect when no event comes in time.
"""

import heapq
import itertools

import numpy

from benchmarks import (
    _calls,
    _engines,
    _late,
    _limits,
    _loads,
    _outcome,
    prompt_model,
)
from turmericward import fleet, requests

CLIENT_DELAY_S = 0.003
NETWORK_DELAY_S = 0.001
# Delay of a publication of loads, and the minimum time between two publications that
# calls with short prompts cause. Variants of an experiment patch them by name.
PUBLISH_DELAY_S = 0.002
SHORT_PROMPT_PUBLISH_INTERVAL_S = 0.05
HEARTBEAT_S = 0.25
DOMAINS = "abcdefgh"
CHECK_INTERVAL_S = 0.1


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
        self.targets = prompt_model.targets(
            load.prefill, load.decode, domains=self._domains, slots=load.engine.slots
        )
        speeds = itertools.cycle(load.speeds or (1.0,))
        self._engines = {
            target.name: _engines.Engine(target, load.engine, self, next(speeds))
            for target in self.targets
        }
        self._by_address = {e.target.address: e for e in self._engines.values()}
        self.fronts = [self._front(n) for n in range(load.fronts)]
        for front in self.fronts:
            front.placer.cache_index.set_capacity("model", load.engine.memory_tokens)
            for target in self.targets:
                front.placer.put(target)
        self._arrivals = _calls.Arrivals(load, self._rng, self.fronts, self.order)
        publish_delay_s = load.relay_interval_s or PUBLISH_DELAY_S
        self.limits = _limits.EngineLimits(self.fronts, publish_delay_s, self.schedule)
        self._answer_losses: dict[str, tuple[float, bool]] = {}
        self.outcome = _outcome.Outcome()
        self._late = _late.LateAttempts(load, self)

    def _front(self, number: int) -> _calls.Front:
        domain = self._domains[number % len(self._domains)]
        admission = fleet.Admission(f"front-{number}", grace_s=0.0)
        names = (f"front-{n}" for n in range(self._load.fronts))
        admission.limits.members.set_names(frozenset(names))
        for target in self.targets:
            admission.directory.put(target)
        return _calls.Front(requests.Placer(number, domain), admission, domain)

    # Clock.

    def schedule(self, when: float, action, *args) -> None:
        """Schedules a call of `action` for a virtual time."""
        heapq.heappush(self._events, (when, next(self.order), action, args))

    def run(self) -> _outcome.Outcome:
        """Runs the load to its end and returns the outcome of its calls."""
        for kind in self._load.classes:
            for call in self._arrivals.of_class(kind):
                arrives_at = call.requested_at + CLIENT_DELAY_S
                self.schedule(arrives_at, self._request, call, call.requested_at)
        for fault in self._load.faults:
            self.schedule(fault.at, self._apply_fault, fault, True)
            self.schedule(fault.at + fault.for_s, self._apply_fault, fault, False)
        for number in range(len(self.fronts)):
            self.schedule(0.0, self._check_periodically, number)
        if self._load.relay_interval_s:
            self.schedule(0.0, self._relay)
        while self._events:
            self.now, _, action, args = heapq.heappop(self._events)
            if self.now > self._load.length_s + 10.0:
                break
            action(*args)
        return self.outcome

    def _check_periodically(self, number: int) -> None:
        front = self.fronts[number]
        front.placer.count_overdue(self.now)
        self._late.check(number, self.now)
        if self.now - front.published_at >= HEARTBEAT_S:
            self._publish(front)
        if self.now < self._load.length_s + 8.0:
            self.schedule(self.now + CHECK_INTERVAL_S, self._check_periodically, number)

    def _apply_fault(self, fault: _loads.Fault, active: bool) -> None:
        affected = [
            e for e in self._engines.values() if fault.role in ("", e.target.role.value)
        ]
        for engine in affected[: fault.engines]:
            name = engine.target.name
            if fault.kind == "slow":
                engine.slowdown = fault.x if active else 1.0
            elif fault.kind == "paused":
                engine.pause() if active else engine.go_on()
            elif fault.kind == "limited":
                self.limits.set(name, fault.x if active else None)
            elif active:
                self._answer_losses[name] = (fault.x, fault.silent)
            else:
                self._answer_losses.pop(name, None)

    # Clients.

    def _request(self, call: _calls.Call, sent_at: float) -> None:
        """Places a call that its client sent, or repeated, at `sent_at`."""
        call.sent_at = sent_at
        self.schedule(sent_at + call.kind.abandon_s, self._abandon, call)
        self._late.add(self.fronts.index(call.front), call)
        self._place(call)

    def _abandon(self, call: _calls.Call) -> None:
        if call.state != "open" or call.first_token_at is not None:
            return
        if self.now < call.sent_at + call.kind.abandon_s - 1e-9:
            return
        self._settle(call, "left")
        self._end_placement(call, requests.Ending.DISCONNECTED)

    def _end_placement(self, call: _calls.Call, ending) -> None:
        placement, call.placement = call.placement, None
        if placement is not None:
            call.front.placer.ended(placement, ending, self.now)
            self._publish_if_due(call)

    # Fronts.

    def deadlines(self, call: _calls.Call) -> requests.Deadlines:
        """Returns how long a call's client still waits."""
        kind = call.kind
        return requests.Deadlines(
            soft_deadline_s=call.requested_at
            + CLIENT_DELAY_S
            + kind.objective_s
            - self.now,
            hard_deadline_s=call.sent_at + CLIENT_DELAY_S + kind.abandon_s - self.now,
            at_most_once=kind.once,
        )

    def _place(self, call: _calls.Call) -> None:
        if call.state != "open":
            return
        deadlines = self.deadlines(call)
        candidates = self.candidates(call, deadlines.soft_deadline_s, urgent=False)
        chosen = call.front.placer.choose_engine(
            call.prompt, candidates.targets, deadlines, self.now, candidates.waits_s
        )
        if chosen is None:
            admission = call.front.admission
            retry_s = admission.return_after_s(candidates, self.now)
            self._retry_or_refuse(call, retry_s)
            return
        if chosen.is_err():
            self._retry_or_refuse(call, chosen.unwrap_err().retry_after_s)
            return
        placement = chosen.unwrap()
        job = _engines.Job(
            call=call,
            placement=placement,
            remaining_tokens=float(call.prompt.tokens),
            context_tokens=0.0,
            prefill_only=placement.prefill_only,
        )
        self.start(job)

    def start(self, job: _engines.Job) -> None:
        """Sends a job to its engine, in place of its call's earlier one."""
        self._assign(job.call, job.placement)
        starts_at = self.now + job.placement.start_after_s
        self.schedule(starts_at + NETWORK_DELAY_S, self._submit, job)

    def candidates(
        self,
        call: _calls.Call,
        max_wait_s: float,
        *,
        urgent: bool,
        excluded: frozenset[str] = frozenset(),
    ) -> fleet.Candidates:
        """Returns the engines that a call may be sent to."""
        kind = call.kind
        return call.front.admission.candidates(
            "model",
            excluded,
            self.now,
            urgent=urgent or kind.once or kind.priority == 0,
            max_wait_s=max_wait_s,
        )

    def _assign(self, call: _calls.Call, placement: requests.Placement) -> None:
        call.placement = placement
        call.waiting_since = self.now + placement.start_after_s
        call.front.admission.sent(placement.target.name, self.now)
        self._publish_if_due(call)

    def _retry_or_refuse(self, call: _calls.Call, retry_s: float) -> None:
        """Repeats a call once if the delay is at most a third of its time left."""
        remaining_s = call.requested_at + call.kind.deadline_s - self.now
        if call.retried or retry_s > remaining_s / 3:
            self._settle(call, "refused")
            return
        call.retried = True
        retry_at = self.now + retry_s
        self.schedule(retry_at, self._request, call, retry_at)

    def _submit(self, job: _engines.Job) -> None:
        if job.stale:
            return
        self.limits.record_arrival(job.placement.target.name, self.now)
        rank = job.call.kind.priority + job.placement.rank
        self._engines[job.placement.target.name].submit(job, rank)

    def end_prefill(self, job: _engines.Job) -> None:
        """Places the decode of a call whose prompt a prefill engine has finished."""
        call = job.call
        if job.stale:
            return
        placer = call.front.placer
        self.limits.answer(job, self.now)
        took_s = self.now - job.placement.placed_at
        placer.record_first_output(job.placement, call.prompt, took_s, self.now)
        placer.ended(job.placement, requests.Ending.SUCCEEDED, self.now)
        deadlines = self.deadlines(call)
        candidates = self.candidates(call, deadlines.hard_deadline_s, urgent=True)
        placement = placer.choose_decode_engine(
            call.prompt,
            job.placement.target.domain,
            candidates.targets,
            deadlines,
            self.now,
            candidates.waits_s,
        )
        if placement is None:
            call.placement = None
            admission = call.front.admission
            self._retry_or_refuse(call, admission.return_after_s(candidates, self.now))
            return
        self._assign(call, placement)
        engine = self._engines[call.placement.target.name]
        uncached = call.prompt.tokens - engine.cached_tokens(call.prompt)
        engine.cache(call.prompt)
        fetch_s = uncached / self._load.engine.fetch_tokens_per_ms / 1000
        decode_job = _engines.Job(
            call=call,
            placement=call.placement,
            remaining_tokens=0.0,
            context_tokens=float(call.prompt.tokens),
            prefill_only=False,
        )
        starts_at = self.now + call.placement.start_after_s
        self.schedule(
            starts_at + 2 * NETWORK_DELAY_S + fetch_s, self._submit, decode_job
        )

    def reusable_tokens(self, engine: _engines.Engine, prompt, fetch_from: str) -> int:
        """Returns the tokens of a prompt that an engine has cached or can fetch."""
        cached = engine.cached_tokens(prompt)
        source = self._by_address.get(fetch_from)
        return (
            max(cached, source.cached_tokens(prompt)) if source is not None else cached
        )

    def receive_event(self, job: _engines.Job, *, last: bool) -> None:
        """Delivers an event of an answer to the client; the first one may be lost."""
        call = job.call
        if job.stale or call.hanging:
            return
        if call.first_token_at is None and self._loses_answer(call, job):
            return
        seen_at = self.now + NETWORK_DELAY_S
        if call.first_token_at is None:
            self.limits.answer(job, self.now)
            call.first_token_at = seen_at + CLIENT_DELAY_S
            took_s = seen_at - job.placement.placed_at
            call.front.placer.record_first_output(
                job.placement, call.prompt, took_s, self.now
            )
            self._publish_if_due(call)
        else:
            interval_s = seen_at - call.last_event_at
            call.max_interval_s = max(call.max_interval_s, interval_s)
        call.last_event_at = call.waiting_since = seen_at
        call.generated = job.generated
        call.front.placer.heard(job.placement.target.name, self.now)
        if last:
            self._complete(call)

    def _loses_answer(self, call: _calls.Call, job: _engines.Job) -> bool:
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

    def fail(self, call: _calls.Call) -> None:
        """Ends a call without its whole answer."""
        self._end_placement(call, requests.Ending.FAILED)
        self._settle(call, "failed")

    def _complete(self, call: _calls.Call) -> None:
        placer, placement = call.front.placer, call.placement
        placer.streamed(placement, self.now)
        placer.ended(placement, requests.Ending.SUCCEEDED, self.now)
        call.placement = None
        self._publish_if_due(call)
        late = call.first_token_at - call.requested_at > call.kind.objective_s
        paused = call.max_interval_s > call.kind.pause_s
        result = "late" if late else "paused" if paused else "on time"
        self._settle(call, result)

    def _settle(self, call: _calls.Call, result: str) -> None:
        call.state = result
        self.outcome.record(call, result)

    # Publishing of loads.

    def _publish_if_due(self, call: _calls.Call) -> None:
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

    def _publish(self, front: _calls.Front) -> None:
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
        self, front: _calls.Front, sender: str, loads, entries, fronts: int = 1
    ) -> None:
        front.placer.peers.replace(sender, loads, self.now, fronts)
        for entry in entries:
            front.placer.cache_index.apply(entry)
