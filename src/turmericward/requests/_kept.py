"""Which shared prompt parts each engine should keep in its memory."""

import collections
from collections.abc import Callable, Iterable

# The rest holds what running requests read and make.
KEPT_SHARE = 0.8
DEFAULT_CAPACITY_TOKENS = 400_000


class KeptParts:
    """A model of one engine's memory: least recently used parts yield.

    Keys are parts' numbers. Tokens that no other request shares are counted too,
    since they take the place of shared ones.
    """

    def __init__(
        self,
        capacity_tokens: float,
        evicted: Callable[[int], None] = lambda part: None,
    ) -> None:
        """Creates an empty memory.

        Args:
            capacity_tokens: what the engine can keep.
            evicted: called with each part that is no longer kept.
        """
        self._evicted = evicted
        self._limit = KEPT_SHARE * capacity_tokens
        self._used = 0
        # Key -> (tokens, whether they have been read). Own tokens have no key.
        self._entries: collections.OrderedDict[object, tuple[int, bool]]
        self._entries = collections.OrderedDict()

    def note(self, part: int, tokens: int, *, ready: bool) -> None:
        """Notes that a part was sent there or, when `ready`, has been read."""
        known = self._entries.get(part)
        self._put(part, tokens, ready or (known is not None and known[1]))
        self._evict()

    def note_own(self, tokens: int) -> None:
        """Notes tokens that were read and that no other request shares."""
        self._put(object(), tokens, True)
        self._evict()

    def resize(self, capacity_tokens: float) -> None:
        """Sets how many tokens the engine can keep."""
        self._limit = KEPT_SHARE * capacity_tokens
        self._evict()

    def _evict(self) -> None:
        while self._used > self._limit and self._entries:
            key, (tokens, _) = self._entries.popitem(last=False)
            self._used -= tokens
            if isinstance(key, int):
                self._evicted(key)

    def clear(self) -> None:
        """Forgets all parts."""
        self._limit = 0
        self._evict()

    def _put(self, key: object, tokens: int, ready: bool) -> None:
        known = self._entries.pop(key, (0, False))
        self._used += tokens - known[0]
        self._entries[key] = (tokens, ready)

    def yielding_share(self, tokens: int) -> float:
        """Returns the share of `tokens` more for which other parts must yield."""
        over = self._used + tokens - self._limit
        return min(1.0, max(0.0, over) / max(1, tokens))

    def tokens(self, parts: Iterable[tuple[int, int]], *, ready: bool) -> int:
        """Returns how many tokens at a prompt's begin are kept, or also to be read.

        A part is of use only behind those before it.
        """
        kept = 0
        for part, _ in parts:
            tokens, is_ready = self._entries.get(part, (0, False))
            if not tokens or (ready and not is_ready):
                break
            kept += tokens
        return kept
