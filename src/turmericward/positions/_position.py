"""A position in a topic of the store."""

import attrs


@attrs.frozen(order=True)
class Position:
    """A position in a topic; each era of the store gives out the offsets anew."""

    era: int
    offset: int

    def plus(self, records: int) -> "Position":
        """Returns the position this many records later, in the same era."""
        return attrs.evolve(self, offset=self.offset + records)
