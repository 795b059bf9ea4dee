"""Records of the store that can't be used don't hide the others."""

import contextlib
import json

from tests import fixtures, test_answer_readers
from turmericward import positions
from turmericward.platform import _store

check = fixtures.check


class _Rows:
    """Serves one page of a listing, then one read."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    def __enter__(self) -> _store.StoreClient:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self._body)
        self._server = test_answer_readers._Server((head + self._body,))
        self._client = _store.StoreClient(
            self._server.__enter__(), 2.0, positions.Eras()
        )
        return self._client

    def __exit__(self, *args) -> None:
        self._client.close()
        self._server.__exit__(*args)


def _row(raw: bytes) -> bytes:
    return len(raw).to_bytes(4) + raw


def test_odd_records_take_up_their_offset_only():
    rows = [b"", b"\xff", b"\xffm1", b"\x00x", b"\x02m1{}", b"\x02m2", b"\x02\xff\xff1"]
    body = (7).to_bytes(8) + (0).to_bytes(8) + b"".join(map(_row, rows))
    with _Rows(body) as client:
        records = client.read("keyed.servers", positions.Position(0, 0), 0.0)
    check.assertEqual([r.offset for r in records], list(range(7)))
    usable = [(r.key, r.value) for r in records if r.key]
    check.assertEqual(usable, [("m1", b"{}"), ("m2", None), ("\ufffd\ufffd", b"1")])


def test_odd_rows_of_a_listing_do_not_hide_the_others():
    good = {"key": "m1", "value": "e30=", "offset": 1}
    odd = [
        good | {"key": "\ud800"},
        good | {"key": 5},
        good | {"key": ""},
        good | {"value": "x"},
        good | {"value": None},
        good | {"offset": "1"},
        good | {"offset": -1},
        good | {"offset": True},
        {},
    ]
    page = {"items": [*odd, good], "more": False, "end": 9}
    with _Rows(json.dumps(page).encode()) as client:
        listing = client.newest("keyed.servers")
    check.assertEqual([r.key for r in listing.records], ["m1"])


def test_a_listing_goes_on_after_a_key_that_is_not_text():
    first = {"items": [{"key": "\udcff", "value": "e30=", "offset": 1}], "more": True}
    last = {"items": [{"key": "m1", "value": "e30=", "offset": 2}], "more": False}
    responses = []
    for page in (first, last):
        body = json.dumps(page | {"end": 9}).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        responses.append(head + body)
    with test_answer_readers._Server(tuple(responses)) as address:
        client = _store.StoreClient(address, 2.0, positions.Eras())
        with contextlib.closing(client):
            listing = client.newest("keyed.servers")
    check.assertEqual([r.key for r in listing.records], ["m1"])
