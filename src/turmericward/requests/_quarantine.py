"""Keeps calls away from all targets that have in common what crashes them.

Load pattern handled: prompts with one segment, no two of them alike, or one request
that comes again and again, end each target that begins to run them, together with all
its other calls. They reach any front, so that no front sees more than a few of the
crashes.

Each kind of evidence has its quarantine. A crash makes the keys of all calls suspect
that the target was just beginning to answer. An answer to any call with a key clears
it, a barred one if there were several lately: what crashes targets is hardly ever
answered. A key that is left after several crashes, and was there at most of them, is
barred, and these crashes count no longer against the other keys. Pure logic without
clock and sockets; times are monotonic seconds.
"""

import collections
import enum
import functools
import math
from collections.abc import Callable, Iterable, Sequence

import attrs

from turmericward.requests import _evidence, _reports, _router, _suspects, _verdicts

# Estimates of the same time by different fronts differ by less.
AGE_TOLERANCE_S = 0.25
TRIAL_TIMEOUT_S = 10.0
MAX_SUSPECTS = 300
MAX_CRASHES = 500

BARRED = "quarantined"
SUSPECTED = "suspected"


class KeyState(enum.Enum):
    """What is believed of a key."""

    SUSPECT = "suspect"
    BARRED = "barred"
    TRIED = "tried"
    CLEARED = "cleared"


@attrs.frozen(kw_only=True)
class KeyChange:
    """A change of what is believed of a key, and the crashes that led to it."""

    kind: _evidence.EvidenceKind
    key: int
    state: KeyState
    crashes: int
    until: float = 0.0


class Quarantine:
    """Suspect and barred keys of a kind, as all fronts together have seen them."""

    def __init__(
        self,
        kind: _evidence.EvidenceKind = _evidence.EvidenceKind.SEGMENT,
        broader: "Quarantine | None" = None,
    ) -> None:
        """Starts without suspects.

        Args:
            kind: what the keys are.
            broader: quarantine of another kind, whose bars explain crashes too.
        """
        self.kind = kind
        self._rules = _evidence.RULES[kind]
        self._verdicts = _verdicts.Verdicts(
            self._rules, None if broader is None else broader._verdicts
        )
        self._suspects = self._verdicts.suspects
        # Answers by key, the oldest ones first.
        self._answered: collections.OrderedDict[int, _suspects.Answers] = (
            collections.OrderedDict()
        )
        self._changes: list[KeyChange] = []

    def pop_changes(self) -> list[KeyChange]:
        """Returns what has changed since the last call."""
        changes, self._changes = self._changes, []
        return changes

    # Evidence.

    def record_crash(
        self, keys: Iterable[int], incarnation: _suspects.Incarnation, now: float
    ) -> None:
        """Records that a target ended as it began to answer a call.

        Args:
            keys: what the call has in common with others.
            incarnation: the target.
            now: monotonic seconds.
        """
        self._note_crash(incarnation, now)
        for key in keys:
            if now > self._answered_at(key) + self._rules.recent_answer_s:
                self._add_crash(key, incarnation, now, now)
        self._update_bars()

    def record_answer(self, keys: Iterable[int], now: float) -> None:
        """Records that a call with these keys was answered to its end."""
        for key in keys:
            answers = self._answers_of(key)
            answers.add(now)
            suspect = self._suspects.get(key)
            if suspect is None:
                answers.at = now
            elif self._lifts_bar(suspect, answers, now):
                answers.at = now
                self._clear(key, suspect, now, now)

    def _lifts_bar(
        self, suspect: _suspects.Suspect, answers: _suspects.Answers, now: float
    ) -> bool:
        """Returns whether an answer clears a suspect, also if barred.

        Some prompts with a bad segment end before it does harm. So their answers lift
        no bar unless there are several lately, or it is that of a trial.
        """
        bar = suspect.bar
        if bar is None or bar.trial_until > now:
            return True
        return answers.recent(now) > self._rules.chance_answers

    def _answers_of(self, key: int) -> _suspects.Answers:
        answers = self._answered.get(key)
        if answers is not None:
            self._answered.move_to_end(key)
            return answers
        answers = self._answered[key] = _suspects.Answers()
        if len(self._answered) > self._rules.max_answered:
            self._answered.popitem(last=False)
        return answers

    def apply(self, outcomes: Iterable[_suspects.KeyOutcome], now: float) -> None:
        """Records outcomes that a peer reports, in any order, also repeatedly."""
        for outcome in outcomes:
            at = now - outcome.age_s
            if outcome.crashed is not None:
                self._note_crash(outcome.crashed, at)
                self._add_crash(outcome.key, outcome.crashed, at, now)
            elif at > self._answered_at(outcome.key) + AGE_TOLERANCE_S:
                self._answers_of(outcome.key).at = at
                if outcome.key in self._suspects:
                    self._clear(outcome.key, self._suspects[outcome.key], at, now)
        self._update_bars()

    def _note_crash(self, incarnation: _suspects.Incarnation, at: float) -> None:
        crashes = self._verdicts.crashes
        crashes[incarnation] = min(at, crashes.get(incarnation, at))
        if len(crashes) > MAX_CRASHES:
            del crashes[next(iter(crashes))]

    def _answered_at(self, key: int) -> float:
        answers = self._answered.get(key)
        return -math.inf if answers is None else answers.at

    def _add_crash(
        self, key: int, incarnation: _suspects.Incarnation, at: float, now: float
    ) -> None:
        suspect = self._suspects.get(key)
        if suspect is None:
            suspect = _suspects.Suspect(
                recent_answer_s=self._rules.recent_answer_s,
                answered_at=self._answered_at(key),
            )
            self._suspects[key] = suspect
            self._evict()
        if not suspect.add_crash(incarnation, at, now):
            if not suspect.crashes:
                # The peer that reports the crash doesn't know of the answer.
                suspect.changed_at = now
        elif suspect.bar is not None:
            self._bar(key, suspect)
        else:
            self._note(key, KeyState.SUSPECT)

    def _clear(
        self, key: int, suspect: _suspects.Suspect, at: float, now: float
    ) -> None:
        """Counts an answer for a suspect."""
        was_unanswered = self._verdicts.is_unanswered(suspect)
        if suspect.add_answer(at, now) and not suspect.crashes:
            self._note(key, KeyState.CLEARED)
        elif was_unanswered and suspect.bar and not self._verdicts.is_bad(key):
            suspect.bar = None
            self._note(key, KeyState.SUSPECT)

    def _evict(self) -> None:
        """Drops a suspect if there are too many, the one with the least evidence."""
        if len(self._suspects) <= MAX_SUSPECTS:
            return
        *_, newest = self._suspects
        others = (key for key in self._suspects if key != newest)
        least = min(others, key=lambda key: self._suspects[key].evidence)
        del self._suspects[least]

    # Bars.

    def _update_bars(self) -> None:
        """Bars the key that explains most crashes, as long as there is one.

        Those that were barred before a broader one was known to explain it are free,
        and those that others of their kind explain are tried early.
        """
        for key in self._verdicts.excused():
            self._suspects[key].bar = None
            self._note(key, KeyState.SUSPECT)
        while (worst := self._verdicts.worst()) is not None:
            self._bar(worst, self._suspects[worst])
        if self._rules.tries_explained_early:
            for key in self._verdicts.explained():
                if self._suspects[key].shorten_bar():
                    self._note(key, KeyState.BARRED)

    def _bar(self, key: int, suspect: _suspects.Suspect) -> None:
        suspect.extend_bar(_verdicts.MOMENTS_TO_BAR, self._rules)
        self._note(key, KeyState.BARRED)

    def _note(self, key: int, state: KeyState) -> None:
        suspect = self._suspects[key]
        self._changes.append(
            KeyChange(
                kind=self.kind,
                key=key,
                state=state,
                crashes=len(suspect.crashes),
                until=suspect.bar.until if suspect.bar is not None else 0.0,
            )
        )

    def expire(self, now: float) -> None:
        """Drops evidence that is too old."""
        self._verdicts.expire(now)

    # Calls.

    def refusal(
        self,
        keys: Sequence[int],
        now: float,
        *,
        retry: bool,
        prefilled: bool,
        trial_rank: Callable[[int], int],
    ) -> _router.Refusal | None:
        """Returns why a call must not go to a target, None if it may.

        Args:
            keys: what the call has in common with others.
            now: monotonic seconds.
            retry: whether the call has been sent before.
            prefilled: whether it goes on after a separate prefill.
            trial_rank: returns how many fronts go before this one in the trial of a
                key whose bar has ended.
        """
        known = [(k, self._suspects[k]) for k in keys if k in self._suspects]
        if not known:
            return None
        barred = [(k, x.bar) for k, x in known if x.bar is not None]
        in_trial = barred and all(bar.trial_until > now for _, bar in barred)
        if in_trial and prefilled and not retry:
            # The prompt that is tried goes on after its prefill.
            return None
        waits_s = (
            bar.wait_s(now, functools.partial(trial_rank, k)) for k, bar in barred
        )
        wait_s = max(waits_s, default=0.0)
        if wait_s > 0:
            return _router.Refusal(reason=BARRED, retry_after_s=wait_s)
        if retry and any(
            len(self._verdicts.counted(k)) >= _suspects.CRASHES_TO_STOP_RETRIES
            for k, _ in known
        ):
            return _router.Refusal(reason=SUSPECTED, retry_after_s=TRIAL_TIMEOUT_S)
        for key, bar in barred:
            bar.trial_until = now + TRIAL_TIMEOUT_S
            self._note(key, KeyState.TRIED)
        return None

    # Reports.

    def outcomes(self, now: float) -> tuple[_suspects.KeyOutcome, ...]:
        """Returns what is to be told to the peers, the latest news first."""
        return _reports.outcomes(self.kind, self._suspects, now)

    @property
    def has_suspects(self) -> bool:
        """Whether any key is suspect or barred."""
        return bool(self._suspects)

    def barred(self) -> dict[int, _suspects.Suspect]:
        """Returns the barred keys with their evidence."""
        return {k: x for k, x in self._suspects.items() if x.bar is not None}
