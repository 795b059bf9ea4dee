"""Runs seeds of the soak and prints a line for each and a table at the end."""

import collections
import json
import pathlib
import shutil
import signal
import sys
import tempfile
import threading

import click

from soak import _injections, _run

FAILED_SEEDS = pathlib.Path(__file__).with_name("failed_seeds.json")
STACK_BYTES = 512 * 1024
MAX_LINES = 8


@click.command()
@click.option("--seed", default=1, help="first seed; the same seed draws the same run")
@click.option("--seeds", default=1, help="number of seeds, one after the other")
@click.option("--fronts", default=6, help="number of front processes")
@click.option("--clients", default=8, help="clients of each front")
@click.option("--seconds", default=20.0, help="time in which faults begin")
@click.option("--planned-only", is_flag=True, help="no unplanned faults")
@click.option("--faults", default="", help="pattern of the names of faults drawn")
@click.option("--retry-slack", default=500, help="retries beyond the share of calls")
@click.option("--profile", default=_run.DEFAULT_PROFILE, help="empty: drawn")
@click.option("--inject", default="", help="fault in the product, see _injections")
@click.option("--failed", is_flag=True, help="the seeds that have failed before")
@click.option("--keep", default="", help="folder for the logs of failing runs")
def main(seed, seeds, inject, failed, keep, **drawn) -> None:
    """Runs the seeds; the exit status is 1 if a promise was broken."""
    threading.stack_size(STACK_BYTES)
    # Lets a run that is terminated end its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    root = pathlib.Path(keep or tempfile.mkdtemp(prefix="soak-"))
    cases = [(number, drawn) for number in range(seed, seed + seeds)]
    if failed:
        cases = _failed_cases()
    reports = []
    for number, shape in cases:
        options = _run.Options(
            directory=root / f"seed-{number}",
            program=_injections.program(inject) if inject else _run.PROGRAM,
            **shape,
        )
        report = _run.run(number, options)
        reports.append(report)
        _print_run(report)
        if not report.findings and not report.excused:
            shutil.rmtree(options.directory)
    _print_totals(reports)
    sys.exit(1 if any(report.findings for report in reports) else 0)


def _failed_cases() -> list[tuple[int, dict]]:
    """Returns the seeds that have failed before, each with its options."""
    cases = json.loads(FAILED_SEEDS.read_text())
    for case in cases:
        click.echo(f"seed {case['seed']} has failed: {case.pop('cause')}")
    return [(case.pop("seed"), case) for case in cases]


def _print_run(report: _run.Report) -> None:
    calls, stops = sum(report.statuses.values()), report.stops
    faults = sum(report.injected.values())
    click.echo(
        f"seed {report.seed}: {calls} calls {report.statuses}, {faults} faults, "
        f"{len(report.findings)} findings, held up {report.held_up} "
        f"which alone excuses {len(report.excused)}, "
        f"{report.took_s:.0f} s"
    )
    click.echo(
        f"  {report.profile}: {stops.stops} stops, {stops.sent} calls sent after "
        f"SIGTERM, {stops.passed_on} passed on, {stops.refused} refused, "
        f"cut {stops.cut or 'none'}"
    )
    for finding in report.findings[:MAX_LINES]:
        after = finding.after_stop_s
        when = "" if after is None else f" sent {after:.2f} s after SIGTERM"
        click.echo(
            f"  {finding.promise}: {finding.front} {finding.call_id}{when} "
            f"{finding.detail}"
        )
    if report.findings:
        click.echo(f"  logs and line-up: {report.options.directory}")


def _print_totals(reports: list[_run.Report]) -> None:
    injected, checked = collections.Counter(), collections.Counter()
    found = collections.Counter()
    for report in reports:
        injected.update(report.injected)
        checked.update(report.checked)
        found.update(finding.promise for finding in report.findings)
    failed = [report.seed for report in reports if report.findings]
    click.echo(f"{len(reports)} seeds, failed: {failed or 'none'}")
    for name, count in sorted(injected.items()):
        click.echo(f"  injected  {count:6d}  {name}")
    for name, count in checked.items():
        click.echo(f"  checked   {count:6d}  {name}: {found[name]} findings")


if __name__ == "__main__":
    main()
