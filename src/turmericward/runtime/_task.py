"""Tasks: a message loop and a plain loop, each run by one thread."""

import queue
import threading
import time
from concurrent import futures

import attrs

from turmericward.runtime import _errors

DEFAULT_TICK_S = 0.1


@attrs.frozen
class _Envelope:
    message: object
    fut: futures.Future | None


_STOP = _Envelope(None, None)


def _chain(inner: futures.Future, outer: futures.Future) -> None:
    def forward(done: futures.Future) -> None:
        exc = done.exception()
        if exc is not None:
            outer.set_exception(exc)
        else:
            outer.set_result(done.result())

    inner.add_done_callback(forward)


class Task:
    """Owns state that only its own thread touches; others send it messages.

    Subclasses override `handle`, commonly by `functools.singledispatchmethod`,
    and `tick`, which is called about every `tick_s` seconds; a message may lower
    that for what has become due sooner.
    """

    tick_s = DEFAULT_TICK_S

    def __init__(self) -> None:
        """Creates the task with an empty inbox."""
        self._inbox: queue.SimpleQueue[_Envelope] = queue.SimpleQueue()
        self._stopped = threading.Event()

    def post(self, message: object) -> None:
        """Sends a message that needs no answer."""
        self._inbox.put(_Envelope(message, None))

    def ask(self, message: object) -> futures.Future:
        """Sends a message; the future gets what `handle` returns for it.

        When `handle` returns a future, the answer is that future's result.
        """
        fut: futures.Future = futures.Future()
        if self._stopped.is_set():
            fut.set_exception(_errors.TaskStoppedError(type(self).__name__))
        else:
            self._inbox.put(_Envelope(message, fut))
        return fut

    def stop(self) -> None:
        """Ends the loop after the messages that are already in the inbox."""
        self._inbox.put(_STOP)

    def run(self) -> None:
        """Handles messages until `stop`; called by the task's thread."""
        next_tick = time.monotonic()
        while True:
            wait_s = max(0.0, next_tick - time.monotonic())
            envelope = self._take(wait_s)
            if envelope is _STOP:
                break
            if envelope is not None:
                self._deliver(envelope)
                next_tick = min(next_tick, time.monotonic() + self.tick_s)
            if time.monotonic() >= next_tick:
                self.tick()
                next_tick = time.monotonic() + self.tick_s
        self._stopped.set()
        self.closed()
        self._refuse_rest()

    def _take(self, wait_s: float) -> _Envelope | None:
        try:
            return self._inbox.get(timeout=wait_s)
        except queue.Empty:
            return None

    def _deliver(self, envelope: _Envelope) -> None:
        if envelope.fut is None:
            self.handle(envelope.message)
            return
        try:
            answer = self.handle(envelope.message)
        except Exception as exc:
            envelope.fut.set_exception(exc)
            raise
        if isinstance(answer, futures.Future):
            _chain(answer, envelope.fut)
        else:
            envelope.fut.set_result(answer)

    def _refuse_rest(self) -> None:
        while not self._inbox.empty():
            fut = self._inbox.get().fut
            if fut is not None:
                fut.set_exception(_errors.TaskStoppedError(type(self).__name__))

    def handle(self, message: object) -> object:
        """Acts on one message; the return value answers `ask`."""
        raise NotImplementedError(f"no handler for {type(message).__name__}")

    def tick(self) -> None:
        """Does what is due by time."""

    def closed(self) -> None:
        """Releases what the task owns, after its last message."""


class Loop:
    """Repeats `step` in a thread of its own until it is stopped."""

    def __init__(self) -> None:
        """Creates the loop, not yet running."""
        self._stopping = threading.Event()

    def stop(self) -> None:
        """Ends the loop after the current step."""
        self._stopping.set()

    def pause(self, seconds: float) -> None:
        """Waits, but no longer than until `stop`."""
        self._stopping.wait(seconds)

    @property
    def stopping(self) -> bool:
        """Tells whether `stop` was called."""
        return self._stopping.is_set()

    def run(self) -> None:
        """Repeats `step`; called by the loop's thread."""
        while not self._stopping.is_set():
            self.step()
        self.closed()

    def step(self) -> None:
        """Does one round of the work."""
        raise NotImplementedError

    def closed(self) -> None:
        """Releases what the loop owns, after its last step."""
