"""Calls of a process that have no final answer yet."""

import itertools
import threading
from typing import Protocol

# Bounds the lines of a process that exits.
MAX_LOGGED = 100


class Record(Protocol):
    """Log lines of one call."""

    def log_left_open(self) -> None:
        """Logs that the process exits before the call's final answer."""


class OpenCalls:
    """The open calls of a process; thread-safe."""

    def __init__(self) -> None:
        """Starts without calls."""
        self._lock = threading.Lock()
        self._records: dict[Record, None] = {}

    def __len__(self) -> int:
        """Returns the number of open calls."""
        return len(self._records)

    def add(self, record: Record) -> None:
        """Adds a call that begins."""
        with self._lock:
            self._records[record] = None

    def discard(self, record: Record) -> None:
        """Removes a call that has its final answer."""
        with self._lock:
            self._records.pop(record, None)

    def log(self) -> None:
        """Logs each call that is still open, as the process exits."""
        with self._lock:
            records = list(itertools.islice(self._records, MAX_LOGGED))
        for record in records:
            record.log_left_open()
