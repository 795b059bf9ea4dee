"""Relays one completion: retries before the first token, resumes after it."""

import time
from collections.abc import Iterator
from typing import NoReturn

from absl import logging

from turmericward.adapters import engine, errors
from turmericward.entry import _errors, _http, _router_task

MAX_ATTEMPTS = 4
CLIENT_CLOSED_REQUEST = 499
DONE_EVENT = b"data: [DONE]\n\n"
_STATUS = {"no_engine": 503, "overloaded": 429, "retry_budget": 503}


class Relay:
    """One completion of a caller, over as many engines as it takes."""

    def __init__(self, ctx, demand, req: _http.Request) -> None:
        """Creates the relay; nothing is sent yet.

        Args:
            ctx: the entry's context.
            demand: what the request asks for.
            req: the caller's request.
        """
        self._ctx = ctx
        self._demand = demand
        self._request_id = req.id
        self._trace = req.trace
        self._job = engine.Job(
            path=req.path,
            body=req.body,
            request_id=req.id,
            priority=demand.priority,
            cancelled=req.disconnected,
        )
        self._bounds = ctx.cfg.entry.classes[demand.traffic_class]
        self._until = time.monotonic() + self._bounds.deadline_s
        self._excluded: frozenset[str] = frozenset()
        self._attempts = 0
        self._assignment = None
        self._stream: engine.Stream | None = None
        self._last_seq = 0

    def complete(self) -> engine.Answer:
        """Returns an engine's whole answer.

        Raises:
            RequestFaultError: no engine gave one.
        """
        while True:
            client = self._next_engine()
            left_s = self._left_s()
            try:
                answer = client.complete(self._job, left_s)
            except errors.CancelledError as exc:
                self._cancelled(exc)
            except errors.AdapterError as exc:
                self._failed(exc)
                continue
            if self._is_final(answer):
                return answer

    def open(self) -> engine.Answer | None:
        """Starts the stream, or takes it up after the last event delivered.

        Returns:
            None when the stream is open, else the engine's final answer.

        Raises:
            RequestFaultError: no engine took the request.
        """
        while True:
            client = self._next_engine()
            try:
                opened = client.stream(
                    self._job,
                    first_s=self._left_s(),
                    idle_s=self._bounds.idle_s,
                    after=self._last_seq,
                )
            except errors.CancelledError as exc:
                self._cancelled(exc)
            except errors.AdapterError as exc:
                self._failed(exc)
                continue
            if isinstance(opened, engine.Stream):
                self._stream = opened
                return None
            if self._is_final(opened):
                return opened

    def events(self) -> Iterator[list[engine.Event]]:
        """Yields each event once and in order, until the stream is whole.

        Raises:
            RequestFaultError: the stream broke off and can't be resumed.
        """
        while True:
            try:
                for batch in self._stream.events():
                    fresh, gap = self._in_order(batch)
                    if fresh:
                        yield fresh
                    if gap:
                        self._report_gap(gap)
                    self._left_s()
            except errors.AdapterError as exc:
                self._failed(exc)
                self._resume(exc)
                continue
            self._finish(failed=False)
            return

    def _in_order(self, batch: list[engine.Event]) -> tuple[list[engine.Event], int]:
        """Returns the events to deliver, and the number before which some lack."""
        fresh = []
        for event in batch:
            if event.seq and event.seq <= self._last_seq:
                continue
            if event.seq > self._last_seq + 1:
                return fresh, event.seq
            self._last_seq = event.seq
            fresh.append(event)
        return fresh, 0

    def _report_gap(self, number: int) -> NoReturn:
        raise errors.AnswerLostError(f"event {number} follows {self._last_seq}")

    def _resume(self, exc: Exception) -> None:
        if not self._last_seq:
            self._fail(502, "stream_lost", f"stream broke off: {exc}")
        answer = self.open()
        if answer is not None:
            self._fail(502, "stream_lost", f"resumption answered {answer.status}")

    def _next_engine(self) -> engine.EngineClient:
        if self._attempts >= MAX_ATTEMPTS:
            self._fail(503, "engines_failed", "every engine that was tried failed")
        message = _router_task.Choose(
            demand=self._demand,
            excluded=self._excluded,
            retry=self._attempts > 0,
        )
        chosen = self._ctx.ask_router(message)
        if chosen.is_err():
            refusal = chosen.unwrap_err()
            status = _STATUS[refusal.reason]
            self._fail(status, refusal.reason, "request refused", refusal.retry_after_s)
        self._attempts += 1
        self._assignment = chosen.unwrap()
        self._trace.engine = self._assignment.engine
        return engine.EngineClient(self._assignment.address)

    def _is_final(self, answer: engine.Answer) -> bool:
        busy = answer.status in engine.NOT_STARTED
        failed = answer.status >= 500 and not busy
        engine_name = self._assignment.engine
        self._finish(failed=failed)
        if not busy and not failed:
            return True
        self._excluded |= {engine_name}
        return False

    def _cancelled(self, exc: Exception) -> NoReturn:
        self._fail(CLIENT_CLOSED_REQUEST, "cancelled", str(exc), None)

    def _failed(self, exc: Exception) -> None:
        logging.warning(
            "request %s at %s: %s", self._request_id, self._trace.engine, exc
        )
        self._excluded |= {self._assignment.engine}
        self._finish(failed=True)

    def _finish(self, *, failed: bool) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None
        if self._assignment is not None:
            message = _router_task.Finished(assignment=self._assignment, failed=failed)
            self._ctx.router.post(message)
            self._assignment = None

    def first_token(self, took_s: float) -> None:
        """Tells the router how long the first token took."""
        if self._assignment is not None:
            message = _router_task.FirstToken(
                assignment=self._assignment, took_s=took_s
            )
            self._ctx.router.post(message)

    def close(self) -> None:
        """Ends the relay; an open stream is cancelled at its engine."""
        self._finish(failed=False)

    def _left_s(self) -> float:
        left_s = self._until - time.monotonic()
        if left_s <= 0:
            self._fail(504, "deadline", "deadline of the class has passed")
        return left_s

    def _fail(
        self, status: int, code: str, detail: str, retry_after_s: float | None = 1.0
    ) -> NoReturn:
        self._finish(failed=False)
        # Only an engine that accepted the request can have run any of it.
        ran = self._last_seq or self._attempts
        outcome = _errors.RanState.UNKNOWN if ran else _errors.RanState.NOT_RUN
        raise _errors.RequestFaultError(
            status, code, detail, outcome=outcome, retry_after_s=retry_after_s
        )
