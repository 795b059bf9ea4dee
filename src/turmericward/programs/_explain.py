"""Finds what the log lines of several processes say of one request."""

import json
from collections.abc import Iterable, Iterator

_COMMON = frozenset({"time", "level", "message", "program", "instance", "request_id"})


def _decoded(lines: Iterable[str]) -> Iterator[dict]:
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


def explain(request_id: str, lines: Iterable[str]) -> list[str]:
    """Returns one sentence for each decision on a request, in order of time.

    Args:
        request_id: the id that the client sent, or that the answer bore.
        lines: JSON log lines, also with text before the first brace.
    """
    found = [v for v in _decoded(lines) if v.get("request_id") == request_id]
    found.sort(key=lambda value: value.get("time", ""))
    return [_sentence(value) for value in found]


def _sentence(value: dict) -> str:
    details = ", ".join(
        f"{name}={value[name]}" for name in value if name not in _COMMON
    )
    when, where = value.get("time", ""), value.get("instance", "")
    return f"{when} {where} {value.get('message', '')}: {details}"
