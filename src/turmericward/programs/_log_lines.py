"""Decodes JSON log lines of several processes."""

from collections.abc import Iterable, Iterator

from turmericward import schema

_TEXT_FIELDS = ("time", "message", "instance", "request_id")


def decode(lines: Iterable[str]) -> Iterator[dict]:
    """Yields the fields of each JSON line; skips other lines.

    Args:
        lines: log lines; text before the first brace is ignored.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            # Bytes that aren't UTF-8 may have been read as lone surrogates.
            text = line[start:].encode("utf-8", "replace")
            value = schema.loads(text, "line", any_text=True)
        except schema.SchemaError:
            # The file may contain lines of other programs.
            continue
        if isinstance(value, dict) and _is_line(value):
            yield value


def _is_line(value: dict) -> bool:
    """Returns whether the fields that all lines share are text, if present."""
    return all(isinstance(value.get(name, ""), str) for name in _TEXT_FIELDS)
