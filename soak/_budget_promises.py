"""Promises about repeats, counted at the replicas, by service and window."""

import bisect
import collections
import contextlib
import json

import attrs

from soak import _evidence, _findings, _fleet

WINDOW_S = 10.0
STAGE = "Turmericward-Serving-Stage"
GRANTED = '"second_attempt"'
# What a killed front had to log may be lost.
KILLED = "kill"


@attrs.frozen(kw_only=True)
class Repeat:
    """An arrival beyond the first of a call, `at` monotonic seconds."""

    call_id: str
    service: str
    at: float


def granted_retries(fleet: _fleet.Fleet) -> collections.Counter:
    """Returns the retries that the fronts' logs say were granted, by call."""
    granted = collections.Counter()
    for front in fleet.fronts:
        with contextlib.suppress(OSError):
            for line in front.log.read_text(errors="replace").splitlines():
                if GRANTED in line:
                    granted.update(_granted_call(line))
    return granted


def _granted_call(line: str) -> list[str]:
    try:
        value = json.loads(line)
    except ValueError:
        # The front was killed while it wrote.
        return []
    return [value["request_id"]] if value.get("outcome") == "granted" else []


def repeats(evidence: _evidence.Evidence) -> list[Repeat]:
    """Returns the arrivals beyond the first, and beyond the first accepted prefill."""
    arrivals = collections.defaultdict(list)
    for name, replica in evidence.replicas.items():
        service, _ = _fleet.REPLICAS[name]
        for call in replica.calls:
            prefill = call.headers.get(STAGE) == "prefill" and call.ran
            arrivals[call.call_id].append((call.at, service, prefill))
    found = []
    for call_id, of_call in arrivals.items():
        of_call.sort()
        free = next((a for a in of_call if a[2]), None)
        counted = [a for a in of_call if a is not free]
        found += [Repeat(call_id=call_id, service=s, at=t) for t, s, _ in counted[1:]]
    return found


def _sent_at(evidence: _evidence.Evidence, service: str) -> list[float]:
    """Returns when clients sent the calls of a service, in order."""
    times = {
        s.outcome.call.id: s.outcome.sent_at
        for s in evidence.sent
        if _fleet.service_of(s.outcome.call.route) == service
    }
    known = {s.outcome.call.id for s in evidence.sent}
    # Of calls that faults send, only the arrival is known.
    for name, replica in evidence.replicas.items():
        if _fleet.REPLICAS[name][0] == service:
            for call in replica.calls:
                if call.call_id not in known:
                    times[call.call_id] = min(call.at, times.get(call.call_id, call.at))
    return sorted(times.values())


def _count(times: list[float], began: float) -> int:
    """Returns how many times lie in the window that begins then."""
    first = bisect.bisect_left(times, began)
    return bisect.bisect_right(times, began + WINDOW_S) - first


def used(evidence: _evidence.Evidence) -> dict[str, tuple[int, float]]:
    """Returns repeats and allowed ones in the fullest window of each service."""
    by_service = collections.defaultdict(list)
    for repeat in repeats(evidence):
        by_service[repeat.service].append(repeat.at)
    fullest = {}
    for service, times in by_service.items():
        times.sort()
        sent = _sent_at(evidence, service)
        windows = []
        for began in times:
            starts = (began, began - WINDOW_S, began - WINDOW_S / 2)
            calls = max(_count(sent, start) for start in starts)
            allowed = _fleet.RETRY_SHARE * calls + evidence.retry_slack
            windows.append((_count(times, began), allowed))
        fullest[service] = max(windows, key=lambda w: w[0] - w[1])
    return fullest


@_findings.promise
def retries_stay_within_the_budget(evidence) -> _findings.Result:
    """No window of a service has more repeats than its calls and the slack allow."""

    def find(case):
        service, (count, allowed) = case
        if count <= allowed:
            return None
        return _findings.Finding(
            promise="retries_stay_within_the_budget",
            detail=f"{count} repeats at {service} in 10 s, {allowed:.1f} allowed",
        )

    return _findings.result(used(evidence).items(), find)


@_findings.promise
def fronts_pay_for_each_repeat(evidence) -> _findings.Result:
    """No call is repeated more often than its front's log says was granted."""
    counts = collections.Counter(r.call_id for r in repeats(evidence))
    sent = {s.outcome.call.id: s for s in evidence.sent}

    def find(case):
        call_id, count = case
        granted = evidence.granted[call_id]
        if count <= granted or _was_killed(evidence, sent.get(call_id)):
            return None
        return _findings.Finding(
            promise="fronts_pay_for_each_repeat",
            call_id=call_id,
            detail=f"{count} repeats, {granted} granted",
        )

    cases = counts.items() if evidence.granted is not None else ()
    return _findings.result(cases, find)


def _was_killed(evidence: _evidence.Evidence, sent: _evidence.Sent | None) -> bool:
    if sent is None:
        return True
    outcome = sent.outcome
    return evidence.disrupted({sent.front}, outcome.sent_at, outcome.ended_at, KILLED)
