"""Short seeded runs of the soak, with the product as it is and with a fault in it."""

import pathlib
import tempfile

from soak import _injections, _run
from tests import fixtures

check = fixtures.check
SEED = 1
FRONTS = 3
SECONDS = 6.0


def _findings(program: tuple[str, ...], *, planned_only: bool) -> list[str]:
    with tempfile.TemporaryDirectory() as directory:
        options = _run.Options(
            fronts=FRONTS,
            seconds=SECONDS,
            planned_only=planned_only,
            directory=pathlib.Path(directory),
            program=program,
        )
        report = _run.run(SEED, options)
    check.assertGreater(sum(report.injected.values()), 0)
    return [f"{f.promise}: {f.front} {f.call_id} {f.detail}" for f in report.findings]


def test_a_seeded_run_with_overlapping_faults_breaks_no_promise():
    check.assertEqual(_findings(_run.PROGRAM, planned_only=False), [])


def test_a_front_that_does_not_drain_is_found():
    findings = _findings(_injections.program("exits_at_once"), planned_only=True)
    check.assertTrue([f for f in findings if f.startswith("every_read_call")])
