"""Promises about fronts and replicas: configuration, stops, crashes, recovery."""

import collections
import itertools

from soak import _evidence, _excuses, _findings, _fleet

ROLLBACK_SLACK_S = 0.5
RECOVERY_S = 8.0
RECOVERED_SHARE = 0.9
MIN_RECOVERY_CALLS = 5
# Of a request that crashes replicas: after so many crashes, and this time, few follow.
CRASHES_COUNTED = 3
SETTLED_S = 3.0
MAX_LATE_ARRIVALS = 3
# Memory of the smallest instances.
MEMORY_MB = 160


@_findings.promise
def leaving_replicas_get_no_new_calls(evidence) -> _findings.Result:
    """After the bound, no call reaches a replica that has said that it leaves."""
    front_of = {s.outcome.call.id: s.front for s in evidence.sent}

    def find(leaving):
        bound = leaving.began + evidence.leaving_s + _findings.SLACK_S
        for call in evidence.replicas[leaving.replica].calls:
            front = front_of.get(call.call_id)
            if front is None or not bound < call.at < leaving.ended:
                continue
            if not evidence.disrupted(
                {front, leaving.replica, _evidence.STORE}, leaving.began, call.at
            ):
                return _findings.Finding(
                    promise="leaving_replicas_get_no_new_calls",
                    front=front,
                    call_id=call.call_id,
                    detail=f"{leaving.replica}, {call.at - leaving.began:.2f} s "
                    "after its announcement",
                )
        return None

    return _findings.result(evidence.leaving, find)


@_findings.promise
def fronts_stay_within_their_memory(evidence) -> _findings.Result:
    """No front holds more memory than the smallest instances have, whoever calls it."""

    def find(peak):
        if peak.mb <= MEMORY_MB:
            return None
        return _findings.Finding(
            promise="fronts_stay_within_their_memory",
            front=peak.front,
            detail=f"{peak.mb:.0f} MB",
        )

    return _findings.result(evidence.memory_peaks, find)


@_findings.promise
def ordinary_clients_are_answered_beside_a_crowd(evidence) -> _findings.Result:
    """At least half of the calls beside a crowd have an answer in time."""

    def find(crowded):
        answered, asked = sum(crowded.answered), len(crowded.answered)
        if 2 * answered >= asked:
            return None
        return _findings.Finding(
            promise="ordinary_clients_are_answered_beside_a_crowd",
            front=crowded.front,
            detail=f"{answered} of {asked} were answered",
        )

    return _findings.result(evidence.crowded, find)


@_findings.promise
def deadly_requests_reach_few_replicas(evidence) -> _findings.Result:
    """Soon after its third crash, a request reaches replicas three times at most."""

    def is_late(call, fronts, settled_at):
        front = fronts.get(call.call_id)
        if front is None or call.at <= settled_at + _findings.SLACK_S:
            return False
        # A front that is paused learns nothing meanwhile.
        return not evidence.disrupted({front}, call.at - SETTLED_S, call.at, "pause")

    def find(deadly):
        if len(deadly.crashed_at) < CRASHES_COUNTED:
            return None
        settled_at = sorted(deadly.crashed_at)[CRASHES_COUNTED - 1] + SETTLED_S
        late = [
            f"{name} at {call.at - settled_at:.2f} s from {deadly.fronts[call.call_id]}"
            for name, replica in evidence.replicas.items()
            for call in replica.calls
            if is_late(call, deadly.fronts, settled_at)
        ]
        if len(late) <= MAX_LATE_ARRIVALS:
            return None
        return _findings.Finding(
            promise="deadly_requests_reach_few_replicas",
            detail=f"{deadly.caller}: {len(deadly.crashed_at)} crashed, {late}",
        )

    return _findings.result(evidence.deadly, find)


def _version(sent: _evidence.Sent) -> int | None:
    prefix = _fleet.VERSION_PREFIX
    route = sent.outcome.call.route
    return int(route.removeprefix(prefix)) if route.startswith(prefix) else None


@_findings.promise
def configuration_never_goes_back(evidence) -> _findings.Result:
    """Once an incarnation of a front has served a version's route, it always does."""
    served: dict[tuple, float] = {}
    versioned = sorted(
        (s for s in evidence.sent if _version(s)), key=lambda s: s.outcome.ended_at
    )
    for sent in versioned:
        if sent.outcome.status == 200:
            key = (sent.front, sent.boot, _version(sent))
            served.setdefault(key, sent.outcome.ended_at)

    def find(sent):
        at = served.get((sent.front, sent.boot, _version(sent)))
        regressed = at is not None and sent.outcome.sent_at > at + ROLLBACK_SLACK_S
        if not regressed or sent.outcome.status != 404:
            return None
        return _findings.finding(
            "configuration_never_goes_back", evidence, sent, "was served"
        )

    return _findings.result(versioned, find)


@_findings.promise
def configurations_apply_within_their_bound(evidence) -> _findings.Result:
    """Calm fronts know each version's route after the bound."""

    def find(sent):
        outcome = sent.outcome
        written = evidence.versions[_version(sent)]
        late_s = (
            outcome.sent_at - written - evidence.configuration_s - _findings.SLACK_S
        )
        if outcome.status != 404 or late_s < 0:
            return None
        if evidence.disrupted({sent.front, _evidence.STORE}, written, outcome.ended_at):
            return None
        return _findings.finding(
            "configurations_apply_within_their_bound",
            evidence,
            sent,
            f"{late_s:.2f} s after the bound",
        )

    return _findings.result((s for s in evidence.sent if _version(s)), find)


@_findings.promise
def stopped_processes_exit_by_themselves(evidence) -> _findings.Result:
    """A planned stop ends with exit status 0 before the grace is over."""

    def find(stop):
        if stop.exit_status == 0 or evidence.disrupted(
            {stop.front}, stop.began, stop.ended
        ):
            return None
        return _findings.Finding(
            promise="stopped_processes_exit_by_themselves",
            front=stop.front,
            detail=_findings.describe(stop),
        )

    return _findings.result(evidence.stops, find)


@_findings.promise
def role_orders_have_one_holder(evidence) -> _findings.Result:
    """Fencing tokens of role orders never fall, and each belongs to one holder."""
    orders = [
        (order.at, name, order)
        for name, replica in evidence.replicas.items()
        for order in replica.orders
    ]
    orders.sort(key=lambda row: row[0])

    def find(pair):
        (_, _, earlier), (at, name, later) = pair
        same = earlier.token == later.token and earlier.holder == later.holder
        # An order may arrive late over a link that was cut.
        late = evidence.disrupted({name}, at, at)
        if same or late or earlier.token < later.token:
            return None
        return _findings.Finding(
            promise="role_orders_have_one_holder",
            detail=f"{earlier} before {later} at {name}",
        )

    return _findings.result(itertools.pairwise(orders), find)


@_findings.promise
def running_processes_go_on(evidence) -> _findings.Result:
    """No front ends without a signal."""
    found = [
        _findings.Finding(
            promise="running_processes_go_on", front=name, detail="ended by itself"
        )
        for name in evidence.exits
    ]
    return _findings.Result(checked=1, findings=found)


def _is_served(outcome) -> bool:
    """Returns whether a call got all of its answer, or what its time allowed."""
    whole = not outcome.broken or _excuses.has_used_its_time(outcome)
    return outcome.status == 200 and whole


@_findings.promise
def fronts_recover(evidence) -> _findings.Result:
    """After the last fault each front serves again within the bound."""
    by_front = collections.defaultdict(list)
    for sent in evidence.sent:
        if sent.outcome.sent_at > evidence.healed_at + RECOVERY_S:
            by_front[sent.front].append(sent.outcome)

    def find(front):
        outcomes = by_front[front]
        served = sum(_is_served(outcome) for outcome in outcomes)
        if served >= RECOVERED_SHARE * len(outcomes):
            return None
        statuses = collections.Counter(o.status for o in outcomes)
        return _findings.Finding(
            promise="fronts_recover", front=front, detail=f"statuses {dict(statuses)}"
        )

    enough = [f for f, calls in by_front.items() if len(calls) >= MIN_RECOVERY_CALLS]
    return _findings.result(enough, find)
