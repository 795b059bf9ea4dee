"""Startup and exit of the long-running programs."""

import os
import signal
import sys
import threading
from typing import NoReturn

import click

from turmericward import settings, telemetry

EXIT_SETTINGS = 2


def load_settings(path: str, schema: type = settings.Settings):
    """Loads the settings, or prints each error and exits.

    Args:
        path: a JSON file.
        schema: the attrs class of the settings.
    """
    try:
        return settings.load(path, schema)
    except settings.SettingsError as exc:
        for message in exc.args:
            click.echo(message, err=True)
        sys.exit(EXIT_SETTINGS)


def prepare(program: str, cfg: settings.Settings) -> threading.Event:
    """Configures logging; returns an event that SIGTERM and SIGINT set."""
    telemetry.configure_logs(program, cfg.instance.name, cfg.log_level)
    return stop_event()


def stop_event() -> threading.Event:
    """Returns an event that SIGTERM and SIGINT set."""
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    return stop


def exit_process() -> NoReturn:
    """Exits without joining threads, which may be blocked on others."""
    telemetry.flush_logs()
    os._exit(0)
