"""Collects what several processes logged about one request."""

from collections.abc import Iterable

from turmericward.programs import _log_lines

_COMMON = frozenset({"time", "level", "message", "program", "instance", "request_id"})
# Lines that end the trail of a request at an instance.
_FINAL_MESSAGES = frozenset({"reply", "request", "refusal"})
_START_MESSAGE = "front starts"


def explain(request_id: str, lines: Iterable[str]) -> list[str]:
    """Returns one line for each decision about a request, in order of time.

    If an instance has no line for the end of the request, one more line tells how its
    log goes on: the process may have been killed, or have been restarted since.

    Args:
        request_id: the id sent by the client or returned in the response.
        lines: JSON log lines; text before the first brace is ignored.
    """
    events = []
    # The line after which nothing more is known, by instance: its last one, or the last
    # one before a restart.
    last_lines: dict[str, dict] = {}
    open_at: set[str] = set()
    restarted: set[str] = set()
    for value in _log_lines.decode(lines):
        instance = value.get("instance", "")
        if value.get("request_id") == request_id:
            events.append(value)
            final = value.get("message", "") in _FINAL_MESSAGES
            (open_at.discard if final else open_at.add)(instance)
        if instance in open_at and value.get("message") == _START_MESSAGE:
            restarted.add(instance)
        if instance not in restarted:
            last_lines[instance] = value
    events.sort(key=lambda value: value.get("time", ""))
    ends = [
        _format_end(last_lines[instance], restarted=instance in restarted)
        for instance in sorted(open_at)
    ]
    return [_format(value) for value in events] + ends


def _format(value: dict) -> str:
    details = ", ".join(
        f"{name}={value[name]}" for name in value if name not in _COMMON
    )
    time, instance = value.get("time", ""), value.get("instance", "")
    return f"{time} {instance} {value.get('message', '')}: {details}"


def _format_end(last_line: dict, *, restarted: bool) -> str:
    time, instance = last_line.get("time", ""), last_line.get("instance", "")
    what = "process was restarted" if restarted else "log ends"
    message = last_line.get("message", "")
    return f"{time} {instance} no end of the request: {what} after {message!r}"
