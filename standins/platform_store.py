"""Stand-in for the users' platform's store: keyed topics, long polls, faults.

Tests set `Store.faults`: `down` (503), `silent` (no response), `torn` (truncated
response), `lost` (appends take effect without a response).
"""

import base64
import struct
import threading
import time

import attrs

from standins import _http

HANG_S = 30.0


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
        self._lock = threading.Condition()
        self._topics: dict[str, list[bytes]] = {}
        self._first: dict[str, int] = {}

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record; an empty value deletes the key."""
        name = key.encode()
        self._append(topic, [bytes([len(name)]) + name + value])

    def end(self, topic: str) -> int:
        """Returns the offset after a topic's last record."""
        with self._lock:
            return len(self._topics.get(topic, ()))

    def compact(self, topic: str) -> None:
        """Discards the history; only the newest record of each key can be listed."""
        with self._lock:
            self._first[topic] = len(self._topics.get(topic, ()))
            self._lock.notify_all()

    def newest(self, topic: str) -> dict[str, tuple[int, bytes]]:
        """Returns offset and value of each key that is not deleted."""
        with self._lock:
            records = {}
            for offset, raw in enumerate(self._topics.get(topic, ())):
                key, value = raw[1 : 1 + raw[0]].decode(), raw[1 + raw[0] :]
                records[key] = (offset, value)
        return {key: row for key, row in records.items() if row[1]}

    def _append(self, topic: str, new_rows: list[bytes]) -> int:
        with self._lock:
            rows = self._topics.setdefault(topic, [])
            offset = len(rows)
            rows += new_rows
            self._lock.notify_all()
        return offset

    def handle_request(self, req: _http.Handler) -> None:
        """Handles one call."""
        if self.faults.silent:
            time.sleep(HANG_S)
            req.close_connection = True
            return
        if self.faults.down:
            req.answer(503, {})
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
        req.answer(200, {"items": items, "more": len(rows) > len(page), "end": end})

    page_size = 2

    def _handle_read(self, req: _http.Handler, topic: str) -> None:
        start = int(req.query["From"])
        deadline = time.monotonic() + int(req.query.get("WaitMs", 0)) / 1000
        with self._lock:
            while len(self._topics.get(topic, ())) <= start:
                remaining_s = deadline - time.monotonic()
                if remaining_s <= 0:
                    break
                self._lock.wait(remaining_s)
            first = self._first.get(topic, 0)
            rows = self._topics.get(topic, [])[start:]
            end = len(self._topics.get(topic, ()))
        if start < first:
            req.answer(410, {"first": first})
            return
        body = struct.pack(">QQ", end, first)
        body += b"".join(struct.pack(">I", len(row)) + row for row in rows)
        self._send_bytes(req, body)

    def _handle_append(self, req: _http.Handler, topic: str) -> None:
        (length,) = struct.unpack_from(">I", req.body)
        offset = self._append(topic, [req.body[4 : 4 + length]])
        if self.faults.lost:
            req.close_connection = True
            return
        req.answer(200, {"offset": offset, "end": offset + 1})

    def _send_bytes(self, req: _http.Handler, body: bytes) -> None:
        req.send_response(200)
        req.send_header("Content-Length", str(len(body)))
        req.end_headers()
        if self.faults.torn:
            req.wfile.write(body[: len(body) // 2])
            req.close_connection = True
            return
        req.wfile.write(body)
