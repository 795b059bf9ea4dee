"""The latest work that each peer told, or the sum that a relay did."""

from collections.abc import Mapping

import attrs

from turmericward import requests
from turmericward.sharing import _work


@attrs.frozen(kw_only=True)
class _Report:
    at: float
    work: _work.Work


class PeerWork:
    """Work by peer; times are monotonic seconds."""

    def __init__(self) -> None:
        """Starts without peers."""
        self._reports: dict[str, _Report] = {}

    def __bool__(self) -> bool:
        """Whether any peer told of work."""
        return bool(self._reports)

    def replace(self, peer: str, work: _work.Work, now: float) -> None:
        """Replaces the work of a peer."""
        if work:
            self._reports[peer] = _Report(at=now, work=work)
        else:
            self._reports.pop(peer, None)

    def at_service(self, service: int) -> _work.ServiceWork:
        """Returns the peers' work at a service."""
        parts = [r.work[service] for r in self._reports.values() if service in r.work]
        return _work.sum_services(parts) if parts else _work.NO_WORK

    def age_s(self, now: float) -> float | None:
        """Returns the age of the oldest report; None without reports."""
        return max((now - r.at for r in self._reports.values()), default=None)

    def expire(self, now: float) -> None:
        """Drops the reports of silent peers."""
        self._reports = self._live(now)

    def _live(self, now: float) -> Mapping[str, _Report]:
        limit_s = requests.PEER_TIMEOUT_S
        return {p: r for p, r in self._reports.items() if now - r.at <= limit_s}
