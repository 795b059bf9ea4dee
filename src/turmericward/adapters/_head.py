"""Grammar of a response's head and of its chunked framing (RFC 9110, RFC 9112).

Bytes that break it are no response, and nothing in them is believed.
"""

import http.client
import re
from collections.abc import Callable

import attrs

CRLF = b"\r\n"
MAX_HEAD_BYTES = 128 * 1024
MAX_LINES = 101
MAX_CHUNK_LINE_BYTES = 4096
MAX_LENGTH = 2**31 - 1
SWITCHING_PROTOCOLS = 101
NO_CONTENT = 204
NOT_MODIFIED = 304
BODILESS_STATUSES = frozenset({NO_CONTENT, NOT_MODIFIED})

_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_TEXT = rb"[\t -~\x80-\xff]"
_STATUS_LINE = re.compile(rb"HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: (%b*))?" % _TEXT)
_FIELD_LINE = re.compile(rb"(%b):(%b*)" % (_TOKEN, _TEXT))
_LENGTH = re.compile(r"[0-9]{1,19}", re.ASCII)
_QUOTED = rb'"(?:[^"\\\x00-\x08\x0a-\x1f\x7f]|\\%b)*"' % _TEXT
_CHUNK_LINE = re.compile(
    rb"([0-9a-fA-F]{1,7})(?:[ \t]*;[ \t]*%b(?:[ \t]*=[ \t]*(?:%b|%b))?)*"
    % (_TOKEN, _TOKEN, _QUOTED)
)


class MalformedResponseError(http.client.HTTPException):
    """Raised if received bytes can't be a response."""


@attrs.frozen(kw_only=True)
class Head:
    """The head of a response.

    `fields` are pairs of name and value. The body has `length` bytes, or is `chunked`,
    or ends with the connection.
    """

    minor_version: int
    status: int
    reason: str
    fields: tuple[tuple[str, str], ...]
    length: int | None = None
    chunked: bool = False

    @property
    def interim(self) -> bool:
        """Whether another head follows."""
        return self.status < 200


def read_line(file, max_bytes: int) -> bytes:
    """Reads a line; returns it without its end.

    Raises:
        IncompleteRead: the connection ended before the line did.
        MalformedResponseError: the line is too long or doesn't end in CRLF.
    """
    line = file.readline(max_bytes + 1)
    if len(line) > max_bytes:
        raise MalformedResponseError(f"line is longer than {max_bytes} bytes")
    if not line.endswith(b"\n"):
        raise http.client.IncompleteRead(line)
    # A bare LF may be a spoiled CR: what follows would be taken for something else.
    if not line.endswith(CRLF):
        raise MalformedResponseError(f"line {line[:40]!r} doesn't end in CRLF")
    return line[: -len(CRLF)]


def read_lines(file) -> list[bytes]:
    """Reads the lines of a head or a trailer up to the empty line.

    Raises:
        IncompleteRead: the connection ended before.
        MalformedResponseError: there are too many lines or bytes.
    """
    lines: list[bytes] = []
    remaining = MAX_HEAD_BYTES
    while len(lines) <= MAX_LINES:
        line = read_line(file, remaining)
        if not line:
            return lines
        remaining -= len(line)
        lines.append(line)
    raise MalformedResponseError(f"more than {MAX_LINES} lines")


def decode_head(lines: list[bytes], *, bodiless: bool = False) -> Head:
    """Decodes the lines of a head.

    Args:
        lines: the lines without their ends.
        bodiless: whether the request allows no body (HEAD).

    Raises:
        MalformedResponseError: they are no head of a response.
    """
    return _decode(lambda: _head(lines, bodiless))


def check_trailer(lines: list[bytes]) -> None:
    """Checks the lines after the last chunk, whose fields aren't used.

    Raises:
        MalformedResponseError: one is no field.
    """
    _decode(lambda: [_field(line) for line in lines])


def decode_chunk_size(line: bytes) -> int:
    """Decodes the line before a chunk.

    Raises:
        MalformedResponseError: it holds no size, or something else beside it.
    """
    return _decode(lambda: int(_match(_CHUNK_LINE, line, "chunk size")[1], 16))


def _decode(decoder: Callable):
    try:
        return decoder()
    except MalformedResponseError:
        raise
    # The bytes are foreign: whatever fails is a fault of them.
    except Exception as exc:
        raise MalformedResponseError(repr(exc)) from exc


def _head(lines: list[bytes], bodiless: bool) -> Head:
    if not lines:
        raise MalformedResponseError("head has no status line")
    version, status, reason = _match(_STATUS_LINE, lines[0], "status line").groups()
    head = Head(
        minor_version=int(version),
        status=int(status),
        reason=(reason or b"").strip(b" \t").decode("latin-1"),
        fields=tuple(_field(line) for line in lines[1:]),
    )
    if head.status == SWITCHING_PROTOCOLS:
        raise MalformedResponseError("protocol is switched without a request for it")
    return _framed(head, bodiless)


def _field(line: bytes) -> tuple[str, str]:
    name, value = _match(_FIELD_LINE, line, "header line").groups()
    return name.decode("ascii"), value.strip(b" \t").decode("latin-1")


def _framed(head: Head, bodiless: bool) -> Head:
    """Returns the head with what it says of the body's end."""
    lengths = _values(head, "content-length")
    codings = _values(head, "transfer-encoding")
    if len(lengths) + len(codings) > 1:
        raise MalformedResponseError("response declares its length twice")
    length = _length(lengths[0]) if lengths else None
    if codings:
        _check_coding(codings[0], head)
    if head.status == NO_CONTENT and (length or codings):
        raise MalformedResponseError("response without content declares a body")
    if bodiless or head.interim or head.status in BODILESS_STATUSES:
        return attrs.evolve(head, length=0)
    return attrs.evolve(head, length=length, chunked=bool(codings))


def _values(head: Head, name: str) -> list[str]:
    return [value for n, value in head.fields if n.lower() == name]


def _length(text: str) -> int:
    if not _LENGTH.fullmatch(text):
        raise MalformedResponseError(f"malformed length {text!r:.80}")
    length = int(text)
    if length > MAX_LENGTH:
        raise MalformedResponseError(f"length {length} is too large")
    return length


def _check_coding(coding: str, head: Head) -> None:
    if coding.lower() != "chunked":
        raise MalformedResponseError(f"unknown transfer coding {coding!r:.80}")
    if not head.minor_version:
        raise MalformedResponseError("HTTP/1.0 has no transfer codings")


def _match(pattern: re.Pattern, line: bytes, name: str) -> re.Match:
    match = pattern.fullmatch(line)
    if match is None:
        raise MalformedResponseError(f"malformed {name} {line[:80]!r}")
    return match
