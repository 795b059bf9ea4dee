"""Tasks of the steward, driven by messages; most tests use no sockets."""

import time
from concurrent import futures

from standins import launch
from tests import fixtures, test_adapters, test_router_task
from turmericward import authority, configuration, fleet, membership, settings
from turmericward.adapters import errors, log
from turmericward.steward import (
    _authority_task,
    _change_loop,
    _configuration_task,
    _log_tasks,
    _messages,
)

check = fixtures.check


class _Sink:
    """Records what the task sends to other tasks."""

    def __init__(self) -> None:
        self.messages = []

    def post(self, message) -> None:
        self.messages.append(message)

    def watch(self, engines) -> None:
        self.engines = engines


def _task() -> _configuration_task.ConfigurationTask:
    cfg = settings.loads(fixtures.json.dumps(test_router_task.DOCUMENT))
    return _configuration_task.ConfigurationTask(cfg, _Sink(), _Sink(), _Sink())


def _change(offset: int) -> log.Record:
    change = configuration.Change(
        id=f"{offset}",
        producer="test",
        kind="model",
        name="m",
        expected=offset,
        value={"version": f"{offset}"},
    )
    return log.Record(offset=offset, value=configuration.encode(change))


def _read(first: int, end: int) -> _messages.LogRead:
    records = [_change(offset) for offset in range(first, end)]
    return _messages.LogRead(
        stream="config", records=records, next_offset=end, first=0, read_at=0.0
    )


def _state(applied: int) -> dict:
    ledger = configuration.Ledger()
    for offset in range(applied):
        ledger.apply(offset, _change(offset).value)
    return ledger.snapshot()


def _follow(task, applied: int):
    message = _messages.Follow(
        entry="a0-0",
        applied=applied,
        fleet_version=0,
        drained=[],
        deadline=time.monotonic() + 60,
    )
    return task.handle(message)


def test_a_peer_state_does_not_replace_a_history_read_from_the_log():
    task = _task()
    task.handle(_read(0, 3))
    task.handle(_messages.Restore(state=_state(5)))
    task.handle(_read(3, 6))
    answer = _follow(task, 1)
    check.assertFalse(answer.whole)
    check.assertEqual([r.version for r in answer.resources], [2, 3, 4, 5, 6])


def test_a_newer_peer_state_is_restored_during_a_log_outage():
    task = _task()
    task.handle(_messages.LogReadFailed(stream="config"))
    task.handle(_messages.Restore(state=_state(5)))
    check.assertEqual(_follow(task, 0).applied, 5)
    task.handle(_messages.Restore(state=_state(3)))
    check.assertEqual(_follow(task, 0).applied, 5)
    task.handle(_read(0, 3))
    check.assertEqual(_follow(task, 0).applied, 5)
    task.handle(_read(3, 7))
    check.assertEqual(_follow(task, 5).applied, 7)


def test_an_up_to_date_poll_waits_and_gets_each_change_once():
    task = _task()
    task.handle(_read(0, 2))
    fut = _follow(task, 2)
    check.assertFalse(fut.done())
    task.handle(_read(2, 3))
    check.assertEqual([r.version for r in fut.result().resources], [3])


def _authority_task_and_sink() -> tuple[_authority_task.AuthorityTask, _Sink]:
    cfg = settings.loads(fixtures.json.dumps(test_router_task.DOCUMENT))
    sink = _Sink()
    return _authority_task.AuthorityTask(cfg, sink), sink


def _deliver(task, stream: list, start: int, first: int = 0) -> None:
    records = [log.Record(offset=n, value=stream[n]) for n in range(start, len(stream))]
    task.handle(
        _messages.LogRead(
            stream="authority.a",
            records=records,
            next_offset=len(stream),
            first=first,
            read_at=time.monotonic(),
        )
    )


def _renewals(holder: str, count: int) -> list[dict]:
    acquire = authority.Acquire(id="a", holder=holder, expected=0, term_s=5.0)
    renewals = [
        authority.Renew(id=f"r{n}", holder=holder, token=1) for n in range(count)
    ]
    return [authority.encode(record) for record in (acquire, *renewals)]


def test_a_steward_that_starts_after_an_expiry_waits_for_a_snapshot():
    stream = _renewals("other", 120)
    running, sink = _authority_task_and_sink()
    _deliver(running, stream, 0)
    (snapshot,) = [m.value for m in sink.messages if "covers" in m.value]
    restarted, appended = _authority_task_and_sink()
    restarted.handle(_messages.LogExpired(stream="authority.a", first=60))
    _deliver(restarted, stream, 60, first=60)
    restarted.run_periodic()
    check.assertEqual(appended.messages, [])
    check.assertFalse(restarted._contender.known)
    stream.append(snapshot)
    stream.append(authority.encode(authority.Renew(id="x", holder="other", token=1)))
    _deliver(restarted, stream, 121, first=60)
    check.assertTrue(restarted._contender.known)
    check.assertEqual(restarted._contender.lease.holder, "other")
    check.assertEqual(restarted._contender.lease.last, len(stream))
    restarted.run_periodic()
    check.assertEqual(appended.messages, [])


def test_a_steward_acquires_the_lease_when_all_records_have_expired():
    task, appended = _authority_task_and_sink()
    task.handle(_messages.LogExpired(stream="authority.a", first=60))
    message = _messages.LogRead(
        stream="authority.a",
        records=[],
        next_offset=60,
        first=60,
        read_at=time.monotonic(),
    )
    task.handle(message)
    task.run_periodic()
    (acquire,) = appended.messages
    check.assertEqual((acquire.value["expected"], acquire.value["floor"]), (0, 60))


def _task_with_engines(
    engines: tuple[str, ...],
) -> _configuration_task.ConfigurationTask:
    """Returns a task with one model, its engines, their loads and a polling entry."""
    task = _task()
    task.handle(_read(0, 1))
    value = {"domain": "a", "address": "127.0.0.1:1", "models": ["m"]}
    changes = [
        configuration.Change(
            id=name, producer="t", kind="engine", name=name, expected=0, value=value
        )
        for name in engines
    ]
    records = [
        log.Record(offset=n, value=configuration.encode(c))
        for n, c in enumerate(changes, start=1)
    ]
    task.handle(
        _messages.LogRead(
            stream="config",
            records=records,
            next_offset=len(records) + 1,
            first=0,
            read_at=0.0,
        )
    )
    load = fleet.LoadView(running=0, queued=0, role="mixed", at=time.monotonic())
    loads = dict.fromkeys(engines, load)
    task.handle(_messages.FleetRead(instances=[], loads=loads))
    _follow(task, 0)
    return task


def _refusal(task, engine: str, hold_id: str) -> str:
    now = time.monotonic()
    hold = membership.Hold(engine=engine, hold_id=hold_id, until=now + 60)
    answer = task.handle(_messages.PlaceHold(hold=hold, deadline=now + 60))
    return answer.refused if isinstance(answer, _messages.HoldStatus) else ""


def test_a_hold_that_would_leave_a_model_without_engine_is_refused():
    task = _task_with_engines(("e0", "e1"))
    check.assertEqual(_refusal(task, "e0", "h0"), "")
    check.assertIn("model m", _refusal(task, "e1", "h1"))
    check.assertEqual(_refusal(task, "e0", "h2"), "")
    task.handle(_messages.ReleaseHolds(hold_ids=["h0", "h2"]))
    check.assertEqual(_refusal(task, "e1", "h3"), "")


def test_the_only_engine_of_a_model_may_be_held():
    check.assertEqual(_refusal(_task_with_engines(("e0",)), "e0", "h0"), "")


def test_a_hold_is_refused_while_the_other_engine_sends_no_report():
    task = _task_with_engines(("e0", "e1"))
    task.handle(_messages.FleetRead(instances=[], loads={}))
    check.assertIn("model m", _refusal(task, "e0", "h0"))


def test_a_hold_is_refused_while_an_entry_is_unresponsive():
    task = _task_with_engines(("e0",))
    task._polls.polled_at["a0-0"] -= 60
    check.assertIn("silent", _refusal(task, "e0", "h0"))


class _Authority:
    """Accepts every request of the change loop and records it."""

    def __init__(self) -> None:
        self.requests = []

    def ask(self, message) -> futures.Future:
        self.requests.append(message)
        fut: futures.Future = futures.Future()
        fut.set_result(True)
        return fut


def test_an_order_that_may_still_arrive_is_not_settled_as_void():
    cfg = settings.loads(fixtures.json.dumps(test_router_task.DOCUMENT))
    order = authority.Order(
        id="o1",
        token=1,
        engine="e",
        spec=authority.Spec(role="decode"),
        phase=authority.OrderPhase.INTENDED,
    )
    with test_adapters.serve_app(test_adapters.idle_engine(fencing=False)) as address:
        desired = _messages.DesiredEngine(name="e", address=address, spec=order.spec)
        fake = _Authority()
        loop = _change_loop.ChangeLoop(cfg, fake)
        loop._deliverable_until["o1"] = time.monotonic() + 60
        check.assertTrue(loop._settle(desired, order))
        check.assertEqual(fake.requests, [])
        loop._deliverable_until["o1"] = time.monotonic() - 1
        check.assertTrue(loop._settle(desired, order))
        check.assertEqual(fake.requests[0].phase, authority.OrderPhase.VOID)
        loop.release_resources()


class _Log:
    """Records the stream and the number of records of each append."""

    def __init__(self) -> None:
        self.streams = []

    def append(self, stream: str, values: list) -> int:
        self.streams.append((stream, len(values)))
        return 0

    def close(self) -> None:
        pass


def test_renewals_are_appended_before_waiting_claims():
    cfg = settings.loads(fixtures.json.dumps(test_router_task.DOCUMENT))
    appender = _log_tasks.Appender(cfg.log)
    appender._client = _Log()
    deadline = time.monotonic() + 60
    for stream, urgent in (("calls", False), ("calls", False), ("authority.a", True)):
        appender.post(
            _messages.Append(stream=stream, value={}, deadline=deadline, urgent=urgent)
        )
    appender.run_once()
    appender.run_once()
    check.assertEqual(appender._client.streams, [("authority.a", 1), ("calls", 2)])


class _FailingLog:
    """Fails its first read; records how long each one may wait."""

    def __init__(self) -> None:
        self.waits = []

    def read(self, stream: str, start: int, wait_s: float):
        self.waits.append(wait_s)
        if len(self.waits) == 1:
            raise errors.LogUnavailableError("down")
        return log.Page(records=[], next_offset=0, first=0)


def test_a_follower_learns_at_once_that_the_log_is_back():
    cfg = settings.loads(fixtures.json.dumps(test_router_task.DOCUMENT))
    sink = _Sink()
    follower = _log_tasks.Follower(cfg.log, "calls", sink)
    follower._client = _FailingLog()
    for _ in range(3):
        follower.run_once()
    wait_s = cfg.log.poll_wait_s
    check.assertEqual(follower._client.waits, [wait_s, 0.0, wait_s])
    failed, read, _ = sink.messages
    check.assertIsInstance(failed, _messages.LogReadFailed)
    check.assertIsInstance(read, _messages.LogRead)


class _LateTask:
    """Answers too late, like a task of a process that was paused meanwhile."""

    def __init__(self) -> None:
        self.asked = 0

    def ask(self, message) -> futures.Future:
        self.asked += 1
        fut: futures.Future = futures.Future()
        fut.set_exception(TimeoutError())
        return fut


def test_loops_go_on_after_an_answer_that_came_too_late():
    cfg = settings.loads(fixtures.json.dumps(test_router_task.DOCUMENT))
    task = _LateTask()
    loop = _change_loop.ChangeLoop(cfg, task)
    with futures.ThreadPoolExecutor(1) as executor:
        ended = executor.submit(loop.run)
        launch.wait_until(lambda: task.asked > 1 or ended.done(), what="second ask")
        check.assertFalse(ended.done())
        loop.stop()
        ended.result()
