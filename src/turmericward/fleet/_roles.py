"""Decides when an engine should change its role.

Load pattern that it answers: engines that are replaced or added come back
answering only, so that after a while nobody reads long prompts apart.
"""

import collections
from collections.abc import Mapping

import attrs

from turmericward.fleet import _targets

# A composition that stays for this long is taken to be what operators want.
SETTLED_S = 3.0
# How long too few engines of a role are borne; at once if there is none.
SHORTAGE_S = 3.0
ABSENCE_S = 0.5
DEFAULT_PREFILL_SHARE = 1 / 3
# Engines that may read prompts beyond what is wanted.
SURPLUS = 1
MIN_ENGINES = 2
# An order without an answer may be carried out this late.
UNKNOWN_ORDER_S = 15.0


@attrs.frozen(kw_only=True)
class RoleChange:
    """An engine that should take another role."""

    target: _targets.Target
    role: _targets.EngineRole


class RolePlanner:
    """Keeps one service's engines near the composition that it began with."""

    def __init__(self) -> None:
        """Creates a planner that hasn't seen a composition."""
        self._wanted_share: float | None = None
        self._composition: tuple[int, int] = (0, 0)
        self._since = 0.0
        self._ordered: dict[str, tuple[_targets.EngineRole, float]] = {}

    def observe(self, targets, now: float) -> None:
        """Takes the engines that may get work at `now`."""
        prefill = sum(t.role is _targets.EngineRole.PREFILL for t in targets)
        composition = (prefill, len(targets))
        if composition != self._composition:
            self._composition = composition
            self._since = now
        settled = now - self._since >= SETTLED_S and len(targets) >= MIN_ENGINES
        if self._wanted_share is None and settled:
            self._wanted_share = prefill / len(targets) or DEFAULT_PREFILL_SHARE
        for target in targets:
            role, _ = self._ordered.get(target.name, (None, 0.0))
            if role is target.role:
                del self._ordered[target.name]

    def ordered(self, change: RoleChange, now: float) -> None:
        """Notes that an order was sent, whether or not it was answered."""
        self._ordered[change.target.name] = (change.role, now)

    def plan(
        self, targets, open_calls: Mapping[str, int], now: float
    ) -> RoleChange | None:
        """Returns the change that is due, if any."""
        if self._wanted_share is None or len(targets) < MIN_ENGINES:
            return None
        self._forget_orders(now)
        if self._ordered:
            return None
        prefill, count = self._composition
        wanted = min(count - 1, max(1, round(self._wanted_share * count)))
        present = prefill and count - prefill
        patience_s = SHORTAGE_S if present else ABSENCE_S
        if now - self._since < patience_s:
            return None
        if prefill < wanted:
            return self._change(targets, _targets.EngineRole.PREFILL, open_calls)
        if prefill > wanted + SURPLUS or prefill == count:
            return self._change(targets, _targets.EngineRole.DECODE, open_calls)
        return None

    def _forget_orders(self, now: float) -> None:
        for name, (_, at) in list(self._ordered.items()):
            if now - at > UNKNOWN_ORDER_S:
                del self._ordered[name]

    def _change(self, targets, role, open_calls) -> RoleChange | None:
        others = [t for t in targets if t.role is not role]
        if not others:
            return None
        others = self._spared(others) or others
        idlest = min(others, key=lambda t: (open_calls.get(t.name, 0), t.name))
        return RoleChange(target=idlest, role=role)

    def _spared(self, others) -> list[_targets.Target]:
        """Returns engines whose domain keeps another one of their role.

        A domain that is cut off later should still be able to answer.
        """
        counts = collections.Counter(t.domain for t in others)
        return [t for t in others if counts[t.domain] > 1]
