"""Which counts a front sends next: changed ones, and recent ones again."""

from turmericward.metering import _ledger, _usage

# Counts are sent again after this time, as datagrams may be lost.
REPEAT_S = 1.0
# Windows that ended longer ago aren't repeated.
REPEAT_WINDOW_S = 5.0
MIN_INTERVAL_S = 0.4
# The sum of a domain is sent when most of its fronts have told their last counts.
DOMAIN_DELAY_S = 0.5
# Bytes of rows in one message, which shares a datagram with loads; the rest is sent
# in the next ones. About 2,000 rows with names of 9 bytes.
MAX_ROW_BYTES = 32 * 1024
# At most, for a row's count and the length of its name.
ROW_OVERHEAD_BYTES = 7


class UsageSending:
    """Decides what one group of peers is sent; times are seconds of Unix time."""

    def __init__(self, window_s: float, *, domain: bool) -> None:
        """Starts with nothing sent.

        Args:
            window_s: length of a window.
            domain: whether sums of this front's domain are sent, and only of windows
                that have ended; otherwise counts of this front.
        """
        self._window_s = window_s
        self._domain = domain
        self._sent: dict[int, _ledger.Counts] = {}
        self._sent_at = float("-inf")
        self._repeated_at = float("-inf")

    def reset(self) -> None:
        """Makes everything due."""
        self._sent_at = self._repeated_at = float("-inf")

    def next_usage(self, ledger: _ledger.Ledger, unix_s: float) -> _usage.Usage | None:
        """Returns what is due now, None if nothing is.

        Its time and totals tell the receiver how much it knows; they take few bytes.
        """
        since_s = unix_s - self._sent_at
        if 0 <= since_s < MIN_INTERVAL_S:
            return None
        repeats = not 0 <= unix_s - self._repeated_at < REPEAT_S
        rows = self._rows(ledger, unix_s, repeats)
        self._sent_at = unix_s
        if repeats:
            self._repeated_at = unix_s
        return _usage.Usage(unix_s=unix_s, windows=tuple(rows))

    def _rows(
        self, ledger: _ledger.Ledger, unix_s: float, repeats: bool
    ) -> list[_usage.WindowUsage]:
        rows: list[_usage.WindowUsage] = []
        room = MAX_ROW_BYTES
        current = {}
        for window in reversed(ledger.windows()):
            end = (window + 1) * self._window_s
            if unix_s > end + REPEAT_WINDOW_S:
                continue
            if self._domain and unix_s < end + DOMAIN_DELAY_S:
                continue
            counts = ledger.domain_sum(window) if self._domain else ledger.own(window)
            sent = self._sent.get(window, {})
            due = counts if repeats else _changed(counts, sent)
            part, room = _fitting(due, room)
            # What has no room in a repetition is sent next, as if it had changed.
            current[window] = part if repeats else sent | part
            rows.append(
                _usage.WindowUsage(
                    window=window,
                    counts=part,
                    domain=self._domain,
                    total=sum(counts.values()),
                )
            )
        self._sent = current
        return rows


def _changed(counts: _ledger.Counts, sent: _ledger.Counts) -> _ledger.Counts:
    return {name: count for name, count in counts.items() if sent.get(name) != count}


def _fitting(counts: _ledger.Counts, room: int) -> tuple[_ledger.Counts, int]:
    """Returns the first counts that fit into `room` bytes, and the room left."""
    part = {}
    for name, count in counts.items():
        size = len(name.encode()) + ROW_OVERHEAD_BYTES
        if size > room:
            return part, 0
        part[name] = count
        room -= size
    return part, room
