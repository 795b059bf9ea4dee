"""Decides when an engine should change its role.

Load patterns that it answers: engines that are replaced or added come back
answering only, so that after a while nobody reads long prompts apart; a failure
domain that is cut off with engines that only read, and so refuses everything; and
those of `_mix`.
"""

import collections
from collections.abc import Mapping

import attrs

from turmericward.fleet import _mix, _targets

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
# How long a mix is borne that doesn't fit the load.
MISFIT_S = 4.0
# One engine of so many changes its role at a time.
ENGINES_PER_CHANGE = 15


_NO_LOADS: Mapping[str, _mix.EngineLoad] = {}


@attrs.frozen(kw_only=True)
class RoleChange:
    """An engine that should take another role."""

    target: _targets.Target
    role: _targets.EngineRole


class RolePlanner:
    """Keeps one service's engines near a composition.

    That is the one it began with, until the load asks for another one. A change of
    an engine's role that goes further was made by another front that saw so.
    """

    def __init__(self) -> None:
        """Creates a planner that hasn't seen a composition."""
        self._demand = _mix.MixDemand()
        self._known: dict[str, _targets.Target] = {}
        self._adapted_at = float("-inf")
        self._wanted_share: float | None = None
        self._composition: tuple[int, int] = (0, 0)
        self._since = 0.0
        self._ordered: dict[str, tuple[_targets.EngineRole, float]] = {}

    def observe(
        self, targets, now: float, loads: Mapping[str, _mix.EngineLoad] = _NO_LOADS
    ) -> None:
        """Takes the engines that may get work at `now`, and their load."""
        self._demand.observe(targets, loads, now)
        prefill = sum(not t.answers for t in targets)
        composition = (prefill, len(targets))
        if composition != self._composition:
            self._composition = composition
            self._since = now
        settled = now - self._since >= SETTLED_S and len(targets) >= MIN_ENGINES
        if self._wanted_share is None and settled:
            self._wanted_share = prefill / len(targets) or DEFAULT_PREFILL_SHARE
        self._note_changes(targets, prefill)
        for target in targets:
            role, _ = self._ordered.get(target.name, (None, 0.0))
            if role is target.role:
                del self._ordered[target.name]

    def _note_changes(self, targets, prefill: int) -> None:
        """Takes over a mix that another front made."""
        for target in targets:
            known = self._known.get(target.name)
            # An engine that began anew answers, whatever was wanted.
            if known is None or not target.started_ms:
                continue
            if known.started_ms != target.started_ms:
                continue
            if known.role is target.role or self._wanted_share is None:
                continue
            share = prefill / len(targets)
            bound = min if target.answers else max
            self._wanted_share = bound(self._wanted_share, share)
        self._known = {t.name: t for t in targets}

    def ordered(self, change: RoleChange, now: float) -> None:
        """Notes that an order was sent, whether or not it was answered."""
        self._ordered[change.target.name] = (change.role, now)

    def plan(
        self, targets, loads: Mapping[str, _mix.EngineLoad], now: float
    ) -> RoleChange | None:
        """Returns the change that is due, if any."""
        if self._wanted_share is None or len(targets) < MIN_ENGINES:
            return None
        self._forget_orders(now)
        prefill, count = self._composition
        step = max(1, count // ENGINES_PER_CHANGE)
        if len(self._ordered) >= step:
            return None
        if not self._ordered:
            self._adapt(targets, step, now)
        prefill += self._outstanding()
        targets = [t for t in targets if t.name not in self._ordered]
        wanted = min(count - 1, max(1, round(self._wanted_share * count)))
        present = prefill and count - prefill
        patience_s = SHORTAGE_S if present else ABSENCE_S
        if now - self._since < patience_s:
            return None
        if prefill < wanted:
            return self._to_prefill(targets, loads)
        unanswered = _where_none_answers(targets)
        if prefill > wanted + SURPLUS or prefill == count:
            return self._to_decode(unanswered or targets, loads)
        if prefill > wanted or _spared(targets):
            return self._to_decode(unanswered, loads)
        return None

    def _outstanding(self) -> int:
        """Returns how many more engines read once all orders are carried out."""
        return sum(
            1 if role is _targets.EngineRole.PREFILL else -1
            for role, _ in self._ordered.values()
        )

    def _adapt(self, targets, step: int, now: float) -> None:
        """Changes what is wanted where the mix doesn't fit the load."""
        if now - max(self._since, self._adapted_at) < MISFIT_S:
            return
        prefill, count = self._composition
        wanted = None
        if self._demand.more_reading(targets, step) and len(_spared(targets)) >= step:
            wanted = prefill + step
        elif self._demand.more_answering(targets) and prefill > step:
            wanted = prefill - step - SURPLUS
        if wanted is None:
            return
        self._adapted_at = now
        self._wanted_share = wanted / count

    def _forget_orders(self, now: float) -> None:
        for name, (_, at) in list(self._ordered.items()):
            if now - at > UNKNOWN_ORDER_S:
                del self._ordered[name]

    def _to_prefill(self, targets, loads) -> RoleChange | None:
        able = _spared(targets) or [t for t in targets if t.answers]
        return _idlest(able, _targets.EngineRole.PREFILL, loads)

    def _to_decode(self, targets, loads) -> RoleChange | None:
        able = [t for t in targets if not t.answers]
        return _idlest(able, _targets.EngineRole.DECODE, loads)


def _spared(targets) -> list[_targets.Target]:
    """Returns answering engines whose domain keeps another one that answers.

    A domain that is cut off later should still be able to answer.
    """
    answering = [t for t in targets if t.answers]
    counts = collections.Counter(t.domain for t in answering)
    return [t for t in answering if counts[t.domain] > 1]


def _where_none_answers(targets) -> list[_targets.Target]:
    """Returns the engines of domains that have none that answers."""
    answering = {t.domain for t in targets if t.answers}
    return [t for t in targets if t.domain not in answering]


def _idlest(engines, role, loads) -> RoleChange | None:
    if not engines:
        return None
    idlest = min(engines, key=lambda t: (_open_calls(t, loads), t.name))
    return RoleChange(target=idlest, role=role)


def _open_calls(target: _targets.Target, loads: Mapping[str, _mix.EngineLoad]) -> int:
    load = loads.get(target.name)
    return 0 if load is None else load.open_calls
