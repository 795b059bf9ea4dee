"""Log lines on the keys under which targets crash.

Load pattern handled: targets that crash with dozens of open calls, each of which makes
further keys suspect in all fronts.
"""

import collections
from collections.abc import Iterable

from turmericward import requests, routing, runtime, telemetry
from turmericward.dispatching import _evidence

MAX_NAMED_KEYS = 1_000
# Keys in one line, those with the most crashes first.
MAX_LOGGED_KEYS = 10


class SuspectLog:
    """Names of keys, and the changes that aren't logged yet.

    New suspects of one kind have a line together, all else has one for each key.
    """

    def __init__(self) -> None:
        """Starts without keys."""
        # As this process has seen them in calls.
        self._names: collections.OrderedDict[int, str] = collections.OrderedDict()
        # The last change of each new suspect.
        self._suspects: dict[int, requests.KeyChange] = {}

    def remember(self, keys: _evidence.Keys) -> None:
        """Records the names of keys."""
        for key, name in keys.items():
            self._names[key] = name
            self._names.move_to_end(key)
        while len(self._names) > MAX_NAMED_KEYS:
            self._names.popitem(last=False)

    def name(self, key: int) -> str:
        """Returns the name of a key, empty if no call here had it."""
        return self._names.get(key, "")

    def record(self, changes: Iterable[requests.KeyChange]) -> None:
        """Logs changes; those to suspects wait for `flush`, or for another line."""
        for change in changes:
            if change.state is requests.KeyState.SUSPECT:
                self._suspects[change.key] = change
            else:
                self.flush()
                self._log(change)

    def flush(self) -> None:
        """Logs the new suspects."""
        if not self._suspects:
            return
        changes = list(self._suspects.values())
        self._suspects.clear()
        for kind in requests.EvidenceKind:
            self._log_suspects(kind, [c for c in changes if c.kind is kind])

    def _log_suspects(
        self, kind: requests.EvidenceKind, changes: list[requests.KeyChange]
    ) -> None:
        if not changes:
            return
        changes.sort(key=lambda change: change.crashes, reverse=True)
        telemetry.log_event(
            "suspect",
            kind=kind.value,
            state=requests.KeyState.SUSPECT.value,
            count=len(changes),
            crashes=changes[0].crashes,
            keys=[
                {
                    "key": routing.fingerprint_hex(change.key),
                    "id": self.name(change.key),
                    "crashes": change.crashes,
                }
                for change in changes[:MAX_LOGGED_KEYS]
            ],
        )

    def _log(self, change: requests.KeyChange) -> None:
        barred_s = max(0.0, change.until - runtime.now())
        telemetry.log_event(
            "suspect",
            kind=change.kind.value,
            key=routing.fingerprint_hex(change.key),
            id=self.name(change.key),
            state=change.state.value,
            crashes=change.crashes,
            barred_s=round(barred_s, 3),
        )
