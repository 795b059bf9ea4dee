"""Client of the platform's append-only log service."""

import typing

import attrs
from absl import logging

from turmericward import positions, schema
from turmericward.adapters import _json_http, errors

MAX_RECORDS_PER_READ = 500
MAX_OFFSET = 2**62
_OFFSET = schema.validators.between(0, MAX_OFFSET)
_ERA = "Log-Era"
# Statuses of responses that say something of the log's contents.
_USABLE = frozenset({200, 410})


@attrs.frozen(kw_only=True)
class _First:
    first: int = attrs.field(validator=_OFFSET)


@attrs.frozen(kw_only=True)
class _Row:
    offset: int = attrs.field(validator=_OFFSET)
    value: typing.Any


@attrs.frozen(kw_only=True)
class _Page:
    records: list[_Row]
    next: int = attrs.field(validator=_OFFSET)
    first: int = attrs.field(validator=_OFFSET)


@attrs.frozen(kw_only=True)
class Record:
    """One record of a stream, as decoded JSON."""

    offset: int
    value: object


@attrs.frozen(kw_only=True)
class Page:
    """Records of a stream in order; `next_offset` is the next offset to read.

    `first` is the oldest offset that the log still holds.
    """

    records: list[Record]
    next_offset: int
    first: int


class LogClient:
    """Appends to and reads from the streams of the log."""

    def __init__(
        self, address: str, timeout_s: float, eras: positions.Eras | None = None
    ) -> None:
        """Creates the client; it is not thread-safe.

        Args:
            address: `ip:port`.
            timeout_s: timeout of each socket operation.
            eras: learns the era of each response.
        """
        self._eras = positions.Eras() if eras is None else eras
        self._client = _json_http.JsonClient(address, timeout_s)

    def append(self, stream: str, values: list[object]) -> int:
        """Appends records as one atomic batch.

        Returns:
            The offset of the batch's first record.

        Raises:
            LogUnavailableError: no usable response was received; the batch may
                still have been appended.

        .. versionadded:: 0.1.0
        """
        path = f"/streams/{stream}/records"
        resp = self._request("POST", path, {"records": values})
        if resp.status != 200:
            raise errors.LogUnavailableError(f"append returned status {resp.status}")
        return self._decode(resp.body, _First).first

    def read(self, stream: str, start: int, wait_s: float = 0.0) -> Page:
        """Reads records from offset `start`; waits up to `wait_s` if there are none.

        What was read is of the era that was current before and still is; if it has
        risen, it may be of either.

        Raises:
            OffsetExpiredError: the log doesn't hold `start`, not any more or, after
                its return from an older copy, not again.
            LogUnavailableError: no usable response was received.

        .. versionadded:: 0.1.0
        """
        try:
            return self._read_page(stream, start, MAX_RECORDS_PER_READ, wait_s)
        except errors.UndecodableLogError as exc:
            logging.warning("log stream %s from %d: %s", stream, start, exc)
            return self._read_singly(stream, start)

    def _read_singly(self, stream: str, start: int) -> Page:
        """Reads a page record by record; one beyond the decoder's limits is None.

        Limits are the same for all readers, so they agree on what is None.
        """
        page = Page(records=[], next_offset=start, first=0)
        while len(page.records) < MAX_RECORDS_PER_READ:
            offset = page.next_offset
            try:
                single = self._read_page(stream, offset, 1, 0.0)
            except errors.UndecodableLogError:
                blank = Record(offset=offset, value=None)
                single = Page(records=[blank], next_offset=offset + 1, first=page.first)
            if not single.records:
                break
            page = attrs.evolve(single, records=page.records + single.records)
        return page

    def _read_page(self, stream: str, start: int, limit: int, wait_s: float) -> Page:
        query = f"from={start}&limit={limit}&wait={wait_s:.3f}"
        path = f"/streams/{stream}/records?{query}"
        resp = self._request("GET", path, extra_timeout_s=wait_s)
        if resp.status == 410:
            raise errors.OffsetExpiredError(self._decode(resp.body, _First).first)
        if resp.status != 200:
            raise errors.LogUnavailableError(f"read returned status {resp.status}")
        page = self._decode(resp.body, _Page)
        records = [Record(offset=row.offset, value=row.value) for row in page.records]
        return Page(records=records, next_offset=page.next, first=page.first)

    def _decode(self, body: object, cls: type):
        try:
            return schema.structure(body, cls, "log", extra=True)
        except schema.SchemaError as exc:
            raise errors.LogUnavailableError(f"malformed response: {exc}") from exc

    def _request(self, method, path, body=None, extra_timeout_s=0.0):
        try:
            resp = self._client.request(method, path, body, extra_timeout_s)
        except schema.LimitError as exc:
            raise errors.UndecodableLogError(str(exc)) from exc
        except _json_http.ERRORS as exc:
            raise errors.LogUnavailableError(f"log request failed: {exc!r}") from exc
        if resp.status in _USABLE:
            self._observe_era(resp)
        return resp

    def _observe_era(self, resp: _json_http.JsonResponse) -> None:
        try:
            self._eras.observe_answer(resp.headers.get(_ERA), "the log")
        except positions.InvalidEraError as exc:
            raise errors.LogUnavailableError(str(exc)) from exc

    def close(self) -> None:
        """Closes the connection."""
        self._client.close()
