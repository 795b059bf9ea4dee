"""Responses with one spoiled byte: the same answer, or none at all."""

import http.client
import io
import random

from tests import fixtures
from turmericward.adapters import _head, _response

check = fixtures.check
BODY = b'{"done":"c1"}'
HEAD = (
    b"HTTP/1.1 200 OK\r\nTurmericward-Attempt-Id: c1\r\n"
    b"Content-Type: application/json\r\n%sConnection: close\r\n\r\n"
)
CHUNKED = HEAD % b"Transfer-Encoding: chunked\r\n"
SIZED = HEAD % (b"Content-Length: %d\r\n" % len(BODY))
UNFRAMED = HEAD % b""
CHUNKED_BODY = b"5\r\n%b\r\n%x\r\n%b\r\n0\r\n\r\n" % (
    BODY[:5],
    len(BODY) - 5,
    BODY[5:],
)
MESSAGES = {
    "chunked": (CHUNKED, CHUNKED_BODY),
    "sized": (SIZED, BODY),
    "unframed": (UNFRAMED, BODY),
}
# Of the insertions, which are as many as the other changes, so many are drawn.
INSERTIONS = 10_000


class _Socket:
    """A connection that has received these bytes and its end."""

    def __init__(self, received: bytes) -> None:
        self._received = received

    def makefile(self, mode: str) -> io.BufferedReader:
        return io.BufferedReader(io.BytesIO(self._received))


def _read(received: bytes) -> tuple[int, bytes] | None:
    """Returns status and body of a response, None for what is none."""
    resp = _response.WholeResponse(_Socket(received), method="GET")
    try:
        resp.begin()
        body = b""
        while chunk := resp.read1(65536):
            body += chunk
    except (OSError, http.client.HTTPException):
        return None
    return None if resp.length else (resp.status, body)


def _changes(head: bytes):
    """Yields each head with one byte changed, deleted or inserted, and its place."""
    for place in range(len(head)):
        yield place, head[:place] + head[place + 1 :]
        for byte in range(256):
            if byte != head[place]:
                yield place, head[:place] + bytes([byte]) + head[place + 1 :]
    rng = random.Random(1)
    for _ in range(INSERTIONS):
        place = rng.randrange(len(head))
        inserted = bytes([rng.randrange(256)])
        yield place, head[:place] + inserted + head[place:]


def _untellable(head: bytes) -> set[int]:
    """Returns the places at which another response results that is as well-formed.

    RFC 9112, 6.3: the fields Transfer-Encoding and Content-Length alone declare where
    a body ends, and without them it ends with the connection: another name, or another
    digit of the length, makes another body. RFC 9110, 15: 100 to 599 are statuses,
    known or not.
    """
    places = {head.index(b"200") + offset for offset in range(3)}
    for name in (b"Transfer-Encoding", b"Content-Length"):
        if name in head:
            start = head.index(name)
            places |= set(range(start, start + len(name) + 1))
    if b"Content-Length" in head:
        start = head.index(b"Content-Length: ") + len(b"Content-Length: ")
        places |= set(range(start, head.index(b"\r\n", start) + 1))
    return places


def test_a_head_with_one_spoiled_byte_let_chunk_sizes_pass_as_the_body():
    """Guards against header lines that are dropped with the framing they declare."""
    wrong = [
        (name, changed)
        for name, (head, body) in MESSAGES.items()
        for place, changed in _changes(head)
        if place not in _untellable(head)
        and _read(changed + body) not in (None, (200, BODY))
    ]
    check.assertEqual(wrong[:5], [])


def test_a_spoiled_chunk_let_other_bytes_pass_as_the_body():
    """Guards against chunk sizes, chunk ends and trailers that are read loosely."""
    data_places = {
        CHUNKED_BODY.index(part) + offset
        for part in (BODY[:5], BODY[5:])
        for offset in range(len(part))
    }
    wrong = [
        changed
        for place, changed in _changes(CHUNKED_BODY)
        if place not in data_places
        and _read(CHUNKED + changed) not in (None, (200, BODY))
    ]
    check.assertEqual(wrong, [])


def test_lines_that_are_no_header_lines_make_no_response():
    lines = {
        "no colon": b"Transfer-Encoding; chunked",
        "space before the colon": b"Transfer-Encoding : chunked",
        "continued line": b" Transfer-Encoding: chunked",
        "no name": b": chunked",
        "control byte beside a length": b"Content-Length:\x1c13",
        "control byte in a value": b"X-A: b\x00c",
        "line feed alone": b"X-A: b\nContent-Length: 13",
        "carriage return alone": b"X-A: b\rContent-Length: 13",
        "length in words": b"Content-Length: thirteen",
        "signed length": b"Content-Length: +13",
        "two lengths in one": b"Content-Length: 13, 13",
        "a coding in another script": "Transfer-Encoding: ᶜhunked".encode(),
    }
    for name, line in lines.items():
        check.assertIsNone(_read(HEAD % (line + b"\r\n") + BODY), name)


def test_whole_heads_are_read():
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    heads = {
        "no reason": SIZED.replace(b"200 OK", b"200"),
        "empty reason": SIZED.replace(b"200 OK", b"200 "),
        "no space after a colon": SIZED.replace(b"Length: ", b"Length:"),
        "a tab and spaces": SIZED.replace(b"Length: 13", b"Length: \t13 \t"),
        "upper case": CHUNKED.replace(b"chunked", b"CHUNKED"),
        "text beyond ASCII": HEAD % b"X-A: caf\xe9\r\n",
        "interim responses": interim + interim + SIZED,
    }
    for name, head in heads.items():
        body = CHUNKED_BODY if b"CHUNKED" in head else BODY
        check.assertEqual(_read(head + body), (200, BODY), name)


def test_a_status_without_content_that_declares_a_body_is_no_response():
    for name, (head, body) in MESSAGES.items():
        changed = head.replace(b"200", b"204")
        expected = (204, b"") if name == "unframed" else None
        check.assertEqual(_read(changed + body), expected, name)


def test_a_number_that_is_no_status_makes_no_response():
    """Guards against numbers outside of 100 to 599 (RFC 9110, 15)."""
    for number in (*range(100), *range(600, 1000)):
        for name, (head, body) in MESSAGES.items():
            changed = head.replace(b"200", b"%03d" % number)
            check.assertIsNone(_read(changed + body), (number, name))
    for number in range(200, 600):
        if number not in _head.BODILESS_STATUSES:
            changed = SIZED.replace(b"200", b"%d" % number)
            check.assertEqual(_read(changed + BODY), (number, BODY))


def test_parts_of_a_head_are_bounded():
    many = b"X: y\r\n" * (_head.MAX_LINES + 1)
    long = b"X: %b\r\n" % (b"y" * _head.MAX_HEAD_BYTES)
    together = (b"X: %b\r\n" % (b"y" * (_head.MAX_HEAD_BYTES // 50))) * 60
    interim = b"HTTP/1.1 100 Continue\r\n\r\n" * (_response.MAX_INTERIM_HEADS + 1)
    for name, received in (
        ("lines", HEAD % many),
        ("line", HEAD % long),
        ("lines together", HEAD % together),
        ("status line", b"HTTP/1.1 200 " + b"y" * _head.MAX_HEAD_BYTES),
        ("interim", interim + SIZED),
    ):
        check.assertIsNone(_read(received + BODY), name)
    extension = b"5;%b\r\n%b\r\n" % (b"x" * _head.MAX_CHUNK_LINE_BYTES, BODY[:5])
    trailer = b"%x\r\n%b\r\n0\r\n%b\r\n" % (len(BODY), BODY, many)
    for name, body in (("extension", extension), ("trailer", trailer)):
        check.assertIsNone(_read(CHUNKED + body), name)
