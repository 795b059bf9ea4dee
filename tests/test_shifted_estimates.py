"""Rules hold though an estimate from the past is wrong, at once, by a factor of 3."""

import threading
from concurrent import futures

import attrs

from tests import fixtures, test_delivery_stop, test_dispatch
from turmericward import delivery, runtime

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
