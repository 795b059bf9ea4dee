"""Task that claims idempotency keys of calls on the log."""

import functools
import random
import time

from absl import logging

from turmericward import calls, runtime
from turmericward.adapters import log
from turmericward.steward import _messages, _wire
from turmericward.wire import ttypes

CALLS_STREAM = "calls"
SETTLE_APPEND_TIMEOUT_S = 3600.0

_STATES = {
    calls.AttemptStatus.OWNER: ttypes.ClaimState.GRANTED,
    calls.AttemptStatus.IN_PROGRESS: ttypes.ClaimState.IN_PROGRESS,
    calls.AttemptStatus.DONE: ttypes.ClaimState.DONE,
    calls.AttemptStatus.MISMATCH: ttypes.ClaimState.MISMATCH,
    calls.AttemptStatus.ENDED: ttypes.ClaimState.UNKNOWN,
    calls.AttemptStatus.ABSENT: ttypes.ClaimState.UNKNOWN,
}


class CallsTask(runtime.Task):
    """Owns the fold of the calls stream and the claims not yet read back."""

    period_s = 0.25

    def __init__(self, cfg, appender) -> None:
        """Creates the task without state; it refuses claims until it has caught up."""
        super().__init__()
        self._cfg = cfg
        self._appender = appender
        self._ledger = calls.ClaimLedger()
        self._claim_waiters = runtime.Waiters()
        self._pending_claims: dict[str, _messages.ClaimKey] = {}
        self._first_offset = 0
        self._caught_up = False
        self._log_reachable = False
        self._era = 0
        # What was known before a new era, until the log has it again.
        self._rebuild: calls.Rebuild | None = None
        self._random = random.Random(cfg.instance.name)

    @functools.singledispatchmethod
    def handle(self, message: object) -> object:
        """Acts on one message."""
        return super().handle(message)

    @handle.register
    def _(self, message: _messages.LogRead) -> None:
        self._log_reachable = True
        for record in message.records:
            self._fold(record.offset, record.value)
        self._caught_up = (
            self._caught_up or len(message.records) < log.MAX_RECORDS_PER_READ
        )
        self._first_offset = max(self._first_offset, message.first)
        self._ledger.discard_below(self._first_offset)
        self._continue_rebuild()

    @handle.register
    def _(self, message: _messages.LogEra) -> None:
        # A claim that was not read back may have been lost.
        self._abandon(list(self._pending_claims))
        known = self._ledger
        if self._rebuild is not None:
            known = self._rebuild.known
            known.merge(self._ledger)
        self._era = message.era
        self._rebuild = calls.Rebuild(
            message.era, known, message.since, self._random.random()
        )
        self._ledger = calls.ClaimLedger()
        self._first_offset = 0
        self._caught_up = False

    def _continue_rebuild(self) -> None:
        """Writes claims again that a new era of the log lacks, or ends that."""
        if self._rebuild is None or not self._caught_up:
            return
        now = time.monotonic()
        if self._rebuild.is_complete(self._ledger, now):
            self._rebuild = None
            return
        records = self._rebuild.due_records(self._ledger, now)
        if records:
            logging.warning(
                "calls: a new era of the log, %d records are written", len(records)
            )
        for record in records:
            deadline = now + self._cfg.steward.claim_timeout_s
            self._append(calls.encode(record), deadline, self._era)

    @handle.register
    def _(self, message: _messages.LogReadFailed) -> None:
        self._log_reachable = False

    @handle.register
    def _(self, message: _messages.LogExpired) -> None:
        # The expired records may have included claims: reread from the first offset.
        self._caught_up = False
        self._first_offset = message.first
        self._ledger = calls.ClaimLedger()

    def _fold(self, offset: int, value: object) -> None:
        try:
            record = calls.decode(value)
        except calls.MalformedRecordError as exc:
            logging.warning("calls stream, offset %d: %s", offset, exc)
            return
        self._ledger.apply(offset, record)
        if isinstance(record, calls.Settle) and self._rebuild is not None:
            self._rebuild.known.settle(record)
        if isinstance(record, calls.Claim):
            self._resolve(record.id)

    def _resolve(self, attempt: str) -> None:
        message = self._pending_claims.pop(attempt, None)
        if message is not None:
            self._claim_waiters.resolve(attempt, self._answer(message))

    def _answer(self, message: _messages.ClaimKey) -> ttypes.ClaimAnswer:
        ledger = self._ledger_of(message)
        attempt_status = ledger.attempt_status(
            message.scope, message.key, message.attempt, message.fingerprint
        )
        call = ledger.get(message.scope, message.key)
        answer = call.answer if call is not None else None
        return ttypes.ClaimAnswer(
            state=_STATES[attempt_status], answer=_wire.recorded_answer(answer)
        )

    def _ledger_of(self, message: _messages.ClaimKey) -> calls.ClaimLedger:
        """Returns the ledger that has the key's claim, if any has."""
        known = None if self._rebuild is None else self._rebuild.known
        if known is not None and known.get(message.scope, message.key) is not None:
            return known
        return self._ledger

    @handle.register
    def _(self, message: _messages.ClaimKey):
        if not (self._caught_up and self._log_reachable):
            return ttypes.ClaimAnswer(state=ttypes.ClaimState.UNAVAILABLE)
        if self._ledger_of(message).get(message.scope, message.key) is not None:
            return self._answer(message)
        if self._rebuild is not None:
            return ttypes.ClaimAnswer(state=ttypes.ClaimState.UNAVAILABLE)
        return self._append_claim(message)

    def _append_claim(self, message: _messages.ClaimKey):
        deadline = time.monotonic() + self._cfg.steward.claim_timeout_s
        claim = calls.Claim(
            id=message.attempt,
            scope=message.scope,
            key=message.key,
            fingerprint=message.fingerprint,
            floor=self._first_offset,
        )
        self._append(calls.encode(claim), deadline, self._era)
        self._pending_claims[message.attempt] = message
        timeout_answer = ttypes.ClaimAnswer(state=ttypes.ClaimState.UNKNOWN)
        return self._claim_waiters.add(message.attempt, deadline, timeout_answer)

    @handle.register
    def _(self, message: _messages.SettleClaim) -> None:
        deadline = time.monotonic() + SETTLE_APPEND_TIMEOUT_S
        self._append(calls.encode(message.settle), deadline)

    def _append(self, value: dict, deadline: float, era: int | None = None) -> None:
        self._appender.post(
            _messages.Append(
                stream=CALLS_STREAM, value=value, deadline=deadline, era=era
            )
        )

    def run_periodic(self) -> None:
        """Abandons claims that were not read back before their deadline."""
        self._abandon(self._claim_waiters.expire(time.monotonic()))
        self._continue_rebuild()

    def _abandon(self, attempts: list[str]) -> None:
        """Settles attempts as not run, whose claims were not read back.

        The claim may be on the log, but the attempt will never run. Its settlement
        frees the key for the caller's next attempt.
        """
        unknown = ttypes.ClaimAnswer(state=ttypes.ClaimState.UNKNOWN)
        for attempt in attempts:
            self._claim_waiters.resolve(attempt, unknown)
            message = self._pending_claims.pop(attempt)
            settle = calls.Settle(
                id=attempt, scope=message.scope, key=message.key, ran=False
            )
            self.handle(_messages.SettleClaim(settle=settle))
