"""Decides when an engine should change its role.

Load patterns handled: replaced or added engines that start as decode engines, so
that in time no engine is left for separate prefills; a failure domain that is cut
off with prefill engines only, and so refuses every call; and those of `_role_mix`.
"""

import collections
from collections.abc import Mapping

import attrs

from turmericward.fleet import _role_mix, _targets

# A composition that is stable for this long is assumed to be the operators' choice.
SETTLED_S = 3.0
# How long the composition must be stable before an engine is changed, if a role is
# short of engines or has none.
ROLE_SHORTAGE_TOLERANCE_S = 3.0
ROLE_ABSENCE_TOLERANCE_S = 0.5
DEFAULT_PREFILL_SHARE = 1 / 3
# Prefill engines tolerated beyond the wanted number.
MAX_PREFILL_SURPLUS = 1
# The roles of fewer engines aren't changed.
MIN_ENGINES = 2
# An order without a response may still be carried out for this long.
ORDER_EXPIRY_S = 15.0
# How long the composition and the wanted share must be stable before the latter is
# adapted to the load.
MIN_ADAPTATION_INTERVAL_S = 4.0
# One of this many engines, but at least one, changes its role at a time; more of a
# service whose replicas are ordered, since all new ones start as decode engines.
ENGINES_PER_CHANGE = 15
SCALED_ENGINES_PER_CHANGE = 6


_NO_LOADS: Mapping[str, _role_mix.EngineLoad] = {}


@attrs.frozen(kw_only=True)
class RoleChange:
    """An engine that should take another role."""

    target: _targets.Target
    role: _targets.EngineRole


class RolePlanner:
    """Plans changes that bring a service's share of prefill engines to the wanted one.

    That is the first stable share, until the load requires another one. A role
    change beyond the wanted share was ordered by a peer that saw such load, and is
    adopted.

    The number of engines of a scaled service is another decision's: its changes don't
    delay role changes, and the share that results from them is nobody's choice. Its
    spot replicas change first, as others are given back when they are replaced.
    """

    def __init__(self, *, scaled: bool = False) -> None:
        """Starts without a wanted share.

        Args:
            scaled: whether engines of the service are ordered and given back.
        """
        self.scaled = scaled
        self._count_since = 0.0
        self._short_since: float | None = None
        self._demand = _role_mix.RoleDemand()
        self._previous: dict[str, _targets.Target] = {}
        self._adapted_at = float("-inf")
        self._wanted_share: float | None = None
        self._composition: tuple[int, int] = (0, 0)
        self._since = 0.0
        self._ordered: dict[str, tuple[_targets.EngineRole, float]] = {}

    def observe(
        self,
        targets,
        now: float,
        loads: Mapping[str, _role_mix.EngineLoad] = _NO_LOADS,
    ) -> None:
        """Takes the engines that may get calls at `now`, and their load."""
        self._demand.observe(targets, loads, now)
        prefill = sum(not t.can_decode for t in targets)
        composition = (prefill, len(targets))
        if composition[1] != self._composition[1]:
            self._count_since = now
        if composition != self._composition:
            self._composition = composition
            self._since = now
        settled = now - self._since >= SETTLED_S and len(targets) >= MIN_ENGINES
        if self._wanted_share is None and settled:
            self._wanted_share = prefill / len(targets) or DEFAULT_PREFILL_SHARE
        counts_settled = now - self._count_since >= SETTLED_S
        if counts_settled or not self.scaled:
            self._adopt_changes(targets, prefill)
        else:
            self._previous = {t.name: t for t in targets}
        for target in targets:
            role, _ = self._ordered.get(target.name, (None, 0.0))
            if role is target.role:
                del self._ordered[target.name]
        if self.scaled:
            names = {t.name for t in targets}
            self._ordered = {n: o for n, o in self._ordered.items() if n in names}

    def _adopt_changes(self, targets, prefill: int) -> None:
        """Adopts a role mix that a peer has changed."""
        for target in targets:
            previous = self._previous.get(target.name)
            # A restarted engine decodes, whatever role was wanted.
            if previous is None or not target.started_ms:
                continue
            if previous.started_ms != target.started_ms:
                continue
            if previous.role is target.role or self._wanted_share is None:
                continue
            share = prefill / len(targets)
            bound = min if target.can_decode else max
            self._wanted_share = bound(self._wanted_share, share)
        self._previous = {t.name: t for t in targets}

    def ordered(self, change: RoleChange, now: float) -> None:
        """Records that an order was sent, whether or not it got a response."""
        self._ordered[change.target.name] = (change.role, now)

    def plan(
        self, targets, loads: Mapping[str, _role_mix.EngineLoad], now: float
    ) -> RoleChange | None:
        """Returns the change that is due, if any."""
        if self._wanted_share is None or len(targets) < MIN_ENGINES:
            return None
        self._expire_orders(now)
        prefill, count = self._composition
        step = max(1, count // ENGINES_PER_CHANGE)
        if len(self._ordered) >= self._max_ordered(count):
            return None
        if not self._ordered:
            self._adapt(targets, step, now)
        prefill += self._outstanding()
        targets = [t for t in targets if t.name not in self._ordered]
        wanted = min(count - 1, max(1, round(self._wanted_share * count)))
        both_present = prefill and count - prefill
        tolerance_s = (
            ROLE_SHORTAGE_TOLERANCE_S if both_present else ROLE_ABSENCE_TOLERANCE_S
        )
        if now - self._stable_since(prefill < wanted, now) < tolerance_s:
            return None
        if prefill < wanted:
            return self._to_prefill(targets, loads)
        without_decode = _in_domains_without_decode(targets)
        if prefill > wanted + MAX_PREFILL_SURPLUS or prefill == count:
            return self._to_decode(without_decode or targets, loads)
        if prefill > wanted or _spare_decode(targets):
            return self._to_decode(without_decode, loads)
        return None

    def _max_ordered(self, count: int) -> int:
        per_change = SCALED_ENGINES_PER_CHANGE if self.scaled else ENGINES_PER_CHANGE
        return max(1, count // per_change)

    def _stable_since(self, is_short: bool, now: float) -> float:
        """Returns since when a shortage of prefill engines, or the mix, is the same."""
        if not self.scaled or not is_short:
            self._short_since = None
            return self._since
        if self._short_since is None:
            self._short_since = now
        return self._short_since

    def _outstanding(self) -> int:
        """Returns how many more engines prefill once all orders are carried out."""
        return sum(
            1 if role is _targets.EngineRole.PREFILL else -1
            for role, _ in self._ordered.values()
        )

    def _adapt(self, targets, step: int, now: float) -> None:
        """Adapts the wanted share if the role mix doesn't match the load."""
        if now - max(self._since, self._adapted_at) < MIN_ADAPTATION_INTERVAL_S:
            return
        prefill, count = self._composition
        wanted = None
        if (
            self._demand.needs_more_prefill(targets, step)
            and len(_spare_decode(targets)) >= step
        ):
            wanted = prefill + step
        elif self._demand.needs_more_decode(targets) and prefill > step:
            wanted = prefill - step - MAX_PREFILL_SURPLUS
        if wanted is None:
            return
        self._adapted_at = now
        self._wanted_share = wanted / count

    def _expire_orders(self, now: float) -> None:
        for name, (_, at) in list(self._ordered.items()):
            if now - at > ORDER_EXPIRY_S:
                del self._ordered[name]

    def _to_prefill(self, targets, loads) -> RoleChange | None:
        eligible = _spare_decode(targets) or [t for t in targets if t.can_decode]
        if self.scaled:
            eligible = [t for t in eligible if t.spot] or eligible
        return _change_idlest(eligible, _targets.EngineRole.PREFILL, loads)

    def _to_decode(self, targets, loads) -> RoleChange | None:
        eligible = [t for t in targets if not t.can_decode]
        return _change_idlest(eligible, _targets.EngineRole.DECODE, loads)


def _spare_decode(targets) -> list[_targets.Target]:
    """Returns the decode engines whose domain has another one.

    A domain that is cut off later should still be able to decode.
    """
    decode = [t for t in targets if t.can_decode]
    counts = collections.Counter(t.domain for t in decode)
    return [t for t in decode if counts[t.domain] > 1]


def _in_domains_without_decode(targets) -> list[_targets.Target]:
    """Returns the engines of domains that have no decode engine."""
    with_decode = {t.domain for t in targets if t.can_decode}
    return [t for t in targets if t.domain not in with_decode]


def _change_idlest(engines, role, loads) -> RoleChange | None:
    if not engines:
        return None
    idlest = min(engines, key=lambda t: (_open_calls(t, loads), t.name))
    return RoleChange(target=idlest, role=role)


def _open_calls(
    target: _targets.Target, loads: Mapping[str, _role_mix.EngineLoad]
) -> int:
    load = loads.get(target.name)
    return 0 if load is None else load.open_calls
