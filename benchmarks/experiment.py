"""Compares changes of policy over loads and seeds in the emulator, pair by pair.

python -m benchmarks.experiment --load lending --seeds 8 -v "without pauses"
"""

import concurrent.futures
import itertools
import math
import statistics

import attrs
import click

from benchmarks import _emulator, _loads, _variants

FATES = ("on time", "late", "paused", "left", "refused", "failed")
FIRST = "as it is"


@attrs.frozen(kw_only=True)
class Run:
    """One run's worth, and its calls by class and fate."""

    worth: float
    counts: dict[tuple[str, str], int]


def play(load_name: str, variant: str, seed: int) -> Run:
    """Plays a load once."""
    load = _loads.load(load_name)
    with _variants.named(variant):
        outcome = _emulator.World(load, seed).run()
    return Run(worth=outcome.worth(load.weights), counts=dict(outcome.counts))


def _interval(values: list[float]) -> str:
    """Returns the mean with the half of its 95 % interval."""
    if len(values) < 2:
        return f"{values[0]:+.4f}"
    half = 1.96 * statistics.stdev(values) / math.sqrt(len(values))
    return f"{statistics.mean(values):+.4f} ±{half:.4f}"


def _fates(load_name: str, runs: list[Run]) -> list[str]:
    rows = []
    for kind in _loads.load(load_name).classes:
        counts = (sum(r.counts.get((kind.name, f), 0) for r in runs) for f in FATES)
        means = (
            f"{fate} {count / len(runs):.1f}"
            for fate, count in zip(FATES, counts, strict=True)
        )
        rows.append(f"    {kind.name}: {', '.join(means)}")
    return rows


@click.command()
@click.option("--load", "loads", multiple=True, default=["lending"])
@click.option("-v", "--variant", "names", multiple=True)
@click.option("--seeds", default=4)
@click.option("--processes", default=4)
def main(loads, names, seeds: int, processes: int) -> None:
    """Prints each variant's worth less that of the policy as it is."""
    names = [FIRST, *names]
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        tasks = list(itertools.product(loads, names, range(seeds)))
        runs = dict(zip(tasks, pool.map(play, *zip(*tasks, strict=True)), strict=True))
    for load_name, name in itertools.product(loads, names):
        found = [runs[load_name, name, seed] for seed in range(seeds)]
        worth = statistics.mean(run.worth for run in found)
        first = [runs[load_name, FIRST, seed].worth for seed in range(seeds)]
        differences = [run.worth - w for run, w in zip(found, first, strict=True)]
        click.echo(f"{load_name}, {name}: {worth:.4f}, {_interval(differences)}")
        for row in _fates(load_name, found):
            click.echo(row)


if __name__ == "__main__":
    main()
