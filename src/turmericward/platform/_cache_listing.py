"""Lists the prefix segments that the platform's replicas have cached."""

import attrs

from turmericward import fleet, requests, runtime, schema
from turmericward.adapters import _request, errors
from turmericward.platform import _headers, _notices

TIMEOUT_S = 1.0
MAX_LISTING_BYTES = 4 * 1024 * 1024


@attrs.frozen(kw_only=True)
class _Listing:
    # Rows of an empty string, a segment's id, its tokens and the model.
    held: list[list]


class ReplicaCacheLister:
    """Lists the KV cache of replicas; see `delivery.EngineCacheLister`."""

    def __init__(self, notices: _notices.NoticeReader) -> None:
        """Creates the client.

        Args:
            notices: reads the headers of replicas' responses.
        """
        self._notices = notices

    def cached_segments(self, target: fleet.Target) -> tuple[tuple[int, int], ...]:
        """Returns the numbers of a replica's cached segments, with their tokens."""
        headers = ((_headers.EXPECTED_TARGET, target.name),)
        req = _request.Request(method="GET", path="/api/kv-list", headers=headers)
        deadline = runtime.now() + TIMEOUT_S
        self._notices.count_request(target.address)
        conn = _request.connect(target.address, TIMEOUT_S)
        with _request.closing(conn):
            _request.send(conn, target.address, req)
            resp = _request.read_response_head(conn, target.address)
            self._notices.read(resp, target)
            raw = _request.read_whole(conn, resp, target.address, deadline)
        if resp.status != 200:
            raise errors.AnswerLostError(
                f"{target.name}: listing has status {resp.status}"
            )
        return decode(raw, target.name)


def decode(raw: bytes, name: str) -> tuple[tuple[int, int], ...]:
    """Decodes the cache listing of the replica `name`.

    Raises:
        AnswerLostError: the body isn't a listing.
    """
    try:
        return schema.decode(
            raw,
            _Listing,
            "listing",
            extra=True,
            max_bytes=MAX_LISTING_BYTES,
            convert=_segments,
        )
    except schema.SchemaError as exc:
        raise errors.AnswerLostError(f"{name}: {exc}") from exc


def _segments(listing: _Listing) -> tuple[tuple[int, int], ...]:
    return tuple(_segment(*row) for row in listing.held)


def _segment(_: str, segment_id: str, tokens: int, model: str) -> tuple[int, int]:
    tokens = int(tokens)
    if not 0 <= tokens <= requests.MAX_TOKENS:
        raise ValueError(f"segment {segment_id!r} has {tokens} tokens")
    return requests.segment_number(str(model), str(segment_id)), tokens
