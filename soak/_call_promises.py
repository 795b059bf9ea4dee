"""Promises about single calls: whole own answers, at most one run."""

from soak import _evidence, _findings, _fleet

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
FAILURE_STATUSES = frozenset({500, 502, 504})
# Of a stop: a replica still at work in its last sixth, on a call sent early, is cut.
LAST_SHARE = 1 / 6
EARLY_CALL_S = 3.0


@_findings.promise
def every_read_call_has_a_whole_answer(evidence) -> _findings.Result:
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
        stop = _findings.stop_of(evidence, sent)
        if stop and _is_exempt(evidence, stop, outcome, work_ended):
            return None
        ended = "no stop" if stop is None else _findings.describe(stop)
        return _findings.finding(
            "every_read_call_has_a_whole_answer",
            evidence,
            sent,
            f"reached {sorted(replicas)}; {ended}",
        )

    return _findings.result(evidence.sent, find)


def _is_exempt(evidence, stop: _evidence.Stop, outcome, work_ended) -> bool:
    last_from = stop.began + (1 - LAST_SHARE) * evidence.grace_s
    # A replica whose caller goes away ends its work at once.
    until = work_ended.get(outcome.call.id, 0.0)
    return outcome.sent_at <= stop.began + EARLY_CALL_S and until >= last_from


@_findings.promise
def calm_calls_do_not_fail(evidence) -> _findings.Result:
    """No call at a calm front and replica fails, unless a stop has to end it."""
    reached, work_ended = evidence.arrivals(), evidence.work_ended()
    runs = evidence.runs()

    def find(sent):
        outcome = sent.outcome
        replicas = reached.get(outcome.call.id, set())
        if outcome.call.id not in runs:
            # Nothing tells which replica's connection broke before the call, or its
            # part after a prefill, arrived there.
            replicas = replicas | _fleet.replicas_of(outcome.call.route)
        # The stand-ins answer late if the soak does.
        excuses = {sent.front, _evidence.SOAK} | replicas
        if evidence.disrupted(excuses, outcome.sent_at, outcome.ended_at):
            return None
        stop = _findings.stop_of(evidence, sent)
        if stop and _is_exempt(evidence, stop, outcome, work_ended):
            return None
        ended = "no stop" if stop is None else _findings.describe(stop)
        return _findings.finding("calm_calls_do_not_fail", evidence, sent, ended)

    failed = (s for s in evidence.sent if s.outcome.status in FAILURE_STATUSES)
    return _findings.result(failed, find)


@_findings.promise
def calls_that_may_run_once_run_at_most_once(evidence) -> _findings.Result:
    """A call that may not be repeated runs at most once, under all faults."""
    runs = evidence.runs()

    def find(sent):
        names = runs.get(sent.outcome.call.id, [])
        if len(names) < 2:
            return None
        return _findings.finding(
            "calls_that_may_run_once_run_at_most_once",
            evidence,
            sent,
            f"ran at {names}",
        )

    return _findings.result(_once(evidence), find)


def _once(evidence):
    return (s for s in evidence.sent if s.outcome.call.route in _fleet.AT_MOST_ONCE)


@_findings.promise
def refused_calls_never_run(evidence) -> _findings.Result:
    """A call that may run once and is answered as not run never runs."""
    runs = evidence.runs()

    def find(sent):
        names = runs.get(sent.outcome.call.id)
        if not names:
            return None
        return _findings.finding(
            "refused_calls_never_run", evidence, sent, f"ran at {names}"
        )

    refused = (s for s in _once(evidence) if s.outcome.status in NOT_RUN_STATUSES)
    return _findings.result(refused, find)


@_findings.promise
def answers_are_the_calls_own_and_whole(evidence) -> _findings.Result:
    """A success has the signature and exactly the call's answer, events in order."""

    def find(sent):
        if not sent.outcome.foreign:
            return None
        body = sent.outcome.body[:200]
        return _findings.finding(
            "answers_are_the_calls_own_and_whole", evidence, sent, repr(body)
        )

    return _findings.result(evidence.sent, find)


@_findings.promise
def replicas_run_only_what_clients_sent(evidence) -> _findings.Result:
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
        return _findings.Finding(
            promise="replicas_run_only_what_clients_sent",
            call_id=call.call_id,
            detail=f"{name} got {call.path}",
        )

    return _findings.result(received, find)
