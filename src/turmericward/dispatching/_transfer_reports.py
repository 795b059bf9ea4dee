"""Reports how many calls stay in their failure domain and how many leave it."""

import attrs

from turmericward import requests, telemetry


class TransferReports:
    """Metrics and log lines of the calls that leave their domain."""

    def __init__(self, home: str, transfers, metrics: telemetry.Metrics | None) -> None:
        """Creates it; without `transfers` or `metrics` it reports nothing.

        Args:
            home: failure domain of this front.
            transfers: follows the shares of calls that leave.
            metrics: counts calls and shows shares.
        """
        self._home = home
        self._transfers = transfers
        self._metrics = metrics
        self._shown: set[str] = set()

    def placed(self, placement: requests.Placement) -> None:
        """Counts a placement by its pair of domains."""
        if self._transfers is not None and self._metrics is not None:
            self._metrics.count(
                f"transfer.calls.{self._home}.{placement.target.domain}"
            )

    def run_periodic(self) -> None:
        """Logs changes of shares, and shows the shares as metrics."""
        if self._transfers is None:
            return
        for change in self._transfers.pop_changes():
            telemetry.log_event("transfer_share", **attrs.asdict(change))
        if self._metrics is not None:
            self._show_shares()

    def _show_shares(self) -> None:
        shares = {
            f"transfer.share.{service}.{self._home}.{domain}": share
            for (service, domain), share in self._transfers.shares().items()
        }
        for name in self._shown - shares.keys():
            self._metrics.set_value(name, 0.0)
        for name, share in shares.items():
            self._metrics.set_value(name, round(share, 3))
        self._shown = set(shares)
