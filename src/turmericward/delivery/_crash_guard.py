"""Keeps prompts that crash engines away from them, by what became of earlier ones."""

import collections
from collections.abc import Callable

from turmericward import fleet, requests, runtime, telemetry
from turmericward.delivery import _fingerprint, _messages

MAX_NAMED_SEGMENTS = 1_000


def crashed_incarnation(
    directory: fleet.Directory, target: fleet.Target
) -> requests.Incarnation | None:
    """Returns the incarnation of a target that crashed, None if it had left before."""
    name_hash = fleet.target_hash(target.name)
    known = directory.find(name_hash, target.started_ms)
    if known is None or known.leaving:
        return None
    return requests.Incarnation(name_hash, target.started_ms)


class CrashGuard:
    """Records crashes and answers by the segments of prompts, and refuses calls."""

    def __init__(
        self,
        incarnation_of: Callable[[fleet.Target], requests.Incarnation | None],
        trial_rank: Callable[[int], int] = lambda segment: 0,
    ) -> None:
        """Creates the guard.

        Args:
            incarnation_of: returns the incarnation of an engine that crashed, None if
                it had left as announced.
            trial_rank: returns how many fronts go before this one when a segment
                whose bar has ended is tried again.
        """
        self._incarnation_of = incarnation_of
        self._trial_rank = trial_rank
        self.quarantine = requests.Quarantine()
        # Ids of segments by number, as this process has seen them in prompts.
        self._ids: collections.OrderedDict[int, str] = collections.OrderedDict()

    def refusal(self, message: _messages.Place) -> requests.Refusal | None:
        """Returns why a call must not go to an engine, None if it may."""
        prompt = message.call.prompt
        if prompt is None:
            return None
        refusal = self.quarantine.refusal(
            list(prompt.shared_ids),
            runtime.now(),
            retry=message.retry or bool(message.call.resume_after),
            prefilled=message.prefilled,
            trial_rank=self._trial_rank,
        )
        self._log_changes()
        return refusal

    def placement_ended(self, message: _messages.PlacementEnded) -> bool:
        """Records the end of a placement; returns whether that changed anything."""
        prompt = message.prompt
        if prompt is None:
            return False
        if message.answered:
            self.quarantine.record_answer(prompt.shared_ids, runtime.now())
        elif message.target_ended_under_prompt:
            incarnation = self._incarnation_of(message.placement.target)
            if incarnation is not None:
                self._remember_ids(prompt)
                self.quarantine.record_crash(
                    prompt.shared_ids, incarnation, runtime.now()
                )
        return self._log_changes()

    def apply(self, outcomes: tuple[requests.SegmentOutcome, ...]) -> bool:
        """Records what a peer reports; returns whether that changed anything."""
        if not outcomes:
            return False
        self.quarantine.apply(outcomes, runtime.now())
        return self._log_changes()

    def outcomes(self) -> tuple[requests.SegmentOutcome, ...]:
        """Returns what the peers should know."""
        return self.quarantine.outcomes(runtime.now())

    def status(self) -> tuple[_messages.SegmentStatus, ...]:
        """Returns the barred segments."""
        now = runtime.now()
        return tuple(
            _messages.SegmentStatus(
                segment=_fingerprint.as_hex(segment),
                id=self._ids.get(segment, ""),
                crashes=len(suspect.crashes),
                barred_s=round(max(0.0, suspect.bar.until - now), 3),
            )
            for segment, suspect in self.quarantine.barred().items()
        )

    def _remember_ids(self, prompt: requests.Prompt | requests.Demand) -> None:
        for number, segment_id in prompt.shared_ids.items():
            self._ids[number] = segment_id
            self._ids.move_to_end(number)
        while len(self._ids) > MAX_NAMED_SEGMENTS:
            self._ids.popitem(last=False)

    def _log_changes(self) -> bool:
        changes = self.quarantine.pop_changes()
        now = runtime.now()
        for change in changes:
            telemetry.log_event(
                "segment",
                segment=_fingerprint.as_hex(change.segment),
                id=self._ids.get(change.segment, ""),
                state=change.state.value,
                crashes=change.crashes,
                barred_s=round(max(0.0, change.until - now), 3),
            )
        return bool(changes)
