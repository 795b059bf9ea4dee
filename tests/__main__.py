"""Runs the named tests, or all, and prints one line of totals.

All tests run in several worker processes, named ones in this process.
"""

import json
import os
import subprocess
import sys
from concurrent import futures

import attrs

from tests import loading, running

WORKERS = 3
WORKER_FLAG = "--worker"


def _run_in_worker(unit: str) -> running.Totals:
    """Runs a module, or one test, in a process of its own; prints its output."""
    command = [sys.executable, "-m", "tests", WORKER_FLAG, unit]
    done = subprocess.run(
        command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )
    output, _, last_line = done.stdout.rstrip("\n").rpartition("\n")
    try:
        totals = running.Totals(**json.loads(last_line))
    except (ValueError, TypeError):
        output, totals = done.stdout, running.Totals(failed=1)
    print(f"--- {unit}\n{output}", flush=True)
    return attrs.evolve(totals, red=tuple(totals.red))


def _run_all() -> running.Totals:
    with futures.ThreadPoolExecutor(WORKERS) as executor:
        results = list(executor.map(_run_in_worker, loading.units()))
    return sum(results, running.Totals())


def _print_totals(totals: running.Totals) -> None:
    for name in totals.red:
        print(f"known red, passed over: {name}")
    print(f"{totals.passed} passed, {totals.failed} failed, {totals.skipped} skipped")


def main(names: list[str]) -> int:
    if names[:1] == [WORKER_FLAG]:
        totals = running.run(names[1:])
        print(json.dumps(attrs.asdict(totals)))
    else:
        totals = running.run(names) if names else _run_all()
        _print_totals(totals)
    return 1 if totals.failed else 0


if __name__ == "__main__":
    status = main(sys.argv[1:])
    sys.stdout.flush()
    # Skips the join of non-daemon threads that a failed test left running.
    os._exit(status)
