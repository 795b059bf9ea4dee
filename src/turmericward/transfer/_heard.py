"""Whether the loads of a domain's targets are still reported."""

import attrs

# Without this part of the calls counted before, the domain's fronts aren't heard.
HEARD_PART = 0.5
# Fronts that restarted count from 0; the lower count is taken as theirs after this
# time. Calls into a partition that lasts longer fail, and targets are ejected for it.
RECOUNT_S = 30.0


@attrs.define
class _Count:
    highest: int
    at: float


class Heard:
    """Tells from the peers' counts of ended calls whether a domain is heard from.

    A front behind a relay gets one sum of all domains' loads. When a domain is cut
    off, the counts of its fronts drop out of the sum.
    """

    def __init__(self) -> None:
        """Starts without counts."""
        self._counts: dict[str, _Count] = {}

    def update(self, domain: str, ended_calls: int, now: float) -> bool:
        """Returns whether the domain is heard from.

        Args:
            domain: name of the domain.
            ended_calls: calls at its targets that peers count as ended.
            now: monotonic seconds.
        """
        count = self._counts.setdefault(domain, _Count(highest=ended_calls, at=now))
        # A domain without clients may have no calls at all, and has room for others.
        heard = ended_calls >= HEARD_PART * count.highest
        if heard or now - count.at > RECOUNT_S:
            count.highest = ended_calls
            count.at = now
        return heard
