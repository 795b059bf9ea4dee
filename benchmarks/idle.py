"""Processor time and memory of idle programs."""

import time

import click

from benchmarks import _processes, _tables
from tests import fixtures


def _row(cluster, kind: str, seconds: float) -> list:
    pids = [p.pid for n, p in cluster.processes.items() if n.startswith(kind)]
    before = sum(_processes.cpu_s(pid) for pid in pids)
    time.sleep(seconds)
    used_s = sum(_processes.cpu_s(pid) for pid in pids) - before
    share = 100 * used_s / seconds / len(pids)
    return [kind, len(pids), max(_processes.rss_mb(p) for p in pids), share]


@click.command()
@click.option("--seconds", default=15.0)
@click.option("--domains", default="a,b,c")
def main(seconds: float, domains: str) -> None:
    """Measures stewards and entries with two instances in each domain."""
    options = {"overrides": {"log_level": "warning"}, "per_domain": 2}
    with fixtures.cluster(domains=tuple(domains.split(",")), **options) as cluster:
        rows = [_row(cluster, kind, seconds) for kind in ("steward", "entry")]
    columns = ["process", "number", "largest rss MB", "processor %"]
    _tables.show("Idle", columns, rows)


if __name__ == "__main__":
    main()
