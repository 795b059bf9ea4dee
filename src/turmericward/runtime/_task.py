"""Base classes of tasks: a message loop and a plain loop, one thread each."""

import queue
import threading
import time
from concurrent import futures

import attrs
from absl import logging

from turmericward.runtime import _errors

DEFAULT_PERIOD_S = 0.1
# So many failures in a row of one class of messages are a fault of their handler.
MAX_FAILURES_IN_A_ROW = 100
# Pause of a loop after an answer that came too late.
LATE_ANSWER_PAUSE_S = 0.2
# Pause of a loop after a failure that is tolerated.
FAILURE_PAUSE_S = 1.0


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
    """Actor whose state is accessed by its own thread only, through messages.

    Subclasses override `handle`, usually with `functools.singledispatchmethod`,
    and `run_periodic`, which is called about every `period_s` seconds. A handler may
    lower `period_s` to get the next call earlier.
    """

    period_s = DEFAULT_PERIOD_S
    # Classes of messages that carry what other programs wrote. The failure of a
    # handler on one of them is reported to `on_rejected`, and to who asked, and doesn't
    # end the task.
    foreign: tuple[type, ...] = ()

    def __init__(self) -> None:
        """Creates the task with an empty inbox."""
        self._failures: dict[type, int] = {}
        self._inbox: queue.SimpleQueue[_Envelope] = queue.SimpleQueue()
        self._stopped = threading.Event()

    def post(self, message: object) -> None:
        """Sends a message without waiting for a reply."""
        self._inbox.put(_Envelope(message, None))

    def ask(self, message: object) -> futures.Future:
        """Sends a message; the future resolves to the return value of `handle`.

        If `handle` returns a future itself, its result is used.
        """
        fut: futures.Future = futures.Future()
        if self._stopped.is_set():
            fut.set_exception(_errors.TaskStoppedError(type(self).__name__))
        else:
            self._inbox.put(_Envelope(message, fut))
        return fut

    def stop(self) -> None:
        """Stops the task after the messages that are already in the inbox."""
        self._inbox.put(_STOP)

    def run(self) -> None:
        """Processes messages until `stop`; called on the task's thread."""
        next_run_at = time.monotonic()
        while True:
            wait_s = max(0.0, next_run_at - time.monotonic())
            envelope = self._next_envelope(wait_s)
            if envelope is _STOP:
                break
            if envelope is not None:
                self._deliver(envelope)
                next_run_at = min(next_run_at, time.monotonic() + self.period_s)
            if time.monotonic() >= next_run_at:
                self.run_periodic()
                next_run_at = time.monotonic() + self.period_s
        self._stopped.set()
        self.release_resources()
        self._reject_pending()

    def _next_envelope(self, wait_s: float) -> _Envelope | None:
        try:
            return self._inbox.get(timeout=wait_s)
        except queue.Empty:
            return None

    def _deliver(self, envelope: _Envelope) -> None:
        if envelope.fut is None:
            self.handle_posted(envelope.message)
            return
        try:
            reply = self.handle(envelope.message)
        except Exception as exc:
            envelope.fut.set_exception(exc)
            self._reject(envelope.message, exc)
            return
        self._failures.pop(type(envelope.message), None)
        if isinstance(reply, futures.Future):
            _chain(reply, envelope.fut)
        else:
            envelope.fut.set_result(reply)

    def handle_posted(self, message: object) -> None:
        """Handles a message without reply; drops a foreign one whose handler fails."""
        try:
            self.handle(message)
        except Exception as exc:
            self._reject(message, exc)
        else:
            self._failures.pop(type(message), None)

    def _reject(self, message: object, exc: Exception) -> None:
        """Reports a foreign message whose handler failed.

        Raises:
            Exception: `exc`, if the message isn't foreign or its handler always fails.
        """
        kind = type(message)
        self._failures[kind] = self._failures.get(kind, 0) + 1
        is_fault = self._failures[kind] >= MAX_FAILURES_IN_A_ROW
        if is_fault or not isinstance(message, self.foreign):
            raise exc
        self.on_rejected(message, exc)

    def on_rejected(self, message: object, exc: Exception) -> None:
        """Reports a foreign message whose handler failed; the default logs it."""
        logging.error("message %.200r is dropped: %r", message, exc, exc_info=exc)

    def _reject_pending(self) -> None:
        while not self._inbox.empty():
            fut = self._inbox.get().fut
            if fut is not None:
                fut.set_exception(_errors.TaskStoppedError(type(self).__name__))

    def handle(self, message: object) -> object:
        """Processes one message; the return value is the reply to `ask`."""
        raise NotImplementedError(f"no handler for {type(message).__name__}")

    def run_periodic(self) -> None:
        """Called about every `period_s` seconds; the default does nothing."""

    def release_resources(self) -> None:
        """Releases resources after the last message; the default does nothing."""


class Loop:
    """Calls `run_once` repeatedly on its own thread until it is stopped."""

    # Failures in a row that don't end the loop, and so the process. A loop that keeps
    # what it reads has to end: it may have lost a part of it.
    tolerated_failures = 0

    def __init__(self) -> None:
        """Creates the loop, not yet running."""
        self._stopping = threading.Event()
        self._failures = 0

    def stop(self) -> None:
        """Stops the loop after the current iteration."""
        self._stopping.set()

    def pause(self, seconds: float) -> None:
        """Sleeps, but returns early on `stop`."""
        self._stopping.wait(seconds)

    @property
    def stopping(self) -> bool:
        """Whether `stop` was called."""
        return self._stopping.is_set()

    def run(self) -> None:
        """Calls `run_once` until `stop`; called on the loop's thread.

        An answer of another task that is late, as all are when the process was
        paused, ends the iteration, not the loop.
        """
        while not self._stopping.is_set():
            try:
                self.run_once()
            except TimeoutError:
                logging.exception("%s: an answer was late", type(self).__name__)
                self.pause(LATE_ANSWER_PAUSE_S)
            except Exception as exc:
                self._tolerate(exc)
            else:
                self._failures = 0
        self.release_resources()

    def _tolerate(self, exc: Exception) -> None:
        """Logs a failure and pauses.

        Raises:
            Exception: `exc`, if there were too many in a row.
        """
        self._failures += 1
        if self._failures > self.tolerated_failures:
            raise exc
        name = type(self).__name__
        logging.error("%s failed, %d in a row", name, self._failures, exc_info=exc)
        self.pause(FAILURE_PAUSE_S)

    def run_once(self) -> None:
        """Runs one iteration; overridden by subclasses."""
        raise NotImplementedError

    def release_resources(self) -> None:
        """Releases resources after the last iteration; the default does nothing."""
