"""A position in a topic of the store."""

import attrs

# A number holds the era above this many bits of the offset. Up to `MAX_ERA` it is below
# 2**53, so that JSON decoders that use floating point keep it exact.
OFFSET_BITS = 40


@attrs.frozen(order=True)
class Position:
    """A position in a topic; each era of the store gives out the offsets anew."""

    era: int
    offset: int

    def plus(self, records: int) -> "Position":
        """Returns the position this many records later, in the same era."""
        return attrs.evolve(self, offset=self.offset + records)

    @property
    def number(self) -> int:
        """The position as one number, which orders like it; in era 0 the offset."""
        return (self.era << OFFSET_BITS) + self.offset


def from_number(number: int) -> Position:
    """Returns the position with this number."""
    era = number >> OFFSET_BITS
    return Position(era, number - (era << OFFSET_BITS))
