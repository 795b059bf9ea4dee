"""The steward's thrift interface: turns calls into messages to its tasks."""

import time

from turmericward import calls, membership, schema
from turmericward.steward import _messages, _wire
from turmericward.wire import ttypes

MAX_POLL_WAIT_S = 30.0
ANSWER_TIMEOUT_S = 60.0
HOLD_WAIT_S = 1.0


class Handler:
    """Methods of the interface, called by the connections' threads."""

    def __init__(self, configuration_task, calls_task, authority_task) -> None:
        """Creates the handler that forwards calls to these tasks."""
        self._configuration = configuration_task
        self._calls = calls_task
        self._authority = authority_task

    def follow(self, req: ttypes.FollowRequest) -> ttypes.FollowAnswer:
        """Answers with the entry's updates, or when its wait time has passed."""
        wait_s = min(MAX_POLL_WAIT_S, req.wait_ms / 1000)
        message = _messages.Follow(
            entry=req.entry,
            applied=req.applied,
            fleet_version=req.fleet_version,
            drained=req.drained,
            deadline=time.monotonic() + wait_s,
        )
        return self._configuration.ask(message).result(ANSWER_TIMEOUT_S)

    def propose(self, req: ttypes.ProposeRequest) -> ttypes.ProposeAnswer:
        """Appends a change and answers when it has been read back."""
        value = None if req.deleted else schema.loads(req.value_json, "value")
        message = _messages.Propose(
            kind=req.kind,
            name=req.name,
            expected=req.expected,
            value=value,
            producer=req.producer,
        )
        return self._configuration.ask(message).result(ANSWER_TIMEOUT_S)

    def claim(self, req: ttypes.ClaimRequest) -> ttypes.ClaimAnswer:
        """Claims a key for one attempt; answers when the claim has been read back."""
        message = _messages.ClaimKey(
            scope=req.scope,
            key=req.key,
            attempt=req.attempt,
            fingerprint=req.fingerprint,
        )
        return self._calls.ask(message).result(ANSWER_TIMEOUT_S)

    def settle(self, req: ttypes.SettleRequest) -> None:
        """Records the end of an attempt."""
        settle = calls.Settle(
            id=req.attempt,
            scope=req.scope,
            key=req.key,
            ran=req.ran,
            answer=_wire.answer_from_wire(req.answer),
        )
        self._calls.post(_messages.SettleClaim(settle=settle))

    def hold(self, hold: ttypes.Hold) -> ttypes.HoldAnswer:
        """Places a hold and waits up to `HOLD_WAIT_S` for the entries to confirm it."""
        now = time.monotonic()
        placed = membership.Hold(
            engine=hold.engine,
            hold_id=hold.hold_id,
            until=now + hold.ttl_ms / 1000,
        )
        message = _messages.PlaceHold(hold=placed, deadline=now + HOLD_WAIT_S)
        status = self._configuration.ask(message).result(ANSWER_TIMEOUT_S)
        return ttypes.HoldAnswer(
            confirmed=not status.missing and not status.refused,
            missing=sorted(status.missing),
            refused=status.refused,
        )

    def release(self, hold_ids: list[str]) -> None:
        """Ends holds before they expire."""
        self._configuration.post(_messages.ReleaseHolds(hold_ids=hold_ids))

    def state(self) -> ttypes.StateAnswer:
        """Returns the configuration state, for a peer that starts."""
        return self._configuration.ask(_messages.GetState()).result(ANSWER_TIMEOUT_S)

    def status(self) -> ttypes.DomainStatus:
        """Returns the status of configuration and lease for operators."""
        answer = self._configuration.ask(_messages.GetStatus()).result(ANSWER_TIMEOUT_S)
        lease = self._authority.ask(_messages.GetStatus()).result(ANSWER_TIMEOUT_S)
        answer.holder = lease is not None
        answer.token = lease.token if lease else 0
        return answer
