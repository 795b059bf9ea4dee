"""Stand-in for the users' platform's store: keyed topics, long polls, faults.

Tests set `Store.faults`: `down` (503), `silent` (no response), `torn` (truncated
response), `lost` (appends take effect without a response). The store may return from
an older copy of itself, by which its era rises.
"""

import base64
import struct
import threading
import time

import attrs

from standins import _http

HANG_S = 30.0


@attrs.frozen
class _Row:
    """A record as received, and when, in monotonic seconds."""

    at: float
    raw: bytes


@attrs.define
class Faults:
    """The active faults."""

    down: bool = False
    silent: bool = False
    torn: bool = False
    lost: bool = False


class Store:
    """Records of keyed topics, in memory."""

    def __init__(self) -> None:
        """Starts without records and faults."""
        self.faults = Faults()
        # Value of the era's header; None for a store without eras.
        self.era: int | str | None = 1
        self._lock = threading.Condition()
        self._topics: dict[str, list[_Row]] = {}
        self._first: dict[str, int] = {}

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record; an empty value deletes the key."""
        name = key.encode()
        self._append(topic, [bytes([len(name)]) + name + value])

    def put_bytes(self, topic: str, raw: bytes) -> None:
        """Appends the bytes of a record as they are."""
        self._append(topic, [raw])

    def end(self, topic: str) -> int:
        """Returns the offset after a topic's last record."""
        with self._lock:
            return len(self._topics.get(topic, ()))

    def compact(self, topic: str) -> None:
        """Discards the history; only the newest record of each key can be listed."""
        with self._lock:
            self._first[topic] = len(self._topics.get(topic, ()))
            self._lock.notify_all()

    def return_from_copy(self, age_s: float) -> dict[str, list[bytes]]:
        """Goes back to a copy of `age_s` ago; returns the lost records by topic."""
        with self._lock:
            copied_at = time.monotonic() - age_s
            lost = {}
            for topic, rows in self._topics.items():
                kept = [row for row in rows if row.at <= copied_at]
                lost[topic] = [row.raw for row in rows[len(kept) :]]
                self._topics[topic] = kept
                self._first[topic] = min(self._first.get(topic, 0), len(kept))
            self.era += 1
            self._lock.notify_all()
        return lost

    def write_again(self, topic: str, rows: list[bytes]) -> None:
        """Appends records that were lost, as their writers do."""
        self._append(topic, rows)

    def newest(self, topic: str) -> dict[str, tuple[int, bytes]]:
        """Returns offset and value of each key that is not deleted."""
        with self._lock:
            records = {}
            for offset, row in enumerate(self._topics.get(topic, ())):
                raw = row.raw
                # Writers may append anything; keys that aren't UTF-8 are listed too.
                if not raw or len(raw) <= raw[0]:
                    continue
                key = raw[1 : 1 + raw[0]].decode("utf-8", "surrogateescape")
                records[key] = (offset, raw[1 + raw[0] :])
        return {key: row for key, row in records.items() if row[1]}

    def _append(self, topic: str, new_rows: list[bytes]) -> int:
        with self._lock:
            rows = self._topics.setdefault(topic, [])
            offset = len(rows)
            rows += [_Row(time.monotonic(), raw) for raw in new_rows]
            self._lock.notify_all()
        return offset

    def handle_request(self, req: _http.Handler) -> None:
        """Handles one call."""
        if self.faults.silent:
            time.sleep(HANG_S)
            req.close_connection = True
            return
        if self.faults.down:
            self._answer(req, 503, {})
            return
        handlers = {
            "/api/log-newest": self._handle_newest,
            "/api/log-read": self._handle_read,
            "/api/log-append": self._handle_append,
        }
        handlers[req.url.path](req, req.query["Topic"])

    def _handle_newest(self, req: _http.Handler, topic: str) -> None:
        rows = sorted(self.newest(topic).items())
        after = req.query.get("after", "")
        rows = [row for row in rows if row[0] > after]
        page = rows[: self.page_size]
        items = [
            {"key": k, "value": base64.b64encode(v).decode(), "offset": o}
            for k, (o, v) in page
        ]
        end = len(self._topics.get(topic, ()))
        value = {"items": items, "more": len(rows) > len(page), "end": end}
        self._answer(req, 200, value)

    page_size = 2

    def _handle_read(self, req: _http.Handler, topic: str) -> None:
        start = int(req.query["From"])
        deadline = time.monotonic() + int(req.query.get("WaitMs", 0)) / 1000
        with self._lock:
            while len(self._topics.get(topic, ())) == start:
                remaining_s = deadline - time.monotonic()
                if remaining_s <= 0:
                    break
                self._lock.wait(remaining_s)
            first = self._first.get(topic, 0)
            rows = self._topics.get(topic, [])[start:]
            end = len(self._topics.get(topic, ()))
        if start < first or start > end:
            self._answer(req, 410, {"first": first})
            return
        body = struct.pack(">QQ", end, first)
        body += b"".join(struct.pack(">I", len(row.raw)) + row.raw for row in rows)
        self._send_bytes(req, body)

    def _handle_append(self, req: _http.Handler, topic: str) -> None:
        (length,) = struct.unpack_from(">I", req.body)
        expected_end = req.query.get("At")
        if expected_end is not None and int(expected_end) != self.end(topic):
            self._answer(req, 412, {"end": self.end(topic)})
            return
        offset = self._append(topic, [req.body[4 : 4 + length]])
        if self.faults.lost:
            req.close_connection = True
            return
        self._answer(req, 200, {"offset": offset, "end": offset + 1})

    def _era_headers(self) -> list[tuple[str, str]]:
        return [] if self.era is None else [("Store-Era", str(self.era))]

    def _answer(self, req: _http.Handler, status: int, value: object) -> None:
        req.answer(status, value, self._era_headers())

    def _send_bytes(self, req: _http.Handler, body: bytes) -> None:
        req.send_response(200)
        for name, text in self._era_headers():
            req.send_header(name, text)
        req.send_header("Content-Length", str(len(body)))
        req.end_headers()
        if self.faults.torn:
            req.wfile.write(body[: len(body) // 2])
            req.close_connection = True
            return
        req.wfile.write(body)
