"""Finding the cause of a failed request by its id in logs and metrics."""

import contextlib
import http.client
import json
import queue
import subprocess
import sys

from standins import launch
from tests import fixtures, platform_fixtures
from turmericward import telemetry
from turmericward.programs import _explain
from turmericward.telemetry import _logs

check = fixtures.check
PROMPT = platform_fixtures.PROMPT


def _explained(platform, call_id: str) -> list[str]:
    """Returns the output of `explain` once it contains the reply of the call."""
    command = [sys.executable, "-m", "turmericward.programs.cli", "explain"]

    def lines() -> list[str]:
        done = subprocess.run(
            [*command, call_id, str(platform.log)],
            capture_output=True,
            text=True,
            timeout=30,
        )
        return [line for line in done.stdout.splitlines() if " reply: " in line] and (
            done.stdout.splitlines()
        )

    return launch.wait_until(lines, what=f"log lines of {call_id}")


def test_a_refused_request_is_explained_by_refusing_targets():
    with platform_fixtures.platform() as platform:
        for name in ("p1", "p2"):
            platform.replicas[name].fault = "full"
        status, _, _ = platform.call("GET", "/read/x", "full-1")
        check.assertEqual(status, 503)
        lines = _explained(platform, "full-1")
        refused = [line for line in lines if " attempt: " in line]
        check.assertEqual(len(refused), 2, lines)
        check.assertIn("outcome=refused, detail=status 503", refused[0])
        check.assertIn("outcome=refused, status=503, reason=targets_refused", lines[-1])
        page = launch.request(platform.metrics, "GET", "/metrics")[2]
        check.assertIn(b"delivery.refused 1", page)


def test_an_unknown_outcome_is_explained_by_the_failed_target():
    with platform_fixtures.platform() as platform:
        for name in ("p1", "p2"):
            platform.replicas[name].fault = "reset"
        status, _, _ = platform.call("POST", "/write/x", "lost-1", body=b"w")
        check.assertEqual(status, 502)
        lines = _explained(platform, "lost-1")
        (attempt,) = [line for line in lines if " attempt: " in line]
        check.assertIn("outcome=failed", attempt)
        check.assertIn("ConnectionResetError", attempt)
        check.assertIn("outcome=outcome_unknown, status=502", lines[-1])


def test_a_broken_stream_is_explained_by_the_failed_target():
    with platform_fixtures.platform() as platform:
        for name in ("m1", "m2"):
            platform.replicas[name].fault = "cut"
        with contextlib.suppress(http.client.IncompleteRead):
            platform.call("POST", "/once/x", "cut-1", PROMPT, b"q")
        lines = _explained(platform, "cut-1")
        check.assertIn(" began: ", "".join(lines))
        (attempt,) = [line for line in lines if " attempt: " in line]
        check.assertIn("outcome=failed", attempt)
        check.assertIn("outcome=broken, status=200, reason=answer_lost", lines[-1])


def test_explaining_an_unknown_request_fails():
    command = [sys.executable, "-m", "turmericward.programs.cli", "explain", "x"]
    done = subprocess.run(
        [*command, "/dev/null"], capture_output=True, text=True, timeout=30
    )
    check.assertEqual(done.returncode, 1)
    check.assertIn("request x isn't in these files", done.stderr)


def _record(message: str):
    logger = _logs.std_logging.getLogger("test")
    return logger.makeRecord("test", 20, "f", 1, message, (), None)


def test_lines_with_the_same_message_are_limited_and_drops_counted():
    now = [0.0]
    limit = _logs.MessageRateLimit(3, clock=lambda: now[0])
    passed = [limit.filter(_record("placed")) for _ in range(10)]
    check.assertEqual(passed.count(True), 3)
    check.assertTrue(limit.filter(_record("reply")))
    now[0] = 1.5
    check.assertEqual(limit._next_window(), {"placed": 7})
    check.assertTrue(limit.filter(_record("placed")))


def test_a_full_queue_drops_lines_without_blocking():
    lines = queue.Queue(5)
    handler = _logs.BoundedQueueHandler(lines)
    for _ in range(100):
        handler.enqueue(_record("placed"))
    check.assertEqual(lines.qsize(), 5)


def test_log_lines_are_json_with_the_fields_of_the_event():
    command = [
        sys.executable,
        "-c",
        "from turmericward import telemetry\n"
        "telemetry.configure_logs('p', 'i', 'info')\n"
        "telemetry.log_event('placed', request_id='r', target='t')\n",
    ]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30)
    line = json.loads(done.stdout)
    check.assertEqual((line["message"], line["request_id"]), ("placed", "r"))
    check.assertEqual((line["program"], line["instance"]), ("p", "i"))
    check.assertTrue(callable(telemetry.log_event))


def _line(time: str, message: str, request_id: str = "", instance="front-1") -> str:
    fields = {"time": time, "message": message, "instance": instance}
    return json.dumps(fields | ({"request_id": request_id} if request_id else {}))


def test_the_trail_of_a_request_that_ended_with_its_process_says_so():
    killed = [
        _line("10:00:01", "placed", "r"),
        _line("10:00:02", "stop_phase"),
        _line("10:00:03", "reply", "other"),
    ]
    elsewhere = [_line("10:00:04", "front starts", instance="front-2")]
    (_, end) = _explain.explain("r", killed + elsewhere)
    check.assertEqual(
        end, "10:00:03 front-1 no end of the request: log ends after 'reply'"
    )
    restarted = [
        *killed,
        _line("10:00:09", "front starts"),
        _line("10:00:10", "placed"),
    ]
    (_, end) = _explain.explain("r", restarted)
    check.assertEqual(
        end,
        "10:00:03 front-1 no end of the request: process was restarted after 'reply'",
    )
    answered = [*killed, _line("10:00:05", "reply", "r")]
    check.assertEqual(len(_explain.explain("r", answered)), 2)
