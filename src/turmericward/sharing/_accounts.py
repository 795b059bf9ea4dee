"""What the workspaces of one service asked for at this front."""

import heapq

import attrs

from turmericward import fleet
from turmericward.sharing import _decay, _work

# Workspaces that asked for nothing for this long are dropped.
IDLE_S = 10 * _decay.WORK_DECAY_S
# With more workspaces the lightest half is dropped.
MAX_ACCOUNTS = 4_096


@attrs.define
class Account:
    """Work that a workspace asked for, by priority, and the hash of its name."""

    workspace: int
    used_at: float = 0.0
    _by_priority: dict[int, _decay.DecayedRate] = attrs.field(factory=dict)

    def add(self, priority: int, work: float, now: float) -> None:
        """Adds work of calls of a priority, or takes some of it back."""
        self.used_at = now
        rate = self._by_priority.setdefault(priority, _decay.DecayedRate())
        rate.add(work, now)

    def by_priority(self, now: float) -> dict[int, float]:
        """Returns the work per second by priority."""
        return {p: rate.per_s(now) for p, rate in self._by_priority.items()}

    def per_s(self, now: float) -> float:
        """Returns the work per second."""
        return sum(rate.per_s(now) for rate in self._by_priority.values())


class Accounts:
    """Accounts by name of the workspace; times are monotonic seconds."""

    def __init__(self) -> None:
        """Starts without accounts."""
        self._by_name: dict[str, Account] = {}
        self._served = _decay.DecayedRate()

    def __len__(self) -> int:
        """Returns the number of workspaces."""
        return len(self._by_name)

    def add(self, workspace: str, priority: int, work: float, now: float) -> Account:
        """Adds work that a workspace asked for; returns its account."""
        account = self._by_name.get(workspace)
        if account is None:
            if len(self._by_name) >= MAX_ACCOUNTS:
                self._drop_lightest(now)
            account = Account(workspace=fleet.target_hash(workspace))
            self._by_name[workspace] = account
        account.add(priority, work, now)
        return account

    def served(self, work: float, now: float) -> None:
        """Records work that a target has done."""
        self._served.add(work, now)

    def served_per_s(self, now: float) -> float:
        """Returns the work per second that targets have done."""
        return self._served.per_s(now)

    def work(self, now: float) -> _work.ServiceWork:
        """Returns the work per second, with all workspaces."""
        heaviest: dict[int, float] = {}
        for account in self._by_name.values():
            work = heaviest.get(account.workspace, 0.0) + account.per_s(now)
            heaviest[account.workspace] = work
        return _work.ServiceWork(served=self._served.per_s(now), heaviest=heaviest)

    def heaviest(self, count: int, now: float) -> list[tuple[str, Account]]:
        """Returns the workspaces that asked for most, with their names."""
        return heapq.nlargest(
            count, self._by_name.items(), key=lambda row: row[1].per_s(now)
        )

    def expire(self, now: float) -> None:
        """Drops the workspaces that have been idle for long."""
        idle = [n for n, a in self._by_name.items() if now - a.used_at > IDLE_S]
        for name in idle:
            del self._by_name[name]

    def _drop_lightest(self, now: float) -> None:
        self._by_name = dict(self.heaviest(MAX_ACCOUNTS // 2, now))
