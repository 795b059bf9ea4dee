"""Task that owns the routing table, the targets and what is in flight."""

import collections
import functools

import attrs
import result
from absl import logging

from turmericward import fleet, peers, requests, runtime, telemetry
from turmericward.delivery import _messages, _retry_shares, _routes

NO_TARGET_RETRY_S = 0.5
TELL_INTERVAL_S = 0.05
TICK_S = 0.1
# Share of a route's longest deadline that clients' first calls have at least.
DEADLINE_SPREAD = 0.8


class DispatchTask(runtime.Task):
    """Chooses targets; `table` may be read by any thread."""

    tick_s = TICK_S

    def __init__(
        self,
        *,
        name: str,
        domain: str,
        seed: int,
        grace_s: float,
        retries: _messages.RetryBounds,
        tell,
        configured=lambda table: None,
    ) -> None:
        """Creates the task without configuration and targets.

        Args:
            name: name of this front.
            domain: failure domain of this front.
            seed: seed of the random choices.
            grace_s: how long a target may be missing after an outage.
            retries: bounds that all fronts keep together.
            tell: called with a `peers.Tell` when peers should know.
            configured: called with each table that comes into force.
        """
        super().__init__()
        self._directory = fleet.Directory(grace_s)
        self._rests = fleet.Rests()
        self._placer = requests.Placer(seed, domain)
        self._retries = _retry_shares.RetryShares(retries)
        self._told_at = 0.0
        self._longest_s: dict[str, float] = collections.defaultdict(float)
        self._tell = tell
        self._configured = configured
        self._name = name
        self._domain = domain
        self._held: dict[int, float] = {}
        self._listed: set[int] = set()
        self.table: _routes.RoutingTable | None = None

    @functools.singledispatchmethod
    def handle(self, message: object) -> object:
        """Acts on one message."""
        return super().handle(message)

    @handle.register
    def _(self, message: _messages.SetTable) -> bool:
        if self.table is not None and message.table.version <= self.table.version:
            return False
        self.table = message.table
        for service in message.table.services.values():
            if service.kv_capacity_tokens:
                self._placer.memories.set_capacity(
                    service.name, service.kv_capacity_tokens
                )
        logging.info("configuration %d is in force", message.table.version)
        self._configured(message.table)
        return True

    @handle.register
    def _(self, message: _messages.PutTargets) -> None:
        now = runtime.now()
        for target in message.targets:
            self._put(target)
        for name in message.gone:
            if self._directory.remove(name, now):
                self._gone(name)

    def _gone(self, name: str) -> None:
        logging.info("target %s is gone", name)
        self._forget(name)

    def _forget(self, name: str) -> None:
        self._placer.forget(name)
        self._rests.forget(name)

    def _put(self, target: fleet.Target) -> None:
        known = self._directory.get(target.name)
        if not self._directory.put(target):
            return
        if known is not None and known.started_ms != target.started_ms:
            self._forget(target.name)
        self._placer.memories.announced(target)
        if known is not None and known.role is not target.role:
            self._held.pop(requests.target_hash(target.name), None)
        if known is None or attrs.evolve(known, slots=target.slots) != target:
            telemetry.log_event(
                "target_changed",
                target=target.name,
                service=target.service,
                address=target.address,
                domain=target.domain,
                role=target.role.value if target.role else "",
                leaving=target.leaving,
            )

    @handle.register
    def _(self, message: _messages.ReplaceTargets) -> None:
        for target in message.targets:
            self._put(target)
        names = {t.name for t in message.targets} | message.kept
        for name in self._directory.keep_only(names, runtime.now()):
            self._gone(name)

    @handle.register
    def _(self, message: _messages.TargetNotice) -> None:
        name = message.target.name
        if message.leaving and self._leave(message.target):
            self._tell_now(leaving=frozenset((_life(message.target),)))
        now = runtime.now()
        if self._rests.note(name, message.rest_s, now):
            rest_s = self._rests.left_s(name, now)
            telemetry.log_event("target_rests", target=name, rest_s=rest_s)

    def _take_leaving(self, leaving: frozenset[peers.LeavingTarget]) -> None:
        if not leaving:
            return
        for target in self._directory.all():
            if _life(target) in leaving:
                self._leave(target)

    def _leave(self, target: fleet.Target) -> bool:
        """Notes that a target leaves in this life; tells whether that is news."""
        name, started_ms = target.name, target.started_ms
        if not self._directory.leave(name, started_ms):
            return False
        telemetry.log_event("target_leaves", target=name, started_ms=started_ms)
        return True

    @handle.register
    def _(self, message: _messages.SourceReturned) -> None:
        self._directory.source_returned(runtime.now())

    def tick(self) -> None:
        """Drops targets whose grace has ended, and peers that are silent."""
        now = runtime.now()
        for name in self._directory.expire(now):
            self._gone(name)
        self._held = {t: until for t, until in self._held.items() if until > now}
        for peer in self._placer.peers.expire(now):
            logging.info("peer %s is silent", peer)
        self._retries.count_peers(self._placer.peers.live())
        self._placer.note_overdue(now)

    @handle.register
    def _(self, message: peers.PeerState) -> None:
        self._placer.peers.take(
            message.front, message.loads, runtime.now(), message.fronts
        )
        for note in message.kept:
            self._placer.memories.take(note)
        self._listed |= message.listed
        self._take_leaving(message.leaving)
        for target, ttl_s in message.held.items():
            self._held[target] = runtime.now() + ttl_s

    @handle.register
    def _(self, message: _messages.GetEngines) -> _messages.EnginesView:
        targets = [t for t in self._directory.all() if t.role and not t.leaving]
        engines = collections.defaultdict(list)
        for target in targets:
            engines[target.service].append(target)
        return _messages.EnginesView(
            engines=dict(engines),
            loads={t.name: self._engine_load(t.name) for t in targets},
            first=all(self._name < peer for peer in self._placer.peers.names()),
            listed=frozenset(
                t.name for t in targets if requests.target_hash(t.name) in self._listed
            ),
        )

    def _engine_load(self, name: str) -> fleet.EngineLoad:
        load = self._placer.load(name)
        return fleet.EngineLoad(
            open_calls=load.open_calls,
            waiting_tokens=load.urgent_tokens + load.deferred_tokens,
        )

    @handle.register
    def _(self, message: _messages.GetStatus) -> _messages.Status:
        now = runtime.now()
        return _messages.Status(
            front=self._name,
            domain=self._domain,
            version=None if self.table is None else self.table.version,
            targets=tuple(self._target_status(t, now) for t in self._directory.all()),
            peer_ages_s=self._placer.peers.ages(now),
            retries_left=self._retries.left(),
        )

    def _target_status(self, target: fleet.Target, now: float):
        load = self._placer.load(target.name)
        return _messages.TargetStatus(
            name=target.name,
            service=target.service,
            address=target.address,
            domain=target.domain,
            role=target.role.value if target.role else "",
            leaving=target.leaving,
            held=self._is_held(target, now),
            rests_s=round(self._rests.left_s(target.name, now), 3),
            usable=self._placer.health.usable(target.name, now),
            failure_share=round(self._placer.failure_share(target.name, now), 3),
            urgent_tokens=int(load.urgent_tokens),
            deferred_tokens=int(load.deferred_tokens),
            open_calls=load.open_calls,
        )

    @handle.register
    def _(self, message: _messages.EngineKeeps) -> None:
        number = requests.target_hash(message.target.name)
        self._listed.add(number)
        self._placer.memories.listed(message.target, message.parts)
        self._tell_now(listed=frozenset((number,)))

    @handle.register
    def _(self, message: _messages.HoldTarget) -> None:
        target = requests.target_hash(message.name)
        self._held[target] = runtime.now() + message.until_s
        self._tell_now(held={target: message.until_s})

    def _tell_now(self, **changes) -> None:
        notes = tuple(self._placer.memories.take_notes())
        loads = self._placer.own_loads()
        self._tell(peers.Tell(loads=loads, kept=notes, **changes))

    def _is_held(self, target: fleet.Target, now: float) -> bool:
        return self._held.get(requests.target_hash(target.name), now) > now

    @handle.register
    def _(self, message: _messages.RetryBounds) -> None:
        self._retries.set_bounds(message)

    def _tell_peers(self, prompt: requests.Prompt | None) -> None:
        """Tells the peers of each long prompt, and of short ones now and then."""
        if prompt is None:
            return
        now = runtime.now()
        long = prompt.tokens >= requests.SHORT_PROMPT_TOKENS
        if long or now - self._told_at >= TELL_INTERVAL_S:
            self._told_at = now
            self._tell_now()

    @handle.register
    def _(self, message: _messages.Place):
        budget = self._retries.of(message.service)
        if message.retry and not budget.spend():
            return _refused("retry_budget")
        if not message.retry and not message.read:
            budget.earn()
        now = runtime.now()
        able = self._directory.usable(message.service)
        if message.excluded or self._held:
            able = [
                t
                for t in able
                if t.name not in message.excluded and not self._is_held(t, now)
            ]
        usable = able
        if self._rests:
            usable = [t for t in able if not self._rests.left_s(t.name, now)]
        chosen = self._choose(message, usable, now)
        if chosen is None and len(usable) < len(able):
            rest_s = min(self._rests.left_s(t.name, now) for t in able)
            return _refused("targets_rest", max(NO_TARGET_RETRY_S, rest_s))
        if chosen is None:
            return _refused("no_target")
        self._tell_peers(message.call.prompt)
        return chosen

    def _choose(self, message: _messages.Place, usable, now: float):
        call = message.call
        if call.prompt is None:
            return _placed(self._placer.choose_replica(usable, now))
        patience = self._patience(call, now)
        if message.read:
            return _placed(
                self._placer.choose_answerer(
                    call.prompt, message.read_in, usable, patience, now
                )
            )
        return self._placer.choose_engine(call.prompt, usable, patience, now)

    def _patience(self, call, now: float) -> requests.Patience:
        route = call.route
        longest_s = max(self._longest_s[route.name], call.deadline_s)
        self._longest_s[route.name] = longest_s
        # A client that was refused comes back with less time than it had.
        waited_s = max(0.0, DEADLINE_SPREAD * longest_s - call.deadline_s)
        first_asked = call.received - waited_s
        return requests.Patience(
            on_time_s=first_asked + route.objective_s - now,
            given_up_s=min(call.received + call.route.abandon_s, call.until) - now,
            once=not route.repeatable,
        )

    @handle.register
    def _(self, message: _messages.Began) -> None:
        self._placer.began(
            message.placement, message.prompt, message.took_s, runtime.now()
        )
        self._tell_peers(message.prompt)

    @handle.register
    def _(self, message: _messages.Ended) -> None:
        now = runtime.now()
        if message.streamed:
            self._placer.streamed(message.placement, now)
        self._placer.ended(message.placement, message.ending, now)
        self._tell_peers(message.prompt)


def _life(target: fleet.Target) -> peers.LeavingTarget:
    return peers.LeavingTarget(
        target=requests.target_hash(target.name), started_ms=target.started_ms
    )


def _placed(placement: requests.Placement | None):
    return None if placement is None else result.Ok(placement)


def _refused(reason: str, retry_after_s: float = NO_TARGET_RETRY_S):
    return result.Err(requests.Refusal(reason=reason, retry_after_s=retry_after_s))
