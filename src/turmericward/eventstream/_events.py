"""Incremental parser of server-sent events."""

import re

import attrs

from turmericward.adapters import event_buffer

_CONTROLS = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")
EVENT_END = event_buffer.EVENT_END
# Longer ids aren't treated as event numbers.
MAX_EVENT_NUMBER_DIGITS = 40


def number_of(event_id: str) -> int | None:
    """Returns an event's id as a number; None if it isn't one."""
    if len(event_id) > MAX_EVENT_NUMBER_DIGITS or not event_id.isascii():
        return None
    return int(event_id) if event_id.isdigit() else None


@attrs.frozen(kw_only=True)
class Event:
    """One event with its raw bytes; `id` is empty if it has none."""

    id: str
    raw: bytes

    @property
    def number(self) -> int | None:
        """The event's id as a number; None if it isn't one."""
        return number_of(self.id)

    @property
    def data(self) -> bytes:
        """The first line of the event's data."""
        return _field(self.raw, b"data")

    @property
    def is_text(self) -> bool:
        """Whether it is text without control characters, as events are."""
        if _CONTROLS.search(self.raw):
            return False
        try:
            self.raw.decode("utf-8")
        except UnicodeDecodeError:
            return False
        return True

    @property
    def has_data(self) -> bool:
        """Whether it is an event, rather than a comment or an empty line."""
        lines = self.raw.split(b"\n")
        return any(line.partition(b":")[0] == b"data" for line in lines)


def _field(raw: bytes, wanted: bytes) -> bytes:
    for line in raw.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == wanted:
            return value.strip()
    return b""


class EventParser:
    """Buffers bytes and returns the events that are complete."""

    def __init__(self) -> None:
        """Creates the parser with an empty buffer."""
        self._buffer = event_buffer.EventBuffer()

    def feed(self, data: bytes) -> list[Event]:
        """Adds received bytes; returns the events that they complete.

        Raises:
            AnswerLostError: an event is too long.
        """
        return [
            Event(id=_field(raw, b"id").decode("latin-1"), raw=raw + EVENT_END)
            for raw in self._buffer.feed(data)
        ]

    @property
    def size(self) -> int:
        """Bytes of the event that has begun."""
        return self._buffer.size

    @property
    def incomplete(self) -> bool:
        """Whether an event has begun and not ended."""
        return self._buffer.incomplete
