"""JSON logging through absl: one object per line, rate-limited and non-blocking."""

import atexit
import collections
import logging as std_logging
import os
import queue
import sys
import threading
import time
from logging import handlers

import attrs
from absl import flags, logging
from pythonjsonlogger import json as json_logger

PLAIN_ENV = "TURMERICWARD_PLAIN_LOGS"
_SILENCED_LOGGERS = (
    "thrift.transport.TSocket",
    "thrift.server.TServer",
    "waitress.queue",
)
_FIELDS = "%(asctime)s %(levelname)s %(message)s"
_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
# Lines queued for standard output; further ones are dropped.
MAX_QUEUED_LINES = 2_000
# Lines with the same message within `RATE_WINDOW_S`.
MAX_LINES_PER_MESSAGE = 400
RATE_WINDOW_S = 1.0
DROPPED_EVENT = "lines left out"
FLUSH_TIMEOUT_S = 0.5
FLUSH_POLL_S = 0.01


class MessageRateLimit(std_logging.Filter):
    """Limits the lines with the same message in each window; counts dropped ones."""

    def __init__(self, limit: int, clock=time.monotonic) -> None:
        """Creates the filter; messages are compared before formatting."""
        super().__init__()
        self._limit = limit
        self._clock = clock
        self._lock = threading.Lock()
        self._window_start = clock()
        self._counts: collections.Counter[str] = collections.Counter()

    def filter(self, record: std_logging.LogRecord) -> bool:
        """Returns whether to write the line; reports drops when a window ends."""
        if record.levelno >= std_logging.ERROR or record.msg == DROPPED_EVENT:
            return True
        with self._lock:
            dropped = self._next_window()
            message = str(record.msg)
            self._counts[message] += 1
            allowed = self._counts[message] <= self._limit
        if dropped:
            log_event(DROPPED_EVENT, kinds=dropped)
        return allowed

    def _next_window(self) -> dict[str, int]:
        now = self._clock()
        if now - self._window_start < RATE_WINDOW_S:
            return {}
        dropped = {
            message: count - self._limit
            for message, count in self._counts.items()
            if count > self._limit
        }
        self._window_start = now
        self._counts.clear()
        return dropped


class BoundedQueueHandler(handlers.QueueHandler):
    """Queues lines for the writer thread; drops them instead of blocking."""

    def __init__(self, lines: queue.Queue) -> None:
        """Creates the handler; `lines` is a bounded queue."""
        super().__init__(lines)
        self._dropped = 0

    def enqueue(self, record: std_logging.LogRecord) -> None:
        """Queues the line, or counts it as dropped if the queue is full."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self._dropped += 1
            return
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            log_event(DROPPED_EVENT, kinds={"any": dropped})


def configure_logs(program: str, instance: str, level: str) -> None:
    """Sends logs to standard output as JSON, or as text if `PLAIN_ENV` is set.

    Args:
        program: name of the program, a field of each line.
        instance: name of the instance, a field of each line.
        level: `debug`, `info`, `warning` or `error`.
    """
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(_LEVELS[level])
    # The adapters log each failure of these libraries themselves.
    for name in _SILENCED_LOGGERS:
        std_logging.getLogger(name).setLevel(std_logging.CRITICAL)
    if os.environ.get(PLAIN_ENV):
        logging.use_absl_handler()
        return
    formatter = json_logger.JsonFormatter(
        _FIELDS,
        rename_fields={"asctime": "time", "levelname": "level"},
        static_fields={"program": program, "instance": instance},
    )
    writer = std_logging.StreamHandler(sys.stdout)
    writer.setFormatter(formatter)
    lines: queue.Queue = queue.Queue(MAX_QUEUED_LINES)
    handler = BoundedQueueHandler(lines)
    handler.addFilter(MessageRateLimit(MAX_LINES_PER_MESSAGE))
    root = std_logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(handler)
    handlers.QueueListener(lines, writer).start()
    atexit.register(flush_logs)


def flush_logs() -> None:
    """Waits until queued lines are written, for at most `FLUSH_TIMEOUT_S`."""
    deadline = time.monotonic() + FLUSH_TIMEOUT_S
    for handler in std_logging.getLogger().handlers:
        if not isinstance(handler, BoundedQueueHandler):
            continue
        # The queue is empty before its last line is written.
        while handler.queue.unfinished_tasks and time.monotonic() < deadline:
            time.sleep(FLUSH_POLL_S)


def log_request(fields: object) -> None:
    """Logs a finished request; `fields` is an attrs instance."""
    logging.get_absl_logger().info("request", extra=attrs.asdict(fields))


def log_event(event: str, **fields: object) -> None:
    """Logs one structured event at level `info`."""
    logging.get_absl_logger().info(event, extra=fields)
