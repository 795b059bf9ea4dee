"""How far a front knows a topic, and how fresh that is."""

from turmericward.feeds import _messages


class Feed:
    """The stretch of a topic that is known; times are steady seconds.

    Records are taken once and in the order of their offsets, whichever way they
    came, so what follows from them never goes back.
    """

    def __init__(self, fresh_s: float) -> None:
        """Creates the state of a front that knows nothing of the topic.

        Args:
            fresh_s: how long after the last news a front may rely on them.
        """
        self._fresh_s = fresh_s
        self._as_of = float("-inf")
        # Set when news came that begin behind what is known.
        self._gap = False
        # Everything before this offset is known; None before the first listing.
        self.following: int | None = None

    def is_fresh(self, now: float) -> bool:
        """Tells whether all that the topic gained until lately is known."""
        return now < self.fresh_until

    @property
    def fresh_until(self) -> float:
        """When the front has to read for itself."""
        if self.following is None or self._gap:
            return float("-inf")
        return self._as_of + self._fresh_s

    def listed(self, end: int, as_of: float) -> bool:
        """Takes a listing that holds all before `end`; tells whether it counts.

        A listing that ends before what is known is older than that.
        """
        if self.following is not None and end < self.following:
            return False
        self._advance(end, as_of)
        return True

    def lost(self) -> None:
        """Notes that the store no longer holds the next record: list anew."""
        self._gap = True
        self._as_of = float("-inf")

    def read(self, end: int, as_of: float) -> None:
        """Notes an own read from `following` up to `end`."""
        self._advance(max(end, self.following or 0), as_of)

    def heard(self, news: _messages.News, now: float) -> tuple[_messages.Record, ...]:
        """Takes a peer's news; returns the records that weren't known."""
        if self.following is None:
            return ()
        if news.start > self.following:
            self._gap = True
            return ()
        if news.end < self.following:
            return ()
        found = tuple(r for r in news.records if r.offset >= self.following)
        self._advance(news.end, now - news.age_s)
        return found

    def _advance(self, end: int, as_of: float) -> None:
        self.following = end
        self._as_of = max(self._as_of, as_of)
        self._gap = False
