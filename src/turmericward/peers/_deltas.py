"""Delta encoding of loads: changed rows, and a full update periodically."""

from collections.abc import Mapping

import attrs

from turmericward import requests

Loads = Mapping[int, requests.TargetLoad]
# The effect of a lost datagram ends after this time at the latest.
FULL_UPDATE_INTERVAL_S = 1.0
# Smaller changes affect no choice of target; the next full update includes them.
MIN_REPORTED_TOKENS = 1_000.0
MIN_REPORTED_CALLS = 2
MIN_REPORTED_FAILURES = 1


@attrs.frozen(kw_only=True)
class Update:
    """Rows to send; with `partial`, the others are as in the previous update."""

    rows: dict[int, requests.TargetLoad]
    partial: bool


class DeltaEncoder:
    """Encodes the loads for a group of recipients; times are monotonic seconds.

    Designed for hundreds of short prompts a second, each of which changes the load of
    a target a little, mixed with a few long prompts that peers must learn of. An exact
    encoder, for one front's local load, sends every change: small changes that many
    fronts make at the same target add up, and no front sees the sum.
    """

    def __init__(self, *, exact: bool = False) -> None:
        """Creates the encoder of recipients that were sent nothing.

        Args:
            exact: whether small changes are sent too.
        """
        self._exact = exact
        self._sent: Loads = {}
        self._full_at = float("-inf")

    def reset(self) -> None:
        """Makes the next update complete, for a new recipient."""
        self._full_at = float("-inf")

    def next_update(self, loads: Loads, now: float) -> Update:
        """Returns the update after which the recipients have `loads`."""
        if now - self._full_at >= FULL_UPDATE_INTERVAL_S:
            self._full_at = now
            self._sent = dict(loads)
            return Update(rows=dict(loads), partial=False)
        rows = {
            target: load
            for target, load in loads.items()
            if self._is_due(self._sent.get(target, requests.NO_LOAD), load)
        }
        for target in self._sent:
            if target not in loads:
                rows[target] = requests.NO_LOAD
        self._sent = merge(self._sent, rows)
        return Update(rows=rows, partial=True)

    def _is_due(self, sent: requests.TargetLoad, load: requests.TargetLoad) -> bool:
        return sent != load if self._exact else _is_significant(sent, load)


def _is_significant(sent: requests.TargetLoad, load: requests.TargetLoad) -> bool:
    """Returns whether a change is sent before the next full update."""
    urgent = abs(load.urgent_tokens - sent.urgent_tokens)
    deferred = abs(load.deferred_tokens - sent.deferred_tokens)
    calls = abs(load.open_calls - sent.open_calls)
    if max(urgent, deferred) >= MIN_REPORTED_TOKENS or calls >= MIN_REPORTED_CALLS:
        return True
    return abs(load.failed_calls - sent.failed_calls) >= MIN_REPORTED_FAILURES


def merge(base: Loads, rows: Loads) -> dict[int, requests.TargetLoad]:
    """Returns `base` updated by `rows`, without targets that have no load."""
    updated = dict(base) | dict(rows)
    return {t: load for t, load in updated.items() if load != requests.NO_LOAD}
