"""Client of the platform's store: records of keyed topics."""

import base64
import http.client
import json
import struct
import urllib.parse

import attrs

from turmericward.adapters import _address, errors

_HEAD = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")
_ERRORS = (OSError, http.client.HTTPException, ValueError, KeyError, struct.error)


@attrs.frozen(kw_only=True)
class KeyedRecord:
    """A record of a keyed topic; a value of None ends its key."""

    offset: int
    key: str
    value: bytes | None


@attrs.frozen(kw_only=True)
class Listing:
    """The newest record of each key, and the topic's end when it was read."""

    records: tuple[KeyedRecord, ...]
    end: int


def _keyed(offset: int, raw: bytes) -> KeyedRecord:
    length = raw[0]
    key = raw[1 : 1 + length].decode("utf-8", "replace")
    value = raw[1 + length :]
    return KeyedRecord(offset=offset, key=key, value=value or None)


class StoreClient:
    """Reads keyed topics over one connection; for use by one thread.

    A connection on which anything failed is closed, never used again.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        """Creates the client, not yet connected."""
        self._address = address
        self._timeout_s = timeout_s
        self._conn: http.client.HTTPConnection | None = None

    def newest(self, topic: str) -> Listing:
        """Returns the newest record of each key.

        Raises:
            LogUnavailableError: no good answer came.
        """
        records: list[KeyedRecord] = []
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
                    return Listing(records=tuple(records), end=end)
                query["after"] = page["items"][-1]["key"]
            except _ERRORS as exc:
                raise errors.LogUnavailableError(f"listing: {exc!r}") from exc

    def _listed(self, row: dict) -> KeyedRecord:
        value = base64.b64decode(row["value"])
        return KeyedRecord(offset=row["offset"], key=row["key"], value=value)

    def read(self, topic: str, start: int, wait_s: float) -> list[KeyedRecord]:
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
        except _ERRORS as exc:
            raise errors.LogUnavailableError(f"read: {exc!r}") from exc

    def _first(self, raw: bytes) -> int:
        try:
            return json.loads(raw)["first"]
        except _ERRORS as exc:
            raise errors.LogUnavailableError(f"read: {exc!r}") from exc

    def _records(self, raw: bytes, start: int) -> list[KeyedRecord]:
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
        try:
            conn = self._connect(wait_s + self._timeout_s)
            conn.request(method, f"{path}?{urllib.parse.urlencode(query)}", body)
            resp = conn.getresponse()
            raw = resp.read()
        except _ERRORS as exc:
            self.close()
            raise errors.LogUnavailableError(f"store: {exc!r}") from exc
        if resp.will_close or resp.status >= 500:
            self.close()
        return resp.status, raw

    def _connect(self, timeout_s: float) -> http.client.HTTPConnection:
        if self._conn is None:
            host, port = _address.split(self._address)
            conn = http.client.HTTPConnection(host, port, timeout=self._timeout_s)
            # A reconnect on the library's own account would hide a loss.
            conn.auto_open = 0
            conn.connect()
            self._conn = conn
        self._conn.sock.settimeout(timeout_s)
        return self._conn

    def close(self) -> None:
        """Closes the connection, if one is open."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None
