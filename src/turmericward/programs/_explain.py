"""Finds what the log lines of several processes say of one request."""

from collections.abc import Iterable

from turmericward.programs import _log_lines

_COMMON = frozenset({"time", "level", "message", "program", "instance", "request_id"})


def explain(request_id: str, lines: Iterable[str]) -> list[str]:
    """Returns one sentence for each decision on a request, in order of time.

    Args:
        request_id: the id that the client sent, or that the answer bore.
        lines: JSON log lines, also with text before the first brace.
    """
    found = [v for v in _log_lines.decoded(lines) if v.get("request_id") == request_id]
    found.sort(key=lambda value: value.get("time", ""))
    return [_sentence(value) for value in found]


def _sentence(value: dict) -> str:
    details = ", ".join(
        f"{name}={value[name]}" for name in value if name not in _COMMON
    )
    when, where = value.get("time", ""), value.get("instance", "")
    return f"{when} {where} {value.get('message', '')}: {details}"
