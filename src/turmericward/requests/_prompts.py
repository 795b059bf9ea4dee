"""A prompt as a sequence of segments, whose prefix requests may share."""

import functools
import hashlib
from collections.abc import Iterable

import attrs

# Prompts with more segments are kept as this many. The last one then stands for the
# rest of the prompt, which isn't looked for in caches.
MAX_SEGMENTS = 128
# More tokens in a segment or an answer than any model takes; sums of them still fit
# the fields of the messages between fronts.
MAX_TOKENS = 1 << 24


@attrs.frozen(kw_only=True)
class PromptSegment:
    """A segment of a prompt; equal ids stand for equal tokens."""

    id: str
    tokens: int


def bounded_segments(segments: Iterable[PromptSegment]) -> tuple[PromptSegment, ...]:
    """Returns at most `MAX_SEGMENTS` segments with the same tokens in all."""
    kept = tuple(segments)
    if len(kept) <= MAX_SEGMENTS:
        return kept
    shared, rest = kept[: MAX_SEGMENTS - 1], kept[MAX_SEGMENTS - 1 :]
    tokens = min(MAX_TOKENS, sum(segment.tokens for segment in rest))
    digest = hashlib.blake2b(",".join(s.id for s in rest).encode(), digest_size=8)
    return (*shared, PromptSegment(id=digest.hexdigest(), tokens=tokens))


def segment_number(model: str, segment_id: str) -> int:
    """Returns the number that identifies a model's segment between fronts."""
    digest = hashlib.blake2b(f"{model}/{segment_id}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, signed=True)


@attrs.frozen(kw_only=True)
class Prompt:
    """A prompt; its last segment belongs to one request or session alone."""

    model: str
    segments: tuple[PromptSegment, ...]
    output_tokens: int

    @functools.cached_property
    def tokens(self) -> int:
        """Length of the prompt in tokens."""
        return sum(segment.tokens for segment in self.segments)

    @functools.cached_property
    def shared_tokens(self) -> int:
        """Tokens of the segments that other requests may share."""
        return sum(segment.tokens for segment in self.segments[:-1])

    @property
    def content_ids(self) -> tuple[str, ...]:
        """What identifies the whole prompt."""
        return (self.model, *(segment.id for segment in self.segments))

    @functools.cached_property
    def shared_segments(self) -> tuple[tuple[int, int], ...]:
        """Number and tokens of each segment that other requests may share."""
        shared = self.segments[:-1]
        return tuple((segment_number(self.model, p.id), p.tokens) for p in shared)

    @functools.cached_property
    def shared_ids(self) -> dict[int, str]:
        """Number and id of each segment that other requests may share."""
        numbers = (number for number, _ in self.shared_segments)
        return {n: s.id for n, s in zip(numbers, self.segments[:-1], strict=True)}
