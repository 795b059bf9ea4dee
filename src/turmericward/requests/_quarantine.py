"""Keeps prompts with a segment that crashes engines away from all engines.

Load pattern handled: prompts with one segment, no two of them alike, end each engine
that begins to answer them, together with all its other calls. They reach any front,
so that no front sees more than a few of the crashes.

A crash makes the segments of all prompts suspect that the engine was just beginning
to answer. An answer to any prompt with a segment clears it, a barred one if there were
several lately: what crashes engines is hardly ever answered. A segment that
is left after several crashes, and was there at most of them, is barred, and these
crashes count no longer against the other segments. Pure logic without clock and
sockets; times are monotonic seconds.
"""

import collections
import enum
import itertools
import math
from collections.abc import Callable, Iterable, Iterator, Sequence

import attrs

from turmericward.requests import _router, _suspects

# Moments with crashes, without an answer, after which a segment is barred if it was
# there at this share of all of them since the first. Where many engines end for other
# reasons, at once or in turn, some segments are there several times by chance.
MOMENTS_TO_BAR = 3
MIN_SHARE_TO_BAR = 0.5
# Crashes closer to each other are of one moment.
MOMENT_S = 0.05
# Crashes of different engines after which a segment is barred in any case.
CERTAIN_CRASHES = 5
# Recent answers, as one front sees them, that don't speak for a barred segment.
MAX_CHANCE_ANSWERS = 1.5
# From this many on, prompts with the segment that lost an engine aren't sent again.
CRASHES_TO_STOP_RETRIES = 2
# How long a suspect, or its clearing, is told to the peers if nothing changes.
TELL_S = 3.0
# Estimates of the same time by different fronts differ by less.
AGE_TOLERANCE_S = 0.25
# After a bar has ended, one front after the other may try a prompt, at this interval.
TRIAL_INTERVAL_S = 15.0
TRIAL_TIMEOUT_S = 10.0
MAX_SUSPECTS = 300
MAX_CRASHES = 500
MAX_ANSWERED_SEGMENTS = 3_000
MAX_TOLD_OUTCOMES = 200

BARRED = "quarantined"
SUSPECTED = "suspected"


class SegmentState(enum.Enum):
    """What is believed of a segment."""

    SUSPECT = "suspect"
    BARRED = "barred"
    TRIED = "tried"
    CLEARED = "cleared"


@attrs.frozen(kw_only=True)
class SegmentChange:
    """A change of what is believed of a segment, and the crashes that led to it."""

    segment: int
    state: SegmentState
    crashes: int
    until: float = 0.0


class Quarantine:
    """Suspect and barred segments, as all fronts together have seen them."""

    def __init__(self) -> None:
        """Starts without suspects."""
        self._suspects: dict[int, _suspects.Suspect] = {}
        # Engines that ended under prompts, with the times, the oldest reports first.
        self._crashes: dict[_suspects.Incarnation, float] = {}
        # Answers by segment, the oldest ones first.
        self._answered: collections.OrderedDict[int, _suspects.Answers] = (
            collections.OrderedDict()
        )
        self._changes: list[SegmentChange] = []

    def pop_changes(self) -> list[SegmentChange]:
        """Returns what has changed since the last call."""
        changes, self._changes = self._changes, []
        return changes

    # Evidence.

    def record_crash(
        self, segments: Iterable[int], incarnation: _suspects.Incarnation, now: float
    ) -> None:
        """Records that an engine ended as it began to answer a prompt.

        Args:
            segments: segments that the prompt shares with others.
            incarnation: the engine.
            now: monotonic seconds.
        """
        self._note_crash(incarnation, now)
        for segment in segments:
            if now > self._answered_at(segment) + _suspects.RECENT_ANSWER_S:
                self._add_crash(segment, incarnation, now, now)
        self._update_bars()

    def record_answer(self, segments: Iterable[int], now: float) -> None:
        """Records that a prompt with these segments was answered to its end."""
        for segment in segments:
            if self._lifts_bar(segment, now):
                self._add_answer(segment, now, now)

    def _lifts_bar(self, segment: int, now: float) -> bool:
        """Counts an answer; returns whether it clears the segment, also if barred.

        Some prompts with a bad segment end before it does harm. So their answers lift
        no bar unless there are several lately, or it is that of a trial.
        """
        answers = self._answers_of(segment)
        answers.add(now)
        suspect = self._suspects.get(segment)
        bar = None if suspect is None else suspect.bar
        if bar is None or bar.trial_until > now:
            return True
        return answers.recent(now) > MAX_CHANCE_ANSWERS

    def _answers_of(self, segment: int) -> _suspects.Answers:
        answers = self._answered.setdefault(segment, _suspects.Answers())
        self._answered.move_to_end(segment)
        if len(self._answered) > MAX_ANSWERED_SEGMENTS:
            self._answered.popitem(last=False)
        return answers

    def apply(self, outcomes: Iterable[_suspects.SegmentOutcome], now: float) -> None:
        """Records outcomes that a peer reports, in any order, also repeatedly."""
        for outcome in outcomes:
            at = now - outcome.age_s
            if outcome.crashed is not None:
                self._note_crash(outcome.crashed, at)
                self._add_crash(outcome.segment, outcome.crashed, at, now)
            elif at > self._answered_at(outcome.segment) + AGE_TOLERANCE_S:
                self._add_answer(outcome.segment, at, now)
        self._update_bars()

    def _note_crash(self, incarnation: _suspects.Incarnation, at: float) -> None:
        self._crashes[incarnation] = min(at, self._crashes.get(incarnation, at))
        if len(self._crashes) > MAX_CRASHES:
            del self._crashes[next(iter(self._crashes))]

    def _answered_at(self, segment: int) -> float:
        answers = self._answered.get(segment)
        return -math.inf if answers is None else answers.at

    def _add_crash(
        self, segment: int, incarnation: _suspects.Incarnation, at: float, now: float
    ) -> None:
        suspect = self._suspects.get(segment)
        if suspect is None:
            suspect = _suspects.Suspect(answered_at=self._answered_at(segment))
            self._suspects[segment] = suspect
            self._evict()
        if not suspect.add_crash(incarnation, at, now):
            if not suspect.crashes:
                # The peer that reports the crash doesn't know of the answer.
                suspect.changed_at = now
        elif suspect.bar is not None:
            self._bar(segment, suspect)
        else:
            self._note(segment, SegmentState.SUSPECT)

    def _add_answer(self, segment: int, at: float, now: float) -> None:
        self._answers_of(segment).at = at
        suspect = self._suspects.get(segment)
        if suspect is not None and suspect.add_answer(at, now) and not suspect.crashes:
            self._note(segment, SegmentState.CLEARED)

    def _evict(self) -> None:
        """Drops a suspect if there are too many, the one with the least evidence."""
        if len(self._suspects) <= MAX_SUSPECTS:
            return
        *_, newest = self._suspects
        others = (segment for segment in self._suspects if segment != newest)
        del self._suspects[min(others, key=self._evidence)]

    def _evidence(self, segment: int) -> tuple[bool, int, float]:
        suspect = self._suspects[segment]
        return (suspect.bar is not None, len(suspect.crashes), suspect.changed_at)

    # Bars.

    def _update_bars(self) -> None:
        """Bars the segment that explains most crashes, as long as there is one."""
        while True:
            bad = [
                segment
                for segment, suspect in self._suspects.items()
                if suspect.bar is None
                and len(suspect.crashes) >= MOMENTS_TO_BAR
                and self._is_bad(segment)
            ]
            if not bad:
                return
            worst = max(bad, key=self._badness)
            self._bar(worst, self._suspects[worst])

    def _is_bad(self, segment: int) -> bool:
        known = self._suspects[segment].crashes
        crashes = self._unexplained(segment, known)
        if len(crashes) >= CERTAIN_CRASHES:
            return True
        moments = _count_moments(known[i] for i in crashes)
        if moments < MOMENTS_TO_BAR:
            return False
        first_at = min(known.values())
        since = (i for i, at in self._crashes.items() if at >= first_at)
        all_crashes = self._unexplained(segment, since)
        all_moments = _count_moments(self._crashes[i] for i in all_crashes)
        return moments >= MIN_SHARE_TO_BAR * all_moments

    def _badness(self, segment: int) -> tuple[int, float]:
        # Of two that were there at all crashes, the one that was answered longer ago,
        # or never.
        suspect = self._suspects[segment]
        crashes = self._unexplained(segment, suspect.crashes)
        return (len(crashes), -suspect.answered_at)

    def _unexplained(
        self, segment: int, incarnations: Iterable[_suspects.Incarnation]
    ) -> set[_suspects.Incarnation]:
        """Returns the crashes that no barred segment but this one explains."""
        crashes = set(incarnations)
        for suspect in self._suspects.values():
            if suspect.bar is not None and suspect is not self._suspects[segment]:
                crashes -= suspect.crashes.keys()
        return crashes

    def _bar(self, segment: int, suspect: _suspects.Suspect) -> None:
        suspect.extend_bar(MOMENTS_TO_BAR)
        self._note(segment, SegmentState.BARRED)

    def _note(self, segment: int, state: SegmentState) -> None:
        suspect = self._suspects[segment]
        self._changes.append(
            SegmentChange(
                segment=segment,
                state=state,
                crashes=len(suspect.crashes),
                until=suspect.bar.until if suspect.bar is not None else 0.0,
            )
        )

    def expire(self, now: float) -> None:
        """Drops evidence that is too old."""
        expired = [s for s, x in self._suspects.items() if x.has_expired(now)]
        for segment in expired:
            del self._suspects[segment]
        self._crashes = {
            incarnation: at
            for incarnation, at in self._crashes.items()
            if now - at <= _suspects.EVIDENCE_S
        }

    # Prompts.

    def refusal(
        self,
        segments: Sequence[int],
        now: float,
        *,
        retry: bool,
        prefilled: bool,
        trial_rank: Callable[[int], int],
    ) -> _router.Refusal | None:
        """Returns why a prompt must not go to an engine, None if it may.

        Args:
            segments: segments that the prompt shares with others.
            now: monotonic seconds.
            retry: whether the call has been sent before.
            prefilled: whether it goes on after a separate prefill.
            trial_rank: returns how many fronts go before this one in the trial of a
                segment whose bar has ended.
        """
        known = [(s, self._suspects[s]) for s in segments if s in self._suspects]
        if not known:
            return None
        barred = [(s, x.bar) for s, x in known if x.bar is not None]
        in_trial = barred and all(bar.trial_until > now for _, bar in barred)
        if in_trial and prefilled and not retry:
            # The prompt that is tried goes on after its prefill.
            return None
        waits_s = (_trial_wait_s(s, bar, now, trial_rank) for s, bar in barred)
        wait_s = max(waits_s, default=0.0)
        if wait_s > 0:
            return _router.Refusal(reason=BARRED, retry_after_s=wait_s)
        if retry and any(
            len(self._unexplained(s, x.crashes)) >= CRASHES_TO_STOP_RETRIES
            for s, x in known
        ):
            return _router.Refusal(reason=SUSPECTED, retry_after_s=TRIAL_TIMEOUT_S)
        for segment, bar in barred:
            bar.trial_until = now + TRIAL_TIMEOUT_S
            self._note(segment, SegmentState.TRIED)
        return None

    # Reports.

    def outcomes(self, now: float) -> tuple[_suspects.SegmentOutcome, ...]:
        """Returns what is to be told to the peers, the strongest evidence first."""
        told = sorted(self._suspects, key=self._evidence, reverse=True)
        rows = (row for segment in told for row in self._outcomes_of(segment, now))
        return tuple(itertools.islice(rows, MAX_TOLD_OUTCOMES))

    def _outcomes_of(
        self, segment: int, now: float
    ) -> Iterator[_suspects.SegmentOutcome]:
        suspect = self._suspects[segment]
        lasting = len(suspect.crashes) >= CRASHES_TO_STOP_RETRIES
        if not lasting and now - suspect.changed_at > TELL_S:
            return
        if not suspect.crashes:
            yield _suspects.SegmentOutcome(
                segment=segment, crashed=None, age_s=now - suspect.answered_at
            )
        for incarnation, at in suspect.crashes.items():
            yield _suspects.SegmentOutcome(
                segment=segment, crashed=incarnation, age_s=now - at
            )

    def barred(self) -> dict[int, _suspects.Suspect]:
        """Returns the barred segments with their evidence."""
        return {s: x for s, x in self._suspects.items() if x.bar is not None}


def _trial_wait_s(
    segment: int, bar: _suspects.Bar, now: float, trial_rank: Callable[[int], int]
) -> float:
    """Returns when this front may try a prompt with a barred segment.

    Until the bar has ended, callers are told its end.
    """
    if now < bar.until:
        return bar.until - now
    turn = bar.until + TRIAL_INTERVAL_S * trial_rank(segment)
    return max(turn, bar.trial_until) - now


def _count_moments(times: Iterable[float]) -> int:
    moments = 0
    last_at = -math.inf
    for at in sorted(times):
        moments += at - last_at > MOMENT_S
        last_at = at
    return moments
