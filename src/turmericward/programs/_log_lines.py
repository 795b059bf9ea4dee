"""Decodes JSON log lines of several processes."""

import json
from collections.abc import Iterable, Iterator


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
            value = json.loads(line[start:])
        except ValueError:
            # The file may contain lines of other programs.
            continue
        if isinstance(value, dict):
            yield value
