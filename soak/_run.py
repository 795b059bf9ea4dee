"""One run: a line-up of faults drawn from a seed, the load, and the checks."""

import collections
import contextlib
import json
import pathlib
import random
import re
import threading
import time

import attrs
from absl import logging

from soak import (
    _budget_promises,
    _crowds,
    _evidence,
    _excuses,
    _faults,
    _findings,
    _fleet,
    _fleet_promises,
    _lag,
    _load,
    _profiles,
    _promises,
    _replica_faults,
    _scene,
)

LEAVING_S = 2.0
CONFIGURATION_S = 2.0
GRACES_S = (8.0, 8.0, 8.0, 6.0)
PLANNED_ONLY_SHARE = 0.4
FAULTS_PER_S = 0.5
# Load before the first fault.
WARM_UP_S = 2.0
RECOVERY_LOAD_S = 3.0
FAULT_TIMEOUT_S = 90.0
MAX_LOG_LINES = 12
# Modules that register faults.
FAULTS = (_crowds, _faults, _replica_faults)
DEFAULT_PROFILE = "small"
PROGRAM = ("turmericward.platform",)


@attrs.frozen(kw_only=True)
class Options:
    """What a run is drawn with, besides its seed.

    `fronts` is the number of processes, `seconds` the time in which faults begin,
    `faults` a regular expression of their names, `profile` the name of the load's
    profile, empty for one that the seed draws, `program` the module that is run as a
    front, with its arguments.
    """

    fronts: int = 6
    seconds: float = 20.0
    clients: int = 8
    planned_only: bool = False
    faults: str = ""
    retry_slack: int = 500
    profile: str = DEFAULT_PROFILE
    directory: pathlib.Path
    program: tuple[str, ...] = PROGRAM


@attrs.frozen(kw_only=True)
class Step:
    """One fault of a line-up, `at` seconds after the warm-up."""

    at: float
    fault: str
    seed: float


@attrs.frozen(kw_only=True)
class Report:
    """The outcome of one run; `statuses` are of calls, None for no response head."""

    seed: int
    options: Options
    line_up: list[Step]
    took_s: float
    grace_s: float
    injected: dict[str, int]
    # How often the machine held up the soak or a front, which excuses what follows.
    held_up: dict[str, int]
    # Findings that only these delays excuse.
    excused: list[_findings.Finding]
    statuses: dict[str, int]
    # The profile of the load.
    profile: str
    stops: _excuses.StopCounts
    checked: dict[str, int]
    findings: list[_findings.Finding]


def draw_line_up(rng: random.Random, options: Options) -> list[Step]:
    """Draws the faults and when they begin; those of one run may overlap."""
    calm = options.planned_only or rng.random() < PLANNED_ONLY_SHARE
    kinds = {_scene.PLANNED} if calm else {_scene.PLANNED, _scene.UNPLANNED}
    names = sorted(
        name
        for name, (kind, _) in _scene.REGISTRY.items()
        if kind in kinds and re.search(options.faults, name)
    )
    steps, at = [], 0.0
    while names and at < options.seconds:
        steps.append(Step(at=at, fault=rng.choice(names), seed=rng.random()))
        at += rng.expovariate(FAULTS_PER_S)
    return steps


def run(seed: int, options: Options) -> Report:
    """Runs one seed; returns what was found.

    Args:
        seed: draws the line-up, the load and the grace.
        options: what else the run is made of. Logs stay in its directory.
    """
    rng = random.Random(seed)
    began = time.monotonic()
    line_up = draw_line_up(rng, options)
    evidence = _evidence.Evidence(
        grace_s=rng.choice(GRACES_S),
        leaving_s=LEAVING_S,
        configuration_s=CONFIGURATION_S,
        retry_slack=options.retry_slack,
    )
    name = options.profile or rng.choice(_profiles.names())
    profile = _profiles.load(name)
    options.directory.mkdir(parents=True, exist_ok=True)
    fleet = _fleet.Fleet(
        directory=options.directory,
        count=options.fronts,
        grace_s=evidence.grace_s,
        program=list(options.program),
        evidence=evidence,
        retry_slack=options.retry_slack,
        slowdown_per_call=profile.slowdown_per_call,
    )
    with fleet:
        load = _load.Load(fleet, options.clients, profile, rng)
        with _lag.Monitor(fleet), load:
            time.sleep(WARM_UP_S)
            _inject(fleet, line_up)
            evidence.healed_at = time.monotonic()
            time.sleep(_fleet_promises.RECOVERY_S + RECOVERY_LOAD_S)
        evidence.exits += [f.name for f in fleet.fronts if f.process.poll() is not None]
    evidence.granted = _budget_promises.granted_retries(fleet)
    results = _promises.check(evidence)
    report = Report(
        seed=seed,
        options=options,
        line_up=line_up,
        took_s=time.monotonic() - began,
        grace_s=evidence.grace_s,
        injected=dict(sorted(evidence.injected.items())),
        held_up=_held_up(evidence),
        excused=_excused(evidence, results),
        statuses=_statuses(evidence),
        profile=name,
        stops=_excuses.count(evidence),
        checked={name: result.checked for name, result in results.items()},
        findings=[f for result in results.values() for f in result.findings],
    )
    if report.findings or report.excused:
        _write(report, fleet)
    return report


def _inject(fleet: _fleet.Fleet, line_up: list[Step]) -> None:
    began = time.monotonic()
    threads = []
    for step in line_up:
        time.sleep(max(0.0, began + step.at - time.monotonic()))
        _, fault = _scene.REGISTRY[step.fault]
        scene = _scene.Scene(fleet, random.Random(step.seed), step.fault)
        threads.append(threading.Thread(target=fault, args=(scene,), daemon=True))
        threads[-1].start()
    for thread in threads:
        thread.join(FAULT_TIMEOUT_S)
        if thread.is_alive():
            logging.error("a fault has not ended in %g s", FAULT_TIMEOUT_S)


def _statuses(evidence: _evidence.Evidence) -> dict[str, int]:
    counts = collections.Counter(
        f"{s.outcome.status}{' broken' if s.outcome.broken else ''}"
        for s in evidence.sent
    )
    return dict(sorted(counts.items()))


def _held_up(evidence: _evidence.Evidence) -> dict[str, int]:
    kinds = collections.Counter(d.kind for d in evidence.disruptions)
    return {kind: kinds[kind] for kind in _lag.KINDS}


def _excused(evidence: _evidence.Evidence, results: dict) -> list[_findings.Finding]:
    unaided = [d for d in evidence.disruptions if d.kind not in _lag.KINDS]
    strict = _promises.check(attrs.evolve(evidence, disruptions=unaided))
    return [
        finding
        for name, result in strict.items()
        for finding in result.findings
        if finding not in results[name].findings
    ]


def _write(report: Report, fleet: _fleet.Fleet) -> None:
    """Writes the report, with the fronts' own lines on each finding."""
    value = attrs.asdict(report)
    found = report.findings + report.excused
    value["log_lines"] = [_log_lines(finding, fleet) for finding in found]
    path = report.options.directory / "report.json"
    path.write_text(json.dumps(value, indent=1, default=str))


def _log_lines(finding: _findings.Finding, fleet: _fleet.Fleet) -> list[str]:
    if not finding.call_id:
        return []
    lines = []
    for front in fleet.fronts:
        with contextlib.suppress(OSError):
            text = front.log.read_text(errors="replace")
            lines += [x for x in text.splitlines() if f'"{finding.call_id}"' in x]
    return lines[:MAX_LOG_LINES]
