"""Turns a steward's state into messages of the thrift interface."""

import base64
import json

from turmericward import calls, configuration, fleet, membership
from turmericward.adapters import instances
from turmericward.wire import ttypes


def resource(res: configuration.Resource) -> ttypes.Resource:
    """Returns a resource's message; a deleted one has no value."""
    deleted = res.value is None
    return ttypes.Resource(
        kind=res.kind,
        name=res.name,
        version=res.version,
        value_json="" if deleted else json.dumps(res.value),
        deleted=deleted,
    )


def instance(row: instances.Instance) -> ttypes.Instance:
    """Returns the message of a row of the instance list."""
    return ttypes.Instance(
        name=row.name,
        domain=row.domain,
        address=row.address,
        leaving=row.leaving,
        kind=row.kind,
    )


def load(name: str, report: fleet.LoadView, now: float) -> ttypes.Load:
    """Returns the message of an engine's report, with its age at `now`."""
    return ttypes.Load(
        engine=name,
        role=report.role,
        running=report.running,
        queued=report.queued,
        age_ms=int((now - report.at) * 1000),
    )


def hold(found: membership.Hold, now: float) -> ttypes.Hold:
    """Returns the message of a hold, with the time it has left at `now`."""
    return ttypes.Hold(
        engine=found.engine,
        hold_id=found.hold_id,
        ttl_ms=max(1, int((found.until - now) * 1000)),
    )


def recorded(answer: calls.Answer | None) -> ttypes.RecordedAnswer | None:
    """Returns the message of a recorded answer."""
    if answer is None:
        return None
    return ttypes.RecordedAnswer(
        status=answer.status,
        content_type=answer.content_type,
        body=base64.b64decode(answer.body),
        truncated=answer.truncated,
    )


def answer_of(found: ttypes.RecordedAnswer | None) -> calls.Answer | None:
    """Returns the answer that a message holds."""
    if found is None:
        return None
    return calls.Answer(
        status=found.status,
        content_type=found.content_type,
        body=base64.b64encode(found.body).decode(),
        truncated=found.truncated,
    )
