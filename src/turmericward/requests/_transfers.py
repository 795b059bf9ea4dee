"""Which targets a call may go to, where failure domains keep their calls.

Load pattern handled: a domain with more load than its targets take, whose calls leave
it in the share that all its fronts follow.
"""

import random
from collections.abc import Mapping, Sequence

import attrs

from turmericward import fleet, transfer
from turmericward.requests import _prompts, _speed, _target_calls

UPDATE_INTERVAL_S = 0.2
# Targets of a domain whose loads are read at each update. Those of 11,000 replicas take
# longer to read than the interval allows.
MAX_SAMPLED_TARGETS = 40
# Bytes of a prompt's token, and of the event that carries an output token.
BYTES_PER_TOKEN = 4
BYTES_PER_EVENT = 120


@attrs.frozen(kw_only=True)
class Selection:
    """Targets that a call goes to, and those elsewhere if leaving pays for it.

    `key` names the list of targets, which is the same object while it is unchanged.
    """

    key: str
    targets: Sequence[fleet.Target]
    elsewhere: Sequence[fleet.Target] = ()


@attrs.frozen(kw_only=True)
class Transfer:
    """A share of a service's calls that changed; domains are `home` and `domain`."""

    service: str
    home: str
    domain: str
    before: float
    share: float
    utilization: Mapping[str, float]


@attrs.define
class _Service:
    """A service's shares, and its targets by domain as of `listed`."""

    shares: transfer.Shares
    heard: transfer.Heard = attrs.field(factory=transfer.Heard)
    updated_at: float | None = None
    domains: list[transfer.Domain] = attrs.field(factory=list)
    listed: Sequence[fleet.Target] = ()
    by_key: dict[str, tuple[fleet.Target, ...]] = attrs.field(factory=dict)
    samples: dict[str, tuple[fleet.Target, ...]] = attrs.field(factory=dict)
    counts: dict[str, int] = attrs.field(factory=dict)

    def within(self, targets, domains: frozenset[str]) -> tuple[fleet.Target, ...]:
        """Returns the targets in some domains; the same object if unchanged."""
        self._list(targets)
        key = _key(domains)
        if key not in self.by_key:
            self.by_key[key] = tuple(t for t in targets if t.domain in domains)
        return self.by_key[key]

    def sample(self, targets) -> dict[str, tuple[fleet.Target, ...]]:
        """Returns some targets of each domain, the same ones if unchanged."""
        self._list(targets)
        if not self.samples:
            domains: dict[str, list[fleet.Target]] = {}
            for target in targets:
                domains.setdefault(target.domain, []).append(target)
            self.counts = {name: len(group) for name, group in domains.items()}
            self.samples = {
                name: tuple(group[:: 1 + (len(group) - 1) // MAX_SAMPLED_TARGETS])
                for name, group in domains.items()
            }
        return self.samples

    def _list(self, targets) -> None:
        if self.listed is not targets:
            self.listed = targets
            self.by_key.clear()
            self.samples = {}


class Transfers:
    """Follows the shares of all services of a domain; times are monotonic seconds."""

    def __init__(
        self,
        home: str,
        link: transfer.Link,
        seed: int,
        calls: _target_calls.TargetCalls,
        speed: _speed.PrefillSpeed,
    ) -> None:
        """Starts with all calls kept.

        Args:
            home: failure domain of the front.
            link: costs of the way to other domains.
            seed: seed of the random choices.
            calls: loads of targets, and which of them take calls.
            speed: prefill speeds.
        """
        self._home = home
        self.link = link
        self._random = random.Random(seed)
        self._calls = calls
        self._speed = speed
        self._services: dict[str, _Service] = {}
        self._changes: list[Transfer] = []

    def select(
        self, targets: Sequence[fleet.Target], hold_s: float, now: float, *, tried: bool
    ) -> Selection:
        """Returns the targets that a call may go to.

        Args:
            targets: targets of the service, at least one.
            hold_s: how long a call takes a slot.
            now: monotonic seconds.
            tried: whether a target has refused or lost the call before.
        """
        name = targets[0].service
        service = self._services.get(name)
        if service is None:
            service = _Service(shares=transfer.Shares(self._home, self.link))
            self._services[name] = service
        # The targets of a tried call lack those that it must not go to.
        if not tried or service.updated_at is None:
            self._update(name, service, targets, hold_s, now)
        receiving = service.shares.receiving
        if tried or not any(d.name == self._home for d in service.domains):
            return self._selection(service, targets, receiving | {self._home})
        goal = service.shares.destination(self._random.random())
        if goal != self._home:
            return self._selection(service, targets, frozenset({goal}))
        kept = self._selection(service, targets, frozenset({goal}))
        return attrs.evolve(kept, elsewhere=service.within(targets, receiving))

    def select_replicas(
        self,
        targets: Sequence[fleet.Target],
        hold_s: float,
        now: float,
        waits_s: Mapping[str, float],
        *,
        tried: bool,
    ) -> Sequence[fleet.Target]:
        """Returns the replicas that a call may go to; elsewhere if all here are full.

        Args:
            targets: replicas of the service, at least one.
            hold_s: how long a call takes a slot.
            now: monotonic seconds.
            waits_s: replicas that take the call only after a time.
            tried: whether a target has refused or lost the call before.
        """
        selected = self.select(targets, hold_s, now, tried=tried)
        if not selected.elsewhere:
            return selected.targets
        here_s, there_s = (
            min(
                waits_s.get(t.name, 0.0) + self._slot_wait_s(t, hold_s)
                for t in self._calls.usable(group, now)
            )
            for group in (selected.targets, selected.elsewhere)
        )
        if here_s > 0 and self.pays(here_s, there_s):
            return selected.elsewhere
        return selected.targets

    def _slot_wait_s(self, target: fleet.Target, hold_s: float) -> float:
        slots = max(1, target.slots)
        excess = self._calls.load(target.name).open_calls + 1 - slots
        return max(0, excess) * hold_s / slots

    def select_decode(
        self, targets: Sequence[fleet.Target], prefill_domain: str, now: float
    ) -> Selection:
        """Returns the targets that decode: at the KV cache, if any takes calls."""
        service = self._services.get(targets[0].service)
        if service is None or not prefill_domain:
            return Selection(key="", targets=targets)
        chosen = self._selection(service, targets, frozenset({prefill_domain}))
        if any(t.can_decode for t in self._calls.accepting(chosen.targets, now)):
            return chosen
        others = service.shares.receiving | {self._home}
        return self._selection(service, targets, others)

    def _selection(self, service, targets, domains: frozenset[str]) -> Selection:
        chosen = service.within(targets, domains)
        if not chosen:
            return Selection(key="", targets=targets)
        return Selection(key=_key(domains), targets=chosen)

    def _update(self, name: str, service, targets, hold_s: float, now: float) -> None:
        updated_at = service.updated_at
        if updated_at is not None and 0 <= now - updated_at < UPDATE_INTERVAL_S:
            return
        service.updated_at = now
        samples = service.sample(targets)
        uses = [
            self._use(target)
            for sample in samples.values()
            for target in self._calls.accepting(sample, now)
            if self._calls.health.usable(target.name, now)
        ]
        heard = self._heard(service, now)
        service.domains = [
            _scaled(domain, service.counts[domain.name] / len(samples[domain.name]))
            for domain in transfer.domains_of(uses, hold_s, heard)
        ]
        utilization = {d.name: round(d.utilization, 3) for d in service.domains}
        self._changes += [
            Transfer(
                service=name,
                home=self._home,
                domain=change.domain,
                before=round(change.before, 3),
                share=round(change.share, 3),
                utilization=utilization,
            )
            for change in service.shares.update(service.domains, now)
        ]

    def _use(self, target: fleet.Target) -> transfer.TargetUse:
        load = self._calls.load(target.name)
        queue_s = 0.0
        if target.role is not None:
            tokens = load.queued_tokens(deferred=False)
            queue_s = tokens * self._speed.per_token(target)
        return transfer.TargetUse(
            domain=target.domain,
            role=target.role.value if target.role else "",
            slots=target.slots,
            open_calls=load.open_calls,
            queue_s=queue_s,
        )

    def _heard(self, service: _Service, now: float) -> frozenset[str]:
        peers = self._calls.peers
        counts = {
            domain: sum(
                peers.load_at(fleet.target_hash(t.name)).ended_calls for t in sample
            )
            for domain, sample in service.samples.items()
        }
        return frozenset(
            domain
            for domain, count in counts.items()
            if service.heard.update(domain, count, now)
        )

    def pays(self, here_s: float, there_s: float, prompt=None) -> bool:
        """Returns whether a call should leave the domain for a shorter wait."""
        size = 0 if prompt is None else _size(prompt)
        return transfer.pays(here_s, there_s, self.link, size=size)

    def shares(self) -> dict[tuple[str, str], float]:
        """Returns the shares by service and destination."""
        return {
            (name, domain): share
            for name, service in self._services.items()
            for domain, share in service.shares.shares.items()
        }

    def pop_changes(self) -> list[Transfer]:
        """Returns the changes of shares to report since the last call."""
        changes, self._changes = self._changes, []
        return changes


def _key(domains: frozenset[str]) -> str:
    return "/".join(sorted(domains))


def _scaled(domain: transfer.Domain, factor: float) -> transfer.Domain:
    return attrs.evolve(domain, slots=round(domain.slots * factor))


def _size(prompt: _prompts.Prompt) -> int:
    return prompt.tokens * BYTES_PER_TOKEN + prompt.output_tokens * BYTES_PER_EVENT
