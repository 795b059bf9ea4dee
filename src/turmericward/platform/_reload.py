"""Reloads the settings file and applies changes while the process runs."""

import contextlib
import queue
from collections.abc import Callable

import attrs
from absl import logging

from turmericward import runtime, settings
from turmericward.platform import _settings

# The file is also polled, as it may change without a SIGHUP.
POLL_INTERVAL_S = 5.0
# Sections whose changes take effect without a restart.
RELOADABLE_SECTIONS = frozenset({"store", "bounds"})


def changed_paths(old, new, prefix: str = "") -> list[str]:
    """Returns the paths of the settings that differ."""
    paths = []
    for field in attrs.fields(type(old)):
        old_value, new_value = getattr(old, field.name), getattr(new, field.name)
        path = f"{prefix}{field.name}"
        if attrs.has(type(old_value)):
            paths += changed_paths(old_value, new_value, f"{path}.")
        elif old_value != new_value:
            paths.append(path)
    return paths


class ReloadLoop(runtime.Loop):
    """Polls the settings file, and reads it at once on request."""

    def __init__(
        self,
        path: str,
        cfg: _settings.Settings,
        apply: Callable[[_settings.Settings], None],
    ) -> None:
        """Creates the loop.

        Args:
            path: the settings file.
            cfg: the settings in force.
            apply: called with the settings when a reloadable section changed.
        """
        super().__init__()
        self._path = path
        self._cfg = cfg
        self._apply = apply
        # Unlike an event's lock, `put` is safe in a signal handler.
        self._requests: queue.SimpleQueue[None] = queue.SimpleQueue()
        self._last_error = ""

    def request_reload(self) -> None:
        """Wakes the loop to read the file at once; safe in a signal handler."""
        self._requests.put(None)

    def stop(self) -> None:
        """Stops the loop after the current iteration."""
        super().stop()
        self._requests.put(None)

    def run_once(self) -> None:
        """Waits for a request or the poll interval, then reads the file."""
        self._await_request()
        if self.stopping:
            return
        try:
            self._update(settings.load(self._path, _settings.Settings))
        except settings.SettingsError as exc:
            error = "; ".join(exc.args)
            if error != self._last_error:
                logging.error(
                    "invalid settings file, keeping the old settings: %s", error
                )
            self._last_error = error

    def _await_request(self) -> None:
        """Waits for requests or the poll interval; takes all requests."""
        with contextlib.suppress(queue.Empty):
            self._requests.get(timeout=POLL_INTERVAL_S)
            while True:
                self._requests.get_nowait()

    def _update(self, cfg: _settings.Settings) -> None:
        self._last_error = ""
        changed = changed_paths(self._cfg, cfg)
        if not changed:
            return
        self._cfg = cfg
        reloadable = [p for p in changed if p.partition(".")[0] in RELOADABLE_SECTIONS]
        logging.info("settings changed: %s", ", ".join(changed))
        if reloadable:
            self._apply(cfg)
        if len(reloadable) < len(changed):
            deferred = ", ".join(p for p in changed if p not in reloadable)
            logging.warning("settings that take effect at the next start: %s", deferred)
