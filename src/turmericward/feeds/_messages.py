"""Records of topics, and news of them between fronts."""

import enum

import attrs


class MalformedNewsError(ValueError):
    """Raised when news contradict themselves."""


class Topic(enum.Enum):
    """A topic that fronts tell each other of."""

    CONFIGURATION = 1
    TARGETS = 2


@attrs.frozen(kw_only=True)
class Record:
    """A record of a keyed topic; a value of None ends its key."""

    offset: int
    key: str
    value: bytes | None


@attrs.frozen(kw_only=True)
class News:
    """Everything that a topic gained from offset `start` up to `end`, exclusive.

    `records` are those that changed something, in order. `age_s` is how long ago
    it was known that nothing else stands before `end`. `whole` news start at 0 and
    hold the newest record of every key.
    """

    topic: Topic
    start: int
    end: int
    age_s: float
    records: tuple[Record, ...] = ()
    whole: bool = False

    def __attrs_post_init__(self) -> None:
        """Checks the offsets.

        Raises:
            MalformedNewsError: they aren't in order, or the age is negative.
        """
        offsets = [self.start - 1, *(r.offset for r in self.records), self.end]
        if self.start < 0 or self.start > self.end or self.age_s < 0:
            raise MalformedNewsError(f"{self.start} to {self.end}, {self.age_s} s old")
        if any(a >= b for a, b in zip(offsets, offsets[1:], strict=False)):
            raise MalformedNewsError(f"offsets {offsets} aren't in order")


@attrs.frozen(kw_only=True)
class Followed:
    """A stretch of a topic that was read, or told by a peer.

    `as_of` is the steady time at which nothing stood behind `end` for sure. Of a
    `whole` stretch the records are the newest of every key.
    """

    topic: Topic
    start: int
    end: int
    as_of: float
    records: tuple[Record, ...] = ()
    whole: bool = False
