"""Plain services of an entry whose targets pause, on real connections."""

import contextlib
import math
import socket
import threading
import time
import types
from concurrent import futures

from tests import fixtures, test_late_attempts, test_late_connections
from turmericward import configuration, runtime
from turmericward.entry import _context, _errors, _http, _router_task, _services

check = fixtures.check
TIMEOUT_S = 1.2
# Never begins to stop.
SERVES = runtime.Drain(math.inf)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
HUNG = (15.0,)
SOUND = (ANSWER,)
HALF = ANSWER[:-1]


class _Context:
    """Admits every call and ranks targets as they are configured."""

    def __init__(self, service: configuration.Service, drain: runtime.Drain) -> None:
        self._services = {"s": service}
        self.drain = drain
        self.router = self
        self.ended: list[_router_task.CallEnded] = []

    def caller(self, _):
        return types.SimpleNamespace(tenant="t")

    def view(self):
        return types.SimpleNamespace(services=self._services)

    def admit_request(self, _) -> None:
        pass

    release_request = admit_request
    must_end = _context.Context.must_end
    check_stop = _context.Context.check_stop

    def ask_router(self, message: _router_task.RankTargets) -> list:
        return message.targets

    def post(self, message: _router_task.CallEnded) -> None:
        self.ended.append(message)


def _call(
    *targets, method="GET", body=b"", timeout_s=TIMEOUT_S, drain=SERVES
) -> tuple[int, float]:
    """Returns the status of a call, and how long it took."""
    service = configuration.Service(
        targets=[
            configuration.ServiceTarget(name=f"t{n}", domain="a", address=t.address)
            for n, t in enumerate(targets)
        ],
        idempotent=["GET *", "PUT *"],
        timeout_s=timeout_s,
    )
    req = _http.Request(
        id="c",
        method=method,
        path="/services/s/x",
        query={},
        raw_query="",
        headers={},
        body=body,
    )
    began = time.monotonic()
    try:
        status = _services.Services(_Context(service, drain)).call(req).status
    except _errors.RequestError as exc:
        status = exc.status
    return status, time.monotonic() - began


@contextlib.contextmanager
def _targets(*scripts):
    with contextlib.ExitStack() as stack:
        yield [
            stack.enter_context(test_late_connections._Target(script))
            for script in scripts
        ]


def _check_calls(cases, expected: int, max_timeouts: float) -> None:
    """Sends a call to the targets of each case, all at once."""

    def run(scripts) -> tuple[int, float]:
        with _targets(*scripts) as targets:
            return _call(*targets)

    with futures.ThreadPoolExecutor(len(cases)) as executor:
        for scripts, (status, took_s) in zip(
            cases, executor.map(run, cases), strict=True
        ):
            check.assertEqual(status, expected, scripts)
            check.assertLess(took_s, max_timeouts * TIMEOUT_S, scripts)


def test_a_late_target_without_another_one_lost_its_idempotent_calls():
    with _targets((1.8 * TIMEOUT_S, ANSWER)) as targets:
        check.assertEqual(_call(*targets)[0], 200)


def test_work_longer_than_the_timeout_was_thrown_away_at_each_target():
    cases = (
        [(2.4 * TIMEOUT_S, ANSWER)] * 3,
        [(2.4 * TIMEOUT_S, ANSWER), HUNG, HUNG],
        [HUNG, (1.4 * TIMEOUT_S, ANSWER), HUNG],
        [(1.4 * TIMEOUT_S, HALF, TIMEOUT_S, b"k"), HUNG],
    )
    _check_calls(cases, expected=200, max_timeouts=2.8)


def test_an_idempotent_call_finds_the_target_that_answers():
    lost = (1.4 * TIMEOUT_S, b"")
    cases = (
        (HUNG, HUNG, SOUND),
        ((HALF, *HUNG), SOUND),
        (lost, HUNG, SOUND),
        (lost, lost, SOUND),
        ((b"",), SOUND),
    )
    _check_calls(cases, expected=200, max_timeouts=2.8)


def test_an_idempotent_call_ends_though_no_target_answers():
    cases = ((HUNG,), (HUNG, HUNG, HUNG), (HUNG, HUNG, HUNG, SOUND))
    _check_calls(cases, expected=502, max_timeouts=3.4)


def test_a_long_request_that_a_target_does_not_read_goes_to_another_one():
    body = bytes(test_late_connections.LONG_BODY_BYTES)
    for earlier in ((), (HUNG,)):
        with (
            _targets(*earlier, SOUND) as (*late, sound),
            test_late_connections._UnreadingTarget() as full,
        ):
            status, took_s = _call(*late, full, sound, method="PUT", body=body)
        check.assertEqual(status, 200, earlier)
        check.assertLess(took_s, 2.9 * TIMEOUT_S, earlier)


def test_a_call_that_may_run_once_waits_for_its_silent_target_alone():
    for pause, expected in ((0.7, 200), (1.3, 502)):
        with _targets((pause * TIMEOUT_S, ANSWER), SOUND) as (paused, other):
            status, took_s = _call(paused, other, method="POST")
        check.assertEqual(status, expected)
        check.assertLess(took_s, 1.2 * TIMEOUT_S)


def test_a_call_longer_than_the_stop_was_cut_at_its_end():
    def run(case) -> None:
        method, targets = case
        drain = runtime.Drain(2.0)
        with _targets(*targets) as hung:
            threading.Timer(0.3, drain.begin).start()
            status, _ = _call(*hung, method=method, timeout_s=5.0, drain=drain)
            check.assertLess(runtime.now(), drain.deadline + 0.6, case)
        check.assertEqual(status, 502, case)

    cases = [("GET", [HUNG]), ("GET", [HUNG] * 3), ("POST", [HUNG])]
    cases += [("POST", [(HALF, *HUNG)]), ("GET", [(HALF, *HUNG), HUNG])]
    with futures.ThreadPoolExecutor(len(cases)) as executor:
        list(executor.map(run, cases))


def test_a_call_began_once_a_stop_was_known_though_it_may_not_end_in_time():
    cases = [
        # Time between the signal and the kill, balancer's lag, status of GET and POST.
        (8.0, 0.0, 200, 200),
        (3.0, 0.0, 503, 200),
        (1.2, 0.0, 503, 503),
        (1.2, 1.0, 200, 200),
    ]
    for length_s, lag_s, *statuses in cases:
        for method, expected in zip(("GET", "POST"), statuses, strict=True):
            drain = runtime.Drain(length_s, lag_s=lag_s)
            drain.begin()
            with _targets(SOUND) as targets:
                status, _ = _call(*targets, method=method, drain=drain)
            check.assertEqual(status, expected, (length_s, lag_s, method))


def test_a_connect_that_began_late_in_a_stop_outlasted_it():
    with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
        address = f"127.0.0.1:{full.getsockname()[1]}"
        fillers = [test_late_attempts._start_connecting(address) for _ in range(3)]
        time.sleep(0.1)
        for method in ("POST", "GET"):
            drain = runtime.Drain(2.0, lag_s=8.0)
            drain.begin()
            time.sleep(drain.until_deadline_s - 0.3)
            status, _ = _call(
                types.SimpleNamespace(address=address), method=method, drain=drain
            )
            check.assertLess(runtime.now(), drain.end, method)
            check.assertEqual(status, 503, method)
        for filler in fillers:
            filler.close()
