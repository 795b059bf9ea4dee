"""Splits a stream of server-sent events into whole events."""

from turmericward.adapters import errors

EVENT_END = b"\n\n"
# Bounds the bytes that are buffered for an event that never ends.
MAX_EVENT_BYTES = 1024 * 1024


class EventBuffer:
    """Buffers bytes and returns the events that are complete."""

    def __init__(self) -> None:
        """Creates an empty buffer."""
        self._incomplete = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Adds received bytes; returns the events that they complete, without end.

        Raises:
            AnswerLostError: an event exceeds `MAX_EVENT_BYTES`.
        """
        # Its first byte may have come before.
        start = max(0, len(self._incomplete) - len(EVENT_END) + 1)
        self._incomplete += data
        end = self._incomplete.rfind(EVENT_END, start)
        complete = []
        if end >= 0:
            complete = bytes(self._incomplete[:end]).split(EVENT_END)
            del self._incomplete[: end + len(EVENT_END)]
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise errors.AnswerLostError(
                f"event exceeds the byte limit of {MAX_EVENT_BYTES}"
            )
        return complete

    @property
    def size(self) -> int:
        """Bytes of the event that has begun."""
        return len(self._incomplete)

    @property
    def incomplete(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._incomplete)
