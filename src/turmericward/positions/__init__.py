"""Positions in the topics of the store, in the eras in which it gives them out."""

from turmericward.positions._eras import MAX_ERA, Eras, InvalidEraError
from turmericward.positions._position import OFFSET_BITS, Position, from_number

__all__ = [
    "MAX_ERA",
    "OFFSET_BITS",
    "Eras",
    "InvalidEraError",
    "Position",
    "from_number",
]
