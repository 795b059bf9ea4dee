"""Numbers in text that another program wrote, such as a header or an address."""

import math
import re

from turmericward.schema import _errors

# Only ASCII digits: Python's conversions also take those of other scripts.
_INT = re.compile(r"-?[0-9]{1,19}", re.ASCII)
_FLOAT = re.compile(r"[+-]?(?:[0-9]+\.?[0-9]*|\.[0-9]+)(?:[eE][+-]?[0-9]+)?", re.ASCII)
_SPACE = " \t"
MAX_CHARS = 400


def parse_int(text: str, low: int, high: int) -> int:
    """Returns the whole number from `low` to `high` in a text.

    Raises:
        SchemaError: the text is no such number.
    """
    text = text.strip(_SPACE)
    value = int(text) if _INT.fullmatch(text) else None
    if value is None or not low <= value <= high:
        raise _errors.SchemaError(_description(text, "a whole number", low, high))
    return value


def parse_float(text: str, low: float, high: float) -> float:
    """Returns the number from `low` to `high` in a text.

    Raises:
        SchemaError: the text is no such number.
    """
    text = text.strip(_SPACE)
    fits = len(text) <= MAX_CHARS and _FLOAT.fullmatch(text)
    value = float(text) if fits else math.nan
    if not low <= value <= high:
        raise _errors.SchemaError(_description(text, "a number", low, high))
    return value


def _description(text: str, kind: str, low: float, high: float) -> str:
    return _errors.printable(
        f"{text[:40]!r} is not {kind} between {low:g} and {high:g}"
    )
