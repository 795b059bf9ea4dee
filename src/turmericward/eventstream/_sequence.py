"""Which events of a stream its client gets, by their ids; without input or output.

Load pattern handled: targets that spoil ids, repeat events or begin a stream anew,
beside targets that go on where another one has left off.
"""

from turmericward.eventstream import _errors, _events


class EventSequence:
    """The ids of a stream, over the runs at the targets that answer it in turn.

    Within one run numbers only rise: one that doesn't is spoiled, or the one before it
    was. Only where they are consecutive, so that a lost event shows, one may come twice
    in a row. Events that the client has are dropped at the beginning of a run that goes
    on for another one. What has no number is passed on in a first run only, and ends
    the time in which another run can go on.
    """

    def __init__(self, last_id: str = "") -> None:
        """Creates the sequence.

        Args:
            last_id: the last id that the client has, or empty.
        """
        self.last_id = last_id
        # Whether another run can go on after the last id.
        self.resumable = True
        # None if the id of the last event isn't a number.
        self._number = _events.number_of(last_id)
        # The last number of this run, dropped events included.
        self._run_number: int | None = None
        self._run_event = b""
        # By how much the last id exceeds the one before; None before the first event.
        self._step: int | None = None
        # Whether larger steps than 1 are known to be usual.
        self._gaps_usual = False
        self._consecutive = False
        # Whether this run goes on after an event with a number.
        self._continues = False
        # Whether it goes on after an id that may be spoiled, so far without an event.
        self._unconfirmed = False

    def begin_run(self, *, consecutive: bool) -> None:
        """Begins the next run.

        Args:
            consecutive: whether its numbers are consecutive.
        """
        self._run_number, self._run_event = None, b""
        self._consecutive = consecutive
        self._unconfirmed = not self._is_last_likely
        self._continues = self._number is not None

    @property
    def _is_last_likely(self) -> bool:
        return self._follows_directly or self._gaps_usual

    @property
    def _follows_directly(self) -> bool:
        return self._step is None or self._step <= 1

    def accept(self, event: _events.Event) -> bool:
        """Takes the next event of the run; returns whether the client gets it.

        Raises:
            EventOrderError: the run is broken before it.
        """
        if not event.is_text:
            raise _errors.EventOrderError("bytes that are no event")
        if event.number is not None:
            return self._accept_number(event, event.number)
        if event.has_data:
            self._accept_unnumbered()
        return True

    def _accept_unnumbered(self) -> None:
        if self._continues:
            raise _errors.EventOrderError("event without number in a resumed stream")
        self.resumable = False

    def _accept_number(self, event: _events.Event, number: int) -> bool:
        if self._consecutive and event.raw == self._run_event:
            return False
        if self._run_number is not None and number <= self._run_number:
            # Which of the two is spoiled shows if the one before was the next.
            self.resumable = self.resumable and self._follows_directly
            raise _errors.EventOrderError(f"id {number} after {self._run_number}")
        self._run_number, self._run_event = number, event.raw
        last = self._number or 0
        if self._continues and number <= last:
            return False
        if self._consecutive and number > last + 1:
            raise _errors.EventOrderError(f"missing events before {number}")
        self._deliver(event, number - last)
        self._number = number
        return True

    def _deliver(self, event: _events.Event, step: int) -> None:
        # An id that is followed by a higher one was no spoiled one.
        self._gaps_usual = self._gaps_usual or not self._follows_directly
        self._step = step
        self.last_id = event.id
        self._unconfirmed = False

    def end_run(self) -> None:
        """Ends a run that seems complete.

        Raises:
            EventOrderError: it isn't known whether the client has all events.
        """
        if self._unconfirmed:
            self.resumable = False
            raise _errors.EventOrderError(f"no event after {self.last_id}")
