"""A queue under virtual time, before which fronts share its capacity."""

import collections
import heapq
import itertools
import random
import statistics

import attrs

from turmericward import sharing

SERVICE = "model"
HEAVY = "heavy"
CAPACITY = 1_000.0
WORKSPACES = 86
FAIR = CAPACITY / WORKSPACES
# One call in ten is a long one; sizes in work.
SIZES = (1.0,) * 9 + (10.0,)
OBJECTIVE_S = 0.3
DEADLINE_S = 3.0
TICK_S = 0.01
PUBLISH_INTERVAL_S = 0.5
RETRY_DELAY_S = 0.02


@attrs.frozen(kw_only=True)
class Load:
    """What is sent for `length_s`: rates are in multiples of a fair share.

    In a burst, which lasts 5 of every 10 seconds, all but the heavy workspace send
    `burst` times as much; refused calls of the heavy one are sent again immediately,
    up to `retries` times. If they are `sticky`, all but the heavy workspace send each
    to one front.
    """

    others: float = 0.8
    heavy: float = 0.0
    burst: float = 1.0
    retries: int = 0
    sticky: bool = False
    length_s: float = 60.0


@attrs.define
class Result:
    """Calls by workspace: first attempts, and those served at all and in time."""

    asked: collections.Counter = attrs.field(factory=collections.Counter)
    served: collections.Counter = attrs.field(factory=collections.Counter)
    in_time: collections.Counter = attrs.field(factory=collections.Counter)
    work: float = 0.0
    refusals: list = attrs.field(factory=list)


@attrs.frozen(order=True)
class _Arrival:
    at: float
    number: int
    workspace: str = attrs.field(order=False)
    work: float = attrs.field(order=False)
    attempts_left: int = attrs.field(order=False)
    first_at: float = attrs.field(order=False)


def _arrivals(load: Load, seed: int) -> list[_Arrival]:
    numbers = itertools.count()
    arrivals = []
    rates = {f"w{i}": load.others for i in range(WORKSPACES - 1)} | {HEAVY: load.heavy}
    for workspace, multiple in rates.items():
        rng = random.Random(f"{seed}/{workspace}")
        at = 0.0
        peak = load.burst if workspace != HEAVY else 1.0
        rate = multiple * FAIR / statistics.mean(SIZES)
        while rate:
            at += rng.expovariate(rate * peak)
            if at >= load.length_s:
                break
            size, kept = rng.choice(SIZES), rng.random()
            if at % 10 >= 5 or kept * peak <= 1:
                retries = load.retries if workspace == HEAVY else 0
                arrivals.append(
                    _Arrival(at, next(numbers), workspace, size, retries, at)
                )
    return arrivals


class Queue:
    """Serves in the order of ranks, and refuses what would exceed the deadline."""

    def __init__(
        self, fronts: int, seed: int, *, fair: bool = True, exchange: bool = True
    ) -> None:
        """Creates the fronts.

        Args:
            fronts: number of fronts.
            seed: seed of the fronts, delays and random choices.
            fair: whether calls are refused by share.
            exchange: whether fronts tell each other their work.
        """
        self._random = random.Random(seed)
        self._fair = fair
        self._fronts = [sharing.Shares(seed + i) for i in range(fronts)]
        self._waiting = (collections.deque(), collections.deque())
        self._backlog = [0.0, 0.0]
        self._told: list = []
        self._ids = itertools.count(1)
        self._exchange = exchange

    def run(self, load: Load, seed: int = 1) -> Result:
        """Plays a load to its end."""
        result = Result()
        coming = _arrivals(load, seed)
        result.asked.update(a.workspace for a in coming)
        heapq.heapify(coming)
        next_publish = 0.0
        for tick in range(int(load.length_s / TICK_S)):
            now = tick * TICK_S
            if now >= next_publish:
                next_publish += PUBLISH_INTERVAL_S
                self._publish(now)
            self._deliver(now)
            while coming and coming[0].at <= now:
                arrival = heapq.heappop(coming)
                front = self._front_of(arrival, sticky=load.sticky)
                again = self._arrive(arrival, front, now, result)
                if again is not None:
                    heapq.heappush(coming, again)
            self._serve(now, result)
        return result

    def _publish(self, now: float) -> None:
        if len(self._fronts) == 1 or not self._exchange:
            return
        for i, front in enumerate(self._fronts):
            work = front.local_work(now)
            for j in range(len(self._fronts)):
                if j != i:
                    due = now + self._random.uniform(0.1, 1.0)
                    heapq.heappush(self._told, (due, next(self._ids), i, j, work))

    def _deliver(self, now: float) -> None:
        while self._told and self._told[0][0] <= now:
            _, _, sender, receiver, work = heapq.heappop(self._told)
            self._fronts[receiver].apply(str(sender), work, now)

    def _front_of(self, arrival: _Arrival, *, sticky: bool) -> sharing.Shares:
        if sticky and arrival.workspace != HEAVY:
            return self._fronts[int(arrival.workspace[1:]) % len(self._fronts)]
        return self._random.choice(self._fronts)

    def _arrive(
        self, arrival: _Arrival, front: sharing.Shares, now: float, result: Result
    ) -> _Arrival | None:
        offer = sharing.Offer(
            service=SERVICE,
            workspace=arrival.workspace,
            priority=0,
            work=arrival.work,
        )
        verdict = front.offer(offer, now) if self._fair else sharing.WITHIN_SHARE
        if verdict.refusal is not None:
            result.refusals.append((now, arrival.workspace, verdict))
            return self._again(arrival, now)
        rank = min(1, verdict.ranks)
        # As the placer estimates it, which doesn't know ranks.
        wait_s = sum(self._backlog) / CAPACITY
        if wait_s > DEADLINE_S:
            front.observe(SERVICE, 2.0, now)
            return self._again(arrival, now)
        front.observe(SERVICE, wait_s / OBJECTIVE_S, now)
        placement = next(self._ids)
        front.placed(placement, offer, arrival.work, now)
        self._waiting[rank].append([arrival.work, arrival, front, placement])
        self._backlog[rank] += arrival.work
        return None

    def _again(self, arrival: _Arrival, now: float) -> _Arrival | None:
        if not arrival.attempts_left:
            return None
        return attrs.evolve(
            arrival,
            at=now + RETRY_DELAY_S,
            number=next(self._ids) + 10**9,
            attempts_left=arrival.attempts_left - 1,
        )

    def _serve(self, now: float, result: Result) -> None:
        left = CAPACITY * TICK_S
        for rank, waiting in enumerate(self._waiting):
            while waiting and left > 0:
                done = min(left, waiting[0][0])
                waiting[0][0] -= done
                left -= done
                self._backlog[rank] -= done
                result.work += done
                if waiting[0][0] <= 0:
                    _, arrival, front, placement = waiting.popleft()
                    front.served(placement, now)
                    front.ended(placement)
                    result.served[arrival.workspace] += 1
                    took_s = now - arrival.first_at
                    result.in_time[arrival.workspace] += took_s <= OBJECTIVE_S
