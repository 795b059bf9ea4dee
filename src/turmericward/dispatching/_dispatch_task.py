"""Task that owns the routing table, the targets and the calls in flight."""

import functools
from collections.abc import Callable

import attrs
from absl import logging

from turmericward import (
    capacity,
    fleet,
    peers,
    requests,
    routing,
    runtime,
    telemetry,
    transfer,
)
from turmericward.dispatching import (
    _crash_guard,
    _fair_sharing,
    _limit_exchange,
    _messages,
    _placing,
    _retry_budgets,
    _status,
    _transfer_reports,
)

SHORT_PROMPT_PUBLISH_INTERVAL_S = 0.05
PERIOD_S = 0.1
# Loads that differ from the published ones are published after this time at the
# latest; calls without prompt cause no publication themselves.
MAX_PUBLISH_INTERVAL_S = 0.5


class DispatchTask(runtime.Task):
    """Chooses targets; `table` may be read by any thread."""

    period_s = PERIOD_S
    foreign = (
        _messages.SetTable,
        _messages.PutTargets,
        _messages.ReplaceTargets,
        _messages.TargetNotice,
        _messages.EngineCacheListing,
        # They carry a client's call.
        _messages.Place,
        _messages.FirstOutput,
        _messages.PlacementEnded,
        peers.PeerState,
    )

    def __init__(
        self,
        *,
        name: str,
        domain: str,
        seed: int,
        grace_s: float,
        retries: _messages.RetryBounds,
        publish,
        on_configured=lambda table: None,
        publish_began: Callable[[peers.CallsBegan], None] | None = None,
        link: transfer.Link | None = None,
        metrics: telemetry.Metrics | None = None,
    ) -> None:
        """Creates the task without configuration and targets.

        Args:
            name: name of this front.
            domain: failure domain of this front.
            seed: seed of the random choices.
            grace_s: how long a missing target is retained after an outage.
            retries: bounds on the retries of all fronts together.
            publish: called with each state change to publish to the peers.
            on_configured: called with each routing table that takes effect.
            publish_began: called with the calls of workspaces that began to run; None
                without metering.
            link: costs of the way to other domains, if calls stay in theirs unless
                leaving pays.
            metrics: counts refusals by share, and the calls between domains if there
                is a `link`; None to count nothing.
        """
        super().__init__()
        count = (lambda name: None) if metrics is None else metrics.count
        self._admission = fleet.Admission(name, grace_s)
        self._directory = self._admission.directory
        self._limits = _limit_exchange.LimitExchange(
            self._directory, self._admission.limits
        )
        self._crashes = _crash_guard.CrashGuard(
            functools.partial(_crash_guard.crashed_incarnation, self._directory),
            lambda key: self._admission.limits.members.rank(str(key)),
        )
        self._placer = requests.Placer(seed, domain, link)
        self._transfer_reports = _transfer_reports.TransferReports(
            domain, self._placer.transfers, metrics
        )
        self._budgets = _retry_budgets.RetryBudgets(retries)
        self._published_at = 0.0
        self._published_loads: dict[int, requests.TargetLoad] = {}
        self._sharing = _fair_sharing.FairSharing(seed, self._placer, count)
        self._placing = _placing.Placing(
            self._admission,
            self._placer,
            self._crashes,
            self._budgets,
            self._sharing,
        )
        self._publish = publish
        self._on_configured = on_configured
        self._publish_began = publish_began
        # Workspace and time of the calls that began to run and weren't published yet.
        self._began: list[tuple[str, float]] = []
        self._name = name
        self._domain = domain
        self._listed_engines: set[int] = set()
        self.table: routing.RoutingTable | None = None
        # Whether peers should be told what this front knows of targets and prompts.
        self._reports_changed = False
        # Names of the targets that have a limit or had one recently; replaced, so that
        # any thread may read it.
        self.recently_limited: frozenset[str] = frozenset()

    @functools.singledispatchmethod
    def handle(self, message: object) -> object:
        """Handles one message; the result answers `ask`."""
        return super().handle(message)

    @handle.register
    def _(self, message: _messages.SetTable) -> bool:
        if self.table is not None and message.table.version <= self.table.version:
            return False
        for service in message.table.services.values():
            if service.kv_capacity_tokens:
                self._placer.cache_index.set_capacity(
                    service.name, service.kv_capacity_tokens
                )
        self._on_configured(message.table)
        # Last, so that the previous table stays in force if any of this fails.
        self.table = message.table
        logging.info("configuration %d is in force", message.table.version)
        return True

    @handle.register
    def _(self, message: _messages.PutTargets) -> None:
        now = runtime.now()
        for target in message.targets:
            self._put(target)
        for name in message.removed:
            if self._directory.remove(name, now):
                self._on_removed(name)

    def _on_removed(self, name: str) -> None:
        logging.info("target %s is gone", name)
        self._placer.forget(name)
        self._admission.removed(name)

    def _put(self, target: fleet.Target) -> None:
        previous = self._directory.get(target.name)
        if not self._directory.put(target):
            return
        if previous is None or previous.started_ms != target.started_ms:
            self._reports_changed |= self._crashes.target_announced(target)
        if previous is not None and previous.started_ms != target.started_ms:
            self._placer.forget(target.name)
            self._admission.forget(target.name)
            self._update_recently_limited()
        self._placer.put(target)
        if previous is not None and previous.role is not target.role:
            self._admission.release(target.name)
        if previous is None or attrs.evolve(previous, slots=target.slots) != target:
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
            # One by one, as one that fails is skipped.
            self.handle_posted(_messages.PutTargets(targets=(target,)))
        names = {t.name for t in message.targets} | message.undecodable
        for name in self._directory.keep_only(names, runtime.now()):
            self._on_removed(name)

    @handle.register
    def _(self, message: _messages.TargetNotice) -> None:
        name = message.target.name
        if message.leaving and self._mark_leaving(message.target):
            self._publish_state(leaving=frozenset((_incarnation(message.target),)))
        now = runtime.now()
        backoffs = self._admission.backoffs
        if backoffs.record(name, message.backoff_s, now):
            backoff_s = backoffs.remaining_s(name, now)
            telemetry.log_event("target_rests", target=name, rest_s=backoff_s)
        limit = message.limit
        if limit is not None and self._limits.record(message.target, limit, "answer"):
            self._update_recently_limited()
            self._publish_state()

    def _update_recently_limited(self) -> None:
        self.recently_limited = self._admission.limits.recently_limited()

    @handle.register
    def _(self, message: _messages.RequestSent) -> None:
        now = runtime.now()
        for name in self.recently_limited:
            target = self._directory.get(name)
            if target is not None and target.address == message.address:
                self._admission.sent(name, now)

    def _apply_leaving(self, leaving: frozenset[peers.LeavingTarget]) -> None:
        for incarnation in leaving:
            target = self._directory.find(incarnation.target, incarnation.started_ms)
            if target is not None:
                self._mark_leaving(target)

    def _mark_leaving(self, target: fleet.Target) -> bool:
        """Marks a target's incarnation as leaving; returns whether that changed it."""
        name, started_ms = target.name, target.started_ms
        if not self._directory.leave(name, started_ms):
            return False
        telemetry.log_event("target_leaves", target=name, started_ms=started_ms)
        return True

    @handle.register
    def _(self, message: _messages.StoreRecovered) -> None:
        self._directory.store_recovered(runtime.now())

    def run_periodic(self) -> None:
        """Expires targets, holds and peers; updates shares, counts overdue calls."""
        now = runtime.now()
        for name in self._admission.expire(now):
            self._on_removed(name)
        self._update_recently_limited()
        for peer in self._placer.peers.expire(now):
            logging.info("peer %s is silent", peer)
        live_peers = self._placer.peers.live()
        self._budgets.update_peer_count(live_peers)
        if self._admission.limits.members.set_min_count(live_peers + 1):
            self._admission.limits.update_shares(now)
        self._placer.count_overdue(now)
        self._crashes.expire(now)
        self._publish_began_calls()
        self._sharing.expire(now)
        self._transfer_reports.run_periodic()
        if (
            self._reports_changed
            or self._are_published_loads_outdated(now)
            or self._sharing.is_publication_due(now)
        ):
            self._publish_state()

    def _publish_began_calls(self) -> None:
        if self._began:
            self._publish_began(peers.CallsBegan(calls=tuple(self._began)))
            self._began.clear()

    @handle.register
    def _(self, message: _messages.PublishBegan) -> None:
        self._publish_began_calls()

    def _are_published_loads_outdated(self, now: float) -> bool:
        if now - self._published_at < MAX_PUBLISH_INTERVAL_S:
            return False
        return self._placer.local_loads() != self._published_loads

    @handle.register
    def _(self, message: peers.PeerState) -> None:
        self._placer.peers.replace(
            message.front, message.loads, runtime.now(), message.fronts
        )
        for entry in message.cache_entries:
            self._placer.cache_index.apply(entry)
        self._listed_engines |= message.listed
        self._apply_leaving(message.leaving)
        if self._limits.apply(message.limits):
            self._update_recently_limited()
            self._reports_changed = True
        self._reports_changed |= self._crashes.apply(message.outcomes)
        if message.work is not None:
            self._sharing.shares.apply(message.front, message.work, runtime.now())
        for target, ttl_s in message.held.items():
            self._admission.hold(target, runtime.now() + ttl_s)

    @handle.register
    def _(self, message: peers.Members) -> None:
        limits = self._admission.limits
        if limits.members.set_names(message.names):
            logging.info("%d fronts share the targets", len(message.names))
            limits.update_shares(runtime.now())
        self._budgets.update_listed_count(limits.members.count)

    @handle.register
    def _(self, message: _messages.GetEngines) -> _messages.EnginesView:
        return _status.engines_view(
            self._name,
            self._directory,
            self._placer,
            self._listed_engines,
            self.table,
        )

    @handle.register
    def _(self, message: _messages.GetCapacity) -> capacity.View | None:
        return _status.capacity_view(
            self._directory, self._placer, self.table, runtime.now()
        )

    @handle.register
    def _(self, message: _messages.IsUsable) -> bool:
        known = self._directory.get(message.target.name)
        same = known is not None and known.started_ms == message.target.started_ms
        return same and not known.leaving

    @handle.register
    def _(self, message: _messages.IsReplaced) -> bool:
        known = self._directory.get(message.target.name)
        restarted = known is not None and known.started_ms > message.target.started_ms
        return restarted or self._crashes.is_replaced(message.target)

    @handle.register
    def _(self, message: _messages.GetStatus) -> _messages.Status:
        now = runtime.now()
        return _messages.Status(
            front=self._name,
            domain=self._domain,
            version=None if self.table is None else self.table.version,
            targets=tuple(
                _status.target_status(t, self._admission, self._placer, now)
                for t in self._directory.all()
            ),
            peer_ages_s=self._placer.peers.ages(now),
            retries_left=self._budgets.available(),
            barred=self._crashes.status(),
            workspaces=self._sharing.shares.status(now),
        )

    @handle.register
    def _(self, message: _messages.EngineCacheListing) -> None:
        target_id = fleet.target_hash(message.target.name)
        self._listed_engines.add(target_id)
        self._placer.cache_index.record_listing(message.target, message.segments)
        self._publish_state(listed=frozenset((target_id,)))

    @handle.register
    def _(self, message: _messages.HoldTarget) -> None:
        target = fleet.target_hash(message.name)
        self._admission.hold(target, runtime.now() + message.duration_s)
        self._publish_state(held={target: message.duration_s})

    def _publish_state(self, **changes) -> None:
        entries = tuple(self._placer.cache_index.pop_unsent())
        loads = self._placer.local_loads()
        self._published_loads = loads
        self._published_at = runtime.now()
        self._reports_changed = False
        self._publish(
            peers.LocalState(
                loads=loads,
                cache_entries=entries,
                limits=self._limits.reports(),
                outcomes=self._crashes.outcomes(),
                work=self._sharing.publishable_work(self._published_at),
                **changes,
            )
        )

    @handle.register
    def _(self, message: _messages.RetryBounds) -> None:
        self._budgets.set_bounds(message)

    def _publish_prompt(self, prompt: requests.Prompt | None) -> None:
        """Publishes the state: always for long prompts, else at a limited rate."""
        if prompt is None:
            return
        now = runtime.now()
        long = prompt.tokens >= requests.SHORT_PROMPT_TOKENS
        if long or now - self._published_at >= SHORT_PROMPT_PUBLISH_INTERVAL_S:
            self._publish_state()

    @handle.register
    def _(self, message: _messages.Place):
        """Returns a Result of Placement or Refusal."""
        chosen = self._placing.place(message)
        if chosen.is_ok():
            self._transfer_reports.placed(chosen.unwrap())
            self._publish_prompt(message.call.prompt)
        return chosen

    @handle.register
    def _(self, message: _messages.TargetWentOn) -> None:
        self._placer.heard(message.name, runtime.now())

    @handle.register
    def _(self, message: _messages.FirstOutput) -> None:
        if message.workspace and self._publish_began is not None:
            self._began.append((message.workspace, message.began_at))
        self._sharing.first_output(message.placement, runtime.now())
        self._placer.record_first_output(
            message.placement, message.prompt, message.took_s, runtime.now()
        )
        self._publish_prompt(message.prompt)

    @handle.register
    def _(self, message: _messages.PlacementEnded) -> None:
        now = runtime.now()
        if message.streamed:
            self._placer.streamed(message.placement, now)
        self._placer.ended(message.placement, message.ending, now)
        self._placing.ended(message.placement, message.ending)
        if self._crashes.placement_ended(message):
            self._publish_state()
            return
        self._publish_prompt(message.prompt)


def _incarnation(target: fleet.Target) -> peers.LeavingTarget:
    return peers.LeavingTarget(
        target=fleet.target_hash(target.name), started_ms=target.started_ms
    )
