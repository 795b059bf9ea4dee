"""Cuts a stream of server-sent events into whole events."""

import attrs

from turmericward.adapters import errors

EVENT_END = b"\n\n"
# A longer event is taken for bytes that never become one.
MAX_EVENT_BYTES = 1024 * 1024
# Longer ids aren't numbers of events.
MAX_NUMBER_DIGITS = 18


@attrs.frozen(kw_only=True)
class Event:
    """One event with the bytes it came as; `id` is empty if it has none."""

    id: str
    raw: bytes

    @property
    def number(self) -> int | None:
        """The event's number; None if its id isn't one."""
        if len(self.id) > MAX_NUMBER_DIGITS or not self.id.isascii():
            return None
        return int(self.id) if self.id.isdigit() else None

    @property
    def data(self) -> bytes:
        """The event's data, of one line."""
        return _field(self.raw, b"data")


def _field(raw: bytes, wanted: bytes) -> bytes:
    for line in raw.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == wanted:
            return value.strip()
    return b""


class EventCutter:
    """Collects bytes and hands out the events that are whole."""

    def __init__(self) -> None:
        """Creates the cutter without bytes."""
        self._rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Takes bytes as they came; returns the events that they complete.

        Raises:
            AnswerLostError: an event goes on beyond what is taken.
        """
        *whole, self._rest = (self._rest + data).split(EVENT_END)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise errors.AnswerLostError(f"event is longer than {MAX_EVENT_BYTES}")
        return [
            Event(id=_field(raw, b"id").decode("latin-1"), raw=raw + EVENT_END)
            for raw in whole
        ]

    @property
    def rest(self) -> bytes:
        """Bytes of an event that isn't complete."""
        return self._rest
