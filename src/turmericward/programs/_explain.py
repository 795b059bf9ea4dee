"""Collects what several processes logged about one request."""

from collections.abc import Iterable

from turmericward.programs import _log_lines

_COMMON = frozenset({"time", "level", "message", "program", "instance", "request_id"})


def explain(request_id: str, lines: Iterable[str]) -> list[str]:
    """Returns one line for each decision about a request, in order of time.

    Args:
        request_id: the id sent by the client or returned in the response.
        lines: JSON log lines; text before the first brace is ignored.
    """
    events = [v for v in _log_lines.decode(lines) if v.get("request_id") == request_id]
    events.sort(key=lambda value: value.get("time", ""))
    return [_format(value) for value in events]


def _format(value: dict) -> str:
    details = ", ".join(
        f"{name}={value[name]}" for name in value if name not in _COMMON
    )
    time, instance = value.get("time", ""), value.get("instance", "")
    return f"{time} {instance} {value.get('message', '')}: {details}"
