"""Takes settings that change while the process runs."""

import threading
from collections.abc import Callable

import attrs
from absl import logging

from turmericward import runtime, settings
from turmericward.platform import _settings

# The file may change without a signal.
LOOK_INTERVAL_S = 5.0
# The sections that are taken without a restart.
LIVE_SECTIONS = frozenset({"store", "bounds"})


def changed_paths(old, new, prefix: str = "") -> list[str]:
    """Returns the paths of the settings that differ."""
    paths = []
    for field in attrs.fields(type(old)):
        before, after = getattr(old, field.name), getattr(new, field.name)
        path = f"{prefix}{field.name}"
        if attrs.has(type(before)):
            paths += changed_paths(before, after, f"{path}.")
        elif before != after:
            paths.append(path)
    return paths


class ReloadLoop(runtime.Loop):
    """Reads the settings file again and again, and at once when it is asked to."""

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
            apply: called with settings of which a live section changed.
        """
        super().__init__()
        self._path = path
        self._cfg = cfg
        self._apply = apply
        self._asked = threading.Event()
        self._fault = ""

    def ask(self) -> None:
        """Has the file read at once; may be called by a signal's handler."""
        self._asked.set()

    def stop(self) -> None:
        """Ends the loop after the current step."""
        super().stop()
        self._asked.set()

    def step(self) -> None:
        """Reads the file, if the loop isn't to end."""
        self._asked.wait(LOOK_INTERVAL_S)
        if self.stopping:
            return
        self._asked.clear()
        try:
            self._take(settings.load(self._path, _settings.Settings))
        except settings.SettingsError as exc:
            fault = "; ".join(exc.args)
            if fault != self._fault:
                logging.error("settings stay as they are: %s", fault)
            self._fault = fault

    def _take(self, cfg: _settings.Settings) -> None:
        self._fault = ""
        changed = changed_paths(self._cfg, cfg)
        if not changed:
            return
        self._cfg = cfg
        live = [p for p in changed if p.partition(".")[0] in LIVE_SECTIONS]
        logging.info("settings changed: %s", ", ".join(changed))
        if live:
            self._apply(cfg)
        if len(live) < len(changed):
            rest = ", ".join(p for p in changed if p not in live)
            logging.warning("settings that take effect at the next start: %s", rest)
