"""Models which shared prompt segments an engine should have in its KV cache."""

import collections
from collections.abc import Callable, Iterable

# Share of the KV cache that holds reusable tokens; running requests use the rest.
REUSABLE_SHARE = 0.8
DEFAULT_CAPACITY_TOKENS = 400_000


class KvCacheModel:
    """A model of one engine's KV cache with LRU eviction.

    Keys are segment numbers. Tokens that no other request shares are counted too,
    since they take the place of shared ones.
    """

    def __init__(
        self,
        capacity_tokens: float,
        on_evict: Callable[[int], None] = lambda segment: None,
    ) -> None:
        """Starts with an empty cache.

        Args:
            capacity_tokens: size of the engine's KV cache.
            on_evict: called with each segment that is evicted.
        """
        self._on_evict = on_evict
        self._limit = REUSABLE_SHARE * capacity_tokens
        self._used = 0
        # Key -> (tokens, whether they are prefilled). Unshared tokens get a unique key.
        self._entries: collections.OrderedDict[object, tuple[int, bool]]
        self._entries = collections.OrderedDict()

    def record(self, segment: int, tokens: int, *, ready: bool) -> None:
        """Records that a segment was sent to the engine or, if `ready`, prefilled."""
        previous = self._entries.get(segment)
        self._put(segment, tokens, ready or (previous is not None and previous[1]))
        self._evict()

    def record_unshared(self, tokens: int) -> None:
        """Records prefilled tokens that no other request shares."""
        self._put(object(), tokens, True)
        self._evict()

    def resize(self, capacity_tokens: float) -> None:
        """Sets the size of the engine's KV cache."""
        self._limit = REUSABLE_SHARE * capacity_tokens
        self._evict()

    def _evict(self) -> None:
        while self._used > self._limit and self._entries:
            self._evict_oldest()

    def _evict_oldest(self) -> None:
        key, (tokens, _) = self._entries.popitem(last=False)
        self._used -= tokens
        if isinstance(key, int):
            self._on_evict(key)

    def __len__(self) -> int:
        """Returns the number of entries."""
        return len(self._entries)

    def forget_all_but(self, count: int) -> None:
        """Forgets the least recently used entries beyond a number of them.

        The engine still holds them, so that less is known of it than is cached there.
        """
        while len(self._entries) > count:
            self._evict_oldest()

    def clear(self) -> None:
        """Evicts all segments and sets the size to 0."""
        self._limit = 0
        self._evict()

    def _put(self, key: object, tokens: int, ready: bool) -> None:
        previous = self._entries.pop(key, (0, False))
        self._used += tokens - previous[0]
        self._entries[key] = (tokens, ready)

    def eviction_share(self, tokens: int) -> float:
        """Returns the share of `tokens` new ones for which others must be evicted."""
        over = self._used + tokens - self._limit
        return min(1.0, max(0.0, over) / max(1, tokens))

    def prefix_tokens(self, segments: Iterable[tuple[int, int]], *, ready: bool) -> int:
        """Returns how many tokens at the start of a prompt are cached.

        Unless `ready`, includes segments that are still to be prefilled. A segment
        is reusable only after the same segments before it.
        """
        cached = 0
        for segment, _ in segments:
            tokens, is_ready = self._entries.get(segment, (0, False))
            if not tokens or (ready and not is_ready):
                break
            cached += tokens
        return cached
