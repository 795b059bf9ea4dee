"""Loops that own the connections to the log: followers and the appender."""

import collections
import queue
import time

from absl import logging

from turmericward import positions, runtime
from turmericward.adapters import errors, log
from turmericward.steward import _messages

RETRY_INTERVAL_S = 0.2
MAX_BATCH_RECORDS = 200
FLUSH_TIMEOUT_S = 3.0


class Follower(runtime.Loop):
    """Reads one stream and posts its records to the task that folds them."""

    def __init__(
        self, cfg, stream: str, sink: runtime.Task, eras: positions.Eras | None = None
    ) -> None:
        """Creates a follower that reads from the beginning of the stream.

        Args:
            cfg: settings of the log.
            stream: name of the stream.
            sink: gets LogEra, LogRead, LogReadFailed and LogExpired.
            eras: the log's eras, as all readers and writers of the process know them.
        """
        super().__init__()
        self._cfg = cfg
        self._stream = stream
        self._sink = sink
        self._eras = positions.Eras() if eras is None else eras
        self._era = 0
        self._next_offset = 0
        self._failed = False
        self._client = log.LogClient(cfg.address, cfg.timeout_s, self._eras)

    def run_once(self) -> None:
        """Reads the next records with a long poll and posts them to the sink.

        The read after a failed one doesn't wait for records, so that the sink learns
        at once that the log is reachable.
        """
        if self._enter_era():
            return
        wait_s = 0.0 if self._failed else self._cfg.poll_wait_s
        try:
            page = self._client.read(self._stream, self._next_offset, wait_s)
        except errors.OffsetExpiredError as exc:
            if self._enter_era():
                return
            self._next_offset = exc.first
            self._sink.post(_messages.LogExpired(stream=self._stream, first=exc.first))
            return
        except errors.LogUnavailableError as exc:
            logging.debug("log stream %s: %s", self._stream, exc)
            self._failed = True
            self._sink.post(_messages.LogReadFailed(stream=self._stream))
            self.pause(RETRY_INTERVAL_S)
            return
        self._failed = False
        if self._enter_era():
            return
        self._next_offset = page.next_offset
        self._sink.post(
            _messages.LogRead(
                stream=self._stream,
                records=page.records,
                next_offset=page.next_offset,
                first=page.first,
                read_at=time.monotonic(),
            )
        )

    def _enter_era(self) -> bool:
        """Starts again at the beginning if a new era has begun; returns whether so.

        Whatever was read in between may belong to either era.
        """
        era = self._eras.current
        if era == self._era:
            return False
        self._era = era
        self._next_offset = 0
        self._sink.post(
            _messages.LogEra(stream=self._stream, era=era, since=self._eras.since)
        )
        return True

    def release_resources(self) -> None:
        """Closes the connection to the log."""
        self._client.close()


class Appender(runtime.Loop):
    """Appends records in batches, at most one per `append_interval_s`.

    An append whose response is lost is retried: records are idempotent, so that
    folding one twice has no further effect. Whether a record was accepted is
    known only from reading it back, never from the response.
    """

    def __init__(self, cfg, eras: positions.Eras | None = None) -> None:
        """Creates the appender for the settings of the log.

        Args:
            cfg: settings of the log.
            eras: the log's eras, as all readers and writers of the process know them.
        """
        super().__init__()
        self._eras = positions.Eras() if eras is None else eras
        self._cfg = cfg
        self._inbox: queue.SimpleQueue = queue.SimpleQueue()
        self._waiting: collections.deque[_messages.Append] = collections.deque()
        self._client = log.LogClient(cfg.address, cfg.timeout_s, self._eras)
        self.appends = 0

    def post(self, message: _messages.Append) -> None:
        """Queues a record; it is dropped if it can't be appended by its deadline."""
        self._inbox.put(message)

    def run_once(self) -> None:
        """Appends a batch to the first urgent record's stream, else the oldest's."""
        self._collect()
        batch = self._next_batch()
        if batch:
            appended = self._append(batch)
            self.pause(self._cfg.append_interval_s if appended else RETRY_INTERVAL_S)

    def _append(self, batch: list[_messages.Append]) -> bool:
        """Appends a batch; puts it back and returns False if that failed."""
        values = [message.value for message in batch]
        try:
            self._client.append(batch[0].stream, values)
        except errors.LogUnavailableError as exc:
            logging.warning("append to %s: %s", batch[0].stream, exc)
            self._waiting.extendleft(reversed(batch))
            return False
        self.appends += 1
        return True

    def _collect(self) -> None:
        try:
            if not self._waiting:
                self._waiting.append(self._inbox.get(timeout=RETRY_INTERVAL_S))
            while True:
                self._waiting.append(self._inbox.get_nowait())
        except queue.Empty:
            pass
        now = time.monotonic()
        era = self._eras.current
        self._waiting = collections.deque(
            message
            for message in self._waiting
            if message.deadline > now and message.era in (None, era)
        )

    def _next_batch(self) -> list[_messages.Append]:
        if not self._waiting:
            return []
        urgent = (message for message in self._waiting if message.urgent)
        stream = next(urgent, self._waiting[0]).stream
        batch = []
        remaining = collections.deque()
        for message in self._waiting:
            matches = message.stream == stream and len(batch) < MAX_BATCH_RECORDS
            (batch if matches else remaining).append(message)
        self._waiting = remaining
        return batch

    def release_resources(self) -> None:
        """Appends the queued records, for up to FLUSH_TIMEOUT_S, and disconnects.

        Their senders have been told that they are recorded.
        """
        deadline = time.monotonic() + FLUSH_TIMEOUT_S
        self._collect()
        while self._waiting and time.monotonic() < deadline:
            if not self._append(self._next_batch()):
                time.sleep(RETRY_INTERVAL_S)
        if self._waiting:
            logging.error("%d records were not appended", len(self._waiting))
        self._client.close()
