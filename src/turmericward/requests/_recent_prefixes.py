"""Prompt prefixes that an entry recently sent to each engine."""

import collections

MAX_PREFIXES = 512


class RecentPrefixes:
    """Expected cached tokens by engine and prefix, for the latest prefixes."""

    def __init__(self) -> None:
        """Starts without prefixes."""
        self._tokens: collections.OrderedDict[tuple[str, str], int]
        self._tokens = collections.OrderedDict()

    def record(self, engine: str, prefix: str, tokens: int) -> None:
        """Records that a prompt with this prefix goes to the engine."""
        self._tokens[engine, prefix] = tokens
        self._tokens.move_to_end((engine, prefix))
        if len(self._tokens) > MAX_PREFIXES:
            self._tokens.popitem(last=False)

    def cached_tokens(self, engine: str, prefix: str) -> int:
        """Returns the tokens of the prefix that the engine should have cached."""
        return self._tokens.get((engine, prefix), 0)

    def forget_engine(self, engine: str) -> None:
        """Drops the prefixes of an engine that failed or changed its role."""
        stale = [key for key in self._tokens if key[0] == engine]
        for key in stale:
            del self._tokens[key]
