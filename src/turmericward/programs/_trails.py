"""Puts together what the log lines of many fronts say of each call."""

import datetime
import enum
from collections.abc import Iterable

import attrs

from turmericward.programs import _log_lines


class Outcome(enum.Enum):
    """What a call's client got."""

    ON_TIME = "on time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "client left"
    CUT = "log ends"


_ENDINGS = {
    "refused": Outcome.REFUSED,
    "outcome_unknown": Outcome.FAILED,
    "broken": Outcome.FAILED,
    "client_gone": Outcome.LEFT,
}


@attrs.define(kw_only=True)
class Trail:
    """The log lines of one call, in order, by the front that took it."""

    request_id: str
    instance: str
    domain: str = ""
    lines: list[dict] = attrs.field(factory=list)

    def named(self, message: str) -> list[dict]:
        """Returns the lines with this message."""
        return [line for line in self.lines if line["message"] == message]

    @property
    def reply(self) -> dict:
        """The line of the call's end; empty if the log ends before it."""
        return next(iter(self.named("reply")), {})

    @property
    def route(self) -> str:
        """Name of the call's route, empty if the log ends before it."""
        return self.reply.get("route", "")

    @property
    def second(self) -> int:
        """Unix second of the first line."""
        return int(_unix_s(self.lines[0].get("time", "")))

    @property
    def first_late(self) -> bool:
        """Whether the first byte or event came after the route's objective."""
        first_s = self.reply.get("first_s")
        return first_s is not None and first_s > self.reply["objective_s"]

    @property
    def pause_late(self) -> bool:
        """Whether a pause between events was longer than the route's bound."""
        pause_s = self.reply.get("pause_s", 0.0)
        return pause_s > self.reply.get("max_pause_s", float("inf"))

    @property
    def outcome(self) -> Outcome:
        """What the client got, as far as this front knows."""
        reply = self.reply
        if not reply:
            return Outcome.CUT
        if reply["outcome"] in _ENDINGS:
            return _ENDINGS[reply["outcome"]]
        if reply["status"] >= 500:
            return Outcome.FAILED
        late = self.first_late or self.pause_late
        return Outcome.LATE if late else Outcome.ON_TIME


def _unix_s(text: str) -> float:
    try:
        found = datetime.datetime.strptime(text, "%Y-%m-%d %H:%M:%S,%f")
    except ValueError:
        return 0.0
    return found.replace(tzinfo=datetime.UTC).timestamp()


def trails(lines: Iterable[str]) -> list[Trail]:
    """Returns the trail of each call in the logs of many fronts."""
    found: dict[tuple[str, str], Trail] = {}
    domains: dict[str, str] = {}
    for line in _log_lines.decoded(lines):
        instance = line.get("instance", "")
        if line.get("message") == "front starts":
            domains[instance] = line.get("domain", "")
        request_id = line.get("request_id")
        if request_id is None:
            continue
        key = (instance, request_id)
        if key not in found:
            found[key] = Trail(request_id=request_id, instance=instance)
        found[key].lines.append(line)
    for trail in found.values():
        trail.lines.sort(key=lambda line: line.get("time", ""))
        trail.domain = domains.get(trail.instance, "")
    return list(found.values())
