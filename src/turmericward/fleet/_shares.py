"""Each front's share of a rate that holds for all fronts together.

Load pattern handled: a target that takes a few requests a second from 6 to hundreds
of fronts, each of which would stay below that alone. Not only the rates of the
fronts add up, but also what each of them may send at once. So the sum of both is
divided, among as many fronts as can send one request each; with more fronts than
that, the same ones are chosen everywhere by rendezvous hashing.
"""

import hashlib

import attrs

# Requests that all fronts together may send to a target at once: what it takes in
# this time, and a fixed number.
BURST_S = 1.5
BASE_BURST = 3.75
# Rate of all fronts together below which no limit goes, so that an answer can show
# that the limit has ended.
MIN_RATE_PER_S = 0.2
# Number of fronts assumed before the store has listed them: that of a large fleet,
# all of whose fronts may start at the same time.
UNLISTED_FLEET_SIZE = 460


@attrs.frozen(kw_only=True)
class Share:
    """One front's share of a limit: requests a second, and at once.

    `phase`, from 0 to 1, differs between the fronts that share a limit, so that
    they take turns.
    """

    per_s: float
    burst: float
    phase: float = 0.0


NO_SHARE = Share(per_s=0.0, burst=0.0)


def _weight(target: str, front: str) -> bytes:
    return hashlib.blake2b(f"{target}/{front}".encode(), digest_size=8).digest()


class Members:
    """The fronts that share the targets, as this front knows them."""

    def __init__(self, front: str) -> None:
        """Starts with this front alone, and no knowledge of the others."""
        self._front = front
        self._names = frozenset((front,))
        self._listed = False
        self._min_count = 0
        self._ranks: dict[str, int] = {}

    def set_names(self, names: frozenset[str]) -> bool:
        """Replaces the names of all known fronts; returns whether they changed."""
        names |= {self._front}
        if self._listed and names == self._names:
            return False
        self._names = names
        self._listed = True
        self._ranks.clear()
        return True

    def set_min_count(self, count: int) -> bool:
        """Sets how many fronts there are at least; returns whether that changed."""
        if count == self._min_count:
            return False
        self._min_count = count
        return True

    @property
    def count(self) -> int:
        """Number of fronts, a guess that errs on the high side where unsure."""
        assumed = 0 if self._listed else UNLISTED_FLEET_SIZE
        return max(len(self._names), self._min_count, assumed)

    def share(self, target: str, per_s: float) -> Share:
        """Returns this front's share of a target's limit.

        A front that knows only a part of the others ranks itself among these, and
        counts on being chosen as much more rarely.

        Args:
            target: name of the target.
            per_s: requests a second from all fronts.
        """
        per_s = max(per_s, MIN_RATE_PER_S)
        burst = BURST_S * per_s + BASE_BURST
        chosen = min(self.count, int(burst))
        chosen_of_known = chosen * len(self._names) // self.count
        rank = self._rank(target)
        if chosen < self.count and rank >= chosen_of_known:
            return NO_SHARE
        return Share(
            per_s=per_s / chosen, burst=burst / chosen, phase=rank % chosen / chosen
        )

    def rank(self, key: str) -> int:
        """Returns how many fronts are chosen for a key before this one."""
        own = _weight(key, self._front)
        return sum(_weight(key, f) < own for f in self._names)

    def _rank(self, target: str) -> int:
        if target not in self._ranks:
            self._ranks[target] = self.rank(target)
        return self._ranks[target]

    def forget(self, target: str) -> None:
        """Drops what is cached for a target."""
        self._ranks.pop(target, None)
