"""Cost and completeness of log lines, in processes of their own."""

import json
import subprocess
import sys

from tests import fixtures

check = fixtures.check
LINES = 100
# Logs `LINES` lines over 0.3 s; prints how often the writer's thread waited meanwhile.
SPREAD_LINES = f"""
import pathlib, sys, threading, time
from turmericward import telemetry

def waits():
    total = 0
    for task in pathlib.Path("/proc/self/task").iterdir():
        if task.name != str(own):
            for line in (task / "status").read_text().splitlines():
                if line.startswith("voluntary_ctxt_switches"):
                    total += int(line.split()[1])
    return total

own = threading.get_native_id()
telemetry.configure_logs("p", "i", "info")
before = waits()
for number in range({LINES}):
    telemetry.log_event("placed", number=number)
    time.sleep(0.003)
print(waits() - before, file=sys.stderr)
"""
# Logs lines and exits at once, while the writer would still wait for further ones.
LINES_AT_EXIT = f"""
import os, sys, time
from turmericward import telemetry
from turmericward.telemetry import _logs

_logs.BATCH_INTERVAL_S = 60.0
telemetry.configure_logs("p", "i", "info")
telemetry.log_event("placed", number=0)
time.sleep(0.1)
for number in range(1, {LINES}):
    telemetry.log_event("placed", number=number)
started = time.monotonic()
telemetry.flush_logs()
print(time.monotonic() - started, file=sys.stderr)
os._exit(0)
"""


def _run(program: str) -> subprocess.CompletedProcess:
    command = [sys.executable, "-c", program]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30)
    numbers = [json.loads(line)["number"] for line in done.stdout.splitlines()]
    check.assertEqual(numbers, list(range(LINES)), done.stderr)
    return done


def test_lines_in_quick_succession_rarely_wake_the_writer():
    waits = int(_run(SPREAD_LINES).stderr)
    check.assertLess(waits, LINES / 3)


def test_lines_before_an_exit_are_written_without_delay():
    took_s = float(_run(LINES_AT_EXIT).stderr)
    check.assertLess(took_s, 0.4)
