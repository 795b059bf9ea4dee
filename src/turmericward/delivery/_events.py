"""Cuts a stream of server-sent events into whole events."""

import attrs

EVENT_END = b"\n\n"


@attrs.frozen(kw_only=True)
class Event:
    """One event with the bytes it came as; `id` is empty if it has none."""

    id: str
    raw: bytes

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
        """Takes bytes as they came; returns the events that they complete."""
        *whole, self._rest = (self._rest + data).split(EVENT_END)
        return [
            Event(id=_field(raw, b"id").decode("latin-1"), raw=raw + EVENT_END)
            for raw in whole
        ]

    @property
    def rest(self) -> bytes:
        """Bytes of an event that isn't complete."""
        return self._rest
