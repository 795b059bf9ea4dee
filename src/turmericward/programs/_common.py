"""What the long-running programs share."""

import signal
import sys
import threading

import click

from turmericward import settings, telemetry

EXIT_SETTINGS = 2


def load_settings(path: str, schema: type = settings.Settings):
    """Reads the settings, or ends the process with a sentence for each fault.

    Args:
        path: a JSON file.
        schema: the attrs class that it is structured into.
    """
    try:
        return settings.load(path, schema)
    except settings.SettingsError as exc:
        for sentence in exc.args:
            click.echo(sentence, err=True)
        sys.exit(EXIT_SETTINGS)


def prepare(program: str, cfg: settings.Settings) -> threading.Event:
    """Sets up logs; returns an event that SIGTERM and SIGINT set."""
    telemetry.configure_logs(program, cfg.instance.name, cfg.log_level)
    return stop_event()


def stop_event() -> threading.Event:
    """Returns an event that SIGTERM and SIGINT set."""
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    return stop
