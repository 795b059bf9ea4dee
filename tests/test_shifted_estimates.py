"""Rules hold though an estimate from the past is wrong, at once, by a factor of 3."""

import threading
from concurrent import futures

import attrs

from tests import fixtures, test_delivery_stop, test_dispatch
from turmericward import delivery, dispatching, runtime
from turmericward.delivery import _stop, _timeouts
from turmericward.dispatching import _deadlines, _retry_budgets

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


def test_how_long_an_answer_is_expected_moved_the_end_of_a_call():
    call = test_dispatch._call(8.0)
    for expected_s in (0.0, 0.3, 1.0, 3.0, 9.0, 1e6):
        alone_s = _timeouts.first_byte_timeout_s(call, expected_s, may_repeat=False)
        check.assertAlmostEqual(alone_s, 8.0, places=1, msg=expected_s)
        timeout_s = _timeouts.first_byte_timeout_s(call, expected_s, may_repeat=True)
        check.assertLessEqual(timeout_s, 8.0, expected_s)
        # Another attempt is looked for, at the earliest, after half of its time.
        check.assertGreaterEqual(timeout_s, 3.9, expected_s)


def test_routes_whose_times_are_not_known_changed_which_calls_begin_late_in_a_stop():
    moved, evicted = _stop.CallTimes(), _stop.CallTimes()
    for _ in range(_stop.RECENT_CALLS):
        moved.record("ask", 0.1)
        evicted.record("ask", 0.1)
    for number in range(_stop.MAX_ROUTES):
        evicted.record(f"r{number}", 0.1)
    check.assertIsNone(evicted.usual_s("ask"))
    # A front that has just started; a route that moved to a slower service; too many.
    for times in (_stop.CallTimes(), moved, evicted):
        for call_s, granted in ((3.9, True), (4.1, False), (30.0, False)):
            stop = _stop.CallStop(drain=_known_stop(3.0), times=times)
            call = test_dispatch._call(call_s)
            check.assertIs(stop.admission(call, 0.0).granted, granted, call_s)


def _known_stop(elapsed_s: float) -> runtime.Drain:
    drain = runtime.Drain(8.0, lag_s=3.0)
    drain.begin(runtime.now() - elapsed_s)
    return drain


def test_fronts_that_know_no_peer_yet_had_more_retries_than_all_may_send():
    bounds = dispatching.RetryBounds(share=0.1, slack=60.0)
    for fronts in (1, 16, 48, 195):
        budgets = [_retry_budgets.RetryBudgets(bounds) for _ in range(fronts)]
        spent = sum(
            sum(budget.spend() for _ in range(60))
            for budget in (b.for_service("s") for b in budgets)
        )
        check.assertLessEqual(spent, bounds.slack, fronts)
