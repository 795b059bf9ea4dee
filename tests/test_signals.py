"""Signals to a program, also while it handles others."""

import signal
import subprocess
import sys

from tests import fixtures, platform_fixtures

check = fixtures.check
TIMEOUT_S = 20.0
SIGNALS = 200
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
