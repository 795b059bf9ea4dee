"""Short seeded runs of the soak, with the product as it is and with a fault in it."""

import pathlib
import tempfile

from soak import _injections, _run
from tests import fixtures

check = fixtures.check
SEED = 1
FRONTS = 3
SECONDS = 6.0
# Too few retries to resume every stream of a silent domain.
SILENCE = {
    "seconds": 3.0,
    "clients": 24,
    "planned_only": True,
    "faults": "^silence$",
    "retry_slack": 30,
}
# With this seed the engines of a domain are silent, in a run of 3 s beside a stop.
SILENCE_SEED = 3


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
    findings = _findings(_injections.program("exits_at_once"), planned_only=True)
    check.assertTrue([f for f in findings if f.startswith("every_read_call")])


def test_sound_replicas_that_fall_silent_break_no_promise():
    check.assertEqual(_findings(_run.PROGRAM, seed=SILENCE_SEED, **SILENCE), [])


def test_a_front_that_gives_up_silent_replicas_is_found():
    findings = _findings(
        _injections.program("gives_up_at_silence"), seed=SILENCE_SEED, **SILENCE
    )
    check.assertTrue([f for f in findings if f.startswith("every_read_call")])
