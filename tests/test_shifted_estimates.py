"""Rules hold though an estimate from the past is wrong, at once, by a factor of 3."""

import threading
from concurrent import futures

import attrs

from tests import fixtures, test_delivery_stop, test_dispatch
from turmericward import delivery, runtime
from turmericward.dispatching import _deadlines

check = fixtures.check
STOP_S = 2.0
# Slack for a busy machine; ends are polled every 0.2 s.
LATE_S = 0.6


class _SilentDispatcher:
    """Answers nothing."""

    def ask(self, _) -> futures.Future:
        return futures.Future()

    def post(self, _) -> None:
        pass


def test_a_call_that_waited_for_the_dispatcher_was_cut_at_the_end_of_a_stop():
    def run(begin_s: float) -> None:
        drain = runtime.Drain(STOP_S)
        ctx, _ = test_delivery_stop._context(drain, None)
        ctx = attrs.evolve(ctx, dispatch=_SilentDispatcher())
        threading.Timer(begin_s, drain.begin).start()
        reply = delivery.Delivery(ctx, test_dispatch._call(8.0), "model").run()
        check.assertLess(runtime.now(), drain.deadline + LATE_S, begin_s)
        check.assertEqual((reply.status, reply.failure.may_have_run), (503, False))

    with futures.ThreadPoolExecutor() as executor:
        list(executor.map(run, (0.0, 0.5)))


def test_calls_were_taken_for_repeats_for_good_after_clients_gave_them_less_time():
    estimates = _deadlines.DeadlineEstimates()
    call = test_dispatch._call(9.0)
    objective_s = call.route.objective_s
    estimates.deadlines(call, call.received)
    cases = [
        # Seconds since then, time of a call, whether it counts as repeated.
        (1.0, 3.0, True),
        (25.0, 3.0, True),
        (65.0, 3.0, False),
        (66.0, 9.0, False),
        (67.0, 3.0, True),
        (200.0, 3.0, False),
    ]
    for after_s, call_s, repeated in cases:
        now = call.received + after_s
        later = attrs.evolve(
            call, received=now, deadline_s=call_s, deadline=now + call_s
        )
        deadlines = estimates.deadlines(later, now)
        late = deadlines.soft_deadline_s < objective_s - 0.01
        check.assertEqual(late, repeated, after_s)
        # What ends a call is its own time, whatever others had.
        check.assertAlmostEqual(
            deadlines.hard_deadline_s, min(call_s, call.route.abandon_s), places=3
        )
