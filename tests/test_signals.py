"""Signals to a program, also while it handles others."""

import signal
import subprocess
import sys
import time

from tests import fixtures, platform_fixtures

check = fixtures.check
TIMEOUT_S = 20.0
SIGNALS = 200
# After the interpreter's own start, in which nothing can be done yet.
START_MOMENTS_S = (0.1, 0.2, 0.35, 0.6)
INTERRUPTED = """
import os, signal
from turmericward.programs import _common
stop = _common.stop_event()
with stop._cond:
    os.kill(os.getpid(), signal.SIGTERM)
    for _ in range(1000):
        pass
assert stop.wait(5)
"""


def test_signal_that_interrupts_the_use_of_the_stop_event_stops_the_program():
    done = subprocess.run(
        [sys.executable, "-c", INTERRUPTED],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    check.assertEqual((done.returncode, done.stderr), (0, ""))


def test_front_stops_after_many_signals():
    with platform_fixtures.platform(("p1",)) as platform:
        for _ in range(SIGNALS):
            platform.process.terminate()
            platform.process.send_signal(signal.SIGHUP)
        check.assertEqual(platform.process.wait(TIMEOUT_S), 0)
        check.assertNotIn("Traceback", platform.log.read_text())


def test_a_reload_asked_for_during_the_start_ended_the_front():
    """Guards against a signal that comes while the program is still imported."""
    for after_s in START_MOMENTS_S:
        with platform_fixtures.platform(("p1",), started=False) as platform:
            time.sleep(after_s)
            platform.process.send_signal(signal.SIGHUP)
            platform.wait_ready()
            check.assertEqual(platform.stop(), 0, after_s)


def test_a_front_that_is_stopped_during_its_start_ends():
    for after_s in START_MOMENTS_S:
        with platform_fixtures.platform(("p1",), started=False) as platform:
            time.sleep(after_s)
            platform.process.terminate()
            status = platform.process.wait(TIMEOUT_S)
            check.assertIn(status, {0, -signal.SIGTERM}, after_s)
            check.assertNotIn("Traceback", platform.log.read_text())
