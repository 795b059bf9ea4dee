"""What each engine is believed to keep, by own notes and those of other fronts."""

import collections
import functools
import zlib
from collections.abc import Iterable

import attrs

from turmericward import fleet
from turmericward.requests import _kept, _prompts

# Parts of prompts with fewer tokens are quicker read than looked for.
SHORT_PROMPT_TOKENS = 2_048


@attrs.frozen(kw_only=True)
class KeptNote:
    """A prompt's part that a target will read, or has read; for the other fronts.

    `own_tokens` were read behind it that no other request shares. Part 0 stands
    for none.
    """

    target: int
    part: int
    tokens: int
    own_tokens: int
    ready: bool


@functools.lru_cache(maxsize=20_000)
def target_hash(name: str) -> int:
    """Returns the number that stands for a target between fronts."""
    return zlib.crc32(name.encode()) & 0x7FFFFFFF


class EngineMemories:
    """Models of the engines' memories, and notes that the peers should have."""

    def __init__(self) -> None:
        """Creates the beliefs of a front that knows of no engine."""
        self._kept: dict[int, _kept.KeptParts] = {}
        self._services: dict[int, str] = {}
        self._capacity_tokens: dict[str, float] = {}
        self._notes: list[KeptNote] = []
        # Engines by the parts that they keep.
        self._keepers: dict[int, set[int]] = collections.defaultdict(set)

    def set_capacity(self, service: str, tokens: float) -> None:
        """Sets how many tokens an engine of the service can keep."""
        self._capacity_tokens[service] = tokens
        for target, its_service in self._services.items():
            if its_service == service and target in self._kept:
                self._kept[target].resize(tokens)

    def announced(self, target: fleet.Target) -> None:
        """Notes which service a target belongs to, and so how much it can keep."""
        number = target_hash(target.name)
        self._services[number] = target.service
        if number in self._kept:
            self._kept[number].resize(self._capacity(number))

    def forget(self, name: str) -> None:
        """Drops what is believed of an engine that is gone or began anew."""
        memory = self._kept.pop(target_hash(name), None)
        if memory is not None:
            memory.clear()
        self._services.pop(target_hash(name), None)

    def _capacity(self, target: int) -> float:
        service = self._services.get(target, "")
        return self._capacity_tokens.get(service, _kept.DEFAULT_CAPACITY_TOKENS)

    def take_notes(self) -> list[KeptNote]:
        """Returns what the other fronts haven't been told of."""
        notes, self._notes = self._notes, []
        return notes

    def take(self, note: KeptNote) -> None:
        """Takes what another front tells of a part."""
        memory = self._memory(note.target)
        if note.tokens:
            self._keepers[note.part].add(note.target)
            memory.note(note.part, note.tokens, ready=note.ready)
        if note.ready and note.own_tokens:
            memory.note_own(note.own_tokens)

    def _memory(self, target: int) -> _kept.KeptParts:
        if target not in self._kept:
            self._kept[target] = _kept.KeptParts(
                self._capacity(target), functools.partial(self._evicted, target)
            )
        return self._kept[target]

    def _evicted(self, target: int, part: int) -> None:
        keepers = self._keepers.get(part, set())
        keepers.discard(target)
        if not keepers:
            self._keepers.pop(part, None)

    def keeping(
        self, prompt: _prompts.Prompt, targets: Iterable[fleet.Target]
    ) -> list[fleet.Target]:
        """Returns the engines that keep the prompt's largest shared part."""
        largest = max(prompt.shared_parts, key=lambda p: p[1], default=None)
        if largest is None:
            return []
        keepers = self._keepers.get(largest[0])
        if not keepers:
            return []
        return [t for t in targets if target_hash(t.name) in keepers]

    def note_prompt(
        self, target: fleet.Target, prompt: _prompts.Prompt, *, ready: bool
    ) -> None:
        """Notes that a prompt goes to an engine or, when `ready`, has been read."""
        number = target_hash(target.name)
        parts = prompt.shared_parts or ((0, 0),)
        for index, (part, tokens) in enumerate(parts, 1):
            own_tokens = prompt.tokens - prompt.shared_tokens
            self._note(
                KeptNote(
                    target=number,
                    part=part,
                    tokens=tokens,
                    own_tokens=own_tokens if index == len(parts) else 0,
                    ready=ready,
                )
            )

    def listed(self, target: fleet.Target, parts: Iterable[tuple[int, int]]) -> None:
        """Takes the parts, with their tokens, that an engine says it keeps."""
        number = target_hash(target.name)
        for part, tokens in parts:
            if tokens >= SHORT_PROMPT_TOKENS:
                note = KeptNote(
                    target=number, part=part, tokens=tokens, own_tokens=0, ready=True
                )
                self._note(note)

    def _note(self, note: KeptNote) -> None:
        self.take(note)
        self._notes.append(note)

    def yielding_share(self, target: fleet.Target, tokens: int) -> float:
        """Returns the share of `tokens` more for which an engine drops others."""
        memory = self._kept.get(target_hash(target.name))
        return 0.0 if memory is None else memory.yielding_share(tokens)

    def tokens_kept(
        self, target: fleet.Target, prompt: _prompts.Prompt, *, ready: bool
    ) -> int:
        """Returns the prompt's tokens that an engine keeps, or is still to read."""
        memory = self._kept.get(target_hash(target.name))
        return 0 if memory is None else memory.tokens(prompt.shared_parts, ready=ready)
