"""Fronts that share targets with rate limits, under a virtual clock, without threads.

Dispatchers and peer tasks are the product's; they exchange datagrams through a
simulated network. Targets record what reaches them, so that the rate of all fronts
together can be checked in every window.
"""

import bisect
import functools
import heapq
import itertools
import random
from unittest import mock

import attrs

from turmericward import dispatching, fleet, peers, requests, routing, runtime

# The bound on the requests that reach a target: in each window of this length, from
# the settling time after it first named a limit on, at most this factor times what
# the limit allows, plus the slack. Only fronts that have received an answer with the
# limit a while before are counted.
WINDOW_S = 4.0
SETTLING_S = 3.0
FACTOR = 1.5
SLACK = 5
TOLD_S = 0.5

NETWORK_DELAY_S = 0.002
DISPATCH_PERIOD_S = 0.1
LISTING_DELAY_S = 0.7
CLIENT_DEADLINE_S = 4.0
MAX_CLIENT_ATTEMPTS = 4

ROUTE = routing.Route(
    name="read",
    host="h",
    path_prefix="/",
    kind=routing.CallKind.IDEMPOTENT,
    timeout_s=8.0,
    objective_s=0.8,
    gap_s=0.25,
    abandon_s=3.2,
    priority=1,
    max_attempts=2,
    resumable=False,
    destinations=(routing.Destination(service="s"),),
)


@attrs.frozen(kw_only=True)
class Arrival:
    """A request that reached a target at `at` from an incarnation of a front."""

    at: float
    front: str
    boot: int


@attrs.define(kw_only=True, eq=False)
class Server:
    """A target; `limits` has the times of changes, each with the new limit or None."""

    target: fleet.Target
    service_s: float = 0.1
    limits: list[tuple[float, float | None]] = attrs.field(factory=list)
    arrivals: list[Arrival] = attrs.field(factory=list)
    # When each incarnation of a front first got an answer with a limit.
    told: dict[tuple[str, int], float] = attrs.field(factory=dict)

    def limit_at(self, when: float) -> float | None:
        """Returns the limit named at a time."""
        named = None
        for at, per_s in self.limits:
            if at <= when:
                named = per_s
        return named

    def windows_over_limit(self, *, told_only: bool = False) -> list[str]:
        """Returns a line for each window with more requests than allowed."""
        named_at = [at for at, per_s in self.limits if per_s is not None]
        if not named_at:
            return []
        first_named_at = min(named_at)
        counted = sorted(
            a.at for a in self.arrivals if not told_only or self._is_told(a)
        )
        lines = []
        for index, start in enumerate(counted):
            allowed = self._allowed(start)
            if start < first_named_at + SETTLING_S or allowed is None:
                continue
            count = bisect.bisect_right(counted, start + WINDOW_S) - index
            if count > allowed:
                lines.append(
                    f"{self.target.name}: {count} requests from {start:.2f} s on, "
                    f"allowed {allowed:.1f}"
                )
        return lines

    def _is_told(self, arrival: Arrival) -> bool:
        told_at = self.told.get((arrival.front, arrival.boot))
        return told_at is not None and told_at + TOLD_S <= arrival.at

    def _allowed(self, start: float) -> float | None:
        """Returns the bound of a window, None if it holds a time without limit."""
        steps = 40
        total = 0.0
        for step in range(steps):
            when = start + WINDOW_S * step / steps
            # A change takes as long to reach the fronts as the first limit does.
            limits = [self.limit_at(when), self.limit_at(when - TOLD_S)]
            if None in limits:
                return None
            total += max(limits) * WINDOW_S / steps
        return FACTOR * total + SLACK


@attrs.define(kw_only=True, eq=False)
class Front:
    """One incarnation of a front."""

    name: str
    domain: str
    boot: int
    dispatch: dispatching.DispatchTask
    peer_task: peers.PeerTask
    started_at: float = 0.0
    up: bool = True
    frozen_until: float = 0.0


@attrs.define(kw_only=True, eq=False)
class ClientCall:
    """A client's call over all its attempts."""

    sent_at: float
    domain: str
    prompt: requests.Prompt | None
    route: routing.Route
    attempts: int = 0
    refused: bool = False
    answered_at: float | None = None


# A relay sends the same bytes to all its members.
_decode = functools.lru_cache(maxsize=256)(peers.decode)


class _Socket:
    """Sends datagrams into the simulated network."""

    def __init__(self, world: "World", host: str) -> None:
        self._world = world
        self._host = host

    def sendto(self, data: bytes, address) -> None:
        self._world.send_datagram(self._host, address[0], data)


class World:
    """Fronts, targets and clients; use `run` inside `with`."""

    def __init__(
        self,
        domains: str,
        fronts_each: int,
        servers: list[Server],
        *,
        calls_per_s: float,
        seed: int = 1,
        prompt: requests.Prompt | None = None,
        routes: tuple[routing.Route, ...] = (ROUTE,),
    ) -> None:
        """Creates fronts that know each other and all targets."""
        self.now = 0.0
        self.servers = {s.target.name: s for s in servers}
        # Earlier incarnations of restarted targets.
        self.retired: list[Server] = []
        self.calls: list[ClientCall] = []
        self.fronts: dict[str, Front] = {}
        self.cut_domains: set[str] = set()
        self.datagrams = 0
        self._events: list = []
        self._order = itertools.count()
        self._boots = itertools.count()
        self._random = random.Random(seed)
        self._calls_per_s = calls_per_s
        self._prompt = prompt
        self._routes = routes
        self._patch = mock.patch.object(runtime, "now", lambda: self.now)
        self._names = [
            (f"{domain}{n:03}", domain)
            for domain in domains
            for n in range(fronts_each)
        ]

    def __enter__(self) -> "World":
        self._patch.start()
        for name, domain in self._names:
            self.start_front(name, domain)
        self.schedule(0.0, self._next_call)
        return self

    def __exit__(self, *_) -> None:
        self._patch.stop()

    # Clock.

    def schedule(self, when: float, action, *args) -> None:
        """Schedules a call of `action` for a virtual time."""
        heapq.heappush(self._events, (when, next(self._order), action, args))

    def run(self, until: float) -> None:
        """Plays all events up to a virtual time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.now = until

    # Fronts.

    def start_front(self, name: str, domain: str) -> None:
        """Starts a front, also in place of one with the same name."""
        dispatch = dispatching.DispatchTask(
            name=name,
            domain=domain,
            seed=len(self.fronts),
            grace_s=2.5,
            retries=dispatching.RetryBounds(share=0.2, slack=50.0),
            publish=lambda state: self._publish(front, state),
        )
        peer_task = peers.PeerTask(
            name,
            domain,
            1,
            _Socket(self, name),
            deliver=dispatch.handle,
            clock=lambda: self.now,
        )
        front = Front(
            name=name,
            domain=domain,
            boot=next(self._boots),
            dispatch=dispatch,
            peer_task=peer_task,
            started_at=self.now,
        )
        self.fronts[name] = front
        targets = tuple(s.target for s in self.servers.values())
        dispatch.handle(dispatching.ReplaceTargets(targets=targets))
        delay_s = LISTING_DELAY_S if self.now else 0.0
        self.schedule(self.now + delay_s, self._list_fronts, front)
        self.schedule(self.now, self._run_dispatch, front)
        self.schedule(self.now, self._run_peers, front)

    def kill_front(self, name: str) -> None:
        """Ends a front without notice."""
        self.fronts[name].up = False

    def freeze_front(self, name: str, for_s: float) -> None:
        """Suspends a front; what arrives meanwhile is handled afterwards."""
        self.fronts[name].frozen_until = self.now + for_s

    def restart_server(self, name: str) -> None:
        """Replaces a target by its next incarnation, which names its limit anew."""
        old = self.servers[name]
        target = attrs.evolve(old.target, started_ms=old.target.started_ms + 1)
        self.retired.append(old)
        named = [(self.now, old.limit_at(self.now))]
        self.servers[name] = Server(
            target=target,
            service_s=old.service_s,
            limits=named + [row for row in old.limits if row[0] > self.now],
        )
        for front in self.fronts.values():
            self.schedule(self.now + 0.2, self._announce, front, target)

    def _announce(self, front: Front, target: fleet.Target) -> None:
        if self._is_running(front):
            front.dispatch.handle(dispatching.PutTargets(targets=(target,)))

    def _is_running(self, front: Front) -> bool:
        return front.up and self.fronts[front.name] is front

    def _list_fronts(self, front: Front) -> None:
        for name, domain in self._names:
            if name != front.name:
                message = peers.Announced(front=name, host=name, domain=domain)
                front.peer_task.handle(message)
        front.peer_task.handle(peers.FrontsListed())
        if (front.name, front.domain) not in self._names:
            self._names.append((front.name, front.domain))

    def _run_dispatch(self, front: Front) -> None:
        if not self._is_running(front):
            return
        if front.frozen_until <= self.now:
            front.dispatch.run_periodic()
        self.schedule(self.now + DISPATCH_PERIOD_S, self._run_dispatch, front)

    def _run_peers(self, front: Front) -> None:
        if not self._is_running(front):
            return
        if front.frozen_until <= self.now:
            front.peer_task.run_periodic()
        self.schedule(self.now + front.peer_task.period_s, self._run_peers, front)

    def _publish(self, front: Front, state: peers.LocalState) -> None:
        front.peer_task.handle(state)

    def send_datagram(self, sender: str, receiver: str, data: bytes) -> None:
        """Delivers a datagram unless its domains are cut off from each other."""
        self.datagrams += 1
        if sender[0] != receiver[0] and self.cut_domains & {sender[0], receiver[0]}:
            return
        when = self.now + NETWORK_DELAY_S
        self.schedule(when, self._receive_datagram, sender, receiver, data)

    def _receive_datagram(self, sender: str, receiver: str, data: bytes) -> None:
        front = self.fronts.get(receiver)
        if front is None or not front.up:
            return
        if front.frozen_until > self.now:
            args = (sender, receiver, data)
            self.schedule(front.frozen_until, self._receive_datagram, *args)
            return
        message = peers.StateReceived(state=_decode(data), host=sender)
        front.peer_task.handle(message)

    # Clients.

    def _next_call(self) -> None:
        self.schedule(
            self.now + self._random.expovariate(self._calls_per_s), self._next_call
        )
        call = ClientCall(
            sent_at=self.now,
            domain=self._random.choice([domain for _, domain in self._names]),
            prompt=self._prompt,
            route=self._random.choice(self._routes),
        )
        self.calls.append(call)
        self._request(call)

    def _request(self, call: ClientCall) -> None:
        running = [f for f in self.fronts.values() if f.up]
        local = [f for f in running if f.domain == call.domain]
        front = self._random.choice(local or running)
        if front.frozen_until > self.now:
            self.schedule(front.frozen_until, self._request, call)
            return
        call.attempts += 1
        self._place(front, call)

    def _place_message(
        self, call: ClientCall, prefill_domain: str
    ) -> dispatching.Place | None:
        """Returns the request for a target, None if the client waits no longer."""
        remaining_s = call.sent_at + CLIENT_DEADLINE_S - self.now
        if remaining_s <= 0:
            return None
        return dispatching.Place(
            call=routing.Call(
                id="c",
                method="GET",
                target="/",
                headers=(),
                body=b"",
                route=call.route,
                received=self.now,
                deadline_s=remaining_s,
                deadline=self.now + remaining_s,
                prompt=call.prompt,
            ),
            service="s",
            excluded=frozenset(),
            prefilled=bool(prefill_domain),
            prefill_domain=prefill_domain,
        )

    def _place(self, front: Front, call: ClientCall, prefill_domain: str = "") -> None:
        message = self._place_message(call, prefill_domain)
        if message is None:
            return
        placed = front.dispatch.handle(message)
        if placed.is_err():
            self._refuse(call, placed.unwrap_err())
            return
        placement = placed.unwrap()
        when = self.now + placement.start_after_s + NETWORK_DELAY_S
        self.schedule(when, self._reach, front, call, placement)

    def _refuse(self, call: ClientCall, refusal: requests.Refusal) -> None:
        call.refused = True
        remaining_s = call.sent_at + CLIENT_DEADLINE_S - self.now
        if call.attempts >= MAX_CLIENT_ATTEMPTS:
            return
        if refusal.retry_after_s <= remaining_s / 3:
            self.schedule(self.now + refusal.retry_after_s, self._request, call)

    # Targets.

    def _reach(self, front: Front, call: ClientCall, placement) -> None:
        server = self.servers[placement.target.name]
        server.arrivals.append(Arrival(at=self.now, front=front.name, boot=front.boot))
        when = self.now + server.service_s
        self.schedule(when, self._answer, server, front, call, placement, self.now)

    def _answer(self, server: Server, front, call, placement, reached_at) -> None:
        if not self._is_running(front):
            return
        if front.frozen_until > self.now:
            args = (server, front, call, placement, reached_at)
            self.schedule(front.frozen_until, self._answer, *args)
            return
        self._notify(server, front, reached_at)
        dispatch = front.dispatch
        took_s = self.now - reached_at
        dispatch.handle(
            dispatching.FirstOutput(
                placement=placement, prompt=call.prompt, took_s=took_s
            )
        )
        dispatch.handle(
            dispatching.PlacementEnded(
                placement=placement,
                prompt=call.prompt,
                ending=requests.Ending.SUCCEEDED,
            )
        )
        if placement.prefill_only:
            self._place(front, call, placement.target.domain)
        else:
            call.answered_at = self.now

    def _notify(self, server: Server, front: Front, sent_at: float) -> None:
        per_s = server.limit_at(self.now)
        target = server.target
        if per_s is not None:
            server.told.setdefault((front.name, front.boot), self.now)
        elif target.name not in front.dispatch.recently_limited:
            return
        observed_at = sent_at if per_s is None else self.now
        limit = fleet.RateLimit(per_s=per_s, observed_at=observed_at)
        front.dispatch.handle(dispatching.TargetNotice(target=target, limit=limit))

    # Results.

    def windows_over_limit(self, *, told_only: bool = False) -> list[str]:
        """Returns the windows of all targets with more requests than allowed."""
        return [
            line
            for server in (*self.servers.values(), *self.retired)
            for line in server.windows_over_limit(told_only=told_only)
        ]

    def answered_share(self, since: float, until: float) -> float:
        """Returns the share of the calls sent in a time that were answered."""
        sent = [c for c in self.calls if since <= c.sent_at < until]
        return sum(c.answered_at is not None for c in sent) / len(sent)

    def rate(self, name: str, since: float, until: float) -> float:
        """Returns the requests a second that reached a target in a time."""
        arrivals = self.servers[name].arrivals
        return sum(since <= a.at < until for a in arrivals) / (until - since)


def servers(count: int, role: fleet.EngineRole | None = None) -> list[Server]:
    """Returns targets without limits, in the domains in turn."""
    return [
        Server(
            target=fleet.Target(
                name=f"t{n}",
                service="s",
                address=f"10.0.0.{n}:1",
                domain="abc"[n % 3],
                slots=32,
                role=role,
                started_ms=1,
            )
        )
        for n in range(count)
    ]
