"""Short seeded runs of the soak, with the product as it is and with a fault in it."""

import pathlib
import tempfile

from soak import _injections, _run
from tests import fixtures

check = fixtures.check
SEED = 1
FRONTS = 3
SECONDS = 6.0
# With this seed a request crashes replicas, and then all others are silent, beside a
# stop; there are too few retries to resume every stream elsewhere.
TROUBLED_SEED = 147
TROUBLED = {
    "seconds": 3.0,
    "clients": 16,
    "faults": "^(silence|deadly_request)$",
    "retry_slack": 30,
}


def _findings(program: tuple[str, ...], *, seed=SEED, **changes) -> list[str]:
    shape = {"fronts": FRONTS, "seconds": SECONDS} | changes
    with tempfile.TemporaryDirectory() as directory:
        options = _run.Options(
            directory=pathlib.Path(directory),
            program=program,
            **shape,
        )
        report = _run.run(seed, options)
    check.assertGreater(sum(report.injected.values()), 0)
    return [f"{f.promise}: {f.front} {f.call_id} {f.detail}" for f in report.findings]


def test_a_seeded_run_with_overlapping_faults_breaks_no_promise():
    check.assertEqual(_findings(_run.PROGRAM), [])


def test_a_front_that_does_not_drain_is_found():
    program = _injections.program("exits_at_once")
    findings = _findings(program, seconds=1.0, planned_only=True, faults="^stop$")
    check.assertTrue([f for f in findings if f.startswith("every_read_call")])


def test_silent_replicas_and_requests_that_crash_them_break_no_promise():
    check.assertEqual(_findings(_run.PROGRAM, seed=TROUBLED_SEED, **TROUBLED), [])


def test_a_front_that_gives_up_at_silence_and_forgets_crashes_is_found():
    program = _injections.program("gives_up_at_silence", "forgets_crashes")
    findings = _findings(program, seed=TROUBLED_SEED, **TROUBLED)
    for promise in ("every_read_call", "deadly_requests_reach_few_replicas"):
        check.assertTrue([f for f in findings if f.startswith(promise)], findings)
