"""One HTTP request to a target, sent at most once, on a connection of its own."""

import contextlib
import http.client
import socket
from collections.abc import Callable, Iterable, Iterator

import attrs

from turmericward import runtime
from turmericward.adapters import _address, _response, errors
from turmericward.authority import Authority

CONNECT_TIMEOUT_S = 1.0
TCP_USER_TIMEOUT = getattr(socket, "TCP_USER_TIMEOUT", 18)
MIN_TIMEOUT_S = 0.001
# A target in trouble may send bytes without end.
MAX_BODY_BYTES = 8 * 1024 * 1024
REQUEST_ID = "X-Request-Id"


@attrs.frozen(kw_only=True)
class Request:
    """What to send; `headers` as pairs, in order."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


def connect(
    address: str,
    timeout_s: float,
    *,
    connect_s: float = CONNECT_TIMEOUT_S,
    response_class=_response.WholeResponse,
) -> http.client.HTTPConnection:
    """Opens a connection that never reconnects by itself.

    Raises:
        NotSentError: no connection came about.
    """
    host, port = _address.split(address)
    wait_s = max(MIN_TIMEOUT_S, min(timeout_s, connect_s))
    conn = http.client.HTTPConnection(host, port, timeout=wait_s)
    conn.auto_open = 0
    conn.response_class = response_class
    try:
        conn.connect()
    except OSError as exc:
        raise errors.NotSentError(f"{address}: {exc!r}") from exc
    conn.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    conn.sock.settimeout(timeout_s)
    return conn


def put_head(conn: http.client.HTTPConnection, req: Request) -> None:
    """Buffers the request line and the headers; sends nothing yet."""
    named = {name.lower() for name, _ in req.headers}
    conn.putrequest(
        req.method, req.path, skip_host="host" in named, skip_accept_encoding=True
    )
    for name, value in req.headers:
        conn.putheader(name, value)
    if req.body or req.method in ("POST", "PUT", "PATCH"):
        conn.putheader("Content-Length", str(len(req.body)))


def send(conn: http.client.HTTPConnection, address: str, req: Request) -> None:
    """Sends the whole request once.

    Raises:
        NotSentError: the request can't be put on the wire as it is.
        AnswerLostError: the connection failed when bytes may have left.
    """
    try:
        put_head(conn, req)
    except ValueError as exc:
        raise errors.NotSentError(f"{address}: {exc}") from exc
    try:
        conn.endheaders(req.body or None)
    except OSError as exc:
        raise errors.AnswerLostError(f"{address}: {exc!r}") from exc


def send_within_term(
    conn: http.client.HTTPConnection,
    address: str,
    req: Request,
    authority: Authority,
    need_s: float,
    clock: Callable[[], float],
) -> None:
    """Sends an order whose last byte leaves only while the authority holds.

    The kernel drops what it can't deliver within the rest of the term.

    Raises:
        AuthorityLapsedError: the order wasn't sent whole.
        AnswerLostError: the connection failed when all bytes may have left.
    """
    try:
        put_head(conn, req)
        conn.endheaders(req.body[:-1])
        left_s = authority.until - clock()
        if not authority.allows(clock(), need_s):
            raise errors.AuthorityLapsedError(f"{left_s:.3f} s of the term left")
        user_timeout_ms = max(1, int(left_s * 1000))
        conn.sock.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms)
        conn.send(req.body[-1:])
    except OSError as exc:
        raise errors.AnswerLostError(f"{address}: {exc!r}") from exc


def answer_head(
    conn: http.client.HTTPConnection, address: str
) -> http.client.HTTPResponse:
    """Waits for the status line and the headers.

    Raises:
        AnswerLostError: they didn't come whole.
    """
    try:
        return conn.getresponse()
    except (OSError, http.client.HTTPException) as exc:
        raise errors.AnswerLostError(f"{address}: {exc!r}") from exc


def await_answer(
    conn: http.client.HTTPConnection,
    address: str,
    until: float,
    cancelled: Callable[[], bool],
) -> None:
    """Waits for the first byte of the answer.

    Raises:
        AnswerLostError: none came by `until`, in seconds of `runtime.now`.
        CancelledError: the caller went away in the meantime.
    """
    try:
        _response.Guard(until, cancelled).wait(conn.sock.fileno())
    except TimeoutError as exc:
        raise errors.AnswerLostError(f"{address}: no answer in time") from exc


def joined(parts: Iterable[bytes], name: str = "answer") -> bytes:
    """Returns a body's parts as one.

    Args:
        parts: the body as it comes.
        name: what errors call it.

    Raises:
        AnswerLostError: they go on beyond what is taken.
    """
    found, size = [], 0
    for part in parts:
        size += len(part)
        if size > MAX_BODY_BYTES:
            raise errors.AnswerLostError(f"{name} is longer than {MAX_BODY_BYTES}")
        found.append(part)
    return b"".join(found)


def read_whole(
    conn: http.client.HTTPConnection,
    resp: http.client.HTTPResponse,
    address: str,
    until: float,
) -> bytes:
    """Reads the body to its declared end, by `until` in seconds of `runtime.now`.

    Raises:
        AnswerLostError: the body ended early or late, or goes on beyond what is taken.
    """
    return joined(_parts(conn, resp, address, until), f"{address}: answer")


def _parts(conn, resp, address: str, until: float) -> Iterator[bytes]:
    try:
        while True:
            left_s = until - runtime.now()
            if left_s <= 0:
                raise TimeoutError("deadline reached")
            if conn.sock is not None:
                conn.sock.settimeout(left_s)
            part = resp.read1(65536)
            if not part:
                break
            yield part
        if resp.length:
            raise http.client.IncompleteRead(b"", resp.length)
    except (OSError, http.client.HTTPException, ValueError) as exc:
        raise errors.AnswerLostError(f"{address}: {exc!r}") from exc


def check_id(
    resp: http.client.HTTPResponse, request_id: str, *, required: bool = True
) -> None:
    """Makes sure that the answer belongs to the request.

    Raises:
        ForeignAnswerError: it names another request, or none where required.
    """
    found = resp.getheader(REQUEST_ID)
    if found == request_id or (found is None and not required):
        return
    raise errors.ForeignAnswerError(f"answer to {found!r} came for {request_id!r}")


@contextlib.contextmanager
def closing(conn: http.client.HTTPConnection):
    """Closes the connection at the end, whatever came."""
    try:
        yield conn
    finally:
        conn.close()
