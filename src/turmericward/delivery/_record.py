"""Log lines and metrics of one call."""

import collections
import functools

from turmericward import fleet, requests, routing, runtime, telemetry
from turmericward.delivery import _stop

# Bounds the length of a log line.
MAX_LOGGED_SEGMENTS = 8
# Outcome of an attempt in which the call may have run.
FAILED = "failed"


class CallRecord:
    """Logs the decisions on a call and measures its token latencies."""

    def __init__(
        self, metrics: telemetry.Metrics, call: routing.Call, service: str
    ) -> None:
        """Creates the record of a call to a service."""
        self._metrics = metrics
        self._call = call
        self._service = service
        self._traffic_class = call.traffic_class or f"{service}.{call.route.kind.value}"
        self._first_event_at: float | None = None
        self._last_event_at = 0.0
        # How often the next event came after so many milliseconds.
        self._intervals_ms: collections.Counter[int] = collections.Counter()
        # The current wait for a target: since when, and until when it is meant to last.
        self._waiting_since = self._wait_until = runtime.now()
        self._late_placement: requests.Placement | None = None

    def log_left_open(self) -> None:
        """Logs a call that has no final answer as its process exits."""
        telemetry.log_event(
            "left_open",
            request_id=self._call.id,
            route=self._call.route.name,
            began=self._first_event_at is not None,
            silent_s=self.silent_s,
            after_s=self._elapsed_s(),
            left_s=round(self._call.remaining_s(), 3),
        )

    @functools.cached_property
    def fingerprint(self) -> int:
        """What names the content of the call; a body may have many megabytes."""
        return routing.fingerprint(self._call, self._service)

    def log_placement(self, placement: requests.Placement) -> None:
        """Logs a placement with the estimates behind it."""
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
            work_tokens=round(placement.uncached_tokens),
            ahead_tokens=round(placement.queued_tokens),
            deferred=placement.deferred,
            start_after_s=round(placement.start_after_s, 3),
            deadline_s=self._call.deadline_s,
            expected_s=round(placement.expected_s, 3),
            cost_s=round(placement.cost_s, 3),
            after_s=self._elapsed_s(),
        )

    def log_first_output(self, placement: requests.Placement, took_s: float) -> None:
        """Logs the first token, the end of a prefill, or a complete answer."""
        if not placement.prefill_only:
            self.record_events(1)
        telemetry.log_event(
            "began",
            request_id=self._call.id,
            target=placement.target.name,
            took_s=round(took_s, 3),
        )

    def begin_wait(self, wait_s: float) -> float:
        """Records that a target is waited for from now on; returns until when."""
        self._waiting_since = runtime.now()
        self._wait_until = self._waiting_since + wait_s
        return self._wait_until

    @property
    def is_late(self) -> bool:
        """Whether the target was waited for as long as was meant."""
        return runtime.now() >= self._wait_until

    @property
    def silent_s(self) -> float:
        """Seconds since the target last had an answer or event to give."""
        return round(runtime.now() - self._waiting_since, 3)

    @property
    def _wait_s(self) -> float:
        return round(self._wait_until - self._waiting_since, 3)

    def log_late_attempt(self, placement: requests.Placement) -> None:
        """Logs and counts an attempt that has been waited for too long, once."""
        if placement is self._late_placement:
            return
        self._late_placement = placement
        self._metrics.count("delivery.late_attempts")
        telemetry.log_event(
            "attempt_late",
            request_id=self._call.id,
            target=placement.target.name,
            began=self._first_event_at is not None,
            silent_s=self.silent_s,
            wait_s=self._wait_s,
            after_s=self._elapsed_s(),
            left_s=round(self._call.remaining_s(), 3),
        )

    def log_second_attempt(self, outcome: str, reason: str, target: str = "") -> None:
        """Logs and counts whether another attempt was allowed, or what it came to."""
        self._metrics.count(f"delivery.second_attempt.{outcome}")
        telemetry.log_event(
            "second_attempt",
            request_id=self._call.id,
            outcome=outcome,
            reason=reason,
            target=target,
            silent_s=self.silent_s,
            after_s=self._elapsed_s(),
        )

    def log_failed_attempt(
        self,
        placement,
        outcome: str,
        detail: str,
        *,
        status: int | None = None,
        target_ended: bool = False,
    ) -> None:
        """Logs a failed or refused attempt; `target_ended` if its process ended.

        `status` is the target's own, None if it gave no answer to the call. One that
        says to clients that the call hasn't run is counted if the target doesn't state
        so. `silent_s` is the time since the target last had an answer or event to give,
        `wait_s` how long it was meant to be waited for.
        """
        if outcome == FAILED and status in routing.NOT_RUN_STATUSES:
            self._metrics.count("delivery.unproved_refusals")
        telemetry.log_event(
            "attempt",
            request_id=self._call.id,
            target=placement.target.name,
            outcome=outcome,
            detail=detail,
            status=status,
            target_ended=target_ended,
            began=self._first_event_at is not None,
            content=routing.fingerprint_hex(self.fingerprint),
            segments=_shared_segment_ids(self._call.prompt),
            silent_s=self.silent_s,
            wait_s=self._wait_s,
            after_s=self._elapsed_s(),
            left_s=round(self._call.remaining_s(), 3),
        )

    def log_doubtful_end(self, target: fleet.Target, wait_s: float) -> None:
        """Logs and counts an answer whose end may be that of its target.

        Args:
            target: the target.
            wait_s: how long the announcement of its successor is waited for.
        """
        self._metrics.count("delivery.doubtful_ends")
        telemetry.log_event(
            "doubtful_end",
            request_id=self._call.id,
            target=target.name,
            started_ms=target.started_ms,
            wait_s=wait_s,
            after_s=self._elapsed_s(),
            left_s=round(self._call.remaining_s(), 3),
        )

    def log_admission(
        self,
        admission: _stop.Admission,
        stop: _stop.CallStop,
        *,
        granted: bool,
        retry: bool,
    ) -> None:
        """Logs and counts whether an attempt may begin during the process's stop."""
        outcome = "granted" if granted else "refused"
        self._metrics.count(f"delivery.stop.{outcome}.{admission.basis.value}")
        telemetry.log_event(
            "stop_admission",
            request_id=self._call.id,
            outcome=outcome,
            retry=retry,
            basis=admission.basis.value,
            need_s=round(admission.need_s, 3),
            stop_left_s=round(admission.left_s, 3),
            received_s=round(stop.received_s(self._call), 3),
            left_s=round(self._call.remaining_s(), 3),
        )

    def log_ended_by_stop(self, phase: _stop.CallPhase, stop: _stop.CallStop) -> None:
        """Logs and counts a call that the process's stop ends."""
        self._metrics.count(f"delivery.ended_by_stop.{phase.value}")
        telemetry.log_event(
            "ended_by_stop",
            request_id=self._call.id,
            phase=phase.value,
            passed_on=phase.may_run,
            received_s=round(stop.received_s(self._call), 3),
            silent_s=self.silent_s,
            after_s=self._elapsed_s(),
            left_s=round(self._call.remaining_s(), 3),
        )

    def record_events(self, count: int) -> None:
        """Records the arrival time of a batch of events."""
        now = runtime.now()
        if self._first_event_at is None:
            self._first_event_at = now
        else:
            self._intervals_ms[int((now - self._last_event_at) * 1000)] += 1
            if count > 1:
                self._intervals_ms[0] += count - 1
        self._last_event_at = now

    def record_reply(
        self,
        outcome: str,
        status: int,
        reason: str,
        stop_reason: str,
        attempts: int,
        target: str = "",
    ) -> None:
        """Logs and counts the end of the call.

        Args:
            outcome: outcome of the call.
            status: HTTP status of the reply.
            reason: cause of the failure, or empty.
            stop_reason: why no further attempt was made, or empty.
            attempts: number of attempts that reached a target.
            target: the target of the last attempt, which gave the answer if any did.
        """
        took_s = runtime.now() - self._call.received
        self._metrics.count(f"delivery.{outcome}")
        if self._call.workspace is not None:
            self._metrics.count_workspace(self._call.workspace.name, outcome)
        if stop_reason:
            self._metrics.count(f"delivery.stopped.{stop_reason}")
        self._metrics.record(
            telemetry.RequestLatencies(
                traffic_class=self._traffic_class,
                tenant=self._call.tenant,
                first_token_ms=self._first_event_ms(),
                token_intervals_ms=self._intervals_ms,
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
            stopped=stop_reason,
            attempts=attempts,
            target=target,
            took_s=round(took_s, 3),
            first_s=self._time_to_first_s(took_s),
            objective_s=self._call.route.objective_s,
            pause_s=max(self._intervals_ms, default=0) / 1000,
            max_pause_s=self._call.route.gap_s,
            **self._workspace_field(),
        )

    def _workspace_field(self) -> dict[str, str]:
        workspace = self._call.workspace
        return {} if workspace is None else {"workspace": workspace.name}

    def _time_to_first_s(self, took_s: float) -> float | None:
        """Returns the time to the first event, or to the end of a plain answer."""
        if self._call.prompt is None:
            return round(took_s, 3)
        first_event_ms = self._first_event_ms()
        return None if first_event_ms is None else round(first_event_ms / 1000, 3)

    def _first_event_ms(self) -> float | None:
        if self._first_event_at is None:
            return None
        return (self._first_event_at - self._call.received) * 1000

    def _elapsed_s(self) -> float:
        return round(runtime.now() - self._call.received, 3)


def _shared_segment_ids(prompt: requests.Prompt | requests.Demand | None) -> list[str]:
    """Returns the ids of the segments that a prompt shares with others."""
    if not isinstance(prompt, requests.Prompt):
        return []
    return [s.id for s in prompt.segments[:-1][:MAX_LOGGED_SEGMENTS]]
