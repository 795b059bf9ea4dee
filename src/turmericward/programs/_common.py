"""Startup and exit of the long-running programs."""

import os
import signal
import socket
import sys
import threading
from typing import NoReturn

import click

from turmericward import settings, telemetry

EXIT_SETTINGS = 2
STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
MAX_SIGNALS_PER_READ = 64


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
    """Configures logging; returns an event that SIGTERM and SIGINT set.

    SIGHUP, which by default ends a process at once, is ignored.
    """
    telemetry.configure_logs(program, cfg.instance.name, cfg.log_level)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return stop_event()


def stop_event() -> threading.Event:
    """Returns an event that SIGTERM and SIGINT set.

    Python runs a signal's handler on the main thread, not before that leaves a call
    that blocks, and possibly within another handler. The event, whose lock both may
    hold, is set by a thread instead; the interpreter itself wakes it at the signal.
    """
    stop = threading.Event()
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    thread = threading.Thread(
        target=_set_on_signal, args=(reader, stop), name="signals", daemon=True
    )
    thread.start()
    # The file descriptor stays open for as long as the interpreter may write to it.
    signal.set_wakeup_fd(writer.detach(), warn_on_full_buffer=False)
    for number in STOP_SIGNALS:
        signal.signal(number, lambda *_: None)
    return stop


def _set_on_signal(reader: socket.socket, stop: threading.Event) -> None:
    while numbers := reader.recv(MAX_SIGNALS_PER_READ):
        if STOP_SIGNALS.intersection(numbers):
            stop.set()


def exit_process() -> NoReturn:
    """Exits without joining threads, which may be blocked on others."""
    telemetry.flush_logs()
    os._exit(0)
