"""Promises about single calls: whole own answers, at most one run."""

from soak import _evidence, _excuses, _findings, _fleet

FAILURE_STATUSES = frozenset({500, 502, 504})


@_findings.promise
def every_read_call_has_a_whole_answer(evidence) -> _findings.Result:
    """No call that a front has read, or passed on, ends without a whole answer."""
    excuses = _excuses.Excuses(evidence)

    def find(sent):
        if not excuses.is_lost(sent) or excuses.of_lost(sent):
            return None
        return _findings.finding(
            "every_read_call_has_a_whole_answer",
            evidence,
            sent,
            f"reached {sorted(excuses.replicas(sent))}; {_end(evidence, sent)}",
        )

    return _findings.result(evidence.sent, find)


def _end(evidence, sent) -> str:
    stop = _findings.stop_of(evidence, sent)
    return "no stop" if stop is None else _findings.describe(stop)


@_findings.promise
def calm_calls_do_not_fail(evidence) -> _findings.Result:
    """No call at a calm front and replica fails, unless a stop has to end it."""
    excuses, runs = _excuses.Excuses(evidence), evidence.runs()

    def find(sent):
        call = sent.outcome.call
        replicas = excuses.replicas(sent)
        if call.id not in runs:
            # Nothing tells which replica's connection broke before the call, or its
            # part after a prefill, arrived there.
            replicas = replicas | _fleet.replicas_of(call.route)
        # The stand-ins answer late if the soak does.
        if excuses.of(sent, {sent.front, _evidence.SOAK} | replicas):
            return None
        return _findings.finding(
            "calm_calls_do_not_fail", evidence, sent, _end(evidence, sent)
        )

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

    refused = (s for s in _once(evidence) if s.outcome.status in _excuses.REFUSALS)
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
