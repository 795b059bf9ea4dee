"""Fronts before plain replicas, which certain requests crash.

The same request of the same caller comes again and again, at any front; its clients
retry as the platform's do. Builds on the simulated fleet of `crashing_fleet`.
"""

import collections
import itertools
import random

import attrs

from tests import crashing_fleet, limited_fleet
from turmericward import dispatching, requests, routing
from turmericward.routing import _fingerprint

# The bound of the rule: later than `SETTLING_S` after a request has crashed its third
# replica, at most `MAX_LATE_ARRIVALS` sendings of it reach replicas.
CRASHES_COUNTED = 3
SETTLING_S = 3.0
MAX_LATE_ARRIVALS = 3
# Share of the sound calls served beside it, of what it was before.
MIN_SERVED_SHARE = 0.9

WORK_S = 0.06
MAX_CLIENT_ATTEMPTS = 2

READ = limited_fleet.ROUTE
WRITE = attrs.evolve(
    READ, name="act", kind=routing.CallKind.NON_IDEMPOTENT, max_attempts=1
)


@attrs.frozen
class Request:
    """What clients send; without a path, each sending has one of its own."""

    path: str = ""
    caller: str = ""
    route: routing.Route = READ


@attrs.define(kw_only=True, eq=False)
class Call(crashing_fleet.Call):
    """A call with its request."""

    request: Request


def replicas(count: int) -> list[crashing_fleet.Engine]:
    """Returns plain replicas in the domains a, b and c in turn."""
    servers = limited_fleet.servers(count)
    return [crashing_fleet.Engine(target=server.target) for server in servers]


class World(crashing_fleet.World):
    """Sends sound requests all the time, and deadly ones from a time on."""

    def __init__(
        self,
        fronts_each: int,
        servers: list[crashing_fleet.Engine],
        sound: list[Request],
        deadly: list[Request],
        *,
        listens_again: bool = False,
        answered_until: float = 0.0,
        **options,
    ) -> None:
        """Creates the fleet in three domains; further options as of the base class.

        Args:
            fronts_each: fronts of each domain.
            servers: the replicas.
            sound: requests that replicas answer.
            deadly: requests that crash them.
            listens_again: whether something listens at a crashed replica's address
                when fronts look.
            answered_until: until when the replicas answer what crashes them later.
            options: options of the base class.
        """
        super().__init__(fronts_each, servers, sound, deadly, **options)
        self._listens_again = listens_again
        self._answered_until = answered_until
        self._paths = itertools.count()
        self.crashes: dict[Request, list[float]] = collections.defaultdict(list)
        self.arrivals: dict[Request, list[float]] = collections.defaultdict(list)
        # Sound requests that a front refused since they seemed to crash replicas.
        self.false_alarms: list[Request] = []

    def _send(self, sent_prompt: Request, *, deadly: bool) -> None:
        request = sent_prompt
        if not request.path:
            request = attrs.evolve(request, path=f"/own/{next(self._paths)}")
        call = Call(
            sent_at=self.now,
            domain=self._random.choice([domain for _, domain in self._names]),
            prompt=None,
            route=request.route,
            deadly=deadly,
            request=request,
        )
        self.calls.append(call)
        self._request(call)

    def _place_message(
        self, call: Call, prefill_domain: str
    ) -> dispatching.Place | None:
        message = super()._place_message(call, prefill_domain)
        if message is None:
            return None
        request = call.request
        changed = attrs.evolve(message.call, target=request.path, caller=request.caller)
        number = _fingerprint.fingerprint(changed, message.service)
        return attrs.evolve(message, call=changed, fingerprint=number)

    def _refuse(self, call: Call, refusal: requests.Refusal) -> None:
        if refusal.reason in ("quarantined", "suspected") and not call.deadly:
            self.false_alarms.append(call.request)
        if call.attempts < MAX_CLIENT_ATTEMPTS:
            super()._refuse(call, refusal)

    def _give_up(self, call: Call) -> None:
        # Clients repeat what may run more than once, at once and on a new connection.
        if call.route.repeatable and call.attempts < MAX_CLIENT_ATTEMPTS:
            call.attempts_at_engines, call.excluded = 0, frozenset()
            self.schedule(self.now + limited_fleet.NETWORK_DELAY_S, self._request, call)

    # Replicas.

    def _begin_s(self, placement) -> float:
        return self._random.uniform(0.5, 1.5) * WORK_S

    def _reach(self, front, call: Call, placement) -> None:
        if call.deadly and placement.target.name in self.servers:
            self.arrivals[call.request].append(self.now)
        super()._reach(front, call, placement)

    def _output(self, engine: crashing_fleet.Engine, visit: int, reached_at) -> None:
        if visit not in engine.open:
            return
        front, call, placement = engine.open[visit]
        if call.deadly and not self._mended and self.now >= self._answered_until:
            self.crashes[call.request].append(self.now)
            self.crash(engine.target.name)
            return
        if self._is_running(front):
            front.dispatch.handle(
                dispatching.FirstOutput(
                    placement=placement, prompt=None, took_s=self.now - reached_at
                )
            )
        self._complete(engine, visit)

    def _end(self, front, call, placement, ending, **details) -> None:
        if ending is requests.Ending.CRASHED and self._listens_again:
            ending, details = requests.Ending.FAILED, {"connection_lost": True}
        super()._end(front, call, placement, ending, **details)

    def crash_any(self, source: random.Random) -> None:
        """Ends one of the replicas, if one is up."""
        if self.servers:
            self.crash(source.choice(list(self.servers)))

    # Results.

    def late_by_request(self) -> dict[Request, int]:
        """Returns how many sendings reached replicas after the third crash."""
        late = {}
        for request, crashed in self.crashes.items():
            if len(crashed) >= CRASHES_COUNTED:
                since = crashed[CRASHES_COUNTED - 1] + SETTLING_S
                late[request] = sum(at > since for at in self.arrivals[request])
        return late

    def served_share(self, since: float, until: float) -> float:
        """Returns the share of the sound calls sent in a time that were answered."""
        sound = [c for c in self.calls if not c.deadly and since <= c.sent_at < until]
        return sum(call.answered_at is not None for call in sound) / len(sound)

    def served_from(self) -> float:
        """Returns when the bound on the share of sound calls begins to hold."""
        counted = [
            crashed[:CRASHES_COUNTED][-1] + SETTLING_S
            for crashed in self.crashes.values()
        ]
        return max(counted, default=0.0) + self._restart_s
