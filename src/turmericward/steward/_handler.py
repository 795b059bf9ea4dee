"""The steward's thrift interface: turns calls into messages to its tasks."""

import json
import time

from turmericward import calls, membership
from turmericward.steward import _messages, _wire
from turmericward.wire import ttypes

MAX_WAIT_S = 30.0
ANSWER_S = 60.0
HOLD_WAIT_S = 1.0


class Handler:
    """Methods of the interface, each called by a connection's thread."""

    def __init__(self, configuration_task, calls_task, authority_task) -> None:
        """Creates the handler for the steward's tasks."""
        self._configuration = configuration_task
        self._calls = calls_task
        self._authority = authority_task

    def follow(self, req: ttypes.FollowRequest) -> ttypes.FollowAnswer:
        """Answers with what is new to the entry, or when its wait is over."""
        wait_s = min(MAX_WAIT_S, req.wait_ms / 1000)
        message = _messages.Follow(
            entry=req.entry,
            applied=req.applied,
            fleet_version=req.fleet_version,
            drained=req.drained,
            until=time.monotonic() + wait_s,
        )
        return self._configuration.ask(message).result(ANSWER_S)

    def propose(self, req: ttypes.ProposeRequest) -> ttypes.ProposeAnswer:
        """Appends a change and answers when it has been read back."""
        value = None if req.deleted else json.loads(req.value_json)
        message = _messages.Propose(
            kind=req.kind,
            name=req.name,
            expected=req.expected,
            value=value,
            producer=req.producer,
        )
        return self._configuration.ask(message).result(ANSWER_S)

    def claim(self, req: ttypes.ClaimRequest) -> ttypes.ClaimAnswer:
        """Claims a key for one attempt."""
        message = _messages.MakeClaim(
            scope=req.scope,
            key=req.key,
            attempt=req.attempt,
            fingerprint=req.fingerprint,
        )
        return self._calls.ask(message).result(ANSWER_S)

    def settle(self, req: ttypes.SettleRequest) -> None:
        """Notes the end of an attempt."""
        settle = calls.Settle(
            id=req.attempt,
            scope=req.scope,
            key=req.key,
            ran=req.ran,
            answer=_wire.answer_of(req.answer),
        )
        self._calls.post(_messages.EndClaim(settle=settle))

    def hold(self, hold: ttypes.Hold) -> ttypes.HoldAnswer:
        """Places a hold and waits a while for the entries to confirm it."""
        now = time.monotonic()
        placed = membership.Hold(
            engine=hold.engine,
            hold_id=hold.hold_id,
            until=now + hold.ttl_ms / 1000,
        )
        message = _messages.PlaceHold(hold=placed, until=now + HOLD_WAIT_S)
        standing = self._configuration.ask(message).result(ANSWER_S)
        return ttypes.HoldAnswer(
            confirmed=not standing.missing and not standing.refused,
            missing=sorted(standing.missing),
            refused=standing.refused,
        )

    def release(self, hold_ids: list[str]) -> None:
        """Ends holds before their time."""
        self._configuration.post(_messages.ReleaseHolds(hold_ids=hold_ids))

    def state(self) -> ttypes.StateAnswer:
        """Returns the whole configuration state for a peer that starts."""
        return self._configuration.ask(_messages.GetState()).result(ANSWER_S)

    def status(self) -> ttypes.DomainStatus:
        """Returns figures for operators."""
        answer = self._configuration.ask(_messages.GetStatus()).result(ANSWER_S)
        held = self._authority.ask(_messages.GetStatus()).result(ANSWER_S)
        answer.holder = held is not None
        answer.token = held.token if held else 0
        return answer
