"""Groups the log lines of many fronts into one trace per call."""

import datetime
import enum
from collections.abc import Iterable

import attrs

from turmericward.programs import _log_lines


class Outcome(enum.Enum):
    """How a call ended for its client."""

    ON_TIME = "on time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    DISCONNECTED = "client left"
    INCOMPLETE_LOG = "log ends"
    UNREADABLE = "unknown"


_OUTCOME_BY_REPLY = {
    "refused": Outcome.REFUSED,
    "outcome_unknown": Outcome.FAILED,
    "broken": Outcome.FAILED,
    "client_gone": Outcome.DISCONNECTED,
}


@attrs.define(kw_only=True)
class CallTrace:
    """Log lines of one call at the front that handled it, in order of time."""

    request_id: str
    instance: str
    domain: str = ""
    lines: list[dict] = attrs.field(factory=list)

    def events(self, message: str) -> list[dict]:
        """Returns the lines with this message."""
        return [line for line in self.lines if line.get("message") == message]

    @property
    def reply(self) -> dict:
        """The `reply` line at the call's end; empty if the log ends before it."""
        return next(iter(self.events("reply")), {})

    @property
    def route(self) -> str:
        """Name of the call's route; empty if the log ends before the reply."""
        return self.reply.get("route", "")

    @property
    def second(self) -> int:
        """Unix second of the first line."""
        return int(_unix_s(self.lines[0].get("time", "")))

    @property
    def first_late(self) -> bool:
        """Whether the first byte or event missed the route's objective."""
        first_s = self.reply.get("first_s")
        return first_s is not None and first_s > self.reply["objective_s"]

    @property
    def event_late(self) -> bool:
        """Whether the time between two events exceeded the route's bound."""
        pause_s = self.reply.get("pause_s", 0.0)
        return pause_s > self.reply.get("max_pause_s", float("inf"))

    @property
    def outcome(self) -> Outcome:
        """The call's outcome as recorded by this front."""
        reply = self.reply
        if not reply:
            return Outcome.INCOMPLETE_LOG
        if reply["outcome"] in _OUTCOME_BY_REPLY:
            return _OUTCOME_BY_REPLY[reply["outcome"]]
        if reply["status"] >= 500:
            return Outcome.FAILED
        late = self.first_late or self.event_late
        return Outcome.LATE if late else Outcome.ON_TIME


def _unix_s(text: str) -> float:
    try:
        parsed = datetime.datetime.strptime(text, "%Y-%m-%d %H:%M:%S,%f")
    except ValueError:
        return 0.0
    return parsed.replace(tzinfo=datetime.UTC).timestamp()


def call_traces(lines: Iterable[str]) -> list[CallTrace]:
    """Returns the trace of each call in the logs of many fronts."""
    traces: dict[tuple[str, str], CallTrace] = {}
    domains: dict[str, str] = {}
    for line in _log_lines.decode(lines):
        instance = line.get("instance", "")
        if line.get("message") == "front starts":
            domains[instance] = line.get("domain", "")
        request_id = line.get("request_id")
        if request_id is None:
            continue
        key = (instance, request_id)
        if key not in traces:
            traces[key] = CallTrace(request_id=request_id, instance=instance)
        traces[key].lines.append(line)
    for trace in traces.values():
        trace.lines.sort(key=lambda line: line.get("time", ""))
        trace.domain = domains.get(trace.instance, "")
    return list(traces.values())
