"""Validates the settings and manifest files of a front before deployment.

python -m turmericward.platform.check --settings FILE --manifest FILE
"""

import pathlib
import sys

import click

from turmericward import settings
from turmericward.platform import _records, _settings

EXIT_INVALID = 2


def _settings_errors(path: str) -> list[str]:
    try:
        settings.load(path, _settings.Settings)
    except settings.SettingsError as exc:
        return [f"{path}: {message}" for message in exc.args]
    return []


def _manifest_errors(path: str) -> list[str]:
    try:
        table = _records.routing_table(pathlib.Path(path).read_bytes())
    except (OSError, _records.RecordError) as exc:
        return [f"{path}: {exc}"]
    referenced = {d.service for route in table.routes for d in route.destinations}
    return [
        f"{path}: a route names service {name!r}, which isn't described"
        for name in sorted(referenced - set(table.services))
    ]


@click.command()
@click.option("--settings", "settings_path", help="Settings of a front.")
@click.option("--manifest", "manifest_path", help="The operators' configuration.")
def main(settings_path: str | None, manifest_path: str | None) -> None:
    """Prints each error in the files, and exits with status 2 if there are any."""
    errors = []
    if settings_path is not None:
        errors += _settings_errors(settings_path)
    if manifest_path is not None:
        errors += _manifest_errors(manifest_path)
    for error in errors:
        click.echo(error, err=True)
    if errors:
        sys.exit(EXIT_INVALID)
    click.echo("no faults")


if __name__ == "__main__":
    main()
