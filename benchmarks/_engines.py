"""Engines of the emulator, which work in steps.

A step decodes one token of every running call and prefills one chunk of the waiting
prompts, one after the other by rank. An engine that also decodes prefills chunks a
quarter as long at half the speed. Events bundle tokens, so chunked prefill lengthens
the interval between events.
"""

import collections
import heapq

import attrs

from benchmarks import _calls, _loads
from turmericward import fleet, requests

DECODE_ENGINE_PREFILL_SPEED = 0.5
DECODE_ENGINE_CHUNK_SHARE = 0.25


@attrs.define(kw_only=True, eq=False)
class Job:
    """A call's prefill or decode at one engine."""

    call: _calls.Call
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


class Engine:
    """One engine; reports prefills, events and stream ends to the simulation."""

    def __init__(
        self,
        target: fleet.Target,
        cfg: _loads.EngineTraits,
        simulation,
        speed: float = 1.0,
    ) -> None:
        self.target = target
        self._cfg = cfg
        self._simulation = simulation
        self._queue: list[tuple[tuple, Job]] = []
        self._prefilling: collections.deque[Job] = collections.deque()
        self._running: list[Job] = []
        self._busy = False
        self._cached: collections.OrderedDict[object, int] = collections.OrderedDict()
        self._total_cached_tokens = 0
        self.slowdown = 1.0
        self._speed = speed
        self._paused = False
        # A step whose end the pause has delayed.
        self._delayed: tuple[list[Job], list[Job]] | None = None

    @property
    def _only_prefills(self) -> bool:
        return not self.target.can_decode

    def submit(self, job: Job, rank: int) -> None:
        heapq.heappush(self._queue, ((rank, next(self._simulation.order)), job))
        self._start_if_idle()

    def pause(self) -> None:
        """Stops all work, without losing any."""
        self._paused = True

    def go_on(self) -> None:
        """Goes on with the work after a pause."""
        self._paused = False
        delayed, self._delayed = self._delayed, None
        if delayed is not None:
            self._end_step(*delayed)
        self._start_if_idle()

    def _start_if_idle(self) -> None:
        if self._paused:
            return
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

    def _uncached_tokens(self, job: Job) -> float:
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
        took_s = (
            self.slowdown
            / self._speed
            * (took_ms + self._cfg.first_ms * bool(prefilled))
            / 1000
        )
        self._simulation.schedule(
            self._simulation.now + took_s, self._end_step, running, prefilled
        )

    def _end_step(self, running: list[Job], prefilled: list[Job]) -> None:
        if self._paused:
            self._delayed = (running, prefilled)
            return
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
