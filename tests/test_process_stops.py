"""Planned stops of real entries and stewards: no call is cut, none runs twice."""

import subprocess
import sys

from tests import fixtures

check = fixtures.check
# A signal to stop that has no effect for so long is lost.
LOST_S = 4.0


# Each sends itself signals in the way named, and waits for the event to be set.
SIGNAL_SCRIPTS = {
    "a signal within the handler of another": """
import itertools, signal, sys
from turmericward.programs import _common
stop = _common.stop_event()
def trace(frame, event, arg, lines=itertools.count()):
    if event == "line" and next(lines) < 20:
        signal.raise_signal(signal.SIGINT)
    return trace
sys.settrace(trace)
signal.raise_signal(signal.SIGTERM)
sys.settrace(None)
stop.wait()
""",
    "a signal that does not interrupt the main thread": """
import signal, threading, time
from turmericward.programs import _common
stop = _common.stop_event()
def send() -> None:
    time.sleep(0.3)
    signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
threading.Thread(target=send, daemon=True).start()
stop.wait()
""",
}


def _script_ends(script: str) -> bool:
    try:
        subprocess.run([sys.executable, "-c", script], check=True, timeout=LOST_S)
    except subprocess.TimeoutExpired:
        return False
    return True


def test_no_signal_to_stop_is_lost():
    lost = [n for n, script in SIGNAL_SCRIPTS.items() if not _script_ends(script)]
    check.assertEqual(lost, [])
