"""Server-sent events: their parser, and which of them a client gets."""

from turmericward.eventstream._errors import EventOrderError
from turmericward.eventstream._events import EVENT_END, Event, EventParser
from turmericward.eventstream._sequence import EventSequence

__all__ = [
    "EVENT_END",
    "Event",
    "EventOrderError",
    "EventParser",
    "EventSequence",
]
