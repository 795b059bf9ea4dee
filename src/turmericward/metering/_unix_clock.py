"""Unix time that doesn't follow the steps of one instance's time of day."""

import statistics

# The time of day is followed if it differs by less: it drifts, but doesn't step so
# little. Steps are of seconds.
MAX_DRIFT_S = 0.2
# What a peer said of the time counts for so long.
PEER_TIME_S = 10.0
# A relay's time is taken over after it has differed for so long: one that has just
# started doesn't know better yet.
ADOPT_AFTER_S = 3.0
# With fewer sources, the majority can't be told.
MIN_SOURCES = 3


class UnixClock:
    """Unix time of a front as an offset to its monotonic clock.

    The offset is anchored at the start, so later steps of the time of day change
    nothing. A front that started during a step differs from its peers; so the median
    of what this front and its peers take for the time counts.
    """

    def __init__(self, now: float, time_of_day: float) -> None:
        """Anchors the clock.

        Args:
            now: monotonic seconds.
            time_of_day: Unix time of the instance.
        """
        self._anchor = time_of_day - now
        self._agreed = self._anchor
        # Offset by peer, and when it was received.
        self._peers: dict[str, tuple[float, float]] = {}
        # Offset of the relay if it differs, and since when it is that.
        self._relay: tuple[float, float] | None = None

    def unix_s(self, now: float) -> float:
        """Returns the Unix time at a monotonic time."""
        return now + self._agreed

    def record_time_of_day(self, now: float, time_of_day: float) -> None:
        """Follows the drift of the instance's time of day, but not its steps."""
        offset = time_of_day - now
        if abs(offset - self._agreed) <= MAX_DRIFT_S:
            self._anchor = offset
        self._agree(now)

    def record_peer(
        self, front: str, unix_s: float, now: float, *, relay: bool = False
    ) -> None:
        """Records what time a peer took it to be when it sent.

        Args:
            front: name of the peer.
            unix_s: its Unix time.
            now: monotonic seconds at receipt.
            relay: whether it knows the time of many fronts, unlike this one.
        """
        offset = unix_s - now
        self._peers[front] = (offset, now)
        if relay:
            self._record_relay(offset, now)
        self._agree(now)

    def _record_relay(self, offset: float, now: float) -> None:
        if abs(offset - self._agreed) <= MAX_DRIFT_S:
            self._relay = None
        elif self._relay is None or abs(offset - self._relay[0]) > MAX_DRIFT_S:
            self._relay = (offset, now)
        elif now - self._relay[1] >= ADOPT_AFTER_S:
            self._anchor = offset
            self._relay = None

    def _agree(self, now: float) -> None:
        self._peers = {
            front: (offset, at)
            for front, (offset, at) in self._peers.items()
            if now - at <= PEER_TIME_S
        }
        offsets = [self._anchor, *(offset for offset, _ in self._peers.values())]
        if len(offsets) >= MIN_SOURCES:
            self._agreed = statistics.median(offsets)
        else:
            self._agreed = self._anchor
