"""Which shared prompt parts each engine should keep in its memory."""

import collections

# The rest holds what running requests read and make.
KEPT_SHARE = 0.8
DEFAULT_CAPACITY_TOKENS = 400_000


class KeptPrompts:
    """A model of one engine's memory: least recently used parts yield.

    Keys are hashes of shared parts. Tokens that no other request shares are
    counted too, since they take the place of shared ones.
    """

    def __init__(self, capacity_tokens: float) -> None:
        """Creates an empty memory."""
        self._limit = KEPT_SHARE * capacity_tokens
        self._used = 0
        # Key -> (tokens, whether they have been read). Own tokens have no key.
        self._entries: collections.OrderedDict[object, tuple[int, bool]]
        self._entries = collections.OrderedDict()

    def note(self, key: int, shared: int, own: int, *, ready: bool) -> None:
        """Notes that a prompt was sent there or, when `ready`, has been read."""
        known = self._entries.get(key)
        self._put(key, shared, ready or (known is not None and known[1]))
        if ready:
            self._put(object(), own, True)
        self._evict()

    def resize(self, capacity_tokens: float) -> None:
        """Sets how many tokens the engine can keep."""
        self._limit = KEPT_SHARE * capacity_tokens
        self._evict()

    def _evict(self) -> None:
        while self._used > self._limit and self._entries:
            _, (tokens, _) = self._entries.popitem(last=False)
            self._used -= tokens

    def _put(self, key: object, tokens: int, ready: bool) -> None:
        known = self._entries.pop(key, (0, False))
        self._used += tokens - known[0]
        self._entries[key] = (tokens, ready)

    def tokens(self, key: int, *, ready: bool) -> int:
        """Returns the tokens kept under the key, or also those still to be read."""
        tokens, is_ready = self._entries.get(key, (0, False))
        return tokens if is_ready or not ready else 0
