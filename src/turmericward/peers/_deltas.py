"""Tells only what changed of a load, and all of it now and then."""

from collections.abc import Mapping

import attrs

from turmericward import requests

Loads = Mapping[int, requests.TargetLoad]
# A datagram that was lost is made good after this at the latest.
FULL_S = 1.0


@attrs.frozen(kw_only=True)
class Update:
    """Rows to tell; `partial` where others are as they were told before."""

    rows: dict[int, requests.TargetLoad]
    partial: bool


class Deltas:
    """What a group of recipients was told of one load; times are steady seconds."""

    def __init__(self) -> None:
        """Creates the state of recipients that were told nothing."""
        self._told: Loads = {}
        self._full_at = float("-inf")

    def reset(self) -> None:
        """Has all told next time, since a recipient is new."""
        self._full_at = float("-inf")

    def next(self, loads: Loads, now: float) -> Update:
        """Returns what to tell now."""
        told, self._told = self._told, dict(loads)
        if now - self._full_at >= FULL_S:
            self._full_at = now
            return Update(rows=dict(loads), partial=False)
        rows = {t: load for t, load in loads.items() if told.get(t) != load}
        ended = {t: requests.NO_LOAD for t in told if t not in loads}
        return Update(rows=rows | ended, partial=True)


def merged(known: Loads, rows: Loads) -> dict[int, requests.TargetLoad]:
    """Returns a load after an update of some rows."""
    found = dict(known) | dict(rows)
    return {t: load for t, load in found.items() if load != requests.NO_LOAD}
