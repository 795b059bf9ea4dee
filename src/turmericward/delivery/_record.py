"""Log lines and metrics of one call."""

from turmericward import requests, runtime, telemetry
from turmericward.delivery import _calls


class CallRecord:
    """Tells what was decided on a call, and times its tokens."""

    def __init__(
        self, metrics: telemetry.Metrics, call: _calls.Call, service: str
    ) -> None:
        """Creates the record of a call."""
        self._metrics = metrics
        self._call = call
        self._class = call.traffic_class or f"{service}.{call.route.kind.value}"
        self._first_at: float | None = None
        self._last_at = 0.0
        self._gaps_ms: list[int] = []

    def placed(self, placement: requests.Placement) -> None:
        """Logs a choice with what it was made by."""
        target = placement.target
        prompt = self._call.prompt
        telemetry.log_event(
            "placed",
            request_id=self._call.id,
            target=target.name,
            role=target.role.value if target.role else "",
            prefill_only=placement.prefill_only,
            fetch_from=placement.fetch_from,
            prompt_tokens=prompt.tokens if prompt else 0,
            work_tokens=round(placement.work_tokens),
            ahead_tokens=round(placement.ahead_tokens),
            deferred=placement.deferred,
            deadline_s=self._call.deadline_s,
            expected_s=round(placement.expected_s, 3),
            cost_s=round(placement.cost_s, 3),
            after_s=self._after_s(),
        )

    def began(self, placement: requests.Placement, took_s: float) -> None:
        """Logs the first token, the end of a prefill, or an answer."""
        if not placement.prefill_only:
            self.events(1)
        telemetry.log_event(
            "began",
            request_id=self._call.id,
            target=placement.target.name,
            took_s=round(took_s, 3),
        )

    def attempt(self, placement, outcome: str, detail: str) -> None:
        """Logs an attempt without a good answer."""
        telemetry.log_event(
            "attempt",
            request_id=self._call.id,
            target=placement.target.name,
            outcome=outcome,
            detail=detail,
            after_s=self._after_s(),
            left_s=round(self._call.left_s(), 3),
        )

    def events(self, count: int) -> None:
        """Times events that came together."""
        now = runtime.now()
        if self._first_at is None:
            self._first_at = now
        else:
            self._gaps_ms.append(int((now - self._last_at) * 1000))
            self._gaps_ms.extend([0] * (count - 1))
        self._last_at = now

    def ended(
        self, outcome: str, status: int, reason: str, stopped: str, attempts: int
    ) -> None:
        """Logs and counts the end of the call.

        Args:
            outcome: how it ended.
            status: what the client got.
            reason: what went wrong first, or empty.
            stopped: why no further attempt was made, or empty.
            attempts: how many reached a target.
        """
        took_s = runtime.now() - self._call.received
        self._metrics.count(f"delivery.{outcome}")
        self._metrics.record(
            telemetry.RequestTimes(
                traffic_class=self._class,
                tenant=self._call.tenant,
                first_token_ms=self._first_ms(),
                between_tokens_ms=self._gaps_ms,
                total_ms=took_s * 1000,
            )
        )
        telemetry.log_event(
            "reply",
            request_id=self._call.id,
            route=self._call.route.name,
            outcome=outcome,
            status=status,
            reason=reason,
            stopped=stopped,
            attempts=attempts,
            took_s=round(took_s, 3),
            first_s=self._first_s(took_s),
            objective_s=self._call.route.objective_s,
            pause_s=max(self._gaps_ms, default=0) / 1000,
            max_pause_s=self._call.route.gap_s,
        )

    def _first_s(self, took_s: float) -> float | None:
        """Returns the time to the first event, or to the end of a whole answer."""
        if self._call.prompt is None:
            return round(took_s, 3)
        first_ms = self._first_ms()
        return None if first_ms is None else round(first_ms / 1000, 3)

    def _first_ms(self) -> float | None:
        if self._first_at is None:
            return None
        return (self._first_at - self._call.received) * 1000

    def _after_s(self) -> float:
        return round(runtime.now() - self._call.received, 3)
