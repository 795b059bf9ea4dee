"""Task that owns the routing table, the targets and what is in flight."""

import collections
import functools
import time

import attrs
import result
from absl import logging

from turmericward import fleet, peers, requests, runtime
from turmericward.delivery import _calls, _routes

NO_TARGET_RETRY_S = 0.5


@attrs.frozen(kw_only=True)
class SetTable:
    """A configuration version that has become known."""

    table: _routes.RoutingTable


@attrs.frozen(kw_only=True)
class PutTargets:
    """Targets that were announced, and names whose announcement went."""

    targets: tuple[fleet.Target, ...] = ()
    gone: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class ReplaceTargets:
    """The whole list of announced targets.

    `kept` names targets whose announcement can't be decoded.
    """

    targets: tuple[fleet.Target, ...]
    kept: frozenset[str] = frozenset()


@attrs.frozen(kw_only=True)
class SourceReturned:
    """Announcements are read again after an outage."""


@attrs.frozen(kw_only=True)
class Place:
    """Asks for a target; answered with a Result of Placement or Refusal.

    `read` tells that the prompt's KV cache lies ready elsewhere; `retry` that
    an earlier attempt of the call has reached the service.
    """

    call: _calls.Call
    service: str
    excluded: frozenset[str]
    retry: bool = False
    read: bool = False


@attrs.frozen(kw_only=True)
class Began:
    """The first token came, or a prefill ended, `took_s` after it was sent."""

    placement: requests.Placement
    prompt: requests.Prompt | None
    took_s: float


@attrs.frozen(kw_only=True)
class Ended:
    """A placement has ended; `failed` when the target was at fault."""

    placement: requests.Placement
    prompt: requests.Prompt | None
    failed: bool


class DispatchTask(runtime.Task):
    """Chooses targets; `table` may be read by any thread."""

    def __init__(
        self, *, domain: str, seed: int, grace_s: float, budget_factory, tell
    ) -> None:
        """Creates the task without configuration and targets.

        Args:
            domain: failure domain of this front.
            seed: seed of the random choices.
            grace_s: how long a target may be missing after an outage.
            budget_factory: returns a new retry budget, one for each service.
            tell: called with the own loads and notes when peers should know.
        """
        super().__init__()
        self._directory = fleet.Directory(grace_s)
        self._placer = requests.Placer(seed, domain)
        self._budgets = collections.defaultdict(budget_factory)
        self._tell = tell
        self.table: _routes.RoutingTable | None = None

    @functools.singledispatchmethod
    def handle(self, message: object) -> object:
        """Acts on one message."""
        return super().handle(message)

    @handle.register
    def _(self, message: SetTable) -> bool:
        if self.table is not None and message.table.version <= self.table.version:
            return False
        self.table = message.table
        for service in message.table.services.values():
            if service.kv_capacity_tokens:
                self._placer.set_capacity(service.name, service.kv_capacity_tokens)
        logging.info("configuration %d is in force", message.table.version)
        return True

    @handle.register
    def _(self, message: PutTargets) -> None:
        now = time.monotonic()
        for target in message.targets:
            self._put(target)
        for name in message.gone:
            self._directory.remove(name, now)

    def _put(self, target: fleet.Target) -> None:
        known = self._directory.get(target.name)
        if known is not None and known.started_ms != target.started_ms:
            self._placer.forget(target.name)
        if known is None or attrs.evolve(known, slots=target.slots) != target:
            logging.info(
                "target %s of %s at %s: role %s, leaving %s",
                target.name,
                target.service,
                target.address,
                target.role,
                target.leaving,
            )
        self._directory.put(target)

    @handle.register
    def _(self, message: ReplaceTargets) -> None:
        for target in message.targets:
            self._put(target)
        names = {t.name for t in message.targets} | message.kept
        self._directory.keep_only(names, time.monotonic())

    @handle.register
    def _(self, message: SourceReturned) -> None:
        self._directory.source_returned(time.monotonic())

    def tick(self) -> None:
        """Drops targets whose grace has ended, and peers that are silent."""
        now = time.monotonic()
        for name in self._directory.expire(now):
            logging.info("target %s is gone", name)
            self._placer.forget(name)
        for peer in self._placer.peers.expire(now):
            logging.info("peer %s is silent", peer)

    @handle.register
    def _(self, message: peers.PeerState) -> None:
        self._placer.peers.take(message.front, message.loads, time.monotonic())
        for note in message.kept:
            self._placer.note_kept(note)

    def _tell_peers(self, prompt: requests.Prompt | None) -> None:
        """Tells the peers of changes that move much; heartbeats carry the rest."""
        if prompt is not None and prompt.tokens >= requests.SHORT_PROMPT_TOKENS:
            self._tell(self._placer.own_loads(), self._placer.take_notes())

    @handle.register
    def _(self, message: Place):
        budget = self._budgets[message.service]
        if message.retry and not budget.spend():
            return _refused("retry_budget")
        if not message.retry and not message.read:
            budget.earn()
        now = time.monotonic()
        usable = [
            t
            for t in self._directory.usable(message.service)
            if t.name not in message.excluded
        ]
        chosen = self._choose(message, usable, now)
        if chosen is None:
            return _refused("no_target")
        self._tell_peers(message.call.prompt)
        return chosen

    def _choose(self, message: Place, usable, now: float):
        call = message.call
        if call.prompt is None:
            return _placed(self._placer.choose_replica(usable, now))
        if message.read:
            return _placed(self._placer.choose_answerer(usable, now))
        patience = requests.Patience(
            on_time_s=call.received + call.route.objective_s - now,
            given_up_s=min(call.received + call.route.abandon_s, call.until) - now,
        )
        return self._placer.choose_engine(call.prompt, usable, patience, now)

    @handle.register
    def _(self, message: Began) -> None:
        self._placer.began(message.placement, message.prompt, message.took_s)
        self._tell_peers(message.prompt)

    @handle.register
    def _(self, message: Ended) -> None:
        now = time.monotonic()
        self._placer.ended(message.placement, failed=message.failed, now=now)
        self._tell_peers(message.prompt)


def _placed(placement: requests.Placement | None):
    return None if placement is None else result.Ok(placement)


def _refused(reason: str):
    return result.Err(requests.Refusal(reason=reason, retry_after_s=NO_TARGET_RETRY_S))
