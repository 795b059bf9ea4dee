"""Decodes JSON that another program wrote, within limits that later code relies on.

A decoded value can be encoded again: as JSON, in UTF-8, and in binary formats with
whole numbers of 64 bits.
"""

import itertools
import json
import math
import re

from turmericward.schema import _errors

MAX_BYTES = 16 * 1024 * 1024
MAX_DEPTH = 64
MIN_INT = -(2**63)
MAX_INT = 2**63 - 1
# Also bounds the time of the conversion, which rises with the square of the length.
MAX_NUMBER_CHARS = 400
MAX_QUOTED_CHARS = 40

_STRING = re.compile(rb'"(?:[^"\\]++|\\.)*+"?', re.DOTALL)
_NOT_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))
_DEPTH_CHANGE = {ord("["): 1, ord("{"): 1, ord("]"): -1, ord("}"): -1}


class _InvalidError(ValueError):
    """Raised inside this module; its text is the reason."""


def _parse_int(text: str) -> int:
    if len(text) > MAX_NUMBER_CHARS:
        raise _InvalidError(f"has a number of {len(text)} digits")
    value = int(text)
    if not MIN_INT <= value <= MAX_INT:
        raise _InvalidError(f"has {text[:MAX_QUOTED_CHARS]}, beyond 64 bits")
    return value


def _parse_float(text: str) -> float:
    if len(text) > MAX_NUMBER_CHARS:
        raise _InvalidError(f"has a number of {len(text)} digits")
    value = float(text)
    if not math.isfinite(value):
        raise _InvalidError(f"has {text[:MAX_QUOTED_CHARS]}, which is not finite")
    return value


def _parse_object(pairs: list[tuple[str, object]]) -> dict:
    value = dict(pairs)
    if len(value) < len(pairs):
        seen: set[str] = set()
        # `add` returns None, so the first name that was there before ends the search.
        name = next(n for n, _ in pairs if n in seen or seen.add(n))
        raise _InvalidError(f"has two values of {name[:MAX_QUOTED_CHARS]!r}")
    return value


_DECODER = json.JSONDecoder(
    object_pairs_hook=_parse_object,
    parse_int=_parse_int,
    parse_float=_parse_float,
    # Called with NaN, Infinity and -Infinity.
    parse_constant=_parse_float,
)


def _check_depth(raw: bytes) -> None:
    """Raises an error if containers are nested too deeply, without recursion."""
    # Most records have fewer brackets than that.
    if raw.count(b"[") + raw.count(b"{") <= MAX_DEPTH:
        return
    brackets = _STRING.sub(b"", raw).translate(None, _NOT_BRACKETS)
    changes = map(_DEPTH_CHANGE.__getitem__, brackets)
    if max(itertools.accumulate(changes), default=0) > MAX_DEPTH:
        raise _InvalidError(f"is nested more than {MAX_DEPTH} deep")


def _loads(raw: bytes | str, max_bytes: int, *, any_text: bool) -> object:
    data = raw.encode() if isinstance(raw, str) else raw
    if len(data) > max_bytes:
        raise _InvalidError(f"is longer than {max_bytes} bytes")
    _check_depth(data)
    value = _DECODER.decode(str(data, "utf-8"))
    if not any_text and rb"\u" in data:
        # Escapes of lone surrogates are JSON, but not text.
        _check_text(json.dumps(value, ensure_ascii=False))
    return value


def _check_text(text: str) -> None:
    try:
        text.encode()
    except UnicodeEncodeError as exc:
        raise _InvalidError("has text that can't be encoded") from exc


def loads(
    raw: bytes | str,
    root: str,
    *,
    max_bytes: int = MAX_BYTES,
    any_text: bool = False,
) -> object:
    """Decodes JSON in UTF-8.

    Args:
        raw: the JSON.
        root: names the value in errors.
        max_bytes: longest accepted JSON.
        any_text: whether strings may contain lone surrogates.

    Raises:
        SchemaError: it isn't JSON in UTF-8.
        LimitError: it is beyond the limits of this module: too long, too deep, a
            number that isn't finite or a whole one beyond 64 bits, a name that is
            repeated in an object, text that can't be encoded.

    .. versionadded:: 0.1.0
    """
    try:
        return _loads(raw, max_bytes, any_text=any_text)
    except _InvalidError as exc:
        reason = _errors.printable(f"{root}: {exc}")
        raise _errors.LimitError(reason) from exc
    # The bytes are foreign: whatever fails inside is a fault of theirs.
    except Exception as exc:
        raise _errors.SchemaError(f"{root}: {_reason(exc)}") from exc


def _reason(exc: Exception) -> str:
    if isinstance(exc, UnicodeError):
        return "has text that is not UTF-8"
    if isinstance(exc, json.JSONDecodeError):
        return f"is not JSON: {exc}"
    return f"is not JSON: {_errors.printable(repr(exc))}"
