"""Clients' requests with one spoiled byte: the same request, or an error."""

from waitress import adjustments

from tests import fixtures
from turmericward.httpd import _parser

check = fixtures.check
BODY = b'{"do":"it"}'
HEAD = b"POST /act/1 HTTP/1.1\r\nHost: api.example\r\n%b\r\n\r\n"
SIZED = HEAD % (b"Content-Length: %d" % len(BODY))
CHUNKED = HEAD % b"Transfer-Encoding: chunked"
CHUNKED_BODY = b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY)


def _parse(received: bytes):
    """Returns path and body of a request, None if it is incomplete or in error."""
    parser = _parser.Parser(adjustments.Adjustments())
    while received and not parser.completed:
        received = received[parser.received(received) :]
    if not parser.completed or parser.error:
        return None
    return parser.path, parser.get_body_stream().read()


def _wrong(head: bytes, body: bytes, untellable: bytes) -> list[bytes]:
    """Returns the changes of a byte of the headers that make another request.

    Another name of a framing field, or digit of a length, can't be told: RFC 9112, 6.3.
    """
    start, end = head.index(b"Host"), len(head)
    place = head.index(untellable)
    told = [
        n for n in range(start, end) if not place <= n <= place + len(untellable) - 1
    ]
    changes = [
        head[:n] + bytes([byte]) + head[n + 1 :] for n in told for byte in range(256)
    ]
    return [c for c in changes if _parse(c + body) not in (None, ("/act/1", BODY))]


def test_a_request_with_one_spoiled_byte_is_the_same_request_or_none():
    """Guards against a parser of requests that drops what it doesn't understand."""
    sized, chunked = b"Content-Length: 11", b"Transfer-Encoding:"
    check.assertEqual(_wrong(SIZED, BODY, sized), [])
    check.assertEqual(_wrong(CHUNKED, CHUNKED_BODY, chunked), [])


def test_a_spoiled_chunk_of_a_request_is_an_error():
    framing = [
        n for n in range(len(CHUNKED_BODY)) if not 3 <= n < CHUNKED_BODY.index(b"\r\n0")
    ]
    wrong = [
        (n, byte)
        for n in framing
        for byte in range(256)
        if _parse(CHUNKED + CHUNKED_BODY[:n] + bytes([byte]) + CHUNKED_BODY[n + 1 :])
        not in (None, ("/act/1", BODY))
    ]
    # A size that becomes 0 ends the body; what follows is taken for trailer lines.
    check.assertEqual(wrong, [(0, ord("0"))])
