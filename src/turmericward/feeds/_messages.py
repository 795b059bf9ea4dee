"""Records of topics, and the batches of them that fronts exchange."""

import enum

import attrs

from turmericward import positions


class MalformedBatchError(ValueError):
    """Raised when the offsets or the age of a record batch are inconsistent."""


class Topic(enum.Enum):
    """A topic whose records fronts exchange."""

    CONFIGURATION = 1
    TARGETS = 2


@attrs.frozen(kw_only=True)
class Record:
    """A record of a keyed topic; a value of None deletes its key.

    The era of `offset` is that of the listing, batch or range with the record.
    """

    offset: int
    key: str
    value: bytes | None


# Key of a record that can't be used; no usable record has it.
BLANK_KEY = ""


def blank_record(offset: int) -> Record:
    """Returns a record that stands for one that can't be used."""
    return Record(offset=offset, key=BLANK_KEY, value=None)


@attrs.frozen(kw_only=True)
class RecordBatch:
    """Changes of a topic from `start` up to `end`, exclusive, of the same era.

    `records` are those that changed a value, in order. `age_s` is the time since the
    topic was known to end at `end`. A `full` batch starts at offset 0 and holds the
    newest record of every key.
    """

    topic: Topic
    start: positions.Position
    end: positions.Position
    age_s: float
    records: tuple[Record, ...] = ()
    full: bool = False

    def __attrs_post_init__(self) -> None:
        """Checks the positions.

        Raises:
            MalformedBatchError: they are of two eras or aren't in order, or the age
                is negative.
        """
        start, end = self.start.offset, self.end.offset
        offsets = [start - 1, *(r.offset for r in self.records), end]
        one_era = self.start.era == self.end.era >= 0
        if not one_era or start < 0 or start > end or self.age_s < 0:
            raise MalformedBatchError(
                f"batch from {self.start} to {self.end}, {self.age_s} s old"
            )
        if any(a >= b for a, b in zip(offsets, offsets[1:], strict=False)):
            raise MalformedBatchError(f"offsets {offsets} aren't in order")


@attrs.frozen(kw_only=True)
class TopicRange:
    """A range of a topic that was read or received from a peer.

    `as_of` is the latest monotonic time at which the topic is known to have ended at
    `end`. A `full` range holds the newest record of every key.
    """

    topic: Topic
    start: positions.Position
    end: positions.Position
    as_of: float
    records: tuple[Record, ...] = ()
    full: bool = False
