"""Plain services of an entry whose targets pause, on real connections."""

import contextlib
import time
import types
from concurrent import futures

from tests import fixtures, test_late_connections
from turmericward import configuration
from turmericward.entry import _errors, _http, _router_task, _services

check = fixtures.check
TIMEOUT_S = 1.2
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
HUNG = (15.0,)
SOUND = (ANSWER,)
HALF = ANSWER[:-1]


class _Context:
    """Admits every call and ranks targets as they are configured."""

    def __init__(self, service: configuration.Service) -> None:
        self._services = {"s": service}
        self.router = self
        self.ended: list[_router_task.CallEnded] = []

    def caller(self, _):
        return types.SimpleNamespace(tenant="t")

    def view(self):
        return types.SimpleNamespace(services=self._services)

    def admit_request(self, _) -> None:
        pass

    release_request = admit_request

    def ask_router(self, message: _router_task.RankTargets) -> list:
        return message.targets

    def post(self, message: _router_task.CallEnded) -> None:
        self.ended.append(message)


def _call(*targets, method="GET", body=b"") -> tuple[int, float]:
    """Returns the status of a call, and how long it took."""
    service = configuration.Service(
        targets=[
            configuration.ServiceTarget(name=f"t{n}", domain="a", address=t.address)
            for n, t in enumerate(targets)
        ],
        idempotent=["GET *", "PUT *"],
        timeout_s=TIMEOUT_S,
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
        status = _services.Services(_Context(service)).call(req).status
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
