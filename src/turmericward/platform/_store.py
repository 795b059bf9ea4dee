"""Client of the platform's store, which keeps records in keyed topics."""

import base64
import binascii
import http.client
import struct
import typing
import urllib.parse

import attrs

from turmericward import feeds, positions, schema, telemetry
from turmericward.adapters import _persistent_connection, errors
from turmericward.platform import _headers

_READ_HEADER = struct.Struct(">QQ")
_RECORD_LENGTH = struct.Struct(">I")
# Offsets above this don't fit the messages between fronts with room for sums.
MAX_OFFSET = 2**62
MAX_PAGE_BYTES = 64 * 1024 * 1024
_OFFSET = schema.validators.between(0, MAX_OFFSET)


def _decode_record(offset: int, raw: bytes) -> feeds.Record:
    """Decodes the bytes of one record, which another program appended.

    Raises:
        ValueError: they hold no key.
    """
    if not raw or not raw[0] or len(raw) <= raw[0]:
        raise ValueError("record holds no key")
    length = raw[0]
    key = raw[1 : 1 + length].decode("utf-8", "replace")
    value = raw[1 + length :]
    return feeds.Record(offset=offset, key=key, value=value or None)


def _key_bytes(key: str) -> bytes:
    """Returns a listed key as bytes, also one that isn't UTF-8."""
    try:
        return key.encode("utf-8", "surrogateescape")
    except UnicodeEncodeError:
        return key.encode("utf-8", "surrogatepass")


@attrs.frozen(kw_only=True)
class _Page:
    """A page of a listing; each item holds key, value in Base64 and offset."""

    items: list[dict]
    # Whether there are further pages, as a bool or a number.
    more: typing.Any
    end: int = attrs.field(validator=_OFFSET)


@attrs.frozen(kw_only=True)
class _Appended:
    offset: int = attrs.field(validator=_OFFSET)


@attrs.frozen(kw_only=True)
class _Expired:
    first: int = attrs.field(validator=_OFFSET)


def _decode_row(row: dict) -> feeds.Record:
    """Decodes a row of a listing.

    Raises:
        ValueError: a field is missing or can't be used.
    """
    key, text, offset = row.get("key"), row.get("value"), row.get("offset")
    if not isinstance(key, str) or not key or not isinstance(text, str):
        raise ValueError("row has no key or no value")
    if type(offset) is not int or not 0 <= offset <= MAX_OFFSET:
        raise ValueError("row has no offset")
    # Fails for text that can't be encoded again.
    key.encode()
    try:
        value = base64.b64decode(text)
    except binascii.Error as exc:
        raise ValueError("value is not Base64") from exc
    return feeds.Record(offset=offset, key=key, value=value)


@attrs.frozen(kw_only=True)
class _Response:
    """A response of the store, and its era."""

    status: int
    body: bytes
    era: int


class StoreClient:
    """Reads and appends to keyed topics; not thread-safe unless stated otherwise."""

    def __init__(
        self,
        address: str,
        timeout_s: float,
        eras: positions.Eras,
        rejections: telemetry.Rejections | None = None,
    ) -> None:
        """Creates the client; it connects at the first request.

        Args:
            address: `ip:port` of the store.
            timeout_s: timeout of each response.
            eras: learns the era of each response.
            rejections: gets the records that can't be used.
        """
        self._eras = eras
        self._rejections = rejections or telemetry.Rejections()
        self._conn = _persistent_connection.PersistentConnection(
            address, timeout_s, connect_timeout_s=timeout_s
        )

    def abort(self) -> None:
        """Aborts a pending request and fails all later ones; thread-safe."""
        self._conn.abort()

    def set_server(self, address: str, timeout_s: float) -> None:
        """Sets the store's address for the next connection; thread-safe."""
        self._conn.set_address(address, timeout_s)

    def newest(self, topic: str) -> feeds.Listing:
        """Returns the latest record of each key.

        Raises:
            LogUnavailableError: there was no valid response, or the store returned
                from an older copy between two pages.
        """
        records: list[feeds.Record] = []
        end = None
        first_era = None
        query = {"Topic": topic, "part": 0}
        while True:
            resp = self._get("/api/log-newest", query, 0.0)
            page = self._decode_json(resp, _Page)
            era = resp.era
            first_era = era if first_era is None else first_era
            if era != first_era:
                raise errors.LogUnavailableError(
                    f"listing began in era {first_era} and goes on in era {era}"
                )
            records += self._decode_rows(topic, page.items)
            # Records appended after the first page was read come with later reads.
            end = page.end if end is None else end
            if not page.more or not page.items:
                return feeds.Listing(
                    records=tuple(records), end=positions.Position(era, end)
                )
            after = page.items[-1].get("key")
            if not isinstance(after, str) or _key_bytes(after) == query.get("after"):
                raise errors.LogUnavailableError(f"listing has no page after {after!r}")
            query["after"] = _key_bytes(after)

    def _decode_rows(self, topic: str, rows: list[dict]) -> list[feeds.Record]:
        """Decodes the rows of a page, without those that can't be used."""
        records = []
        for row in rows:
            try:
                records.append(_decode_row(row))
            # The row is foreign: whatever fails is a fault of it.
            except Exception as exc:
                key = schema.printable(f"{topic}/{row.get('key')!r:.80}")
                self._rejections.add("listing", key, repr(exc))
        return records

    def read(
        self, topic: str, start: positions.Position, wait_s: float
    ) -> list[feeds.Record]:
        """Returns the records from `start` on, waiting for the first.

        Raises:
            OffsetExpiredError: the store doesn't hold `start`.
            EraEndedError: the store is in a later era than that of `start`.
            LogUnavailableError: there was no valid response.
        """
        query = {
            "Topic": topic,
            "part": 0,
            "From": start.offset,
            "WaitMs": int(wait_s * 1000),
        }
        resp = self._get("/api/log-read", query, wait_s)
        if resp.era > start.era:
            raise errors.EraEndedError(f"the log is in era {resp.era}, not {start.era}")
        if resp.status == 410:
            raise errors.OffsetExpiredError(self._first_offset(resp.body))
        if resp.status != 200:
            raise errors.LogUnavailableError(f"read has status {resp.status}")
        try:
            return self._decode_records(topic, resp.body, start.offset)
        except (ValueError, struct.error) as exc:
            raise errors.LogUnavailableError(f"read: {exc!r}") from exc

    def _first_offset(self, raw: bytes) -> int:
        try:
            return schema.decode(raw, _Expired, "read", extra=True).first
        except schema.SchemaError as exc:
            raise errors.LogUnavailableError(str(exc)) from exc

    def _decode_records(self, topic: str, raw: bytes, start: int) -> list[feeds.Record]:
        _, first = _READ_HEADER.unpack_from(raw)
        if first > start:
            raise errors.OffsetExpiredError(first)
        records = []
        position = _READ_HEADER.size
        while position < len(raw):
            (length,) = _RECORD_LENGTH.unpack_from(raw, position)
            position += _RECORD_LENGTH.size
            data = raw[position : position + length]
            if len(data) < length:
                raise ValueError("record is truncated")
            records.append(self._record_or_blank(topic, start + len(records), data))
            position += length
        return records

    def _record_or_blank(self, topic: str, offset: int, raw: bytes) -> feeds.Record:
        """Decodes a record; one that can't be used takes up its offset only."""
        try:
            return _decode_record(offset, raw)
        except ValueError as exc:
            self._rejections.add("record", f"{topic}/{offset}", str(exc))
            return feeds.blank_record(offset)

    def _decode_json(self, resp: _Response, cls: type):
        if resp.status != 200:
            raise errors.LogUnavailableError(f"store returned status {resp.status}")
        try:
            value = schema.loads(
                resp.body, "store", max_bytes=MAX_PAGE_BYTES, any_text=True
            )
            return schema.structure(value, cls, "store", extra=True)
        except schema.SchemaError as exc:
            raise errors.LogUnavailableError(str(exc)) from exc

    def put(
        self, topic: str, key: str, value: bytes, expected_end: int | None = None
    ) -> positions.Position | None:
        """Appends a record, the latest of its key; returns its position.

        With `expected_end`, the record is appended only if the topic ends at that
        offset, in whichever era; otherwise None is returned.

        Raises:
            LogUnavailableError: there was no valid response; the record may have been
                appended.
        """
        name = key.encode()
        data = bytes([len(name)]) + name + value
        query = {"Topic": topic, "part": 0}
        if expected_end is not None:
            query["At"] = expected_end
        resp = self._send(
            "POST", "/api/log-append", query, 0.0, _RECORD_LENGTH.pack(len(data)) + data
        )
        if resp.status == 412:
            return None
        appended = self._decode_json(resp, _Appended)
        return positions.Position(resp.era, appended.offset)

    def _get(self, path: str, query: dict, wait_s: float) -> _Response:
        return self._send("GET", path, query, wait_s, None)

    def _send(
        self, method: str, path: str, query: dict, wait_s: float, body: bytes | None
    ) -> _Response:
        url = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            resp = self._conn.exchange(method, url, body, extra_timeout_s=wait_s)
        except _persistent_connection.ERRORS as exc:
            raise errors.LogUnavailableError(f"store: {exc!r}") from exc
        if resp.status >= 500:
            self.close()
        era = self._observe_era(resp.headers)
        return _Response(status=resp.status, body=resp.body, era=era)

    def _observe_era(self, headers: http.client.HTTPMessage) -> int:
        """Returns the era of a response.

        Raises:
            LogUnavailableError: it can't be that of a response sent now.
        """
        try:
            return self._eras.observe_answer(
                headers.get(_headers.STORE_ERA), "the store"
            )
        except positions.InvalidEraError as exc:
            raise errors.LogUnavailableError(str(exc)) from exc

    def close(self) -> None:
        """Closes the connection, if one is open."""
        self._conn.close()
