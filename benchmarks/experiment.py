"""Compares policy variants over loads and seeds in the emulator, paired by seed.

python -m benchmarks.experiment --load lending --seeds 8 -v "without failures"
"""

import concurrent.futures
import itertools
import math
import statistics

import attrs
import click

from benchmarks import _emulator, _loads, _variants

RESULTS = ("on time", "late", "paused", "left", "refused", "failed")
BASELINE = "as it is"


@attrs.frozen(kw_only=True)
class Run:
    """The worth of one run and its calls by class and result."""

    worth: float
    second_attempts: int
    counts: dict[tuple[str, str], int]


def run_load(load_name: str, variant: str, seed: int, faults: tuple = ()) -> Run:
    """Runs a load, with further faults, once under a variant."""
    load = _loads.load(load_name)
    load = attrs.evolve(load, faults=load.faults + faults)
    with _variants.named(variant):
        outcome = _emulator.Simulation(load, seed).run()
    return Run(
        worth=outcome.worth(load.weights),
        second_attempts=outcome.second_attempts,
        counts=dict(outcome.counts),
    )


def _interval(values: list[float]) -> str:
    """Returns the mean with half the width of its 95 % confidence interval."""
    if len(values) < 2:
        return f"{values[0]:+.4f}"
    half = 1.96 * statistics.stdev(values) / math.sqrt(len(values))
    return f"{statistics.mean(values):+.4f} ±{half:.4f}"


def _result_rows(load_name: str, runs: list[Run]) -> list[str]:
    attempts = statistics.mean(run.second_attempts for run in runs)
    rows = [f"    second attempts at silent engines: {attempts:.1f}"]
    for kind in _loads.load(load_name).classes:
        counts = (sum(r.counts.get((kind.name, f), 0) for r in runs) for f in RESULTS)
        means = (
            f"{result} {count / len(runs):.1f}"
            for result, count in zip(RESULTS, counts, strict=True)
        )
        rows.append(f"    {kind.name}: {', '.join(means)}")
    return rows


@click.command()
@click.option("--load", "loads", multiple=True, default=["lending"])
@click.option("-v", "--variant", "names", multiple=True)
@click.option("--seeds", default=4)
@click.option("--processes", default=4)
@click.option("--fault", "faults", multiple=True, help="a further fault, as JSON")
def main(loads, names, seeds: int, processes: int, faults) -> None:
    """Prints each variant's worth and its difference from the unchanged policy."""
    names = [BASELINE, *names]
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        tasks = list(itertools.product(loads, names, range(seeds)))
        further = tuple(_loads.fault(text) for text in faults)
        arguments = (*zip(*tasks, strict=True), itertools.repeat(further))
        runs = dict(zip(tasks, pool.map(run_load, *arguments), strict=True))
    for load_name, name in itertools.product(loads, names):
        own_runs = [runs[load_name, name, seed] for seed in range(seeds)]
        worth = statistics.mean(run.worth for run in own_runs)
        baseline = [runs[load_name, BASELINE, seed].worth for seed in range(seeds)]
        differences = [run.worth - w for run, w in zip(own_runs, baseline, strict=True)]
        click.echo(f"{load_name}, {name}: {worth:.4f}, {_interval(differences)}")
        for row in _result_rows(load_name, own_runs):
            click.echo(row)


if __name__ == "__main__":
    main()
