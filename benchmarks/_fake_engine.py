"""A model engine under a virtual clock: batching, prefix cache, priorities.

Prefill and decode share one processor. Load reports are published after a lag.
"""

import collections

import attrs

CACHE_BLOCK_TOKENS = 2000
STEP_S = 0.02
PREFILL_TOKENS_PER_S = 12_000.0
DECODE_TOKENS_PER_S = 1_600.0
STREAM_TOKENS_PER_S = 40.0
PREFILL_SHARE_BESIDE_DECODE = 0.6
MAX_RUNNING = 48
CACHE_BLOCKS = 60


@attrs.define(eq=False)
class Job:
    """A request at an engine with its remaining prefill and decode tokens."""

    id: int
    traffic_class: str
    priority: int
    arrived: float
    prompt_tokens: int
    output_tokens: int
    prefix: str
    prefix_tokens: int
    remaining_prefill: float = 0.0
    remaining_decode: float = 0.0
    first_at: float | None = None
    done_at: float | None = None
    lost: bool = False


class FakeEngine:
    """One engine; `step` advances it by STEP_S seconds."""

    def __init__(self, name: str, lag_s: float) -> None:
        """Starts idle with an empty cache; reports are `lag_s` old."""
        self.name = name
        self.alive = True
        self._lag_s = lag_s
        self._queue: list[Job] = []
        self._running: list[Job] = []
        self._cache: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._reports: collections.deque = collections.deque()

    def submit(self, job: Job) -> None:
        """Queues a job."""
        job.remaining_prefill = job.prompt_tokens - self.cached_tokens(job)
        job.remaining_decode = job.output_tokens
        self._queue.append(job)

    def cached_tokens(self, job: Job) -> int:
        """Returns how many tokens of the job's prompt are in the cache."""
        return self._cache.get(job.prefix, 0)

    def kill(self) -> list[Job]:
        """Stops the engine; returns the jobs that it drops."""
        self.alive = False
        lost = self._queue + self._running
        self._queue, self._running = [], []
        return lost

    def report(self, now: float) -> tuple[float, int, int]:
        """Returns time, running and queued of the newest published report."""
        while len(self._reports) > 1 and self._reports[1][0] <= now - self._lag_s:
            self._reports.popleft()
        return self._reports[0] if self._reports else (0.0, 0, 0)

    def wait_s(self, job: Job) -> float:
        """Returns the true time to the job's first token if it arrived now."""
        ahead = [j for j in self._queue if j.priority <= job.priority]
        prefilling = [
            j
            for j in self._running
            if j.remaining_prefill > 0 and j.priority <= job.priority
        ]
        tokens = sum(j.remaining_prefill for j in ahead + prefilling)
        tokens += job.prompt_tokens - self.cached_tokens(job)
        rate = PREFILL_TOKENS_PER_S
        if self._running:
            rate *= PREFILL_SHARE_BESIDE_DECODE
        return tokens / rate + STEP_S

    def step(self, now: float) -> list[Job]:
        """Runs for STEP_S seconds and returns the jobs that ended."""
        if not self.alive:
            return []
        self._admit()
        decoding = [j for j in self._running if j.remaining_prefill <= 0]
        prefilling = [j for j in self._running if j.remaining_prefill > 0]
        share = 1.0
        if prefilling and decoding:
            share = PREFILL_SHARE_BESIDE_DECODE
        self._prefill(prefilling, share if prefilling else 0.0, now)
        ended = self._decode(decoding, 1.0 - share if prefilling else 1.0, now)
        self._reports.append((now, len(self._running), len(self._queue)))
        return ended

    def _admit(self) -> None:
        self._queue.sort(key=lambda j: (j.priority, j.arrived))
        while self._queue and len(self._running) < MAX_RUNNING:
            self._running.append(self._queue.pop(0))

    def _prefill(self, jobs: list[Job], share: float, now: float) -> None:
        budget = PREFILL_TOKENS_PER_S * STEP_S * share
        for job in sorted(jobs, key=lambda j: (j.priority, j.arrived)):
            used = min(budget, job.remaining_prefill)
            job.remaining_prefill -= used
            budget -= used
            if job.remaining_prefill <= 0:
                job.first_at = now + STEP_S
                self._cache_prefix(job)
            if budget <= 0:
                return

    def _cache_prefix(self, job: Job) -> None:
        self._cache[job.prefix] = job.prefix_tokens
        self._cache.move_to_end(job.prefix)
        while sum(self._cache.values()) > CACHE_BLOCKS * CACHE_BLOCK_TOKENS:
            self._cache.popitem(last=False)

    def _decode(self, jobs: list[Job], share: float, now: float) -> list[Job]:
        if not jobs:
            return []
        rate = min(STREAM_TOKENS_PER_S, DECODE_TOKENS_PER_S * share / len(jobs))
        ended = []
        for job in jobs:
            job.remaining_decode -= rate * STEP_S
            if job.remaining_decode <= 0:
                job.done_at = now + STEP_S
                ended.append(job)
        self._running = [j for j in self._running if j.done_at is None]
        return ended
