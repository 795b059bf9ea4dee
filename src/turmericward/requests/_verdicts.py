"""Decides which keys are to blame for the crashes of targets.

Crashes that a barred key explains count no longer against others that were there. Pure
logic on the evidence; times are monotonic seconds.
"""

import collections
import math
from collections.abc import Iterable

from turmericward.requests import _evidence, _suspects

# Moments with crashes, without an answer, after which a key is barred if it was there
# at this share of all of them since the first. Where many targets end for other
# reasons, at once or in turn, some keys are there several times by chance.
MOMENTS_TO_BAR = 3
MIN_SHARE_TO_BAR = 0.5
# With more crashes, a key isn't tried early, whatever else was there.
MAX_EXPLAINED = 5
# Crashes closer to each other are of one moment.
MOMENT_S = 0.05


class Verdicts:
    """Suspect keys of a kind, and the crashes under them."""

    def __init__(
        self, rules: _evidence.Rules, broader: "Verdicts | None" = None
    ) -> None:
        """Starts without evidence.

        Args:
            rules: rules of the kind.
            broader: verdicts on another kind, whose barred keys explain crashes too.
        """
        self._rules = rules
        self._broader = broader
        self.suspects: dict[int, _suspects.Suspect] = {}
        # Targets that ended under calls, with the times, the oldest reports first.
        self.crashes: dict[_suspects.Incarnation, float] = {}

    def worst(self) -> int | None:
        """Returns the key to bar that explains most crashes, None if there is none."""
        bad = [
            key
            for key, suspect in self.suspects.items()
            if suspect.bar is None
            and len(suspect.crashes) >= MOMENTS_TO_BAR
            and self.is_bad(key)
        ]
        return max(bad, key=self._badness, default=None)

    def excused(self) -> list[int]:
        """Returns the barred keys that a broader one leaves too few crashes."""
        explained = self._explained_by_broader()
        if not explained:
            return []
        return [
            key
            for key, suspect in self.suspects.items()
            if suspect.bar is not None
            and len(suspect.crashes.keys() - explained) < MOMENTS_TO_BAR
        ]

    def explained(self) -> list[int]:
        """Returns the barred keys, answered once, that had company at each crash.

        Each of these crashes may be due to another barred key.
        """
        barred = {k: x for k, x in self.suspects.items() if x.bar is not None}
        if len(barred) < 2:
            return []
        present = collections.Counter(i for x in barred.values() for i in x.crashes)
        return [
            key
            for key, suspect in barred.items()
            if suspect.answered_at > -math.inf
            and len(suspect.crashes) <= MAX_EXPLAINED
            and all(present[incarnation] > 1 for incarnation in suspect.crashes)
        ]

    def is_bad(self, key: int) -> bool:
        """Returns whether a key is to be barred."""
        suspect = self.suspects[key]
        if self._is_certain(key):
            return True
        known = suspect.crashes
        crashes = self._unexplained(suspect, known)
        if len(crashes) >= self._rules.crashes_certain:
            return True
        moments = _count_moments(known[i] for i in crashes)
        if moments < MOMENTS_TO_BAR:
            return False
        first_at = min(known.values())
        since = (i for i, at in self.crashes.items() if at >= first_at)
        all_crashes = self._unexplained(suspect, since)
        all_moments = _count_moments(self.crashes[i] for i in all_crashes)
        return moments >= MIN_SHARE_TO_BAR * all_moments

    def _is_certain(self, key: int) -> bool:
        return (
            self.is_unanswered(self.suspects[key])
            and len(self.counted(key)) >= self._rules.crashes_unanswered
        )

    def _badness(self, key: int) -> tuple[int, float]:
        # Of two that were there at all crashes, the one that was answered longer ago,
        # or never.
        suspect = self.suspects[key]
        return (len(self.counted(key)), -suspect.answered_at)

    def counted(self, key: int) -> set[_suspects.Incarnation]:
        """Returns the crashes that count against a key."""
        suspect = self.suspects[key]
        if self.is_unanswered(suspect):
            # Nothing but a broader key excuses it: of two that crash targets and come
            # together, the one that is barred first would hide the other.
            return set(suspect.crashes) - self._explained_by_broader()
        return self._unexplained(suspect, suspect.crashes)

    def is_unanswered(self, suspect: _suspects.Suspect) -> bool:
        """Returns whether a key is judged as one that nobody has an answer to."""
        return (
            suspect.answered_at == -math.inf
            and self._rules.crashes_unanswered < math.inf
        )

    def _unexplained(
        self,
        suspect: _suspects.Suspect,
        incarnations: Iterable[_suspects.Incarnation],
    ) -> set[_suspects.Incarnation]:
        """Returns the crashes that no barred key but this one explains.

        A key that was there at fewer crashes explains none of another: it was barred
        on what was known of them then.
        """
        crashes = set(incarnations) - self._explained_by_broader()
        for other in self.suspects.values():
            if other.bar is None or other is suspect:
                continue
            if len(other.crashes) >= len(suspect.crashes):
                crashes -= other.crashes.keys()
        return crashes

    def _explained_by_broader(self) -> set[_suspects.Incarnation]:
        if self._broader is None:
            return set()
        return {
            incarnation
            for suspect in self._broader.suspects.values()
            if suspect.bar is not None
            for incarnation in suspect.crashes
        }

    def expire(self, now: float) -> None:
        """Drops evidence that is too old."""
        memory_s = self._rules.bar_memory_s
        expired = [k for k, x in self.suspects.items() if x.has_expired(now, memory_s)]
        for key in expired:
            del self.suspects[key]
        old = [
            incarnation
            for incarnation, at in self.crashes.items()
            if now - at > _suspects.EVIDENCE_S
        ]
        for incarnation in old:
            del self.crashes[incarnation]


def _count_moments(times: Iterable[float]) -> int:
    moments = 0
    last_at = -math.inf
    for at in sorted(times):
        moments += at - last_at > MOMENT_S
        last_at = at
    return moments
