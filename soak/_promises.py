"""Promises of the product by name, each checked against the evidence of a run."""

import collections
import itertools

import attrs

from soak import _evidence, _fleet

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
FAILURE_STATUSES = frozenset({500, 502, 504})
# Of a stop: a replica still at work in its last sixth, on a call sent early, is cut.
LAST_SHARE = 1 / 6
EARLY_CALL_S = 3.0
# Measuring error of the soak's own threads.
SLACK_S = 0.5
ROLLBACK_SLACK_S = 0.5
RECOVERY_S = 8.0
RECOVERED_SHARE = 0.9
MIN_RECOVERY_CALLS = 5
# Of a request that crashes replicas: after so many crashes, and this time, few follow.
CRASHES_COUNTED = 3
SETTLED_S = 3.0
MAX_LATE_ARRIVALS = 3
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


def _promise(function):
    REGISTRY[function.__name__] = function
    return function


def check(evidence: _evidence.Evidence) -> dict[str, Result]:
    """Checks every promise; returns the results by name."""
    return {name: function(evidence) for name, function in REGISTRY.items()}


def _result(cases, find) -> Result:
    cases = list(cases)
    found = [finding for finding in map(find, cases) if finding is not None]
    return Result(checked=len(cases), findings=found)


def _stop_of(evidence, sent: _evidence.Sent) -> _evidence.Stop | None:
    return next(
        (s for s in evidence.stops if (s.front, s.boot) == (sent.front, sent.boot)),
        None,
    )


def _finding(promise: str, evidence, sent: _evidence.Sent, detail: str) -> Finding:
    stop = _stop_of(evidence, sent)
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


@_promise
def every_read_call_has_a_whole_answer(evidence) -> Result:
    """No call that a front has read, or passed on, ends without a whole answer."""
    reached, work_ended = evidence.arrivals(), evidence.work_ended()

    def find(sent):
        outcome = sent.outcome
        replicas = reached.get(outcome.call.id, set())
        lost = outcome.unanswered or (outcome.broken and replicas)
        # If the soak is late, a call that crossed the close seems to have been read.
        excuses = {sent.front} | (replicas or {_evidence.SOAK})
        if not lost or evidence.disrupted(excuses, outcome.sent_at, outcome.ended_at):
            return None
        stop = _stop_of(evidence, sent)
        if stop and _is_exempt(evidence, stop, outcome, work_ended):
            return None
        ended = "no stop" if stop is None else _describe(stop)
        return _finding(
            "every_read_call_has_a_whole_answer",
            evidence,
            sent,
            f"reached {sorted(replicas)}; {ended}",
        )

    return _result(evidence.sent, find)


def _describe(stop: _evidence.Stop) -> str:
    return (
        f"process ended {stop.ended - stop.began:.2f} s after SIGTERM, "
        f"status {stop.exit_status}"
    )


def _is_exempt(evidence, stop: _evidence.Stop, outcome, work_ended) -> bool:
    last_from = stop.began + (1 - LAST_SHARE) * evidence.grace_s
    # A replica whose caller goes away ends its work at once.
    until = work_ended.get(outcome.call.id, 0.0)
    return outcome.sent_at <= stop.began + EARLY_CALL_S and until >= last_from


@_promise
def calm_calls_do_not_fail(evidence) -> Result:
    """No call at a calm front and replica fails, unless a stop has to end it."""
    reached, work_ended = evidence.arrivals(), evidence.work_ended()

    def find(sent):
        outcome = sent.outcome
        # Nothing tells which replica's connection broke before the call arrived there.
        replicas = reached.get(outcome.call.id) or set(evidence.replicas)
        # The stand-ins answer late if the soak does.
        excuses = {sent.front, _evidence.SOAK} | replicas
        if evidence.disrupted(excuses, outcome.sent_at, outcome.ended_at):
            return None
        stop = _stop_of(evidence, sent)
        if stop and _is_exempt(evidence, stop, outcome, work_ended):
            return None
        ended = "no stop" if stop is None else _describe(stop)
        return _finding("calm_calls_do_not_fail", evidence, sent, ended)

    failed = (s for s in evidence.sent if s.outcome.status in FAILURE_STATUSES)
    return _result(failed, find)


@_promise
def calls_that_may_run_once_run_at_most_once(evidence) -> Result:
    """A call that may not be repeated runs at most once, under all faults."""
    runs = evidence.runs()

    def find(sent):
        names = runs.get(sent.outcome.call.id, [])
        if len(names) < 2:
            return None
        return _finding(
            "calls_that_may_run_once_run_at_most_once",
            evidence,
            sent,
            f"ran at {names}",
        )

    return _result(_once(evidence), find)


def _once(evidence):
    return (s for s in evidence.sent if s.outcome.call.route in _fleet.AT_MOST_ONCE)


@_promise
def refused_calls_never_run(evidence) -> Result:
    """A call that may run once and is answered as not run never runs."""
    runs = evidence.runs()

    def find(sent):
        names = runs.get(sent.outcome.call.id)
        if not names:
            return None
        return _finding("refused_calls_never_run", evidence, sent, f"ran at {names}")

    refused = (s for s in _once(evidence) if s.outcome.status in NOT_RUN_STATUSES)
    return _result(refused, find)


@_promise
def answers_are_the_calls_own_and_whole(evidence) -> Result:
    """A success has the signature and exactly the call's answer, events in order."""

    def find(sent):
        if not sent.outcome.foreign:
            return None
        body = sent.outcome.body[:200]
        return _finding(
            "answers_are_the_calls_own_and_whole", evidence, sent, repr(body)
        )

    return _result(evidence.sent, find)


@_promise
def replicas_run_only_what_clients_sent(evidence) -> Result:
    """Method, path and query that a replica gets are the client's."""
    targets = {s.outcome.call.id: s.outcome.call.target for s in evidence.sent}
    received = [
        (name, call)
        for name, replica in evidence.replicas.items()
        for call in replica.calls
        if call.call_id in targets
    ]

    def find(case):
        name, call = case
        if call.path == targets[call.call_id]:
            return None
        return Finding(
            promise="replicas_run_only_what_clients_sent",
            call_id=call.call_id,
            detail=f"{name} got {call.path}",
        )

    return _result(received, find)


@_promise
def leaving_replicas_get_no_new_calls(evidence) -> Result:
    """After the bound, no call reaches a replica that has said that it leaves."""
    front_of = {s.outcome.call.id: s.front for s in evidence.sent}

    def find(leaving):
        bound = leaving.began + evidence.leaving_s + SLACK_S
        for call in evidence.replicas[leaving.replica].calls:
            front = front_of.get(call.call_id)
            if front is None or not bound < call.at < leaving.ended:
                continue
            if not evidence.disrupted(
                {front, leaving.replica, _evidence.STORE}, leaving.began, call.at
            ):
                return Finding(
                    promise="leaving_replicas_get_no_new_calls",
                    front=front,
                    call_id=call.call_id,
                    detail=f"{leaving.replica}, {call.at - leaving.began:.2f} s "
                    "after its announcement",
                )
        return None

    return _result(evidence.leaving, find)


@_promise
def deadly_requests_reach_few_replicas(evidence) -> Result:
    """Soon after its third crash, a request reaches replicas three times at most."""

    def is_late(call, fronts, settled_at):
        front = fronts.get(call.call_id)
        if front is None or call.at <= settled_at + SLACK_S:
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
        return Finding(
            promise="deadly_requests_reach_few_replicas",
            detail=f"{deadly.caller}: {len(deadly.crashed_at)} crashed, {late}",
        )

    return _result(evidence.deadly, find)


def _version(sent: _evidence.Sent) -> int | None:
    prefix = _fleet.VERSION_PREFIX
    route = sent.outcome.call.route
    return int(route.removeprefix(prefix)) if route.startswith(prefix) else None


@_promise
def configuration_never_goes_back(evidence) -> Result:
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
        return _finding("configuration_never_goes_back", evidence, sent, "was served")

    return _result(versioned, find)


@_promise
def configurations_apply_within_their_bound(evidence) -> Result:
    """Calm fronts know each version's route after the bound."""

    def find(sent):
        outcome = sent.outcome
        written = evidence.versions[_version(sent)]
        late_s = outcome.sent_at - written - evidence.configuration_s - SLACK_S
        if outcome.status != 404 or late_s < 0:
            return None
        if evidence.disrupted({sent.front, _evidence.STORE}, written, outcome.ended_at):
            return None
        return _finding(
            "configurations_apply_within_their_bound",
            evidence,
            sent,
            f"{late_s:.2f} s after the bound",
        )

    return _result((s for s in evidence.sent if _version(s)), find)


@_promise
def stopped_processes_exit_by_themselves(evidence) -> Result:
    """A planned stop ends with exit status 0 before the grace is over."""

    def find(stop):
        if stop.exit_status == 0 or evidence.disrupted(
            {stop.front}, stop.began, stop.ended
        ):
            return None
        return Finding(
            promise="stopped_processes_exit_by_themselves",
            front=stop.front,
            detail=_describe(stop),
        )

    return _result(evidence.stops, find)


@_promise
def role_orders_have_one_holder(evidence) -> Result:
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
        return Finding(
            promise="role_orders_have_one_holder",
            detail=f"{earlier} before {later} at {name}",
        )

    return _result(itertools.pairwise(orders), find)


@_promise
def running_processes_go_on(evidence) -> Result:
    """No front ends without a signal."""
    found = [
        Finding(promise="running_processes_go_on", front=name, detail="ended by itself")
        for name in evidence.exits
    ]
    return Result(checked=1, findings=found)


@_promise
def fronts_recover(evidence) -> Result:
    """After the last fault each front serves again within the bound."""
    by_front = collections.defaultdict(list)
    for sent in evidence.sent:
        if sent.outcome.sent_at > evidence.healed_at + RECOVERY_S:
            by_front[sent.front].append(sent.outcome)

    def find(front):
        outcomes = by_front[front]
        served = sum(o.status == 200 and not o.broken for o in outcomes)
        if served >= RECOVERED_SHARE * len(outcomes):
            return None
        statuses = collections.Counter(o.status for o in outcomes)
        return Finding(
            promise="fronts_recover", front=front, detail=f"statuses {dict(statuses)}"
        )

    enough = [f for f, calls in by_front.items() if len(calls) >= MIN_RECOVERY_CALLS]
    return _result(enough, find)
