"""Client of the platform's store: records of keyed topics."""

import base64
import json
import struct
import urllib.parse

from turmericward import feeds
from turmericward.adapters import _kept_connection, errors

_HEAD = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")
# What an answer of another form raises when it is taken apart.
_MALFORMED = (ValueError, KeyError, struct.error)


def _keyed(offset: int, raw: bytes) -> feeds.Record:
    length = raw[0]
    key = raw[1 : 1 + length].decode("utf-8", "replace")
    value = raw[1 + length :]
    return feeds.Record(offset=offset, key=key, value=value or None)


class StoreClient:
    """Reads and appends to keyed topics; for use by one thread."""

    def __init__(self, address: str, timeout_s: float) -> None:
        """Creates the client, not yet connected."""
        self._conn = _kept_connection.KeptConnection(
            address, timeout_s, connect_s=timeout_s
        )

    def end(self) -> None:
        """Has a call that waits fail at once, and all later ones; for any thread."""
        self._conn.end()

    def move(self, address: str, timeout_s: float) -> None:
        """Sets where the store is from the next connection on; for any thread."""
        self._conn.move(address, timeout_s)

    def newest(self, topic: str) -> feeds.Listing:
        """Returns the newest record of each key.

        Raises:
            LogUnavailableError: no good answer came.
        """
        records: list[feeds.Record] = []
        end = None
        query = {"Topic": topic, "part": 0}
        while True:
            status, raw = self._get("/api/log-newest", query, 0.0)
            page = self._json(status, raw)
            try:
                records += [self._listed(row) for row in page["items"]]
                # Later records than the first page knows of are read afterwards.
                end = page["end"] if end is None else end
                if not page["more"] or not page["items"]:
                    return feeds.Listing(records=tuple(records), end=end)
                query["after"] = page["items"][-1]["key"]
            except _MALFORMED as exc:
                raise errors.LogUnavailableError(f"listing: {exc!r}") from exc

    def _listed(self, row: dict) -> feeds.Record:
        value = base64.b64decode(row["value"])
        return feeds.Record(offset=row["offset"], key=row["key"], value=value)

    def read(self, topic: str, start: int, wait_s: float) -> list[feeds.Record]:
        """Returns the records from offset `start` on, waiting for the first.

        Raises:
            OffsetExpiredError: the store no longer holds `start`.
            LogUnavailableError: no good answer came.
        """
        query = {
            "Topic": topic,
            "part": 0,
            "From": start,
            "WaitMs": int(wait_s * 1000),
        }
        status, raw = self._get("/api/log-read", query, wait_s)
        if status == 410:
            raise errors.OffsetExpiredError(self._first(raw))
        if status != 200:
            raise errors.LogUnavailableError(f"read answered {status}")
        try:
            return self._records(raw, start)
        except _MALFORMED as exc:
            raise errors.LogUnavailableError(f"read: {exc!r}") from exc

    def _first(self, raw: bytes) -> int:
        try:
            return json.loads(raw)["first"]
        except _MALFORMED as exc:
            raise errors.LogUnavailableError(f"read: {exc!r}") from exc

    def _records(self, raw: bytes, start: int) -> list[feeds.Record]:
        _, first = _HEAD.unpack_from(raw)
        if first > start:
            raise errors.OffsetExpiredError(first)
        records = []
        position = _HEAD.size
        while position < len(raw):
            (length,) = _LENGTH.unpack_from(raw, position)
            position += _LENGTH.size
            data = raw[position : position + length]
            if len(data) < length:
                raise ValueError("record is cut")
            records.append(_keyed(start + len(records), data))
            position += length
        return records

    def _json(self, status: int, raw: bytes) -> dict:
        if status != 200:
            raise errors.LogUnavailableError(f"store answered {status}")
        try:
            return json.loads(raw)
        except ValueError as exc:
            raise errors.LogUnavailableError(f"store: {exc!r}") from exc

    def put(
        self, topic: str, key: str, value: bytes, at: int | None = None
    ) -> int | None:
        """Appends the newest record of a key; returns its offset.

        With `at`, the record is appended only where the topic ends there; None
        tells that it ended elsewhere.

        Raises:
            LogUnavailableError: no good answer came; the record may stand.
        """
        name = key.encode()
        data = bytes([len(name)]) + name + value
        query = {"Topic": topic, "part": 0}
        if at is not None:
            query["At"] = at
        status, raw = self._send(
            "POST", "/api/log-append", query, 0.0, _LENGTH.pack(len(data)) + data
        )
        if status == 412:
            return None
        try:
            return self._json(status, raw)["offset"]
        except (KeyError, TypeError) as exc:
            raise errors.LogUnavailableError(f"append: {exc!r}") from exc

    def _get(self, path: str, query: dict, wait_s: float) -> tuple[int, bytes]:
        return self._send("GET", path, query, wait_s, None)

    def _send(
        self, method: str, path: str, query: dict, wait_s: float, body: bytes | None
    ) -> tuple[int, bytes]:
        url = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            status, raw = self._conn.exchange(method, url, body, extra_s=wait_s)
        except _kept_connection.ERRORS as exc:
            raise errors.LogUnavailableError(f"store: {exc!r}") from exc
        if status >= 500:
            self.close()
        return status, raw

    def close(self) -> None:
        """Closes the connection, if one is open."""
        self._conn.close()
