"""What fronts tell each other of suspect keys.

Load pattern handled: few keys, all told again and again; crashes of busy targets, each
with dozens of new suspects; and more barred keys than fit into a datagram, among which
the news must not be lost.
"""

import itertools
import math
from collections.abc import Iterator, Mapping

from turmericward.requests import _evidence, _suspects

# How long a suspect, or its clearing, is told to the peers if nothing changes.
TELL_S = 3.0
MAX_TOLD_OUTCOMES = 200
# If there are more, so many of the keys whose evidence is old give way to the next ones
# each time.
TURN_S = 0.5
KEYS_EACH_TURN = 7


def outcomes(
    kind: _evidence.EvidenceKind, suspects: Mapping[int, _suspects.Suspect], now: float
) -> tuple[_suspects.KeyOutcome, ...]:
    """Returns the outcomes to tell, the latest news first.

    Args:
        kind: what the keys are.
        suspects: suspects by key.
        now: monotonic seconds.
    """
    rows = (
        row
        for key in _told_keys(suspects, now)
        for row in _outcomes_of(kind, key, suspects[key], now)
    )
    return tuple(itertools.islice(rows, MAX_TOLD_OUTCOMES))


def _told_keys(suspects: Mapping[int, _suspects.Suspect], now: float) -> list[int]:
    """Returns keys with new evidence, the strongest first, then others in turn."""
    news, known = [], []
    for key, suspect in suspects.items():
        if now - suspect.changed_at <= TELL_S:
            news.append(key)
        elif len(suspect.crashes) >= _suspects.CRASHES_TO_STOP_RETRIES:
            known.append(key)
    news.sort(key=lambda key: suspects[key].evidence, reverse=True)
    start = int(now / TURN_S) * KEYS_EACH_TURN % max(1, len(known))
    return news + known[start:] + known[:start]


def _outcomes_of(
    kind: _evidence.EvidenceKind, key: int, suspect: _suspects.Suspect, now: float
) -> Iterator[_suspects.KeyOutcome]:
    if suspect.answered_at > -math.inf:
        # Also if crashes came after it: others may know of no answer at all.
        yield _suspects.KeyOutcome(
            kind=kind, key=key, crashed=None, age_s=now - suspect.answered_at
        )
    for incarnation, at in suspect.crashes.items():
        yield _suspects.KeyOutcome(
            kind=kind, key=key, crashed=incarnation, age_s=now - at
        )
