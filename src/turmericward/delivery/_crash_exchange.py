"""Crashes of engines, as this front and its peers see them."""

import collections

from turmericward import fleet, requests, runtime, telemetry
from turmericward.delivery import _messages

# An engine that has been answering a prompt for longer wasn't ended by it.
BEGINNING_S = 1.0
MAX_NAMED_SEGMENTS = 1_000


class CrashExchange:
    """Records crashes under prompts, and decides which prompts are kept back."""

    def __init__(self, directory: fleet.Directory, members: fleet.Members) -> None:
        """Creates the exchange.

        Args:
            directory: the known targets.
            members: the fronts, for the choice of the one that tries a prompt.
        """
        self._directory = directory
        self._members = members
        self.quarantine = requests.Quarantine()
        # Ids of segments by number, as this front has seen them in prompts.
        self._ids: collections.OrderedDict[int, str] = collections.OrderedDict()

    def refusal(self, message: _messages.Place) -> requests.Refusal | None:
        """Returns why a call must not go to an engine, None if it may."""
        prompt = message.call.prompt
        if prompt is None:
            return None
        now = runtime.now()
        refusal = self.quarantine.refusal(
            _segments(prompt),
            now,
            retry=message.retry or bool(message.call.resume_after),
            trial_rank=lambda segment: self._members.rank(str(segment)),
        )
        self._log_changes()
        return refusal

    def placement_ended(self, message: _messages.PlacementEnded) -> bool:
        """Records the end of a placement; returns whether peers should be told."""
        prompt = message.prompt
        if prompt is None:
            return False
        now = runtime.now()
        if message.answered:
            self.quarantine.record_answer(_segments(prompt), now)
        elif self._is_suspect(message):
            self._remember_ids(prompt)
            target = message.placement.target
            incarnation = requests.Incarnation(
                fleet.target_hash(target.name), target.started_ms
            )
            self.quarantine.record_crash(_segments(prompt), incarnation, now)
        return self._log_changes()

    def _is_suspect(self, message: _messages.PlacementEnded) -> bool:
        """Returns whether an engine ended that was beginning to answer the prompt."""
        if message.ending is not requests.Ending.CRASHED:
            return False
        target = message.placement.target
        known = self._directory.get(target.name)
        if known is None or known.started_ms != target.started_ms or known.leaving:
            # It has left as announced, or a later incarnation is there already.
            return False
        return message.writing_s <= BEGINNING_S

    def apply(self, outcomes: tuple[requests.SegmentOutcome, ...]) -> bool:
        """Records what a peer reports; returns whether that changed anything."""
        if not outcomes:
            return False
        self.quarantine.apply(outcomes, runtime.now())
        return self._log_changes()

    def outcomes(self) -> tuple[requests.SegmentOutcome, ...]:
        """Returns what the peers should know."""
        return self.quarantine.outcomes(runtime.now())

    def _remember_ids(self, prompt: requests.Prompt) -> None:
        shared = zip(_segments(prompt), prompt.segments, strict=False)
        for number, segment in shared:
            self._ids[number] = segment.id
            self._ids.move_to_end(number)
        while len(self._ids) > MAX_NAMED_SEGMENTS:
            self._ids.popitem(last=False)

    def _log_changes(self) -> bool:
        changes = self.quarantine.pop_changes()
        now = runtime.now()
        for change in changes:
            telemetry.log_event(
                "segment",
                segment=f"{change.segment & 0xFFFF_FFFF_FFFF_FFFF:016x}",
                id=self._ids.get(change.segment, ""),
                state=change.state.value,
                crashes=change.crashes,
                barred_s=round(max(0.0, change.until - now), 3),
            )
        return bool(changes)


def _segments(prompt: requests.Prompt) -> list[int]:
    return [number for number, _ in prompt.shared_segments]
