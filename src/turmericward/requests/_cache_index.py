"""Estimates what each engine's KV cache holds, from local calls and peers' entries.

Load pattern handled: prompts of many small segments that nobody shares. An engine's
tokens are room for any number of those, the memory of this process isn't.
"""

import collections
import functools
from collections.abc import Iterable

import attrs

from turmericward import fleet
from turmericward.requests import _kv_cache, _prompts

# Prefilling fewer tokens is faster than looking for a cached copy of them.
SHORT_PROMPT_TOKENS = 2_048
# Entries of all engines together, of about 600 bytes each.
MAX_ENTRIES = 32_768
# Share of them that is left when some have to be forgotten.
KEPT_SHARE = 7 / 8


@attrs.frozen(kw_only=True)
class CacheEntry:
    """A cache entry for the peers: a segment that a target will prefill or has cached.

    `segment` is the number of the segment, 0 if the prompt has no shared segment;
    `own_tokens` is the number of tokens after it that no other request shares;
    `ready` holds if all of these are prefilled.
    """

    target: int
    segment: int
    tokens: int
    own_tokens: int
    ready: bool


class CacheIndex:
    """Models of the engines' KV caches, and entries not yet sent to the peers."""

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        """Starts without engines.

        Args:
            max_entries: of all engines together; beyond it, the engines with the most
                entries forget those that were used least recently.
        """
        self._max_entries = max_entries
        # Entries of all engines, and how many were applied since they were counted.
        self._counted = 0
        self._applied = 0
        self._caches: dict[int, _kv_cache.KvCacheModel] = {}
        self._services: dict[int, str] = {}
        self._capacity_tokens: dict[str, float] = {}
        self._unsent: list[CacheEntry] = []
        self._engines_by_segment: dict[int, set[int]] = collections.defaultdict(set)

    def set_capacity(self, service: str, tokens: float) -> None:
        """Sets how many tokens an engine of the service can cache."""
        self._capacity_tokens[service] = tokens
        for target, its_service in self._services.items():
            if its_service == service and target in self._caches:
                self._caches[target].resize(tokens)

    def set_service(self, target: fleet.Target) -> None:
        """Records the service of a target, which determines its capacity."""
        target_id = fleet.target_hash(target.name)
        self._services[target_id] = target.service
        if target_id in self._caches:
            self._caches[target_id].resize(self._capacity(target_id))

    def forget(self, name: str) -> None:
        """Drops the state of an engine that was removed or has restarted."""
        cache = self._caches.pop(fleet.target_hash(name), None)
        if cache is not None:
            cache.clear()
        self._services.pop(fleet.target_hash(name), None)

    def _capacity(self, target: int) -> float:
        service = self._services.get(target, "")
        return self._capacity_tokens.get(service, _kv_cache.DEFAULT_CAPACITY_TOKENS)

    def pop_unsent(self) -> list[CacheEntry]:
        """Returns the entries not yet sent to the peers, and clears them."""
        entries, self._unsent = self._unsent, []
        return entries

    def apply(self, entry: CacheEntry) -> None:
        """Applies an entry, local or received from a peer."""
        cache = self._cache(entry.target)
        if entry.tokens:
            self._engines_by_segment[entry.segment].add(entry.target)
            cache.record(entry.segment, entry.tokens, ready=entry.ready)
        if entry.ready and entry.own_tokens:
            cache.record_unshared(entry.own_tokens)
        # An entry of a peer adds two at the most.
        self._applied += 2
        if self._counted + self._applied > self._max_entries:
            self._bound_entries()

    def _bound_entries(self) -> None:
        counts = {target: len(cache) for target, cache in self._caches.items()}
        if sum(counts.values()) > KEPT_SHARE * self._max_entries:
            level = _level(counts.values(), int(KEPT_SHARE * self._max_entries))
            for target, count in counts.items():
                if count > level:
                    self._caches[target].forget_all_but(level)
        self._counted, self._applied = sum(map(len, self._caches.values())), 0

    def _cache(self, target: int) -> _kv_cache.KvCacheModel:
        if target not in self._caches:
            self._caches[target] = _kv_cache.KvCacheModel(
                self._capacity(target), functools.partial(self._evicted, target)
            )
        return self._caches[target]

    def _evicted(self, target: int, segment: int) -> None:
        engines = self._engines_by_segment.get(segment, set())
        engines.discard(target)
        if not engines:
            self._engines_by_segment.pop(segment, None)

    def engines_caching(
        self, prompt: _prompts.Prompt, targets: Iterable[fleet.Target]
    ) -> list[fleet.Target]:
        """Returns the engines that cache the prompt's largest shared segment."""
        largest = max(prompt.shared_segments, key=lambda p: p[1], default=None)
        if largest is None:
            return []
        engines = self._engines_by_segment.get(largest[0])
        if not engines:
            return []
        return [t for t in targets if fleet.target_hash(t.name) in engines]

    def record_prompt(
        self, target: fleet.Target, prompt: _prompts.Prompt, *, ready: bool
    ) -> None:
        """Records that a prompt goes to an engine or, if `ready`, was prefilled."""
        target_id = fleet.target_hash(target.name)
        segments = prompt.shared_segments or ((0, 0),)
        for index, (segment, tokens) in enumerate(segments, 1):
            own_tokens = prompt.tokens - prompt.shared_tokens
            self._add(
                CacheEntry(
                    target=target_id,
                    segment=segment,
                    tokens=tokens,
                    own_tokens=own_tokens if index == len(segments) else 0,
                    ready=ready,
                )
            )

    def record_listing(
        self, target: fleet.Target, segments: Iterable[tuple[int, int]]
    ) -> None:
        """Records the segments, with their tokens, that an engine reports as cached."""
        target_id = fleet.target_hash(target.name)
        for segment, tokens in segments:
            if tokens >= SHORT_PROMPT_TOKENS:
                entry = CacheEntry(
                    target=target_id,
                    segment=segment,
                    tokens=tokens,
                    own_tokens=0,
                    ready=True,
                )
                self._add(entry)

    def _add(self, entry: CacheEntry) -> None:
        self.apply(entry)
        self._unsent.append(entry)

    def eviction_share(self, target: fleet.Target, tokens: int) -> float:
        """Returns the share of `tokens` new ones for which others must be evicted."""
        cache = self._caches.get(fleet.target_hash(target.name))
        return 0.0 if cache is None else cache.eviction_share(tokens)

    def cached_tokens(
        self, target: fleet.Target, prompt: _prompts.Prompt, *, ready: bool
    ) -> int:
        """Returns the length of the prompt's prefix that an engine has cached.

        Unless `ready`, includes segments that it is still to prefill.
        """
        cache = self._caches.get(fleet.target_hash(target.name))
        return (
            0
            if cache is None
            else cache.prefix_tokens(prompt.shared_segments, ready=ready)
        )


def _level(counts: Iterable[int], total: int) -> int:
    """Returns the largest level at which counts that are cut to it fit into a total."""
    left = total
    ordered = sorted(counts)
    for index, count in enumerate(ordered):
        share = left // (len(ordered) - index)
        if count > share:
            return share
        left -= count
    return ordered[-1] if ordered else 0
