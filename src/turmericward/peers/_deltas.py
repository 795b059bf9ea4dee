"""Tells only what changed of a load, and all of it now and then."""

from collections.abc import Mapping

import attrs

from turmericward import requests

Loads = Mapping[int, requests.TargetLoad]
# A datagram that was lost is made good after this at the latest.
FULL_S = 1.0
# Less changes no choice; it is told with the next whole load.
NOTED_TOKENS = 1_000.0
NOTED_CALLS = 2
NOTED_FAILURES = 1


@attrs.frozen(kw_only=True)
class Update:
    """Rows to tell; `partial` where others are as they were told before."""

    rows: dict[int, requests.TargetLoad]
    partial: bool


class Deltas:
    """What a group of recipients was told of one load; times are steady seconds.

    Load pattern that it answers: hundreds of short prompts a second, each of which
    changes a little at some target, beside some long prompts that others must know.
    Of one front's own load every change is told: many fronts' small changes at the
    same target add up, and none of them knows.
    """

    def __init__(self, *, exact: bool = False) -> None:
        """Creates the state of recipients that were told nothing.

        Args:
            exact: whether little changes are told too.
        """
        self._exact = exact
        self._told: Loads = {}
        self._full_at = float("-inf")

    def reset(self) -> None:
        """Has all told next time, since a recipient is new."""
        self._full_at = float("-inf")

    def next(self, loads: Loads, now: float) -> Update:
        """Returns what to tell now."""
        if now - self._full_at >= FULL_S:
            self._full_at = now
            self._told = dict(loads)
            return Update(rows=dict(loads), partial=False)
        rows = {
            target: load
            for target, load in loads.items()
            if self._is_due(self._told.get(target, requests.NO_LOAD), load)
        }
        for target in self._told:
            if target not in loads:
                rows[target] = requests.NO_LOAD
        self._told = merged(self._told, rows)
        return Update(rows=rows, partial=True)

    def _is_due(self, told: requests.TargetLoad, load: requests.TargetLoad) -> bool:
        return told != load if self._exact else _is_noted(told, load)


def _is_noted(told: requests.TargetLoad, load: requests.TargetLoad) -> bool:
    """Tells whether others should know of a change before the next whole load."""
    urgent = abs(load.urgent_tokens - told.urgent_tokens)
    deferred = abs(load.deferred_tokens - told.deferred_tokens)
    calls = abs(load.open_calls - told.open_calls)
    if max(urgent, deferred) >= NOTED_TOKENS or calls >= NOTED_CALLS:
        return True
    return abs(load.failed_calls - told.failed_calls) >= NOTED_FAILURES


def merged(known: Loads, rows: Loads) -> dict[int, requests.TargetLoad]:
    """Returns a load after an update of some rows."""
    found = dict(known) | dict(rows)
    return {t: load for t, load in found.items() if load != requests.NO_LOAD}
