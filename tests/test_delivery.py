"""Delivery of calls to targets with scripted faults, without sockets."""

import collections
import contextlib
import itertools
import time
from concurrent import futures
from unittest import mock

import attrs

from tests import fixtures, test_dispatch
from turmericward import (
    delivery,
    dispatching,
    fleet,
    peers,
    requests,
    routing,
    runtime,
    telemetry,
)
from turmericward.adapters import errors

check = fixtures.check
NO_FAULT = "none"
# Fault of an answer without a length whose end was read long after it was sent.
HELD_UP = "held up"
# Statuses that say to clients that a call hasn't run; no target states so here.
UNPROVED = ("408", "429", "503")
STATUSES = {"refused": 503, "error": 500} | {name: int(name) for name in UNPROVED}
FAULTS = {
    "not sent": errors.NotSentError("no connection"),
    "lost": errors.AnswerLostError("reset"),
    "closed": errors.ConnectionLostError("closed by the target"),
    "cancelled": errors.CancelledError("client left"),
}
PREFILL_FAULTS = FAULTS | {
    name: errors.TargetFailedError(f"prefill has status {name}") for name in UNPROVED
}


class _Dispatcher:
    """Handles messages of the dispatcher's task synchronously."""

    def __init__(self, task: dispatching.DispatchTask) -> None:
        self._task = task
        self.granted = collections.Counter()
        self.posted: list[object] = []

    def ask(self, message) -> futures.Future:
        fut = futures.Future()
        answer = self._task.handle(message)
        if isinstance(message, dispatching.Place) and answer.is_ok():
            self.granted["retry" if message.retry else "first"] += 1
        fut.set_result(answer)
        return fut

    def post(self, message) -> None:
        self.posted.append(message)
        self._task.handle(message)


class _Transport:
    """Answers with the scripted fault of the n-th send or prefill."""

    def __init__(
        self, sends=(), prefills=(), streams=(), ended=(), numbered=True
    ) -> None:
        self._ended = ended
        self._numbered = numbered
        self._headers = {"text": (("Content-Type", "text/plain"),)}
        self._sends = iter(sends)
        self._prefills = iter(prefills)
        self._streams = iter(streams)
        self.sent: list[tuple[str, routing.Dispatch]] = []
        self.prefilled: list[str] = []
        self.released: list[str] = []

    def prefill(self, target, call, dispatch) -> str:
        self.prefilled.append(target.name)
        fault = next(self._prefills, NO_FAULT)
        if fault == "refused":
            raise errors.NotExecutedError("full")
        if fault != NO_FAULT:
            raise PREFILL_FAULTS[fault]
        return f"{target.name}/kv{len(self.prefilled)}"

    def send(self, target, call, dispatch) -> routing.Answer:
        self.sent.append((target.name, dispatch))
        fault = next(self._sends, NO_FAULT)
        if fault in FAULTS:
            raise FAULTS[fault]
        chunks = next(self._streams, None) or iter([b"id: 1\ndata: x\n\n"])
        status = STATUSES.get(fault, 200)
        return routing.Answer(
            status=status,
            headers=self._headers.get(fault, ()),
            chunks=chunks,
            close=lambda: None,
            outcome=routing.outcome_of(
                status, refused=fault == "refused", genuine=fault != "foreign"
            ),
            numbered=self._numbered,
            unframed=fault in ("unframed", HELD_UP),
            ended_promptly=lambda: fault != HELD_UP,
        )

    def has_ended(self, target) -> bool:
        return target.name in self._ended

    def release(self, source: str) -> None:
        self.released.append(source)


def _targets() -> list[fleet.Target]:
    roles = (fleet.EngineRole.PREFILL, fleet.EngineRole.DECODE)
    return [
        test_dispatch._target(f"{role.value}{n}", role)
        for role in roles
        for n in (1, 2)
    ]


def _run(
    transport: _Transport,
    targets=None,
    slack: float = test_dispatch.slack_for(2.7),
    disconnected=lambda: False,
    prompt: requests.Prompt | None = test_dispatch.PROMPT,
    **changes,
):
    """Delivers one call; returns the reply and the dispatcher."""
    retries = dispatching.RetryBounds(share=0.0, slack=slack)
    task = test_dispatch._task(retries=retries)
    announced = _targets() if targets is None else targets
    task.handle(dispatching.PutTargets(targets=tuple(announced)))
    dispatcher = _Dispatcher(task)
    ctx = delivery.Context(
        dispatch=dispatcher,
        transport=transport,
        metrics=telemetry.Metrics(None, ""),
    )
    call = test_dispatch._call(8.0)
    route = attrs.evolve(call.route, **changes)
    call = attrs.evolve(call, route=route, cancelled=disconnected, prompt=prompt)
    return delivery.Delivery(ctx, call, "model").run(), dispatcher


def _ids(reply: routing.Reply) -> list[int]:
    return [int(event.id) for batch in reply.body for event in batch]


def test_separate_prefill_passes_its_kv_source_to_decode():
    transport = _Transport()
    reply, _ = _run(transport)
    check.assertEqual(_ids(reply), [1])
    (name, dispatch) = transport.sent[0]
    check.assertTrue(name.startswith("decode"))
    check.assertEqual(dispatch.kv_source, f"{transport.prefilled[0]}/kv1")
    check.assertEqual(transport.released, [])


def test_connection_failure_reuses_the_kv_source_on_another_target():
    transport = _Transport(sends=["not sent"])
    reply, _ = _run(transport)
    check.assertEqual(reply.status, 200)
    sources = {dispatch.kv_source for _, dispatch in transport.sent}
    check.assertEqual(len(transport.sent), 2)
    check.assertEqual(sources, {f"{transport.prefilled[0]}/kv1"})
    check.assertEqual(len(transport.prefilled), 1)


def test_second_prefill_counts_as_a_retry():
    transport = _Transport(sends=["refused"] * 10)
    reply, dispatcher = _run(transport)
    check.assertEqual(reply.status, 503)
    check.assertEqual(dispatcher.granted["first"], 2)
    arrivals = len(transport.sent) + len(transport.prefilled)
    check.assertEqual(dispatcher.granted["retry"], arrivals - 2)


def test_empty_retry_budget_allows_one_arrival():
    transport = _Transport(sends=["refused"] * 10)
    reply, dispatcher = _run(transport, slack=0.0)
    check.assertEqual(reply.failure.reason, "targets_refused")
    check.assertEqual((len(transport.prefilled), len(transport.sent)), (1, 1))
    check.assertEqual(dispatcher.granted["retry"], 0)


def test_no_prefill_without_a_decode_engine():
    transport = _Transport()
    reply, _ = _run(transport, targets=_targets()[:2])
    check.assertEqual((reply.status, reply.failure.reason), (503, "no_target"))
    check.assertFalse(reply.failure.may_have_run)
    check.assertEqual(transport.prefilled, [])


def test_unused_kv_source_is_released():
    for fault in ("refused", "cancelled"):
        transport = _Transport(sends=[fault] * 10)
        _run(transport, slack=0.0)
        check.assertEqual(transport.released, [f"{transport.prefilled[0]}/kv1"], fault)


def test_client_disconnect_during_prefill_stops_the_call():
    transport = _Transport()
    reply, _ = _run(transport, disconnected=lambda: bool(transport.prefilled))
    check.assertEqual(reply.status, 499)
    check.assertEqual(transport.sent, [])
    check.assertEqual(transport.released, [f"{transport.prefilled[0]}/kv1"])


def test_failure_replies_state_whether_the_call_may_have_run():
    cases = [
        (["lost"], 1, False, 502, True),
        (["foreign"], 1, False, 502, True),
        (["refused"] * 9, 1, False, 503, False),
        (["not sent"] * 9, 1, False, 503, False),
        (["lost", "lost"], 2, True, 502, True),
        (["lost", "refused", "refused", "refused", "refused"], 2, True, 502, True),
        (["cancelled"], 2, True, 499, True),
    ]
    for sends, attempts, resumable, status, may_have_run in cases:
        transport = _Transport(sends=sends)
        reply, _ = _run(transport, max_attempts=attempts, resumable=resumable)
        check.assertEqual(reply.status, status, sends)
        check.assertEqual(reply.failure.may_have_run, may_have_run, sends)
        has_retry_after = reply.failure.retry_after_s is not None
        check.assertEqual(has_retry_after, not may_have_run, sends)


def test_max_attempts_bounds_the_targets_of_a_call():
    for attempts in (1, 2, 3):
        transport = _Transport(sends=["lost"] * 9)
        _run(transport, max_attempts=attempts)
        check.assertEqual(len(transport.sent), min(2, attempts))


class _Stream:
    """Yields batches of numbered events, then fails or completes."""

    def __init__(self, batches, completes: bool) -> None:
        self._batches = batches
        self._completes = completes

    def __iter__(self):
        for batch in self._batches:
            yield b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in batch)
        if not self._completes:
            raise errors.AnswerLostError("connection lost")


def _relay_streams(*streams, attempts: int = 4) -> tuple[list[int], list[int]]:
    transport = _Transport(streams=[iter(s) for s in streams])
    targets = [test_dispatch._target(f"e{n}") for n in range(4)]
    reply, _ = _run(transport, targets, max_attempts=attempts)
    resume_points = [int(dispatch.resume_after or 0) for _, dispatch in transport.sent]
    if reply.failure is not None:
        return [], resume_points
    return _ids(reply), [
        int(dispatch.resume_after or 0) for _, dispatch in transport.sent
    ]


def test_resumed_streams_have_no_gaps_or_duplicates():
    all_ids = [1, 2, 3, 4]
    cases = [
        ("complete", [_Stream([[1, 2], [3, 4]], True)], [0]),
        ("duplicates", [_Stream([[1, 1], [2, 2, 3], [3, 4]], True)], [0]),
        ("lower", [_Stream([[1, 2, 1, 3]], True), _Stream([[3, 4]], True)], [0, 2]),
        ("broken", [_Stream([[1, 2]], False), _Stream([[3, 4]], True)], [0, 2]),
        ("restarted", [_Stream([[1]], False), _Stream([[1, 2, 3, 4]], True)], [0, 1]),
        ("gap alone", [_Stream([[1], [3]], True), _Stream([[2, 3, 4]], True)], [0, 1]),
        ("gap in a batch", [_Stream([[1, 2, 4]], True), _Stream([[3, 4]], True)],
         [0, 2]),
        ("late duplicate", [_Stream([[1, 2], [3, 4, 4]], True)], [0]),
        ("no first event", [_Stream([], False), _Stream([all_ids], True)], [0, 0]),
    ]  # fmt: skip
    for name, streams, resume_points in cases:
        check.assertEqual(_relay_streams(*streams), (all_ids, resume_points), name)


def _relay_spoiled(ids: str, *, resumable: bool) -> tuple[list[str], bool, int]:
    """Relays a stream with these ids, a whole one next.

    Returns the ids that the client gets, whether they look complete, and the number of
    attempts.
    """
    spoiled = [f"id: {n}\ndata: {n}\n\n".encode() for n in ids.split()]
    whole = [f"id: {n}\ndata: {n}\n\n".encode() for n in range(1, 7)]
    transport = _Transport(streams=[iter(spoiled), iter(whole)], numbered=False)
    reply, _ = _run(transport, max_attempts=2, resumable=resumable)
    received = []
    try:
        for batch in reply.body:
            received += [event.id for event in batch]
    except delivery.StreamBrokenError:
        return received, False, len(transport.sent)
    return received, True, len(transport.sent)


def test_a_stream_with_a_spoiled_id_ended_as_complete_without_the_rest():
    """Guards against a loss of events that nobody can see."""
    higher, lower = "1 2 93 4 5 6", "1 2 3 0 5 6"
    for ids, resumable, expected in (
        (higher, False, (["1", "2", "93"], False, 1)),
        (higher, True, (["1", "2", "93"], False, 1)),
        (lower, False, (["1", "2", "3"], False, 1)),
        (lower, True, (list("123456"), True, 2)),
    ):
        relayed = _relay_spoiled(ids, resumable=resumable)
        check.assertEqual(relayed, expected, (ids, resumable))


class _Text:
    """Yields text that is no event with an id."""

    def __iter__(self):
        yield b"data: out of memory\n\n"


def _resume_after_break(*sends: str, second) -> tuple[list[int], list, list]:
    """Relays a stream that breaks after two events; the next attempts go otherwise.

    Returns the ids that the client gets, whatever else it gets, and how the attempts
    ended.
    """
    streams = [_Stream([[1, 2]], False), second, _Stream([[3, 4]], True)]
    transport = _Transport(sends=[NO_FAULT, *sends], streams=map(iter, streams))
    targets = [test_dispatch._target(f"e{n}") for n in range(4)]
    reply, dispatcher = _run(transport, targets, max_attempts=4)
    events = [event for batch in reply.body for event in batch]
    ids = [event.number for event in events if event.number is not None]
    other = [event.raw for event in events if event.number is None]
    return ids, other, _endings(dispatcher)


def test_error_of_the_next_target_entered_a_resumed_stream_or_ended_it():
    failed, succeeded = requests.Ending.FAILED, requests.Ending.SUCCEEDED
    for fault, second in (
        ("error", _Text()),
        ("foreign", _Text()),
        (NO_FAULT, _Text()),
        ("text", _Stream([[3, 4]], True)),
    ):
        ids, other, endings = _resume_after_break(fault, second=second)
        check.assertEqual((ids, other), ([1, 2, 3, 4], []), fault)
        check.assertEqual(endings, [failed, failed, succeeded], fault)


def test_an_unframed_stream_whose_target_has_ended_is_resumed():
    for ended, ids in (((), [1, 2]), (("e0", "e1", "e2", "e3"), [1, 2, 3, 4])):
        streams = [_Stream([[1, 2]], True), _Stream([[3, 4]], True)]
        transport = _Transport(
            sends=["unframed"], streams=map(iter, streams), ended=ended
        )
        targets = [test_dispatch._target(f"e{n}") for n in range(4)]
        reply, _ = _run(transport, targets)
        check.assertEqual(_ids(reply), ids, ended)


def test_an_unframed_stream_looked_whole_though_its_target_had_ended():
    for ended, whole in (((), True), (("e0", "e1", "e2", "e3"), False)):
        streams = [iter(_Stream([[1, 2]], True))]
        transport = _Transport(sends=["unframed"], streams=streams, ended=ended)
        targets = [test_dispatch._target(f"e{n}") for n in range(4)]
        reply, _ = _run(transport, targets, max_attempts=1, resumable=False)
        broken = None if whole else check.assertRaises(delivery.StreamBrokenError)
        with broken or contextlib.nullcontext():
            check.assertEqual(_ids(reply), [1, 2])


def test_an_unframed_answer_looked_whole_though_its_target_had_ended():
    names = tuple(f"e{n}" for n in range(4))
    for kind, status, sent in (("NON_IDEMPOTENT", 502, 1), ("IDEMPOTENT", 200, 2)):
        streams = [iter([b"a par"]), iter([b"a whole answer"])]
        transport = _Transport(sends=["unframed"], streams=streams, ended=names)
        targets = [test_dispatch._target(name) for name in names]
        changes = {"kind": routing.CallKind[kind], "resumable": False}
        reply, _ = _run(transport, targets, prompt=None, max_attempts=2, **changes)
        check.assertEqual((reply.status, len(transport.sent)), (status, sent))
        check.assertNotEqual(reply.body, b"a par")


def _run_replaced(
    replaced_by: fleet.Target, kind: str, *, resumable: bool
) -> tuple[routing.Reply, int]:
    """Returns a reply, and the attempts; the first target is replaced meanwhile."""
    target = test_dispatch._target("e0")
    others = [test_dispatch._target(f"e{n}") for n in (1, 2)]
    task = test_dispatch._task(
        retries=dispatching.RetryBounds(share=0.0, slack=test_dispatch.slack_for(2.7))
    )
    task.handle(dispatching.PutTargets(targets=(target,)))

    def first():
        yield b"id: 1\ndata: x\n\n"
        changed = dispatching.PutTargets(targets=(replaced_by, *others))
        task.handle(changed)

    streams = [first(), iter([b"id: 2\ndata: x\n\n"])]
    transport = _Transport(sends=["unframed"], streams=streams)
    ctx = delivery.Context(
        dispatch=_Dispatcher(task),
        transport=transport,
        metrics=telemetry.Metrics(None, ""),
    )
    call = test_dispatch._call(8.0)
    route = attrs.evolve(
        call.route, kind=routing.CallKind[kind], resumable=resumable, max_attempts=2
    )
    prompt = test_dispatch.PROMPT if kind == "STREAM" else None
    call = attrs.evolve(call, route=route, prompt=prompt)
    reply = delivery.Delivery(ctx, call, "model").run()
    if kind == "STREAM":
        reply = attrs.evolve(reply, body=list(reply.body))
    return reply, len(transport.sent)


def test_an_answer_looked_whole_though_its_target_was_replaced_at_its_address():
    """Guards against a listener that is taken for the one that began the answer."""
    target = test_dispatch._target("e0")
    replacements = {
        "same name": attrs.evolve(target, started_ms=5),
        "same name, elsewhere": attrs.evolve(target, started_ms=5, address="x:1"),
        "same address": attrs.evolve(target, name="e9", service="other", started_ms=5),
    }
    for name, replaced_by in replacements.items():
        reply, sent = _run_replaced(replaced_by, "STREAM", resumable=True)
        ids = [int(event.id) for batch in reply.body for event in batch]
        check.assertEqual((ids, sent), ([1, 2], 2), name)
        with check.assertRaises(delivery.StreamBrokenError, msg=name):
            _run_replaced(replaced_by, "STREAM", resumable=False)
        reply, sent = _run_replaced(replaced_by, "IDEMPOTENT", resumable=False)
        check.assertEqual((reply.status, sent), (200, 2), name)
        reply, sent = _run_replaced(replaced_by, "NON_IDEMPOTENT", resumable=False)
        check.assertEqual((reply.status, sent), (502, 1), name)


def test_an_answer_stays_whole_whatever_its_target_announces_of_itself():
    target = test_dispatch._target("e0")
    before = attrs.evolve(target, name="e9", started_ms=-5)
    for announced in (attrs.evolve(target, leaving=True), target, before):
        reply, sent = _run_replaced(announced, "NON_IDEMPOTENT", resumable=False)
        check.assertEqual((reply.status, sent), (200, 1))


def test_stream_broken_before_its_first_event_returns_502():
    transport = _Transport(streams=[iter(_Stream([], False))])
    reply, _ = _run(transport, max_attempts=1, resumable=False)
    check.assertEqual(reply.status, 502)
    check.assertTrue(reply.failure.may_have_run)


def test_comments_without_end_before_the_first_event_are_bounded():
    comments = itertools.repeat(b": still here\n\n" * 64)
    transport = _Transport(streams=[comments])
    reply, _ = _run(transport, max_attempts=1, resumable=False)
    check.assertEqual(reply.status, 502)


def test_non_resumable_stream_raises_stream_broken():
    transport = _Transport(streams=[iter(_Stream([[1, 2]], False))])
    reply, _ = _run(transport, max_attempts=1, resumable=False)
    received = []
    with check.assertRaises(delivery.StreamBrokenError) as caught:
        for batch in reply.body:
            received += batch
    check.assertEqual([event.id for event in received], ["1", "2"])
    check.assertTrue(caught.exception.failure.may_have_run)


def test_truncated_event_is_not_forwarded():
    def chunks():
        yield b"id: 1\ndata: x\n\nid: 2\nda"
        raise errors.AnswerLostError("reset")

    transport = _Transport(streams=[chunks()])
    reply, _ = _run(transport, max_attempts=1, resumable=False)
    received = []
    with check.assertRaises(delivery.StreamBrokenError):
        for batch in reply.body:
            received += [event.raw for event in batch]
    check.assertEqual(received, [b"id: 1\ndata: x\n\n"])


def test_closing_a_stream_ends_its_placement():
    transport = _Transport(streams=[iter(_Stream([[1], [2]], True))])
    reply, dispatcher = _run(transport)
    batches = iter(reply.body)
    next(batches)
    reply.body.close()
    loads = dispatcher._task._placer.local_loads()
    remaining_loads = {(load.open_calls, load.urgent_tokens) for load in loads.values()}
    check.assertEqual(remaining_loads, {(0, 0.0)})
    check.assertGreater(runtime.now(), 0)
    check.assertIs(requests.Ending.SUCCEEDED.value, "sound")


def _plain_call(seconds: int) -> routing.Call:
    route = attrs.evolve(test_dispatch.ROUTE, kind=routing.CallKind.IDEMPOTENT)
    call = test_dispatch._call(1.0)
    return attrs.evolve(call, id=f"c{seconds}", route=route, prompt=None)


def test_plain_service_calls_sustain_the_retry_budget():
    # One call in eight fails at its first target. The initial budget doesn't cover
    # all retries, so calls have to earn them.
    retries = dispatching.RetryBounds(share=0.2, slack=60.0)
    task = test_dispatch._task(retries=retries)
    task.handle(
        dispatching.PutTargets(targets=tuple(test_dispatch._target(n) for n in "ab"))
    )
    dispatcher = _Dispatcher(task)
    answered = 0
    for second in range(600):
        transport = _Transport(sends=["lost"] if second % 8 == 0 else [])
        ctx = delivery.Context(
            dispatch=dispatcher,
            transport=transport,
            metrics=telemetry.Metrics(None, ""),
        )
        call = _plain_call(second)
        answered += delivery.Delivery(ctx, call, "model").run().status == 200
    check.assertEqual(answered, 600)
    check.assertEqual(dispatcher.granted["retry"], 75)


def _run_at_limited_target(disconnected=lambda: False):
    """Delivers a plain call whose only target takes it after 0.3 s."""
    task = test_dispatch._task()
    target = test_dispatch._target("p", role=None)
    task.handle(dispatching.PutTargets(targets=(target,)))
    task.handle(peers.Members(names=frozenset(("front-2",))))
    limit = fleet.RateLimit(per_s=1 / 0.3, observed_at=runtime.now())
    task.handle(dispatching.TargetNotice(target=target, limit=limit))
    transport = _Transport()
    ctx = delivery.Context(
        dispatch=_Dispatcher(task),
        transport=transport,
        metrics=telemetry.Metrics(None, ""),
    )
    call = attrs.evolve(_plain_call(0), cancelled=disconnected)
    started = runtime.now()
    status = delivery.Delivery(ctx, call, "model").run().status
    return status, len(transport.sent), runtime.now() - started


def test_a_call_waits_for_its_turn_at_a_limited_target():
    status, sent, took_s = _run_at_limited_target()
    check.assertEqual((status, sent), (200, 1))
    check.assertGreater(took_s, 0.25)


def test_a_call_whose_client_leaves_before_its_turn_is_not_sent():
    deadline = runtime.now() + 0.15
    status, sent, took_s = _run_at_limited_target(lambda: runtime.now() > deadline)
    check.assertEqual((status, sent), (499, 0))
    check.assertLess(took_s, 0.3)


def _endings(dispatcher: _Dispatcher) -> list[requests.Ending]:
    ended = (m for m in dispatcher.posted if isinstance(m, dispatching.PlacementEnded))
    return [message.ending for message in ended]


def test_a_lost_connection_counts_as_a_crash_if_the_target_has_ended():
    targets = [test_dispatch._target("e1")]
    for fault, ended, ending in (
        ("closed", ("e1",), requests.Ending.CRASHED),
        ("closed", (), requests.Ending.FAILED),
        ("lost", ("e1",), requests.Ending.FAILED),
    ):
        for prompt in (test_dispatch.PROMPT, None):
            transport = _Transport(sends=[fault], ended=ended)
            _, dispatcher = _run(
                transport, targets, max_attempts=1, resumable=False, prompt=prompt
            )
            check.assertEqual(_endings(dispatcher), [ending], (fault, ended, prompt))


def test_a_failed_attempt_is_logged_with_the_shared_segments_of_its_prompt():
    transport = _Transport(sends=["closed"], ended=("e1",))
    targets = [test_dispatch._target("e1")]
    with mock.patch.object(telemetry, "log_event") as log_event:
        _run(transport, targets, max_attempts=1, resumable=False)
    (line,) = [c.kwargs for c in log_event.call_args_list if c.args == ("attempt",)]
    shared = [s.id for s in test_dispatch._call(8.0).prompt.segments[:-1]]
    check.assertTrue(shared)
    check.assertEqual(line["segments"], shared)
    check.assertEqual((line["target_ended"], line["began"]), (True, False))


def test_failed_attempts_name_the_content_and_whether_the_target_ended_of_any_call():
    targets = [test_dispatch._target(f"e{n}") for n in range(2)]
    for prompt in (test_dispatch.PROMPT, None):
        transport = _Transport(sends=["closed", "lost"], ended=("e0", "e1"))
        with mock.patch.object(telemetry, "log_event") as log_event:
            _run(transport, targets, max_attempts=2, resumable=True, prompt=prompt)
        lines = [c.kwargs for c in log_event.call_args_list if c.args == ("attempt",)]
        check.assertEqual([line["target_ended"] for line in lines], [True, False])
        check.assertEqual(len({line["content"] for line in lines}), 1)
        check.assertRegex(lines[0]["content"], "^[0-9a-f]{16}$")


def test_a_call_under_which_two_targets_ended_is_not_sent_to_a_third():
    targets = [test_dispatch._target(f"e{n}") for n in range(4)]
    for ended, sent in (((), 4), (("e0", "e1", "e2", "e3"), 2)):
        for prompt in (test_dispatch.PROMPT, None):
            transport = _Transport(sends=["closed"] * 9, ended=ended)
            reply, _ = _run(
                transport, targets, slack=600.0, max_attempts=4, prompt=prompt
            )
            check.assertEqual((len(transport.sent), reply.status), (sent, 502), ended)


def _logged(log_event, name: str) -> list[dict]:
    return [c.kwargs for c in log_event.call_args_list if c.args == (name,)]


def test_lines_of_a_lost_stream_did_not_tell_a_pause_from_a_lost_connection():
    def chunks(pause_s: float):
        yield b"id: 1\ndata: x\n\n"
        time.sleep(pause_s)
        raise errors.AnswerLostError("no bytes in time")

    targets = [test_dispatch._target("e1")]
    for pause_s, late in ((0.0, 0), (1.05, 1)):
        transport = _Transport(streams=[chunks(pause_s)])
        with mock.patch.object(telemetry, "log_event") as log_event:
            reply, _ = _run(transport, targets, max_attempts=2)
            with check.assertRaises(delivery.StreamBrokenError):
                list(reply.body)
        (line,) = _logged(log_event, "attempt")
        check.assertEqual(line["wait_s"], 1.0)
        check.assertAlmostEqual(line["silent_s"], pause_s, delta=0.2)
        check.assertEqual(len(_logged(log_event, "attempt_late")), late, pause_s)
        (second,) = _logged(log_event, "second_attempt")
        check.assertEqual(
            (second["outcome"], second["reason"]), ("refused", "no_target")
        )
        check.assertEqual(_logged(log_event, "reply")[0]["target"], "e1")


def test_the_content_of_a_call_is_hashed_once_for_all_its_attempts():
    targets = [test_dispatch._target(f"e{n}") for n in range(4)]
    for prompt in (test_dispatch.PROMPT, None):
        transport = _Transport(sends=["closed"] * 3)
        with mock.patch.object(
            routing, "fingerprint", wraps=routing.fingerprint
        ) as fingerprint:
            _run(transport, targets, slack=600.0, max_attempts=4, prompt=prompt)
        check.assertEqual((len(transport.sent), fingerprint.call_count), (4, 1))


# Its placement was from before the wait for the target's rate limit.
def test_a_call_that_waited_for_its_turn_was_sent_to_a_target_that_had_left():
    for leaves in (False, True):
        task = test_dispatch._task()
        target = test_dispatch._target("p", role=None)
        task.handle(dispatching.PutTargets(targets=(target,)))
        task.handle(peers.Members(names=frozenset(("front-2",))))
        limit = fleet.RateLimit(per_s=1 / 0.7, observed_at=runtime.now())
        task.handle(dispatching.TargetNotice(target=target, limit=limit))
        transport = _Transport()
        ctx = delivery.Context(
            dispatch=_Dispatcher(task),
            transport=transport,
            metrics=telemetry.Metrics(None, ""),
        )
        began, polled = runtime.now(), []

        def cancelled(task=task, target=target, began=began, leaves=leaves, at=polled):
            # Polled by the call while it waits.
            if not at and runtime.now() - began > 0.05:
                at.append(runtime.now())
                task.handle(dispatching.TargetNotice(target=target, leaving=leaves))
            return False

        call = attrs.evolve(_plain_call(0), cancelled=cancelled)
        reply = delivery.Delivery(ctx, call, "model").run()
        check.assertEqual(len(transport.sent), 0 if leaves else 1)
        check.assertEqual(reply.status, 503 if leaves else 200)
