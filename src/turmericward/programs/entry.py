"""turmericward-entry: serves callers' and operators' requests."""

import click

from turmericward import entry
from turmericward.programs import _common


@click.command()
@click.option("--settings", "path", required=True, help="Settings file (JSON).")
@click.option("--index", default=0, help="Index of this entry in entry.ports.")
def main(path: str, index: int) -> None:
    """Serves requests until SIGTERM, then drains open requests and exits."""
    cfg = _common.load_settings(path)
    if not 0 <= index < len(cfg.entry.ports):
        raise click.BadParameter(f"entry.ports has no item {index}")
    stop = _common.prepare("turmericward-entry", cfg)
    entry.EntryProcess(cfg, index).run(stop)
    _common.exit_process()


if __name__ == "__main__":
    main()
