"""Positions in the topics of the store, in the eras in which it gives them out."""

from turmericward.positions._eras import MAX_ERA, Eras, InvalidEraError
from turmericward.positions._position import Position

__all__ = ["MAX_ERA", "Eras", "InvalidEraError", "Position"]
