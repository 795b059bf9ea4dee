"""Findings of a run, and the registry of promises that are checked."""

import attrs

from soak import _evidence

# Measuring error of the soak's own threads.
SLACK_S = 0.5
REGISTRY: dict[str, object] = {}


@attrs.frozen(kw_only=True)
class Finding:
    """A broken promise; `front` and `call_id` name what to look for in the logs."""

    promise: str
    detail: str
    front: str = ""
    call_id: str = ""
    # Seconds from the SIGTERM of the front to the sending of the call.
    after_stop_s: float | None = None


@attrs.frozen(kw_only=True)
class Result:
    """How many cases of a promise were checked, and those in which it was broken."""

    checked: int
    findings: list[Finding]


def promise(function):
    """Registers a promise under its name."""
    REGISTRY[function.__name__] = function
    return function


def result(cases, find) -> Result:
    """Returns the findings of the cases in which `find` returns one."""
    cases = list(cases)
    found = [finding for finding in map(find, cases) if finding is not None]
    return Result(checked=len(cases), findings=found)


def stop_of(evidence, sent: _evidence.Sent) -> _evidence.Stop | None:
    """Returns the planned stop of the front that a call was sent to, if any."""
    return next(
        (s for s in evidence.stops if (s.front, s.boot) == (sent.front, sent.boot)),
        None,
    )


def finding(promise: str, evidence, sent: _evidence.Sent, detail: str) -> Finding:
    """Returns a finding about one call."""
    stop = stop_of(evidence, sent)
    outcome = sent.outcome
    replicas = evidence.arrivals().get(outcome.call.id, set())
    silent = evidence.silent(replicas, outcome.sent_at, outcome.ended_at)
    return Finding(
        promise=promise,
        front=sent.front,
        call_id=outcome.call.id,
        after_stop_s=None if stop is None else outcome.sent_at - stop.began,
        detail=f"{outcome.call.route} work {outcome.call.work_s:.2f} s, "
        f"status {outcome.status}, took {outcome.ended_at - outcome.sent_at:.2f} s, "
        f"{outcome.broken or 'whole'}: {', '.join([detail, *silent])}",
    )


def describe(stop: _evidence.Stop) -> str:
    """Returns when and how the process ended."""
    return (
        f"process ended {stop.ended - stop.began:.2f} s after SIGTERM, "
        f"status {stop.exit_status}"
    )
