"""Shares of a domain's calls that leave it, damped as loads are known late."""

import math
from collections.abc import Mapping, Sequence

import attrs

from turmericward.transfer import _decision

# Time constant of the approach to the target share. With loads 1 s old, calls of 0.3 s
# and a loop gain of up to 4, shorter ones oscillate.
SMOOTHING_S = 4.0
MAX_RISE_PER_S = 0.15
MAX_FALL_PER_S = 0.3
# Smaller shares without a target count as 0.
MIN_SHARE = 0.01
# Changes of a share by more than this are reported, at most this often.
REPORTED_CHANGE = 0.1
MIN_REPORT_INTERVAL_S = 1.0


@attrs.frozen(kw_only=True)
class ShareChange:
    """A share that differs by more than `REPORTED_CHANGE` from the one reported."""

    domain: str
    before: float
    share: float


class Shares:
    """Shares of the calls of one service and domain by destination.

    Sending starts when it pays for one more call and ends when the target share is 0;
    between both the state stays as it is.
    """

    def __init__(self, home: str, link: _decision.Link) -> None:
        """Starts with nothing sent.

        Args:
            home: the domain that the calls come from.
            link: costs of the way to other domains.
        """
        self._home = home
        self._link = link
        self._shares: dict[str, float] = {}
        self._reported: dict[str, float] = {}
        self._updated_at: float | None = None
        self._reported_at = -math.inf
        self._open: frozenset[str] = frozenset()

    @property
    def shares(self) -> Mapping[str, float]:
        """Returns the share of each destination."""
        return dict(self._shares)

    @property
    def receiving(self) -> frozenset[str]:
        """Returns the other domains that may get calls at all."""
        return self._open

    def update(
        self, domains: Sequence[_decision.Domain], now: float
    ) -> list[ShareChange]:
        """Adjusts the shares to the domains' state; returns changes to report.

        Args:
            domains: all domains with targets of the service.
            now: monotonic seconds.
        """
        elapsed_s = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        home = next((d for d in domains if d.name == self._home), None)
        others = [d for d in domains if d.name != self._home]
        self._open = frozenset(d.name for d in others if d.receives)
        targets = {} if home is None else self._targets(home, others)
        known = {d.name for d in others if d.heard and d.slots}
        for name in targets.keys() | self._shares.keys():
            if name not in known:
                self._shares.pop(name, None)
                continue
            target = targets.get(name, 0.0)
            share = _approach(self._shares.get(name, 0.0), target, elapsed_s)
            if target or share >= MIN_SHARE:
                self._shares[name] = share
            else:
                self._shares.pop(name, None)
        if now - self._reported_at < MIN_REPORT_INTERVAL_S:
            return []
        changes = self._changes()
        if changes:
            self._reported_at = now
        return changes

    def _targets(self, home, others) -> Mapping[str, float]:
        # A full domain refuses calls, which costs more than the wait for a slot.
        full = home.utilization >= _decision.FULL_UTILIZATION
        if not self._shares and not full:
            others = [
                d for d in others if _decision.pays(home.wait_s, d.wait_s, self._link)
            ]
        return _decision.target_shares(home, others)

    def _changes(self) -> list[ShareChange]:
        changes = []
        for name in sorted(self._shares.keys() | self._reported.keys()):
            before = self._reported.get(name, 0.0)
            share = self._shares.get(name, 0.0)
            ended = before > 0 and not share
            if abs(share - before) > REPORTED_CHANGE or ended:
                changes.append(ShareChange(domain=name, before=before, share=share))
                self._reported[name] = share
        return changes

    def destination(self, draw: float) -> str:
        """Returns the domain that a call goes to, which isn't one that is full.

        Args:
            draw: random number of at least 0 and below 1.
        """
        for name, share in sorted(self._shares.items()):
            if draw < share:
                return name if name in self._open else self._home
            draw -= share
        return self._home


def _approach(share: float, target: float, elapsed_s: float) -> float:
    """Returns a share after it has moved towards its target for a time."""
    change = (target - share) * (1 - math.exp(-elapsed_s / SMOOTHING_S))
    rise, fall = MAX_RISE_PER_S * elapsed_s, MAX_FALL_PER_S * elapsed_s
    return share + max(-fall, min(rise, change))
