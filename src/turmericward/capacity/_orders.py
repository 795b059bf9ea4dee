"""What is known of the orders of one kind of replicas in a failure domain."""

import math

import attrs

from turmericward import duties

# An order without response is repeated after this time, twice as late each time.
FIRST_REPEAT_S = 0.5
MAX_REPEAT_S = 8.0
# After a refusal, or if ordered replicas don't appear, the kind counts as unavailable
# for this time, twice as long each time.
FIRST_UNAVAILABLE_S = 5.0
MAX_UNAVAILABLE_S = 60.0
# After the loss of replicas the same kind is likely to be unavailable there.
LOST_S = 10.0
# Share of the expected replicas whose absence is a loss, not the end of a few.
LOST_SHARE = 0.5
MIN_LOST = 2
# Ordered replicas appear up to this much later than they should.
LATE_S = 3.0


@attrs.define(kw_only=True)
class OrderState:
    """The orders of a pool in this term; times are monotonic seconds.

    `ordered` is the count accepted last, `unconfirmed` that of the latest order if it
    got no response and may still take effect.
    """

    ordered: int | None = None
    unconfirmed: int | None = None
    _settles_at: float = -math.inf
    # Whether as many replicas as ordered have been announced.
    _appeared: bool = False
    # The highest count that may have been taken without a response.
    _possible: int = 0
    # The highest count announced before the first order of this term.
    _seen: int = 0
    _limited_until: float = -math.inf
    _repeat_at: float = -math.inf
    _repeat_s: float = 0.0
    _unavailable_s: float = 0.0

    def expected(self, live: int, now: float) -> int:
        """Returns how many replicas there will be, with `live` announced now."""
        if self.unconfirmed is not None:
            return self.unconfirmed
        if self.ordered is None or now >= self._settles_at:
            return live
        return self.ordered

    @property
    def intended(self) -> int:
        """The count that the platform holds to be ordered, as far as is known.

        Fewer may be announced; to order fewer than this gives replicas back.
        """
        return self._seen if self.ordered is None else self.ordered

    def is_unknown(self, live: int) -> bool:
        """Returns whether replicas are announced that this term knows nothing of."""
        never_ordered = self.ordered is None and self.unconfirmed is None
        return never_ordered and live > self._seen

    def highest(self, live: int) -> int:
        """Returns how many replicas there may be at most."""
        return max(live, self.intended, self._possible)

    def is_blocked(self, now: float) -> bool:
        """Returns whether nothing may be ordered for now."""
        return now < max(self._limited_until, self._repeat_at)

    def is_limited(self, now: float) -> bool:
        """Returns whether no more replicas are to be had for now."""
        return now < self._limited_until

    def check(self, before: int, live: int, now: float) -> str:
        """Compares the announced replicas with the expected ones.

        Args:
            before: how many were announced when last checked.
            live: how many are announced now.
            now: monotonic seconds.

        Returns:
            What was found: `lost`, `missing`, or empty.
        """
        if self.ordered is not None and live >= self.ordered:
            self._appeared = True
            self._unavailable_s = 0.0
        self._seen = max(self._seen, live)
        gone = min(before, self.intended, self.expected(before, now)) - live
        if gone >= max(MIN_LOST, LOST_SHARE * before):
            self._limited_until = max(self._limited_until, now + LOST_S)
            self._settles_at = -math.inf
            return "lost"
        if self.ordered is None or self._appeared or now < self._settles_at:
            return ""
        if live >= self.ordered or self.is_limited(now):
            return ""
        self._appeared = True
        self._limit(now)
        return "missing"

    def record(
        self, count: int, outcome: duties.Outcome, boot_s: float, now: float
    ) -> None:
        """Records the outcome of an order of `count` replicas."""
        if outcome in (duties.Outcome.UNKNOWN, duties.Outcome.THROTTLED):
            self._repeat_s = min(MAX_REPEAT_S, max(FIRST_REPEAT_S, 2 * self._repeat_s))
            self._repeat_at = now + self._repeat_s
            if outcome is duties.Outcome.UNKNOWN:
                self.unconfirmed = count
                self._possible = max(self._possible, count)
            return
        self.unconfirmed = None
        self._repeat_s = 0.0
        if outcome is not duties.Outcome.ACCEPTED:
            self._limit(now)
            return
        self.ordered = count
        self._possible = 0
        self._appeared = False
        self._settles_at = now + boot_s + LATE_S

    def _limit(self, now: float) -> None:
        self._unavailable_s = min(
            MAX_UNAVAILABLE_S, max(FIRST_UNAVAILABLE_S, 2 * self._unavailable_s)
        )
        self._limited_until = now + self._unavailable_s
