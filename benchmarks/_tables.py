"""Percentiles and tables that the benchmarks share."""

import json
import pathlib

import click


def percentile(values: list[float], share: float) -> float:
    """Returns the value below which `share` of the values lie, 0 for none."""
    if not values:
        return 0.0
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))]


def show(title: str, columns: list[str], rows: list[list]) -> None:
    """Prints a table in Markdown."""
    click.echo(f"\n{title}\n")
    click.echo("| " + " | ".join(columns) + " |")
    click.echo("|" + " --- |" * len(columns))
    for row in rows:
        cells = [f"{c:.3g}" if isinstance(c, float) else str(c) for c in row]
        click.echo("| " + " | ".join(cells) + " |")


def write(path: str | None, value: object) -> None:
    """Writes a result as JSON, if a path is given."""
    if path:
        pathlib.Path(path).write_text(json.dumps(value, indent=1) + "\n")
