"""Log lines on refusals by share, at a limited rate.

Load pattern handled: thousands of refusals a second of one workspace.
"""

from turmericward import sharing, telemetry

# One line for each workspace and service in this time, and so many in all.
INTERVAL_S = 1.0
MAX_LINES_PER_INTERVAL = 10


class ShareLog:
    """Logs refusals; each line has the number of those since the previous one."""

    def __init__(self) -> None:
        """Starts without refusals."""
        self._since = float("-inf")
        self._logged: set[tuple[str, str]] = set()
        self._refusals = 0

    def refused(
        self,
        request_id: str,
        offer: sharing.Offer,
        verdict: sharing.Verdict,
        now: float,
    ) -> None:
        """Logs a refusal unless there were enough lines already."""
        self._refusals += 1
        if now - self._since >= INTERVAL_S:
            self._since = now
            self._logged.clear()
        key = (offer.service, offer.workspace)
        if key in self._logged or len(self._logged) >= MAX_LINES_PER_INTERVAL:
            return
        self._logged.add(key)
        telemetry.log_event(
            "above_share",
            request_id=request_id,
            service=offer.service,
            workspace=offer.workspace,
            work_per_s=round(verdict.demand, 1),
            share_per_s=round(verdict.share, 1),
            peers_age_s=None if verdict.age_s is None else round(verdict.age_s, 3),
            retry_after_s=round(verdict.refusal.retry_after_s, 3),
            refusals=self._refusals,
        )
        self._refusals = 0
