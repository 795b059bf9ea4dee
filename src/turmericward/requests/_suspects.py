"""Evidence on what calls had in common under which targets have crashed."""

import math
from collections.abc import Callable

import attrs

from turmericward.requests import _evidence

# Time constant with which answers are forgotten that are weighed against crashes.
ANSWER_DECAY_S = 10.0
# How long crashes count if the key is neither answered nor barred.
EVIDENCE_S = 300.0
# From this many on, calls with the key that lost a target aren't sent again.
CRASHES_TO_STOP_RETRIES = 2
# Crashes that are kept of one key; the oldest ones are dropped.
MAX_CRASHES = 12
# Duration of a bar from the last crash on, if there are no more than bar a key.
FIRST_BAR_S = 60.0
# The same for keys that may be sound, as others explain all their crashes.
EARLY_TRIAL_S = 5.0
# After a bar has ended, one front after the other may try a call, at this interval.
TRIAL_INTERVAL_S = 15.0


@attrs.frozen
class Incarnation:
    """A target from a start to its end: hash of its name, and its start time."""

    target: int
    started_ms: int


@attrs.frozen(kw_only=True)
class KeyOutcome:
    """What became of a call with a key `age_s` ago, as fronts tell each other.

    `crashed` is the target that ended under it, None if it was answered.
    """

    kind: _evidence.EvidenceKind
    key: int
    crashed: Incarnation | None
    age_s: float


@attrs.define
class Answers:
    """Answers to calls with a key: the last one, and how many lately.

    Times are monotonic seconds.
    """

    at: float = -math.inf
    _count: float = 0.0
    _counted_at: float = -math.inf

    def add(self, now: float) -> None:
        """Counts an answer."""
        self._count = self.recent(now) + 1.0
        self._counted_at = now

    def recent(self, now: float) -> float:
        """Returns the number of answers, older ones counted less."""
        if not self._count:
            return 0.0
        return self._count * math.exp(-(now - self._counted_at) / ANSWER_DECAY_S)


@attrs.define
class Bar:
    """No calls with a key go to targets before `until`, in monotonic seconds.

    After that one may be tried; until `trial_until` this front waits for its outcome.
    """

    until: float
    trial_until: float = -math.inf

    def wait_s(self, now: float, trial_rank: Callable[[], int]) -> float:
        """Returns in how many seconds this front may try a call.

        Until the bar has ended, callers are told its end; `trial_rank` returns how
        many fronts go before this one then.
        """
        if now < self.until:
            return self.until - now
        turn = self.until + TRIAL_INTERVAL_S * trial_rank()
        return max(turn, self.trial_until) - now


@attrs.define
class Suspect:
    """A key under which targets crashed; times are monotonic seconds.

    A crash so soon after an answer doesn't count, `recent_answer_s`.
    """

    recent_answer_s: float
    crashes: dict[Incarnation, float] = attrs.field(factory=dict)
    answered_at: float = -math.inf
    # When the evidence changed last.
    changed_at: float = -math.inf
    bar: Bar | None = None

    @property
    def evidence(self) -> tuple[bool, int, float]:
        """A value that is greater for suspects with more evidence."""
        return (self.bar is not None, len(self.crashes), self.changed_at)

    def add_crash(self, incarnation: Incarnation, at: float, now: float) -> bool:
        """Adds a crash unless an answer speaks against it; returns if it is new."""
        known_at = self.crashes.get(incarnation)
        if at <= self.answered_at + self.recent_answer_s:
            return False
        if known_at is not None:
            # The earliest estimate is the one that was delayed least.
            self.crashes[incarnation] = min(known_at, at)
            return False
        self.crashes[incarnation] = at
        while len(self.crashes) > MAX_CRASHES:
            del self.crashes[min(self.crashes, key=self.crashes.__getitem__)]
        self.changed_at = now
        return True

    def add_answer(self, at: float, now: float) -> bool:
        """Adds an answer; returns whether it refutes a crash or lifts a bar."""
        self.answered_at = max(self.answered_at, at)
        refuted = [
            incarnation
            for incarnation, crashed_at in self.crashes.items()
            if crashed_at <= self.answered_at + self.recent_answer_s
        ]
        for incarnation in refuted:
            del self.crashes[incarnation]
        if self.crashes or not (refuted or self.bar):
            return bool(refuted)
        self.bar = None
        self.changed_at = now
        return True

    def extend_bar(self, crashes_to_bar: int, rules: _evidence.Rules) -> None:
        """Sets the end of the bar by the number and the time of the crashes."""
        repeated = max(0, len(self.crashes) - crashes_to_bar)
        duration_s = min(rules.max_bar_s, FIRST_BAR_S * rules.bar_growth**repeated)
        until = max(self.crashes.values()) + duration_s
        if self.bar is None:
            self.bar = Bar(until)
        self.bar.until = max(self.bar.until, until)

    def shorten_bar(self) -> bool:
        """Ends the bar early for a trial; returns whether that changed it."""
        until = max(self.crashes.values()) + EARLY_TRIAL_S
        if until >= self.bar.until:
            return False
        self.bar.until = until
        return True

    def has_expired(self, now: float, bar_memory_s: float) -> bool:
        """Returns whether the evidence is too old to count."""
        if self.bar is not None:
            return now > self.bar.until + bar_memory_s
        return now - self.changed_at > EVIDENCE_S
