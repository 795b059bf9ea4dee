"""Reads the JSON log lines of several processes."""

import json
from collections.abc import Iterable, Iterator


def decoded(lines: Iterable[str]) -> Iterator[dict]:
    """Yields the fields of each JSON line; other lines are passed over.

    Args:
        lines: log lines, also with text before the first brace.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            value = json.loads(line[start:])
        except ValueError:
            # Lines of other programs may stand in the same file.
            continue
        if isinstance(value, dict):
            yield value
