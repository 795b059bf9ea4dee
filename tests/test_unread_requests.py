"""Long requests that targets don't read, while the process stops or a client leaves."""

import threading
import time
from concurrent import futures

import attrs

from tests import fixtures, test_delivery, test_dispatch, test_late_connections
from turmericward import delivery, dispatching, fleet, routing, runtime, telemetry

check = fixtures.check
BODY = bytes(test_late_connections.LONG_BODY_BYTES)
CALL_S = 8.0
STOP_S = 3.0
BEGIN_S = 0.5
# Slack for a busy machine; the end is polled every 0.2 s.
LATE_S = 0.6


def _deliver(transport, address: str, drain: runtime.Drain, **changes) -> routing.Reply:
    task = test_dispatch._task()
    target = fleet.Target(
        name="t",
        service="model",
        address=address,
        domain="a",
        slots=8,
        role=fleet.EngineRole.DECODE,
    )
    task.handle(dispatching.PutTargets(targets=(target,)))
    ctx = delivery.Context(
        dispatch=test_delivery._Dispatcher(task),
        transport=transport,
        metrics=telemetry.Metrics(None, ""),
        drain=drain,
    )
    call = attrs.evolve(test_dispatch._call(CALL_S), body=BODY, method="POST")
    route = attrs.evolve(call.route, abandon_s=CALL_S)
    call = attrs.evolve(call, route=route, **changes)
    return delivery.Delivery(ctx, call, "model").run()


def _after(delay_s: float, function) -> None:
    threading.Timer(delay_s, function).start()


def _run_all(case) -> None:
    transports = test_late_connections._transports()
    with futures.ThreadPoolExecutor(len(transports)) as executor:
        list(executor.map(case, transports.items()))


def test_a_call_whose_request_was_not_read_was_cut_at_the_end_of_a_stop():
    def run(item) -> None:
        name, (transport, _) = item
        drain = runtime.Drain(STOP_S)
        with test_late_connections._UnreadingTarget() as target:
            _after(BEGIN_S, drain.begin)
            reply = _deliver(transport, target.address, drain)
            check.assertLess(runtime.now(), drain.deadline + LATE_S, name)
        check.assertEqual(reply.status, 502, name)
        check.assertTrue(reply.failure.may_have_run, name)

    _run_all(run)


def test_a_request_was_written_on_for_a_client_that_had_left():
    def run(item) -> None:
        name, (transport, _) = item
        left = threading.Event()
        with test_late_connections._UnreadingTarget() as target:
            _after(BEGIN_S, left.set)
            began = time.monotonic()
            drain = runtime.Drain(STOP_S)
            _deliver(transport, target.address, drain, cancelled=left.is_set)
        check.assertLess(time.monotonic() - began, BEGIN_S + LATE_S, name)

    _run_all(run)
