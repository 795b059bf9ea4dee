"""turmericward-steward: follows the log and manages its instance and domain."""

import os

import click

from turmericward import steward, telemetry
from turmericward.programs import _common


@click.command()
@click.option("--settings", "path", required=True, help="Settings file (JSON).")
def main(path: str) -> None:
    """Runs until SIGTERM, then answers open calls and releases its lease."""
    cfg = _common.load_settings(path)
    stop = _common.prepare("turmericward-steward", cfg)
    steward.StewardProcess(cfg).run(stop)
    telemetry.flush_logs()
    # Exits without joining connection threads, which may be blocked on peers; no state
    # remains to be saved.
    os._exit(0)


if __name__ == "__main__":
    main()
