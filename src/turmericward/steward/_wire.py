"""Converts between a steward's state and structs of the thrift interface."""

import base64
import json

from turmericward import calls, configuration, fleet, membership
from turmericward.adapters import instances
from turmericward.wire import ttypes


def resource(res: configuration.Resource) -> ttypes.Resource:
    """Returns the struct of a resource; a deleted one has no value."""
    deleted = res.value is None
    return ttypes.Resource(
        kind=res.kind,
        name=res.name,
        version=res.version,
        value_json="" if deleted else json.dumps(res.value),
        deleted=deleted,
    )


def instance(row: instances.Instance) -> ttypes.Instance:
    """Returns the struct of a row of the instance list."""
    return ttypes.Instance(
        name=row.name,
        domain=row.domain,
        address=row.address,
        leaving=row.leaving,
        kind=row.kind,
    )


def load(name: str, report: fleet.LoadView, now: float) -> ttypes.Load:
    """Returns the struct of an engine's load report, with its age at `now`."""
    return ttypes.Load(
        engine=name,
        role=report.role,
        running=report.running,
        queued=report.queued,
        age_ms=int((now - report.at) * 1000),
    )


def hold(placed: membership.Hold, now: float) -> ttypes.Hold:
    """Returns the struct of a hold, with its remaining time at `now`."""
    return ttypes.Hold(
        engine=placed.engine,
        hold_id=placed.hold_id,
        ttl_ms=max(1, int((placed.until - now) * 1000)),
    )


def recorded_answer(answer: calls.Answer | None) -> ttypes.RecordedAnswer | None:
    """Returns the struct of a service's recorded answer."""
    if answer is None:
        return None
    return ttypes.RecordedAnswer(
        status=answer.status,
        content_type=answer.content_type,
        body=base64.b64decode(answer.body),
        truncated=answer.truncated,
    )


def answer_from_wire(answer: ttypes.RecordedAnswer | None) -> calls.Answer | None:
    """Returns the recorded answer of a struct."""
    if answer is None:
        return None
    return calls.Answer(
        status=answer.status,
        content_type=answer.content_type,
        body=base64.b64encode(answer.body).decode(),
        truncated=answer.truncated,
    )
