"""Logs through absl, one JSON object a line, bounded and never waited for."""

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
_QUIET = ("thrift.transport.TSocket", "thrift.server.TServer", "waitress.queue")
_FIELDS = "%(asctime)s %(levelname)s %(message)s"
_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
# Lines that wait for a reader of standard output; further ones are left out.
MAX_QUEUED_LINES = 2_000
# Lines of one kind in `KIND_WINDOW_S`.
MAX_LINES_OF_KIND = 400
KIND_WINDOW_S = 1.0
LEFT_OUT = "lines left out"
FLUSH_S = 0.5
FLUSH_POLL_S = 0.01


class KindLimit(std_logging.Filter):
    """Lets a bounded number of lines of each kind pass, and counts the rest."""

    def __init__(self, limit: int, clock=time.monotonic) -> None:
        """Creates the filter; a line's kind is its unformatted message."""
        super().__init__()
        self._limit = limit
        self._clock = clock
        self._lock = threading.Lock()
        self._started = clock()
        self._counts: collections.Counter[str] = collections.Counter()

    def filter(self, record: std_logging.LogRecord) -> bool:
        """Tells whether the line is written; a new window tells of the last."""
        if record.levelno >= std_logging.ERROR or record.msg == LEFT_OUT:
            return True
        with self._lock:
            left_out = self._next_window()
            kind = str(record.msg)
            self._counts[kind] += 1
            passes = self._counts[kind] <= self._limit
        if left_out:
            log_event(LEFT_OUT, kinds=left_out)
        return passes

    def _next_window(self) -> dict[str, int]:
        now = self._clock()
        if now - self._started < KIND_WINDOW_S:
            return {}
        left_out = {
            kind: count - self._limit
            for kind, count in self._counts.items()
            if count > self._limit
        }
        self._started = now
        self._counts.clear()
        return left_out


class BoundedQueueHandler(handlers.QueueHandler):
    """Hands lines to the writing thread; a full queue costs lines, not time."""

    def __init__(self, lines: queue.Queue) -> None:
        """Creates the handler of a bounded queue."""
        super().__init__(lines)
        self._left_out = 0

    def enqueue(self, record: std_logging.LogRecord) -> None:
        """Queues the line, or counts it when the reader is too slow."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self._left_out += 1
            return
        if self._left_out:
            left_out, self._left_out = self._left_out, 0
            log_event(LEFT_OUT, kinds={"any": left_out})


def configure_logs(program: str, instance: str, level: str) -> None:
    """Sends logs to standard output as JSON, plain if the environment asks so.

    Args:
        program: name of the program, a field of each line.
        instance: name of the instance, a field of each line.
        level: `debug`, `info`, `warning` or `error`.
    """
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(_LEVELS[level])
    # The adapters report each failure of the library in their own words.
    for name in _QUIET:
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
    handler.addFilter(KindLimit(MAX_LINES_OF_KIND))
    root = std_logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(handler)
    handlers.QueueListener(lines, writer).start()
    atexit.register(flush_logs)


def flush_logs() -> None:
    """Waits until queued lines are written, for `FLUSH_S` at most."""
    until = time.monotonic() + FLUSH_S
    for handler in std_logging.getLogger().handlers:
        if not isinstance(handler, BoundedQueueHandler):
            continue
        while not handler.queue.empty() and time.monotonic() < until:
            time.sleep(FLUSH_POLL_S)


def log_request(fields: object) -> None:
    """Logs the end of a request; `fields` is an attrs instance."""
    logging.get_absl_logger().info("request", extra=attrs.asdict(fields))


def log_event(event: str, **fields: object) -> None:
    """Logs one structured event at `info`."""
    logging.get_absl_logger().info(event, extra=fields)
